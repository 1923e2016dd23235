#include "lab/stands/solo.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "lab/stands/any_order.h"
#include "lab/stands/discovery_stand.h"
#include "lab/stands/quote_servers.h"
#include "lab/stands/stage.h"

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;

void RunUntilSignal(asio::io_context& io) {
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

}  // namespace

model::Figures SoloFigures() {
  model::Figures figures;
  figures.name = "stand";
  figures.kinds = {"stand-in"};
  figures.network.zones = {"here"};
  figures.network.same_ms = figures.network.jitter = figures.network.handshake_rtts = 0;
  figures.clients.rate = 0;
  figures.classes.emplace_back().name = "any";
  figures.sidecars.emplace_back().name = "asker";
  return figures;
}

void ServeQuotes(const model::Figures& figures, const std::string& listen, const Listens& listens) {
  asio::io_context io(1);
  Stage stage(io, figures, {});
  stage.on_told = [](const model::DiscoveryAction&) {};
  QuoteServers servers(stage, AnyOrder(stage), EndpointOf(listen));
  stage.pace.Begin();
  stage.Begin();
  servers.Begin();
  listens(servers.AddressOf(0, 0));
  RunUntilSignal(io);
}

void ServeDiscovery(const model::Figures& figures, const std::vector<std::string>& addresses,
                    const std::string& listen, const Listens& listens) {
  for (const std::string& address : addresses) EndpointOf(address);
  asio::io_context io(1);
  Stage stage(io, figures, {});
  stage.on_node = [](int, const model::NodeAction&) {};
  stage.on_machine = [](int) {};
  DiscoveryStand discovery(
      stage, [&](int, int machine) { return addresses[static_cast<std::size_t>(machine)]; },
      EndpointOf(listen));
  stage.pace.Begin();
  stage.Begin();
  discovery.Begin();
  listens(discovery.AddressOf(0));
  RunUntilSignal(io);
}

}  // namespace bitternmux::lab
