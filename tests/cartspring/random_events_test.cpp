// Random legal event sequences with fixed seeds. The balancer's actions are checked against rules 1 to 3.
// Servers are not modelled: outcomes are drawn at random.
#include <gtest/gtest.h>

#include <random>

#include "cartspring/fixture.h"

namespace cartspring {
namespace {

class RandomScenario {
 public:
  explicit RandomScenario(std::uint32_t seed)
      : draw_(seed), settings_(DrawSettings()), bed_(settings_, seed) {
    hosts_ = TestHosts(2 + Below(20), 1 + Below(3), 1 + Below(4));
    bed_.now = 50000;
    bed_.balancer.OnHostList(bed_.now, hosts_, true);
    for (const auto& host : hosts_) not_live_since_[host.host] = -1;
  }

  const std::vector<std::string>& Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      CheckActions();
    }
    for (int i = 0; i < 5000; ++i) {
      AdvanceTo(bed_.now + 1);
      CheckActions();
    }
    for (const auto& [id, request] : requests_) {
      EXPECT_TRUE(request.over) << "request " << id << " was lost";
    }
    return bed_.out.actions;
  }

 private:
  struct Attempt {
    std::string host;
    double at;
    bool pending = true;
    bool may_have_run = true;
  };
  struct TrackedRequest {
    int klass;
    double give_up;
    bool over = false;
    std::vector<Attempt> attempts;
  };

  int Below(int n) { return static_cast<int>(draw_() % static_cast<std::uint32_t>(n)); }

  Settings DrawSettings() {
    Settings s = TestSettings();
    s.reporting = static_cast<Reporting>(Below(3));
    s.may_probe = Below(4) > 0;
    s.may_cancel = Below(2) > 0;
    s.may_duplicate = Below(2) > 0;
    s.must_subscribe = Below(2) > 0;
    s.max_attempts = 1 + Below(5);
    s.classes[kKeyedClass].group = static_cast<RepeatGroup>(Below(3));
    s.classes[kSafeClass].late_worth = Below(2) * 0.5;
    s.classes[kUnsafeClass].streaming = Below(2) > 0;
    return s;
  }

  void Step() {
    switch (Below(8)) {
      case 0:
      case 1: {
        const int klass = Below(3);
        const double give_up_in_ms = 1 + Below(1000);
        const double give_up = bed_.now + give_up_in_ms;
        requests_[bed_.last_id + 1] = {klass, give_up, false, {}};
        bed_.Request(klass, give_up_in_ms);
        break;
      }
      case 2:
      case 3:
        FinishOneAttempt();
        break;
      case 4:
        AnswerProbe();
        break;
      case 5:
        ChangeHosts();
        break;
      case 6:
        if (!requests_.empty() && Below(5) == 0) {
          auto& [id, request] = *std::next(requests_.begin(), Below(static_cast<int>(requests_.size())));
          if (!request.over) {
            request.over = true;
            bed_.balancer.OnClientGone(bed_.now, id);
          }
        }
        break;
      default:
        AdvanceTo(bed_.now + Below(40));
    }
  }

  // Advances the clock in steps of 1 ms; attempts time out before the timers of the same time fire.
  void AdvanceTo(double until) {
    for (double at = bed_.now + 1; at <= until; ++at) {
      for (auto& [id, request] : requests_) {
        for (std::size_t k = 0; k < request.attempts.size(); ++k) {
          if (request.attempts[k].pending && at >= request.give_up)
            FinishAttempt(id, request, k, Outcome::kTimeout);
          CheckActions();
        }
      }
      bed_.AdvanceTo(at);
      CheckActions();
    }
  }

  void FinishOneAttempt() {
    for (auto& [id, request] : requests_) {
      for (std::size_t k = 0; k < request.attempts.size(); ++k) {
        if (request.attempts[k].pending && Below(3) == 0) {
          return FinishAttempt(id, request, k, static_cast<Outcome>(Below(8)));
        }
      }
    }
  }

  void FinishAttempt(RequestId id, TrackedRequest& request, std::size_t k, Outcome outcome) {
    Attempt& attempt = request.attempts[k];
    attempt.pending = false;
    attempt.may_have_run = !(outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectFailed ||
                             outcome == Outcome::kNotSent);
    if (outcome == Outcome::kServed) request.over = true;
    bed_.EndAttempt(id, static_cast<int>(k), outcome, request.over, bed_.now - attempt.at,
                    Below(2) > 0 ? Below(9) : -1);
  }

  void AnswerProbe() {
    if (probes_seen_ >= bed_.out.probes.size()) return;
    const std::string host = bed_.out.probes[probes_seen_++];
    const LoadReport report{static_cast<double>(Below(30)), -1};
    bed_.balancer.OnProbeResult(bed_.now, host, Below(5) > 0, 1, Below(5) > 0 ? &report : nullptr);
  }

  void ChangeHosts() {
    if (Below(6) == 0) return bed_.balancer.OnDiscoveryRefused(bed_.now);
    HostEntry& host = hosts_[Below(static_cast<int>(hosts_.size()))];
    host.state = static_cast<HostState>(Below(3));
    if (Below(3) == 0) host.started_ms = bed_.now;
    not_live_since_[host.host] = host.state == HostState::kLive ? -1 : bed_.now;
    if (Below(2) == 0) return bed_.balancer.OnHostChanges(bed_.now, {host});
    std::vector<HostEntry> complete;
    for (const auto& entry : hosts_) {
      if (entry.state != HostState::kGone) complete.push_back(entry);
    }
    bed_.balancer.OnHostList(bed_.now, complete, false);
  }

  // Checks every action since the last call against the rules.
  void CheckActions() {
    for (; sends_seen_ < bed_.out.sends.size(); ++sends_seen_) CheckSend(bed_.out.sends[sends_seen_]);
    for (; refused_seen_ < bed_.out.refused.size(); ++refused_seen_)
      CheckAnswer(bed_.out.refused[refused_seen_], true);
    for (; failed_seen_ < bed_.out.failed.size(); ++failed_seen_)
      CheckAnswer(bed_.out.failed[failed_seen_], false);
    if (!settings_.may_cancel) {
      EXPECT_TRUE(bed_.out.cancels.empty());
    }
    if (!settings_.may_probe) {
      EXPECT_TRUE(bed_.out.probes.empty());
    }
  }

  const HostEntry& Entry(const std::string& name) const {
    return *std::find_if(hosts_.begin(), hosts_.end(), [&](const HostEntry& h) { return h.host == name; });
  }

  void CheckSend(const Recorder::Sent& sent) {
    TrackedRequest& request = requests_.at(sent.id);
    const RequestClass& klass = settings_.classes[request.klass];
    EXPECT_FALSE(request.over) << "sent after its end";
    EXPECT_LT(request.attempts.size(), static_cast<std::size_t>(settings_.max_attempts));
    const double since = not_live_since_.at(sent.host);
    EXPECT_TRUE(since < 0 || bed_.now <= since + settings_.drain_grace_ms)
        << "sent to a draining host after the grace period";
    for (const Attempt& earlier : request.attempts) {
      EXPECT_TRUE(!earlier.pending || settings_.may_duplicate);
      if (!earlier.may_have_run || klass.effect == Effect::kSafe) continue;
      EXPECT_NE(klass.effect, Effect::kUnsafe) << "sent again though it may have run";
      EXPECT_LE(bed_.now, earlier.at + klass.repeat_window_ms);
      if (klass.group == RepeatGroup::kZone) {
        EXPECT_EQ(Entry(earlier.host).zone, Entry(sent.host).zone);
      }
      if (klass.group == RepeatGroup::kCell) {
        EXPECT_EQ(Entry(earlier.host).cell, Entry(sent.host).cell);
      }
    }
    request.attempts.push_back({sent.host, bed_.now});
  }

  void CheckAnswer(RequestId id, bool refusal) {
    TrackedRequest& request = requests_.at(id);
    const RequestClass& klass = settings_.classes[request.klass];
    EXPECT_FALSE(request.over) << "answered twice";
    EXPECT_LE(bed_.now, request.give_up + 1) << "answered too late";
    request.over = true;
    const bool retry_is_safe =
        klass.effect == Effect::kSafe || (klass.effect == Effect::kKeyed && klass.group == RepeatGroup::kAll);
    for (const Attempt& attempt : request.attempts) {
      EXPECT_FALSE(refusal && !retry_is_safe && attempt.may_have_run) << "refused though it may have run";
    }
  }

  std::mt19937 draw_;
  Settings settings_;
  TestBed bed_;
  std::vector<HostEntry> hosts_;
  std::map<std::string, double> not_live_since_;
  std::map<RequestId, TrackedRequest> requests_;
  std::size_t sends_seen_ = 0, refused_seen_ = 0, failed_seen_ = 0, probes_seen_ = 0;
};

TEST(RandomEvents, RulesOneToThreeHoldWhateverHappens) {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    RandomScenario(seed).Run(400);
    if (HasFailure()) return;
  }
}

TEST(RandomEvents, TheSameEventsGiveTheSameActionsAloneAndBesideOthers) {
  const auto alone = RandomScenario(7).Run(600);
  RandomScenario beside_one(8), same(7), beside_another(9);
  beside_one.Run(300);
  const auto again = same.Run(600);
  beside_another.Run(300);
  EXPECT_GT(alone.size(), 100u);
  EXPECT_EQ(alone, again);
}

}  // namespace
}  // namespace cartspring
