// The agent beside a router.
#include "agent/agent.h"
#include "apps/fleet_program.h"

namespace {

class AgentProcess : public bitternmux::FleetProcess {
 public:
  AgentProcess(boost::asio::io_context& io, const bitternmux::fleet::NodeSettings& settings,
               bitternmux::EventSink& events)
      : agent_(io, settings, events), grace_s_(settings.grace_s), end_(io) {}
  void Start() override { agent_.Start(); }
  // The router beside it still serves for a while and lives on what the agent tells.
  void Stop() override {
    end_.expires_after(
        std::chrono::milliseconds(static_cast<std::int64_t>(grace_s_ * 1000) - kBeforeGraceMs));
    end_.async_wait([this](const boost::system::error_code& error) {
      if (!error) agent_.Stop();
    });
  }
  void Resettle(const bitternmux::fleet::NodeSettings& settings) override { agent_.Reseed(settings); }

 private:
  static constexpr std::int64_t kBeforeGraceMs = 200;
  bitternmux::agent::Agent agent_;
  const double grace_s_;
  boost::asio::steady_timer end_;
};

}  // namespace

int main(int count, char** words) {
  return bitternmux::RunFleetProgram(
      count, words,
      "bitternmux-agent: keeps the link to the control machines and feeds the router beside it.\n"
      "BITTERNMUX_NODE_FILE names its settings file.",
      [](const auto&) { return std::string(); },
      [](auto& io, const auto& settings, auto& events) -> std::unique_ptr<bitternmux::FleetProcess> {
        return std::make_unique<AgentProcess>(io, settings, events);
      });
}
