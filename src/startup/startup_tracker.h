// Tracks an instance from its start until it decides as well as one that has run for a minute.
//
// There are four states, reported to operators under these names:
// - *remembering*: the instance uses the host list that it was started with; none has come from discovery.
// - *listed*: discovery has sent its list; no host of it has answered yet.
// - *learning*: hosts answer, but there are too few answers to tell the hosts apart.
// - *full*: the instance decides as well as any other.
// docs/design/comeback.md has the table of transitions.
//
// Invariants: while at least one host is known, no state but the last lasts longer than MaxStayMs. The limits
// add up to one minute, whatever discovery does. Memory is bounded by kMaxHostNames host names and
// kMaxChanges state changes; the oldest change is dropped first.
//
// Does no I/O, reads no clock and generates no random numbers. Times are in ms by the caller's clock, which
// never goes back; `chance` is uniform in [0, 1).
#ifndef BITTERNMUX_SRC_STARTUP_STARTUP_TRACKER_H_
#define BITTERNMUX_SRC_STARTUP_STARTUP_TRACKER_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "cartspring/balancer.h"
#include "membership/list_call_schedule.h"

namespace cartspring {

class StartupTracker {
 public:
  static constexpr std::size_t kMaxHostNames = 8, kMaxChanges = 8;

  // `settings` must outlive this object; they are read at each event, so changes apply at once.
  explicit StartupTracker(const Settings& settings) : calls_(settings.ask_within_ms) {}
  explicit StartupTracker(const Settings&&) = delete;
  StartupTracker(const StartupTracker&) = delete;
  StartupTracker& operator=(const StartupTracker&) = delete;

  // A host list was received: the remembered one at the start (`remembered`), or one from discovery.
  // `hosts`: the hosts in service, empty if none are remembered; `name_of` returns the name of a host.
  template <class Hosts, class NameOf>
  void ListReceived(double now, const Hosts& hosts, const NameOf& name_of, bool remembered) {
    Advance(now);
    if (hosts_ == 0) stay_began_ = now;
    hosts_ = hosts.size();
    if (remembered) return;
    calls_.ListReceived();
    const bool had_answers = !answered_.empty();
    std::erase_if(answered_, [&](const std::string& name) {
      return std::ranges::none_of(hosts, [&](const auto& host) { return name_of(host) == name; });
    });
    const bool all_replaced = had_answers && answered_.empty();  // what was learned applies to no host
    if (!list_received_ || (all_replaced && state_ != ServiceState::kListed))
      Enter(ServiceState::kListed, now);
    list_received_ = true;
  }
  // `host` has answered a request.
  void HostAnswered(double now, const std::string& host) {
    Advance(now);
    if (state_ == ServiceState::kFull && answered_.size() == kMaxHostNames) return;
    if (std::ranges::find(answered_, host) == answered_.end() && answered_.size() < kMaxHostNames)
      answered_.push_back(host);
    ++answers_;
    if (state_ == ServiceState::kListed) Enter(ServiceState::kLearning, now);
    if (state_ == ServiceState::kLearning && answers_ >= kMinAnswers &&
        answered_.size() >= std::min<std::size_t>(kMinHosts, hosts_))
      Enter(ServiceState::kFull, now);
  }

  // When to request the list from discovery, see ListCallSchedule.
  double CallSent(double now, double chance) { return calls_.CallSent(now, chance); }
  double CallFailed(double now, double chance) { return calls_.CallFailed(now, chance); }
  bool Due(double now) const { return calls_.Due(now); }

  ServiceState state(double now) {
    Advance(now);
    return state_;
  }
  // The state changes that follow number `after`, oldest first, kMaxChanges at most. The start is number 1.
  std::vector<StateChange> Changes(double now, std::uint64_t after) {
    Advance(now);
    std::vector<StateChange> out;
    for (std::uint64_t i =
             std::max(after, change_count_ - std::min<std::uint64_t>(change_count_, kMaxChanges));
         i < change_count_; ++i)
      out.push_back(changes_[i % kMaxChanges]);
    return out;
  }

  // The longest time in a state while at least one host is known, in ms.
  static constexpr double MaxStayMs(ServiceState state) {
    switch (state) {
      case ServiceState::kRemembering:
        return 30'000;
      case ServiceState::kListed:
        return 10'000;
      case ServiceState::kLearning:
        return 20'000;
      case ServiceState::kFull:
        break;
    }
    return std::numeric_limits<double>::infinity();
  }

 private:
  static constexpr std::uint64_t kMinAnswers = 8;  // enough answers for a meaningful mean
  static constexpr std::size_t kMinHosts = 2;      // comparing hosts takes at least two

  // Applies the transitions that are due by time. Without hosts nothing can be learned, so none is due.
  void Advance(double now) {
    if (change_count_ == 0) Enter(ServiceState::kRemembering, now);
    while (hosts_ > 0 && now >= stay_began_ + MaxStayMs(state_)) {
      Enter(state_ == ServiceState::kLearning ? ServiceState::kFull : ServiceState::kLearning,
            stay_began_ + MaxStayMs(state_));
    }
  }

  void Enter(ServiceState state, double at) {
    state_ = state;
    stay_began_ = at;
    answers_ = 0;
    changes_[change_count_ % kMaxChanges] = {change_count_ + 1, state, at};
    ++change_count_;
  }

  ListCallSchedule calls_;
  ServiceState state_ = ServiceState::kRemembering;
  double stay_began_ = 0;       // when the state was entered, or later, when the first host became known
  bool list_received_ = false;  // discovery has sent a list since the start
  std::size_t hosts_ = 0;
  std::vector<std::string> answered_;  // up to kMaxHostNames hosts in service that have answered
  std::uint64_t answers_ = 0;          // since the state was entered
  std::uint64_t change_count_ = 0;     // state changes since the start
  std::array<StateChange, kMaxChanges> changes_{};
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_STARTUP_STARTUP_TRACKER_H_
