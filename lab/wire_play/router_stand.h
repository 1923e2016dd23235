// A router's data plane in this process: its clients' side, its requests and its connections to
// servers, on real sockets, with a configuration and a list that do not change.
#ifndef BITTERNMUX_LAB_WIRE_PLAY_ROUTER_STAND_H_
#define BITTERNMUX_LAB_WIRE_PLAY_ROUTER_STAND_H_

#include <boost/asio.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/wire/hostile_server.h"
#include "lab/wire/recording_client.h"
#include "router/front.h"
#include "router/request_flow.h"

namespace bitternmux::lab::wire {

inline constexpr const char* kHost = "desk.example";
inline constexpr int kMostAttempts = 3;

// The routes that there are, by their path.
struct KnownRoute {
  const char* prefix;
  fleet::RouteType type;
  bool resumable;
  int max_attempts;

  RouteRules rules() const {
    const bool streaming = type == fleet::RouteType::kStreaming;
    return {streaming, resumable || type == fleet::RouteType::kSafe, max_attempts};
  }
};
inline constexpr KnownRoute kResumable{"/quote/", fleet::RouteType::kStreaming, true, kMostAttempts};
inline constexpr KnownRoute kStreamOnce{"/draft/", fleet::RouteType::kStreaming, false, 1};
inline constexpr KnownRoute kOnce{"/sheet/", fleet::RouteType::kNonIdempotent, false, 1};
inline constexpr KnownRoute kSafe{"/read/", fleet::RouteType::kSafe, false, 2};

class RouterStand {
 public:
  RouterStand(boost::asio::io_context& io, const std::vector<std::unique_ptr<HostileServer>>& servers,
              unsigned seed)
      : io_(io),
        state_{io,
               Unheard(),
               router::Upstream(io),
               router::ServerChoice(router::ChoiceOptions(), "z", seed),
               fleet::QuotaLedger({1, 0, {8000, 0.1, 0}}),
               router::RetryBudget({0.2, 100'000, 10'000}, 0),
               nullptr,
               false,
               router::Shutdown(8000),
               0,
               {},
               {},
               [] {},
               [] {},
               std::mt19937(seed),
               {}},
        front_(io, [this](http::Message message, const std::shared_ptr<router::Responder>& responder) {
          return router::RequestFlow::Begin(state_, std::move(message), responder);
        }) {
    fleet::ServerMap list;
    for (const auto& server : servers)
      list[server->id()] = {server->id(), "s", server->address(), "z", 8, false};
    state_.choice.Update(router::SteadyNowMs(), list);
    fleet::Configuration configuration;
    configuration.version = 1;
    for (const KnownRoute& known : {kResumable, kStreamOnce, kOnce, kSafe})
      configuration.routes.push_back(RouteOf(known));
    state_.table = std::make_shared<const router::RouteTable>(std::move(configuration));
    state_.servers_known = true;
    address_ = front_.Listen("127.0.0.1:0");
  }

  // Sessions and attempts have to be over by then: handlers refer to what goes.
  ~RouterStand() {
    front_.CloseIdle();
    front_.StopListening();
  }
  RouterStand(const RouterStand&) = delete;
  RouterStand& operator=(const RouterStand&) = delete;

  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  std::size_t sessions() const { return front_.sessions(); }
  router::RouterState& state() { return state_; }

 private:
  static fleet::Route RouteOf(const KnownRoute& known) {
    fleet::Route route;
    route.host = kHost;
    route.path_prefix = known.prefix;
    route.type = known.type;
    route.timeout_ms = 10'000;
    route.target_latency_ms = 500;
    route.split = {{"s", 1}};
    route.max_attempts = known.max_attempts;
    route.resumable = known.resumable;
    return route;
  }

  boost::asio::io_context& io_;
  router::RouterState state_;
  router::Front front_;
  boost::asio::ip::tcp::endpoint address_;
};

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_PLAY_ROUTER_STAND_H_
