// A control machine.
#include "apps/fleet_program.h"
#include "control/control_node.h"

namespace {

class ControlProcess : public bitternmux::FleetProcess {
 public:
  ControlProcess(boost::asio::io_context& io, const bitternmux::fleet::NodeSettings& settings,
                 bitternmux::EventSink& events)
      : node_(io, settings, events) {}
  void Start() override { node_.Start(); }
  void Stop() override { node_.Stop(); }
  void Resettle(const bitternmux::fleet::NodeSettings& settings) override { node_.Reseed(settings); }

 private:
  bitternmux::control::ControlNode node_;
};

std::string Check(const bitternmux::fleet::NodeSettings& settings) {
  if (settings.control.empty()) return "listen.control is missing";
  if (settings.data_dir.empty()) return "data_dir is missing";
  if (settings.platform_address.empty()) return "cloud.address is missing";
  if (settings.seeds.empty()) return "seeds are missing";
  return "";
}

}  // namespace

int main(int count, char** words) {
  return bitternmux::RunFleetProgram(
      count, words,
      "bitternmux-control: keeps the configuration, reads the platform's list, and feeds the agents.\n"
      "BITTERNMUX_NODE_FILE names its settings file.",
      Check, [](auto& io, const auto& settings, auto& events) -> std::unique_ptr<bitternmux::FleetProcess> {
        return std::make_unique<ControlProcess>(io, settings, events);
      });
}
