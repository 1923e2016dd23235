// All orders of a few events on three execute nodes, through the real job table, facade and module: the
// rules, checked after every event by a record that knows nothing of them (support/rule_book.h). The first
// answer of each order is met with another job and a submitter that leaves, from within the call that tells
// it.
#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <map>

#include "cartspring/settings.h"
#include "config/config.h"
#include "core/job_table.h"
#include "core/retune.h"
#include "support/peers.h"
#include "support/rule_book.h"

namespace bitternmux {
namespace {

using cartspring::HostState;
using cartspring::Outcome;

enum Event {
  kAskSafe,
  kAskBinding,
  kDrain,      // b drains
  kColdStart,  // c has started again
  kListShort,  // a whole list without a
  kTimeOut,    // of the claim that is out longest
  kLost,       // its connection breaks
  kDeclined,   // it never ran
  kBegun,      // its answer begins, and breaks off at the very end
  kLeave,      // whoever asked first and waits
  kRetune,     // the safe class becomes binding, the binding one goes
  kPass,       // 120 ms
  kEvents
};
constexpr int kDepth = 5;
constexpr std::uint64_t kOrders = 12 * 11 * 10 * 9 * 8;

// Sidecar and peers, with the time of all of it.
class World : private ClaimRunner {
 public:
  explicit World(std::uint64_t seed) : facade_(settings_, seed) {
    jobs_.Attach(*this, [] {});
    List({"a", "b", "c"});
  }

  void Play(int event) {
    switch (event) {
      case kAskSafe:
        Ask("rate-check");
        break;
      case kAskBinding:
        Ask("space-hold");
        break;
      case kDrain:
        Change({"b", "127.0.0.1:2", "porto", "novo", 0, HostState::kDraining});
        break;
      case kColdStart:
        Change({"c", "127.0.0.1:3", "porto", "novo", 0, HostState::kLive, 1, now_});
        break;
      case kListShort:
        book_.Told("a", false, 0, 0);
        List({"b", "c"});
        break;
      case kTimeOut:
        EndOldest(Outcome::kTimeout);
        break;
      case kLost:
        EndOldest(Outcome::kConnectionLost);
        break;
      case kDeclined:
        EndOldest(Outcome::kRefusedByHost);
        break;
      case kBegun:
        BeginOldest();
        break;
      case kLeave:
        Leave();
        break;
      case kRetune:
        SetAnew();
        break;
      default:
        PassTo(now_ + 120);
    }
    book_.Review(now_);
  }
  // All that is open comes to its end.
  const std::vector<std::string>& Finish() {
    PassTo(now_ + 2 * (kPatienceMs + 100));  // the last answer may be met with another job
    while (!begun_.empty()) {
      const Claim claim = begun_.front();
      begun_.pop_front();
      jobs_.ClaimEnded(now_, claim, {Outcome::kConnectionLost, {}, {}, {}, {}, 0});
    }
    if (jobs_.held() != 0) held_at_end_ = true;
    return book_.breaches();
  }
  bool held_at_end() const { return held_at_end_; }

 private:
  static constexpr double kPatienceMs = 800;

  void Start(const Claim& claim, const Job&) override {
    book_.Sent(now_, claim.job, claim.node);
    out_.push_back(claim);
  }
  void GiveUp(JobId job, int number) override {
    std::erase_if(out_, [&](const Claim& c) { return c.job == job && c.number == number; });
    std::erase_if(begun_, [&](const Claim& c) { return c.job == job && c.number == number; });
    book_.GivenUp(job, number);
  }
  void Withdraw(JobId, int) override {}
  void Probe(const std::string&, const std::string&) override {}

  void Ask(const std::string& name) {
    for (std::size_t row = 0; row < settings_.classes.size(); ++row) {
      const auto& klass = settings_.classes[row];
      if (klass.retired || klass.name != name) continue;
      Job job;
      job.request_id = std::to_string(++asked_);
      job.klass = static_cast<int>(row);
      job.patience_ms = kPatienceMs;
      const JobId id = asked_;
      book_.Asked(id,
                  klass.effect == cartspring::Effect::kSafe ? rules::Effect::kSafe : rules::Effect::kUnsafe,
                  now_ + kPatienceMs);
      REQUIRE(jobs_.Take(now_, job, [this, id](const Answer& answer) { Answered(id, answer); }) == id);
      return;
    }
  }
  void Answered(JobId id, const Answer& answer) {
    book_.Answered(now_, id,
                   answer.kind == Answer::Kind::kServed    ? rules::Answer::kServed
                   : answer.kind == Answer::Kind::kRefused ? rules::Answer::kRefused
                                                           : rules::Answer::kFailed);
    if (std::exchange(asked_again_, true)) return;
    Ask("rate-check");  // from within the table's own call
    Leave();
  }

  void Tell(const Machine& machine) {
    book_.Told(machine.id, machine.state == HostState::kLive, 0, machine.up_since_ms);
  }
  void List(const std::vector<std::string>& ids) {
    MachineUpdate update{1, true, {}};
    for (const std::string& id : ids) {
      update.machines.push_back(
          {id, "127.0.0.1:1", "porto", "novo", 0, states_[id].first, 1, states_[id].second});
      Tell(update.machines.back());
    }
    facade_.MachinesListed(now_, machines_.Apply(update, 0));
    jobs_.Tick(now_);
  }
  void Change(const Machine& machine) {
    states_[machine.id] = {machine.state, machine.up_since_ms};
    Tell(machine);
    facade_.MachinesChanged(now_, machines_.Apply({2, false, {machine}}, 0));
    jobs_.Tick(now_);
  }

  void EndOldest(Outcome outcome) {
    if (out_.empty()) return;
    const Claim claim = out_.front();
    out_.pop_front();
    book_.Ended(claim.job, claim.number, outcome == Outcome::kRefusedByHost, false);
    jobs_.ClaimEnded(now_, claim, {outcome, {}, {}, {}, {}, 0});
  }
  void BeginOldest() {
    if (out_.empty()) return;
    const Claim claim = out_.front();
    out_.pop_front();
    book_.Ended(claim.job, claim.number, false, /*served=*/true);
    begun_.push_back(claim);
    REQUIRE(jobs_.ClaimBegan(now_, claim, {Outcome::kServed, {}, {}, {}, std::make_shared<Flow>(1), 9}));
  }
  void Leave() {
    for (JobId id = 1; id <= asked_; ++id) {
      if (!book_.IsOpen(id)) continue;
      book_.Left(id);
      return jobs_.SubmitterLeft(now_, id);
    }
  }
  void SetAnew() {
    auto next = settings_;
    next.classes = {settings_.classes[0]};
    next.classes[0].effect = cartspring::Effect::kUnsafe;
    Retuned retuned = Retune(settings_, next, [this](int row) { return jobs_.Holds(row); });
    facade_.Retune(retuned.settings, retuned.like);
    settings_ = std::move(retuned.settings);
    jobs_.Retuned();
  }

  // As the sidecar's wheel: claims run out of time before the module's timers of the same moment ring.
  void PassTo(double until) {
    while (true) {
      double next = std::min(until, facade_.NextTimerMs());
      for (const Claim& claim : out_) next = std::min(next, claim.until_ms);
      now_ = std::max(now_, next);
      const auto due =
          std::find_if(out_.begin(), out_.end(), [&](const Claim& c) { return c.until_ms <= now_; });
      if (due != out_.end()) {
        std::rotate(out_.begin(), due, due + 1);
        EndOldest(Outcome::kTimeout);
      }
      jobs_.Tick(now_);
      book_.Review(now_);
      if (now_ >= until && facade_.NextTimerMs() > now_ && due == out_.end()) return;
    }
  }

  double now_ = 1000;
  cartspring::Settings settings_ = cartspring::ReadSettings(JsonFields(peers::TestSettings()));
  Facade facade_;
  MachineList machines_{settings_};
  JobTable jobs_{settings_, facade_, machines_};
  rules::Book book_{{.most_claims = 3, .warm_within_ms = 24000, .fall_multiple = 2.5, .fall_ms = 3000}};
  std::map<std::string, std::pair<HostState, double>> states_;
  std::deque<Claim> out_, begun_;
  JobId asked_ = 0;
  bool asked_again_ = false;
  bool held_at_end_ = false;
};

}  // namespace

TEST_CASE("all orders of a few events keep the rules through the job table, and leave nothing held") {
  std::uint64_t number = 0;
  std::uint64_t seen = 0;
  for (int first = 0; first < kEvents; ++first) {
    seen += rules::ForEachOrder(kEvents, kDepth, first, [&](const std::vector<int>& order) {
      World world(++number);
      for (const int event : order) world.Play(event);
      const auto& breaches = world.Finish();
      if (breaches.empty() && !world.held_at_end()) return;
      CAPTURE(order, number, breaches);
      CHECK(breaches.empty());
      CHECK_FALSE(world.held_at_end());
    });
  }
  std::cout << seen << " orders of " << kDepth << " events\n";
  CHECK(seen == kOrders);
}

}  // namespace bitternmux
