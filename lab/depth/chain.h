// A chain of sidecars and quote servers, and what is measured on it. Hop 1 is the sidecar that the client
// asks and the tier of servers that it sends to; a server of hop i asks a sidecar of hop i + 1 before it
// answers, and the servers of the last hop answer by themselves.
#ifndef BITTERNMUX_LAB_DEPTH_CHAIN_H_
#define BITTERNMUX_LAB_DEPTH_CHAIN_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bitternmux::lab::depth {

inline constexpr char kClass[] = "quote";  // the only class of requests; safe to repeat

// What a server makes of a 503 of its next sidecar, which says that a retry is harmless and not that nothing
// ran. What else is no 200 always becomes a 500.
enum class RefusalBecomes {
  kError,     // 500: it may have run; the sidecar before has to earn a further attempt
  kDeclined,  // 503 with Srv-Declined: 1, "never ran": a further attempt needs no earning
};

// How a client leaves before its answer.
enum class Leaving {
  kNone,
  kCloses,    // closes its connection
  kDeadline,  // its Req-Deadline-Ms passes, and it closes then
};

// Times in milliseconds, shares of one.
struct Chain {
  int hops = 5;
  double failing = 0;        // share of the attempts that servers of the failing hop answer with 500 at once
  int failing_hop = 0;       // from 1; 0: the last
  int servers = 3;           // of each hop's tier
  bool own_sidecars = true;  // each server has a sidecar of its own; else one a hop
  RefusalBecomes refusal = RefusalBecomes::kError;
  bool may_cancel = true;
  int max_attempts = 3;
  double deadline_ms = 4000;
  double aim_ms = 1000;

  int FailingHop() const { return failing_hop > 0 ? failing_hop : hops; }
  int SidecarsOf(int hop) const { return hop > 1 && own_sidecars ? servers : 1; }
};

// The calls at the first hop, evenly spread but for a jitter of half a gap.
struct Calls {
  int count = 1;
  double rate = 59;      // a second
  int client_tries = 1;  // that a client makes of a call, with 100, 200, ... ms between them
  Leaving leaving = Leaving::kNone;
};

// The key `settings` of a sidecar of the chain.
nlohmann::json SettingsOf(const Chain& chain, int hop);

// When each call is due, in milliseconds from the start: the same for the same seed.
std::vector<double> DueTimes(const Calls& calls, std::uint64_t seed);

// Attempts at the last hop for each call, on the mean, if every hop simply tried up to `max_attempts` times:
// that to the power of `hops` if every attempt fails.
double NaiveAttempts(const Chain& chain);

// By nearest rank; 0 of nothing. `share` in (0, 1].
double Quantile(std::vector<double> values, double share);

}  // namespace bitternmux::lab::depth

#endif  // BITTERNMUX_LAB_DEPTH_CHAIN_H_
