// Servers that answer by drawn plans and clients that send requests through routers as a seed draws, on a
// thread of their own; what both recorded is taken at the end.
#ifndef BITTERNMUX_LAB_TORTURE_HOSTILE_TRAFFIC_H_
#define BITTERNMUX_LAB_TORTURE_HOSTILE_TRAFFIC_H_

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "lab/wire/hostile_server.h"
#include "lab/wire/recorder.h"
#include "lab/wire/recording_client.h"

namespace bitternmux::lab::wire {

// Which routers are in unplanned trouble, as whoever brings it about tells: killed, or standing still. May be
// called by any thread.
class RouterTroubles {
 public:
  explicit RouterTroubles(std::size_t routers) : begun_(routers), open_(routers) {}
  void Begin(std::size_t router) {
    ++begun_[router];
    ++open_[router];
  }
  void End(std::size_t router) { --open_[router]; }
  // Another number once trouble has begun since.
  std::uint64_t begun(std::size_t router) const { return begun_[router]; }
  bool open(std::size_t router) const { return open_[router] > 0; }

 private:
  std::vector<std::atomic<std::uint64_t>> begun_;
  std::vector<std::atomic<int>> open_;
};

// A route that clients use.
struct TrafficRoute {
  std::string prefix;
  RouteRules rules;
};

class HostileTraffic {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t servers = 8;
    std::string server_ip = "127.0.0.1";
    std::vector<TrafficRoute> routes;
    std::string host;
    http::Headers headers;  // of every request
    std::size_t clients = 24;
  };
  struct Figures {
    std::size_t served = 0, resumed = 0;
  };

  explicit HostileTraffic(Options options);
  ~HostileTraffic();
  HostileTraffic(const HostileTraffic&) = delete;
  HostileTraffic& operator=(const HostileTraffic&) = delete;

  const std::vector<std::unique_ptr<HostileServer>>& servers() const { return servers_; }
  // Has clients send that many requests to those routers. `hostile`: servers and clients behave as drawn;
  // else all are good. False: some of the requests had no end in `patience`.
  bool Send(const std::vector<std::string>& routers, RouterTroubles& troubles, std::size_t requests,
            bool hostile, std::chrono::seconds patience);
  History TakeHistory() { return recorder_.Take(); }
  Figures TakeFigures();

 private:
  struct Client;

  HostileServer::Order Plan(const http::Message& request, int arrival) const;
  std::uint64_t EventsOf(const std::string& request_id) const;
  std::mt19937_64 RandomFor(const std::string& what) const;
  void Next(const std::shared_ptr<Client>& client);
  void Ask(const std::shared_ptr<Client>& client, const ClientAsk& ask);
  void Answered(const std::shared_ptr<Client>& client, const ClientAsk& ask, std::uint64_t troubles_begun,
                Received received);

  const Options options_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  Recorder recorder_;
  std::vector<std::unique_ptr<HostileServer>> servers_;
  std::vector<boost::asio::ip::tcp::endpoint> routers_;
  RouterTroubles* troubles_ = nullptr;
  std::atomic<bool> hostile_ = true;
  std::uint64_t number_ = 0;  // of the newest request
  std::size_t to_begin_ = 0;  // requests that no client has begun
  std::mutex mutex_;          // guards what follows
  std::condition_variable over_;
  std::size_t clients_at_work_ = 0;
  Figures figures_;
  std::thread thread_;
};

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_TORTURE_HOSTILE_TRAFFIC_H_
