// Plays all orders of a few events on three hosts to a real balancer. After every event the rules are checked
// by a record that is independent of the balancer (support/rule_book.h). The only randomness is the
// balancer's own, seeded with the number of the order.
#include <gtest/gtest.h>

#include <iostream>

#include "cartspring/fixture.h"
#include "support/rule_book.h"

namespace cartspring {
namespace {

enum Event {
  kRequestSafe,
  kRequestKeyed,
  kRequestUnsafe,
  kDrain,            // b starts draining
  kColdStart,        // c restarts
  kRemoveHost,       // a complete list without host a
  kTimeOut,          // the oldest attempt in flight times out
  kBreakConnection,  // its connection breaks
  kRefuse,           // its host refuses it: it never ran
  kClientLeaves,     // the client of the oldest open request goes away
  kAdvanceTime,      // 120 ms pass
  kEventCount,
  kServed = kEventCount,  // only in the burst test
};
constexpr int kDepth = 7;
constexpr std::uint64_t kOrdersPerFirstEvent = 10 * 9 * 8 * 7 * 6 * 5;

class EventPlayer {
 public:
  EventPlayer(std::uint64_t seed, Reporting reporting)
      : bed_(Settings(reporting), seed), hosts_(TestHosts(3)) {
    hosts_[2].zone = 1;
    SendHostList();
  }

  void Play(int event) {
    switch (event) {
      case kRequestSafe:
      case kRequestKeyed:
      case kRequestUnsafe:
        SendRequest(event);
        break;
      case kDrain:
        ChangeHost(1, HostState::kDraining, 0);
        break;
      case kColdStart:
        ChangeHost(2, HostState::kLive, bed_.now);
        break;
      case kRemoveHost:
        hosts_.erase(hosts_.begin());
        book_.Told("a", false, 0, 0);
        SendHostList();
        break;
      case kTimeOut:
        EndOldest(Outcome::kTimeout);
        break;
      case kBreakConnection:
        EndOldest(Outcome::kConnectionLost);
        break;
      case kRefuse:
        EndOldest(Outcome::kRefusedByHost);
        break;
      case kClientLeaves:
        DepartOldestClient();
        break;
      case kServed:
        EndOldest(Outcome::kServed);
        break;
      default:
        AdvanceTo(bed_.now + 120);
    }
    RecordActions();
  }
  void SendRequest(int klass) {
    book_.Asked(bed_.last_id + 1, static_cast<rules::Effect>(klass), bed_.now + 800);
    bed_.Request(klass);
  }
  // Runs until every open request has ended; returns the breaches of the rules.
  const std::vector<std::string>& Finish() {
    AdvanceTo(bed_.now + 900);
    return book_.breaches();
  }

 private:
  struct AttemptInFlight {
    RequestId id;
    int number;
    double until, sent;
  };

  static cartspring::Settings Settings(Reporting reporting) {
    cartspring::Settings s = TestSettings();
    s.reporting = reporting;
    s.classes[kKeyedClass].group = RepeatGroup::kZone;
    return s;
  }
  static bool ProvesNeverRan(Outcome outcome) {
    return outcome == Outcome::kRefusedByHost || outcome == Outcome::kConnectFailed ||
           outcome == Outcome::kNotSent;
  }

  void SendHostList() {
    for (const HostEntry& host : hosts_) RecordHost(host);
    bed_.SetHosts(hosts_);
    RecordActions();
  }
  void RecordHost(const HostEntry& host) {
    book_.Told(host.host, host.state == HostState::kLive, host.zone, host.started_ms);
  }
  void ChangeHost(std::size_t original_index, HostState state, double started) {
    HostEntry& host = hosts_[hosts_.size() - (3 - original_index)];  // host a may be gone
    host.state = state;
    if (started > 0) host.started_ms = started;
    RecordHost(host);
    bed_.balancer.OnHostChanges(bed_.now, {host});
  }

  void EndOldest(Outcome outcome) {
    if (in_flight_.empty()) return;
    const AttemptInFlight ended = in_flight_.front();
    in_flight_.erase(in_flight_.begin());
    const bool served = outcome == Outcome::kServed;
    book_.Ended(ended.id, ended.number, ProvesNeverRan(outcome), served);
    if (served) book_.Answered(bed_.now, ended.id, rules::Answer::kServed);
    bed_.EndAttempt(ended.id, ended.number, outcome, served, bed_.now - ended.sent);
    RecordActions();
  }
  void DepartOldestClient() {
    for (RequestId id = 1; id <= bed_.last_id; ++id) {
      if (!book_.IsOpen(id)) continue;
      book_.Left(id);
      bed_.balancer.OnClientGone(bed_.now, id);
      return;
    }
  }
  // Attempts time out before the balancer's timers of the same time fire, as in the sidecar. With reports by
  // probe no time-out is delivered here, so the balancer has to end its requests by its own timers.
  void AdvanceTo(double until) {
    while (true) {
      double next = bed_.out.timers.empty() ? until : bed_.out.timers.begin()->first;
      const auto due = std::min_element(
          in_flight_.begin(), in_flight_.end(),
          [](const AttemptInFlight& a, const AttemptInFlight& b) { return a.until < b.until; });
      if (bed_.set.reporting != Reporting::kProbe && due != in_flight_.end() &&
          due->until <= std::min(next, until)) {
        bed_.now = std::max(bed_.now, due->until);
        std::rotate(in_flight_.begin(), due, due + 1);
        EndOldest(Outcome::kTimeout);
        continue;
      }
      if (next >= until) break;
      bed_.AdvanceTo(next);
      RecordActions();
    }
    bed_.AdvanceTo(until);
    RecordActions();
  }
  // Enters the balancer's actions since the last call into the record, in order.
  void RecordActions() {
    for (; cancels_ < bed_.out.cancels.size(); ++cancels_) {
      const auto [id, number] = bed_.out.cancels[cancels_];
      std::erase_if(in_flight_, [&, gone = id, which = number](const AttemptInFlight& o) {
        return o.id == gone && o.number == which;
      });
      book_.GivenUp(id, number);
    }
    for (; refused_ < bed_.out.refused.size(); ++refused_)
      book_.Answered(bed_.now, bed_.out.refused[refused_], rules::Answer::kRefused);
    for (; failed_ < bed_.out.failed.size(); ++failed_)
      book_.Answered(bed_.now, bed_.out.failed[failed_], rules::Answer::kFailed);
    for (; sends_ < bed_.out.sends.size(); ++sends_) {
      const auto& sent = bed_.out.sends[sends_];
      book_.Sent(bed_.now, sent.id, sent.host);
      in_flight_.push_back({sent.id, attempt_counts_[sent.id]++, sent.give_up_ms, bed_.now});
    }
    book_.Review(bed_.now);
  }

  TestBed bed_;
  rules::Book book_{rules::Figures{}};
  std::vector<HostEntry> hosts_;
  std::vector<AttemptInFlight> in_flight_;
  std::map<RequestId, int> attempt_counts_;
  std::size_t sends_ = 0, cancels_ = 0, refused_ = 0, failed_ = 0;
};

// With reports by probe a request waits for them, so events in between matter.
class AllOrders : public testing::TestWithParam<std::tuple<int, Reporting>> {};

TEST_P(AllOrders, KeepTheRules) {
  const auto [first, reporting] = GetParam();
  std::uint64_t number = 0;
  const std::uint64_t seen =
      rules::ForEachOrder(kEventCount, kDepth, first, [&, by = reporting](const std::vector<int>& order) {
        EventPlayer player(++number, by);
        for (const int event : order) player.Play(event);
        const auto& breaches = player.Finish();
        if (breaches.empty()) return;
        std::string events;
        for (const int event : order) events += " " + std::to_string(event);
        ADD_FAILURE() << breaches.front() << " in the order" << events << ", seed " << number;
      });
  std::cout << seen << " orders of " << kDepth << " events behind event " << first << "\n";
  EXPECT_EQ(seen, kOrdersPerFirstEvent);
}
INSTANTIATE_TEST_SUITE_P(Behind, AllOrders,
                         testing::Combine(testing::Range(0, static_cast<int>(kEventCount)),
                                          testing::Values(Reporting::kAnswers, Reporting::kProbe)),
                         [](const auto& run) {
                           return "Event" + std::to_string(std::get<0>(run.param)) +
                                  (std::get<1>(run.param) == Reporting::kProbe ? "ByProbe" : "ByAnswers");
                         });

// A burst of twelve requests, with a cold start of one host and a drain of another at any two positions.
TEST(AllOrders, OfABurstAndAColdStartOverrunNoHost) {
  std::uint64_t number = 0;
  for (int start = 0; start <= 12; ++start) {
    for (int drain = 0; drain <= 12; ++drain) {
      for (int klass : {kRequestSafe, kRequestUnsafe}) {
        EventPlayer player(++number, Reporting::kAnswers);
        for (int i = 0; i <= 12; ++i) {
          if (i == start) player.Play(kColdStart);
          if (i == drain) player.Play(kDrain);
          if (i == 12) continue;
          player.Play(klass);
          player.Play(kServed);
        }
        EXPECT_EQ(player.Finish(), std::vector<std::string>{}) << "start " << start << " drain " << drain;
      }
    }
  }
  EXPECT_EQ(number, 13u * 13 * 2);
}

// The record itself detects violations: one breach of each rule, as a faulty balancer would cause it.
TEST(RuleBook, FindsABreachOfEachRule) {
  using rules::Answer;
  using rules::Effect;
  const auto found = [](const std::function<void(rules::Book&)>& happens) {
    rules::Book book{rules::Figures{}};
    book.Told("a", true, 0, 0);
    book.Told("b", true, 1, 0);
    book.Asked(1, Effect::kUnsafe, 800);
    book.Asked(2, Effect::kKeyed, 800);
    book.Asked(3, Effect::kSafe, 800);
    happens(book);
    const auto& breaches = book.breaches();
    return breaches.empty() ? std::string() : breaches.front();
  };
  const auto lost = [](rules::Book& book, std::uint64_t id) {
    book.Sent(10, id, "a");
    book.Ended(id, 0, /*never_ran=*/false, /*served=*/false);
  };
  EXPECT_EQ(found([&](auto& b) {
              lost(b, 3);
              b.Sent(20, 3, "b");
              b.Ended(3, 1, false, /*served=*/true);
              b.Answered(30, 3, Answer::kServed);
              b.Sent(10, 1, "a");
              b.Ended(1, 0, /*never_ran=*/true, false);
              b.Sent(20, 1, "b");
              b.GivenUp(1, 1);
              b.Answered(700, 1, Answer::kFailed);
              b.Left(2);
              b.Review(2000);
            }),
            "");
  EXPECT_EQ(found([&](auto& b) { b.Review(801); }), "answer-lost 1");
  EXPECT_EQ(found([&](auto& b) { b.Answered(801, 1, Answer::kFailed); }), "answer-late 1");
  EXPECT_EQ(found([&](auto& b) {
              b.Answered(5, 1, Answer::kFailed);
              b.Answered(6, 1, Answer::kFailed);
            }),
            "answer-twice 1");
  EXPECT_EQ(found([&](auto& b) {
              b.Left(1);
              b.Answered(6, 1, Answer::kFailed);
            }),
            "answer-twice 1");
  EXPECT_EQ(found([&](auto& b) { b.Answered(5, 1, Answer::kServed); }), "answer-unmade 1");
  EXPECT_EQ(found([&](auto& b) {
              lost(b, 1);
              b.Answered(20, 1, Answer::kRefused);
            }),
            "refused-after-run 1");
  EXPECT_EQ(found([&](auto& b) {
              lost(b, 1);
              b.Sent(20, 1, "a");
            }),
            "again-after-run 1");
  EXPECT_EQ(found([&](auto& b) {
              lost(b, 2);
              b.Sent(20, 2, "b");  // a host of another group
            }),
            "again-after-run 2");
  EXPECT_EQ(found([&](auto& b) {
              lost(b, 2);
              b.Sent(311, 2, "a");  // after the repeat window
            }),
            "again-after-run 2");
  EXPECT_EQ(found([&](auto& b) {
              b.Sent(10, 3, "a");
              b.Sent(20, 3, "b");
            }),
            "two-at-once 3");
  EXPECT_EQ(found([&](auto& b) {
              for (int i = 0; i < 5; ++i) {
                b.Sent(10, 3, "a");
                b.Ended(3, i, true, false);
              }
            }),
            "too-many-claims 3");
  EXPECT_EQ(found([&](auto& b) {
              b.Answered(5, 1, Answer::kFailed);
              b.Sent(10, 1, "a");
            }),
            "claim-after-end 1");
  EXPECT_EQ(found([&](auto& b) { b.Sent(10, 9, "a"); }), "claim-after-end 9");  // no such request
  EXPECT_EQ(found([&](auto& b) {
              b.Told("a", false, 0, 0);
              b.Sent(10, 1, "a");
            }),
            "drained 1");
  EXPECT_EQ(found([&](auto& b) {
              b.Told("a", true, 0, 5);
              for (std::uint64_t id = 11; id < 23; ++id) {
                b.Asked(id, Effect::kSafe, 800);
                b.Sent(10, id, "a");
              }
            }),
            "overrun 18");
}

}  // namespace
}  // namespace cartspring
