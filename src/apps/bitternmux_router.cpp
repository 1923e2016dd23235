// The data plane of an edge machine.
#include "apps/fleet_program.h"
#include "router/router.h"

namespace {

class RouterProcess : public bitternmux::FleetProcess {
 public:
  RouterProcess(boost::asio::io_context& io, const bitternmux::fleet::NodeSettings& settings,
                bitternmux::EventSink& events)
      : router_(io, settings, events) {}
  void Start() override { router_.Start(); }
  void Stop() override { router_.Stop(); }

 private:
  bitternmux::router::Router router_;
};

std::string Check(const bitternmux::fleet::NodeSettings& settings) {
  if (settings.front.empty()) return "listen.front is missing";
  if (settings.readiness.empty()) return "listen.readiness is missing";
  return "";
}

}  // namespace

int main(int count, char** words) {
  return bitternmux::RunFleetProgram(
      count, words,
      "bitternmux-router: takes clients' requests and carries them to servers.\n"
      "BITTERNMUX_NODE_FILE names its settings file.",
      Check, [](auto& io, const auto& settings, auto& events) -> std::unique_ptr<bitternmux::FleetProcess> {
        return std::make_unique<RouterProcess>(io, settings, events);
      });
}
