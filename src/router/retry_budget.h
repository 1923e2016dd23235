// Limits the retries that this router may send to a service; pure decision logic without I/O.
//
// The limit holds for all routers together: in any window, the arrivals beyond the first of each request
// number at most `ratio` times the requests, plus `slack`. Each router applies the ratio to its own
// requests, so the sum over the routers keeps it as well. The slack is divided by the number of routers.
//
// The requests are those of that window, of the one before it, or of the one half a window before it,
// whichever holds the most. When a retry is sent, requests of one window are known. However traffic goes on,
// a later window that includes the retry finds at least half of them in one of the three, and only half if
// they came in two bursts; hence kRatioShare.
//
// A router that has just started does not know what its previous process spent. Its part of the slack
// therefore grows from 0 over one window. All processes of a router together then spend, in one window, at
// most what the previous process may have spent at once and the same amount again as time passes; hence
// kSlackShare.
//
// Bounds: kBuckets counts for each service that was requested.
#ifndef BITTERNMUX_SRC_ROUTER_RETRY_BUDGET_H_
#define BITTERNMUX_SRC_ROUTER_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace bitternmux::router {

class RetryBudget {
 public:
  struct Limits {
    double ratio = 0, slack = 0, window_ms = 1;
  };

  // `started_ms`: when this router process started.
  RetryBudget(const Limits& limits, double started_ms) : limits_(limits), started_ms_(started_ms) {}

  void SetRouters(std::size_t count) { routers_ = count > 0 ? static_cast<double>(count) : 1; }
  // Counts a request for the service.
  void CountRequest(double now_ms, const std::string& service);
  // Whether another attempt of a request may be sent to the service; if so, it is counted.
  bool Spend(double now_ms, const std::string& service);

 private:
  static constexpr std::size_t kBuckets = 16;
  static constexpr double kRatioShare = 0.5, kSlackShare = 0.5;
  struct Bucket {
    std::int64_t number = -1;
    double requests = 0, retries = 0;
  };
  using Window = std::array<Bucket, kBuckets>;

  Bucket& BucketAt(double now_ms, Window& window) const;

  const Limits limits_;
  const double started_ms_;
  double routers_ = 1;
  std::unordered_map<std::string, Window> windows_;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_RETRY_BUDGET_H_
