// What an instance may do from its start until it is as good as one that has run for a minute.
//
// Four states, told to operators by these names. *Remembering*: it goes by the list that it was started with,
// nothing of discovery was heard in this life. *Listed*: discovery has told its list, and no host of it has
// answered yet. *Learning*: hosts answer, too few yet to tell one from another. *Full*: as good as any.
// docs/design/comeback.md has the table of transitions.
//
// Invariants. With a host to go by no state but the last is stayed in for longer than its longest stay, all
// of them together a minute, whatever discovery does. State: kNames names of hosts and kChanges changes, of
// which the oldest is forgotten first.
//
// Does no I/O, reads no clock and draws no chance. Times in ms, by the caller's clock, never going back;
// `chance`: uniform, from 0 to below 1.
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

  // `settings` are read at each event, so that new ones count at once, and must outlive this.
  explicit StartupTracker(const Settings& settings) : calls_(settings.ask_within_ms) {}
  explicit StartupTracker(const Settings&&) = delete;
  StartupTracker(const StartupTracker&) = delete;
  StartupTracker& operator=(const StartupTracker&) = delete;

  // A list: the one that this life begins with, or what discovery has told. `hosts`: those in service, none
  // where none is remembered; `name_of`: the name of one.
  template <class Hosts, class NameOf>
  void ListReceived(double now, const Hosts& hosts, const NameOf& name_of, bool remembered) {
    Advance(now);
    if (hosts_ == 0) stay_began_ = now;
    hosts_ = hosts.size();
    if (remembered) return;
    calls_.ListReceived();
    const bool knew = !answered_.empty();
    std::erase_if(answered_, [&](const std::string& name) {
      return std::ranges::none_of(hosts, [&](const auto& host) { return name_of(host) == name; });
    });
    const bool replaced = knew && answered_.empty();  // nothing that it learned is of use any more
    if (!list_received_ || (replaced && state_ != ServiceState::kListed)) Enter(ServiceState::kListed, now);
    list_received_ = true;
  }
  // A host has answered a request.
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

  // When to call for the list: as ListCalls has it.
  double CallSent(double now, double chance) { return calls_.CallSent(now, chance); }
  double CallFailed(double now, double chance) { return calls_.CallFailed(now, chance); }
  bool Due(double now) const { return calls_.Due(now); }

  ServiceState state(double now) {
    Advance(now);
    return state_;
  }
  // The changes of state after the `after`-th, the oldest first, kChanges at most. The first is the start.
  std::vector<StateChange> Changes(double now, std::uint64_t after) {
    Advance(now);
    std::vector<StateChange> out;
    for (std::uint64_t i =
             std::max(after, change_count_ - std::min<std::uint64_t>(change_count_, kMaxChanges));
         i < change_count_; ++i)
      out.push_back(changes_[i % kMaxChanges]);
    return out;
  }

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
  static constexpr std::uint64_t kMinAnswers = 8;  // answers that a mean can be made of
  static constexpr std::size_t kMinHosts = 2;      // hosts that it takes to tell one from another

  // Without a host there is nothing that time alone could teach.
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
  double stay_began_ = 0;       // from when its stay counts: its entry, or later where there was no host
  bool list_received_ = false;  // discovery was heard in this life
  std::size_t hosts_ = 0;
  std::vector<std::string> answered_;  // hosts in service that have answered in this life, some of them
  std::uint64_t answers_ = 0;          // in this state
  std::uint64_t change_count_ = 0;     // changes
  std::array<StateChange, kMaxChanges> changes_{};
};

}  // namespace cartspring

#endif  // BITTERNMUX_SRC_STARTUP_STARTUP_TRACKER_H_
