// Random legal event sequences with fixed seeds. The balancer's actions are checked against rules 1 to 3.
// Servers are not modelled: outcomes are drawn at random.
#include <gtest/gtest.h>

#include <random>

#include "cartspring/fixture.h"

namespace cartspring {
namespace {

class World {
 public:
  explicit World(std::uint32_t seed) : draw_(seed), settings_(DrawSettings()), bed_(settings_, seed) {
    hosts_ = TestHosts(2 + Below(20), 1 + Below(3), 1 + Below(4));
    bed_.now = 50000;
    bed_.balancer.OnHostList(bed_.now, hosts_, true);
    for (const auto& host : hosts_) told_gone_[host.host] = -1;
  }

  const std::vector<std::string>& Play(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      Review();
    }
    for (int i = 0; i < 5000; ++i) {
      PassTo(bed_.now + 1);
      Review();
    }
    for (const auto& [id, request] : requests_) {
      EXPECT_TRUE(request.over) << "request " << id << " was lost";
    }
    return bed_.out.all;
  }

 private:
  struct Try {
    std::string host;
    double at;
    bool pending = true;
    bool may_have_run = true;
  };
  struct Known {
    int klass;
    double give_up;
    bool over = false;
    std::vector<Try> tries;
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
        const double patience = 1 + Below(1000);
        const double give_up = bed_.now + patience;
        requests_[bed_.last_id + 1] = {klass, give_up, false, {}};
        bed_.Request(klass, patience);
        break;
      }
      case 2:
      case 3:
        EndOne();
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
        PassTo(bed_.now + Below(40));
    }
  }

  // Advances the clock in steps of 1 ms; attempts time out before the timers of the same time fire.
  void PassTo(double until) {
    for (double at = bed_.now + 1; at <= until; ++at) {
      for (auto& [id, request] : requests_) {
        for (std::size_t k = 0; k < request.tries.size(); ++k) {
          if (request.tries[k].pending && at >= request.give_up) EndTry(id, request, k, Outcome::kTimeout);
          Review();
        }
      }
      bed_.PassTo(at);
      Review();
    }
  }

  void EndOne() {
    for (auto& [id, request] : requests_) {
      for (std::size_t k = 0; k < request.tries.size(); ++k) {
        if (request.tries[k].pending && Below(3) == 0) {
          return EndTry(id, request, k, static_cast<Outcome>(Below(8)));
        }
      }
    }
  }

  void EndTry(RequestId id, Known& request, std::size_t k, Outcome outcome) {
    Try& tried = request.tries[k];
    tried.pending = false;
    tried.may_have_run = !(outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectFailed ||
                           outcome == Outcome::kNotSent);
    if (outcome == Outcome::kServed) request.over = true;
    bed_.End(id, static_cast<int>(k), outcome, request.over, bed_.now - tried.at,
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
    told_gone_[host.host] = host.state == HostState::kLive ? -1 : bed_.now;
    if (Below(2) == 0) return bed_.balancer.OnHostChanges(bed_.now, {host});
    std::vector<HostEntry> whole;
    for (const auto& entry : hosts_) {
      if (entry.state != HostState::kGone) whole.push_back(entry);
    }
    bed_.balancer.OnHostList(bed_.now, whole, false);
  }

  // Checks every action since the last call against the rules.
  void Review() {
    for (; sends_seen_ < bed_.out.sends.size(); ++sends_seen_) ReviewSend(bed_.out.sends[sends_seen_]);
    for (; refused_seen_ < bed_.out.refused.size(); ++refused_seen_)
      ReviewEnd(bed_.out.refused[refused_seen_], true);
    for (; failed_seen_ < bed_.out.failed.size(); ++failed_seen_)
      ReviewEnd(bed_.out.failed[failed_seen_], false);
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

  void ReviewSend(const Recorder::Sent& sent) {
    Known& request = requests_.at(sent.id);
    const RequestClass& klass = settings_.classes[request.klass];
    EXPECT_FALSE(request.over) << "sent after its end";
    EXPECT_LT(request.tries.size(), static_cast<std::size_t>(settings_.max_attempts));
    const double told = told_gone_.at(sent.host);
    EXPECT_TRUE(told < 0 || bed_.now <= told + settings_.drain_grace_ms) << "drain broken";
    for (const Try& earlier : request.tries) {
      EXPECT_TRUE(!earlier.pending || settings_.may_duplicate);
      if (!earlier.may_have_run || klass.effect == Effect::kSafe) continue;
      EXPECT_NE(klass.effect, Effect::kUnsafe) << "effect twice";
      EXPECT_LE(bed_.now, earlier.at + klass.repeat_window_ms);
      if (klass.group == RepeatGroup::kZone) {
        EXPECT_EQ(Entry(earlier.host).zone, Entry(sent.host).zone);
      }
      if (klass.group == RepeatGroup::kCell) {
        EXPECT_EQ(Entry(earlier.host).cell, Entry(sent.host).cell);
      }
    }
    request.tries.push_back({sent.host, bed_.now});
  }

  void ReviewEnd(RequestId id, bool refusal) {
    Known& request = requests_.at(id);
    const RequestClass& klass = settings_.classes[request.klass];
    EXPECT_FALSE(request.over) << "answered twice";
    EXPECT_LE(bed_.now, request.give_up + 1) << "answered too late";
    request.over = true;
    const bool harmless =
        klass.effect == Effect::kSafe || (klass.effect == Effect::kKeyed && klass.group == RepeatGroup::kAll);
    for (const Try& tried : request.tries) {
      EXPECT_FALSE(refusal && !harmless && tried.may_have_run) << "refused though it may have run";
    }
  }

  std::mt19937 draw_;
  Settings settings_;
  Bed bed_;
  std::vector<HostEntry> hosts_;
  std::map<std::string, double> told_gone_;
  std::map<RequestId, Known> requests_;
  std::size_t sends_seen_ = 0, refused_seen_ = 0, failed_seen_ = 0, probes_seen_ = 0;
};

TEST(RandomEvents, RulesOneToThreeHoldWhateverHappens) {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    World(seed).Play(400);
    if (HasFailure()) return;
  }
}

TEST(RandomEvents, TheSameEventsGiveTheSameActionsAloneAndBesideOthers) {
  const auto alone = World(7).Play(600);
  World beside_one(8), same(7), beside_another(9);
  beside_one.Play(300);
  const auto again = same.Play(600);
  beside_another.Play(300);
  EXPECT_GT(alone.size(), 100u);
  EXPECT_EQ(alone, again);
}

}  // namespace
}  // namespace cartspring
