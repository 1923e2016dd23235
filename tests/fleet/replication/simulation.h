// Replicas in simulated time: their links, their disks and what befalls them, all from one seed. The replicas
// are the program's own; what happens is written to a history that is checked after the run.
#ifndef BITTERNMUX_TESTS_FLEET_REPLICATION_SIMULATION_H_
#define BITTERNMUX_TESTS_FLEET_REPLICATION_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/replication/replica.h"

namespace bitternmux::fleet::test {

struct SimulationOptions {
  std::uint64_t seed = 1;
  std::size_t machines = 3;
  std::size_t tolerated = 1;
  double sync_ms = 5;
  double loss = 0;  // share of the messages that get lost
};

// What an operator was told of one order.
struct OrderRecord {
  std::uint64_t version = 0, builds_on = 0, digest = 0;
  double sent_ms = 0, answered_ms = 0;
  std::optional<OrderOutcome> outcome;  // the last clear one
  bool acknowledged = false;
  std::optional<EvacuationOrder> evacuation;  // in place of a configuration
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options) : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.machines; ++i) {
      const std::size_t address = ++last_address_;
      machines_.push_back(MakeMachine(address));
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(3, machines_.size()); ++i)
      seeds_.push_back(machines_[i]->self);
    std::ranges::sort(seeds_);
    for (const auto& machine : machines_) Boot(*machine, /*bootstrap=*/true);
  }

  // ---- Time ----

  double now() const { return now_ms_; }
  void RunFor(double ms) {
    const double end = now_ms_ + ms;
    while (!events_.empty() && events_.top().at_ms <= end) {
      Event event = events_.top();
      events_.pop();
      now_ms_ = event.at_ms;
      event.action();
    }
    now_ms_ = end;
  }
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::size_t Below(std::size_t count) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(count));
  }

  // ---- Faults ----

  std::size_t size() const { return machines_.size(); }
  bool up(std::size_t i) const { return machines_[i]->replica != nullptr; }
  void Crash(std::size_t i) {
    Machine& machine = *machines_[i];
    machine.replica.reset();
    ++machine.life;
    for (const std::uint64_t order : machine.orders) pending_.erase(order);
    machine.orders.clear();
  }
  void Start(std::size_t i) {
    if (!up(i) && !machines_[i]->removed) Boot(*machines_[i], false);
  }
  // It is told to stop; it goes on until a test crashes it.
  void Leave(std::size_t i) {
    machines_[i]->replica->Leave(now_ms_);
    Drain(*machines_[i]);
  }
  void Wipe(std::size_t i) { machines_[i]->disk.reset(); }
  void Stall(std::size_t i, double for_ms) { machines_[i]->stalled_until_ms = now_ms_ + for_ms; }
  // Messages from one to the other are lost.
  void Cut(std::size_t from, std::size_t to, bool cut) {
    const auto pair = std::make_pair(machines_[from]->self.internal, machines_[to]->self.internal);
    if (cut) {
      cuts_.insert(pair);
    } else {
      cuts_.erase(pair);
    }
  }
  void Isolate(std::size_t i, bool cut) {
    for (std::size_t other = 0; other < machines_.size(); ++other) {
      if (other == i) continue;
      Cut(i, other, cut);
      Cut(other, i, cut);
    }
  }
  void HealLinks() { cuts_.clear(); }
  // The machine is gone for good, and an empty one comes at another address.
  void Replace(std::size_t i, double after_ms) {
    Crash(i);
    machines_[i]->removed = true;
    At(now_ms_ + after_ms, [this] {
      machines_.push_back(MakeMachine(++last_address_));
      Boot(*machines_.back(), false);
    });
  }

  // ---- The operator ----

  // Sends an order until it has a clear answer, to the machines in turn and on to the owner that they name.
  void Send(std::uint64_t version, std::uint64_t builds_on, std::uint64_t digest) {
    records_.push_back({version, builds_on, digest, now_ms_, 0, std::nullopt, false, std::nullopt});
    Try(records_.size() - 1, Below(machines_.size()), 0);
  }
  void SendEvacuation(const std::string& zone, bool begins) {
    records_.push_back({0, 0, 0, now_ms_, 0, std::nullopt, false, EvacuationOrder{zone, begins}});
    Try(records_.size() - 1, Below(machines_.size()), 0);
  }
  // The same order once more, whatever came of it.
  void SendAgain(std::size_t record) { Try(record, Below(machines_.size()), 0); }

  const std::vector<OrderRecord>& records() const { return records_; }
  const Replica* replica(std::size_t i) const { return machines_[i]->replica.get(); }
  const Member& member(std::size_t i) const { return machines_[i]->self; }
  std::optional<std::size_t> Owner() const {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      const Replica* replica = machines_[i]->replica.get();
      if (replica != nullptr && replica->role() == Replica::Role::kOwner && replica->Fresh(now_ms_)) return i;
    }
    return std::nullopt;
  }
  // What went wrong, seen while it ran; empty: nothing.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t messages() const { return messages_; }

 private:
  struct Event {
    double at_ms;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at_ms != other.at_ms ? at_ms > other.at_ms : order > other.order;
    }
  };
  struct Machine {
    Member self;
    std::unique_ptr<Replica> replica;  // null: down
    std::optional<DurableState> disk;
    std::uint64_t life = 0;
    bool removed = false;
    double stalled_until_ms = 0;
    Position committed;  // the newest seen in this life
    std::set<std::uint64_t> orders;
  };
  struct Pending {
    std::size_t record;
    std::size_t tries;
  };
  static constexpr double kTickMs = 50;
  static constexpr double kCallMs = 1000;
  static constexpr std::size_t kMostTries = 200;

  std::unique_ptr<Machine> MakeMachine(std::size_t address) {
    auto machine = std::make_unique<Machine>();
    const std::string ip =
        "10.0." + std::to_string(address / 200) + "." + std::to_string(100 + address % 200);
    machine->self = {ip + ":7000", ip + ":8000", 0};
    return machine;
  }

  void At(double at_ms, std::function<void()> action) {
    events_.push({at_ms, ++last_event_, std::move(action)});
  }

  void Boot(Machine& machine, bool bootstrap) {
    Replica::Options options;
    options.self = machine.self;
    options.seeds = bootstrap || seeds_.empty() ? seeds_ : SomeSeeds();
    options.bootstrap = bootstrap;
    options.group_size = 2 * options_.tolerated + 1;
    options.incarnation = ++last_incarnation_;
    options.new_store = Replica::kMaxFirstStore + last_incarnation_;
    ++machine.life;
    machine.committed = {};
    machine.replica = std::make_unique<Replica>(options, machine.disk, now_ms_);
    Drain(machine);
    Tick(machine, machine.life);
  }
  // Those that serve when the settings are written.
  std::vector<Member> SomeSeeds() {
    std::vector<Member> seeds;
    for (const auto& machine : machines_) {
      if (!machine->removed && seeds.size() < 3) seeds.push_back(machine->self);
    }
    return seeds;
  }

  void Tick(Machine& machine, std::uint64_t life) {
    if (machine.life != life || machine.replica == nullptr) return;
    machine.replica->Tick(now_ms_);
    Drain(machine);
    At(now_ms_ + kTickMs, [this, &machine, life] { Tick(machine, life); });
  }

  void Drain(Machine& machine) {
    ReplicaOutput output = machine.replica->TakeOutput();
    if (output.save) WriteToDisk(machine, output.save->first, std::move(output.save->second));
    for (auto& [to, message] : output.sends) Post(machine, to, std::move(message));
    Observe(machine);
    for (const Decision& decision : output.decisions) Decided(machine, decision);
  }

  void WriteToDisk(Machine& machine, std::uint64_t ticket, DurableState state) {
    const double at_ms = std::max(now_ms_, machine.stalled_until_ms) + options_.sync_ms;
    At(at_ms, [this, &machine, life = machine.life, ticket, state = std::move(state)] {
      if (machine.life != life || machine.replica == nullptr) return;
      if (now_ms_ < machine.stalled_until_ms) return WriteToDisk(machine, ticket, state);
      machine.disk = state;
      machine.replica->Saved(now_ms_, ticket);
      Drain(machine);
    });
  }

  void Post(Machine& from, const std::string& to, Message message) {
    ++messages_;
    if (cuts_.contains({from.self.internal, to}) || Unit() < options_.loss) return;
    At(now_ms_ + 0.5 + 2 * Unit(), [this, sender = from.self.internal, to, message = std::move(message)] {
      for (const auto& machine : machines_) {
        if (machine->self.internal != to || machine->replica == nullptr) continue;
        machine->replica->Receive(now_ms_, sender, message);
        Drain(*machine);
      }
    });
  }

  // Agreement: one value for each position, one owner for each epoch, nothing committed goes back in a life.
  void Observe(Machine& machine) {
    const Replica& replica = *machine.replica;
    const AcceptedValue& committed = replica.committed();
    if (committed.position < machine.committed) Fault("a committed value went back", machine);
    machine.committed = committed.position;
    if (committed.position != Position{}) {
      const auto [found, added] = values_.emplace(committed.position.sequence, committed.value);
      if (!added && found->second != committed.value) Fault("two values at one position", machine);
    }
    if (replica.role() == Replica::Role::kOwner) {
      const auto [found, added] = owners_.emplace(replica.epoch(), machine.self.internal);
      if (!added && found->second != machine.self.internal) Fault("two owners of one epoch", machine);
    }
  }

  void Fault(const std::string& what, const Machine& machine) {
    violations_.push_back(what + " at " + machine.self.internal + ", " + std::to_string(now_ms_) + " ms");
  }

  void Try(std::size_t record, std::size_t to, std::size_t tries) {
    if (tries > kMostTries) return;
    Machine& machine = *machines_[to % machines_.size()];
    const auto later = [this, record, to, tries] {
      At(now_ms_ + 100 + 100 * Unit(), [=, this] { Try(record, to + 1, tries + 1); });
    };
    if (machine.replica == nullptr) return later();
    if (machine.replica->role() != Replica::Role::kOwner) {
      const auto owner = machine.replica->Owner(now_ms_);
      for (std::size_t i = 0; owner && i < machines_.size(); ++i) {
        if (machines_[i]->self.internal == owner->internal && machines_[i]->replica != nullptr &&
            machines_[i]->replica->role() == Replica::Role::kOwner) {
          return At(now_ms_ + 1, [=, this] { Try(record, i, tries + 1); });
        }
      }
      return later();
    }
    const OrderRecord& order = records_[record];
    const std::uint64_t id = ++last_order_;
    pending_[id] = {record, tries};
    machine.orders.insert(id);
    At(now_ms_ + kCallMs, [this, id, later] {
      if (pending_.erase(id) > 0) later();
    });
    if (order.evacuation) {
      machine.replica->Propose(now_ms_, id, *order.evacuation);
    } else {
      machine.replica->Propose(
          now_ms_, id, {order.version, order.builds_on, order.digest, "v" + std::to_string(order.digest)});
    }
    Drain(machine);
  }

  void Decided(Machine& machine, const Decision& decision) {
    machine.orders.erase(decision.id);
    const auto found = pending_.find(decision.id);
    if (found == pending_.end()) return;
    const Pending pending = found->second;
    pending_.erase(found);
    if (decision.outcome == OrderOutcome::kNotOwner) {
      return At(now_ms_ + 100,
                [=, this] { Try(pending.record, Below(machines_.size()), pending.tries + 1); });
    }
    OrderRecord& record = records_[pending.record];
    if (record.acknowledged && decision.outcome != OrderOutcome::kTaken) {
      Fault("an acknowledged order was refused", machine);
    }
    record.outcome = decision.outcome;
    if (record.answered_ms == 0) record.answered_ms = now_ms_;
    record.acknowledged = record.acknowledged || decision.outcome == OrderOutcome::kTaken;
  }

  const SimulationOptions options_;
  std::mt19937_64 random_;
  double now_ms_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t last_event_ = 0, last_order_ = 0, last_incarnation_ = 0, messages_ = 0;
  std::size_t last_address_ = 0;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<Member> seeds_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<OrderRecord> records_;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint64_t, ShardValue> values_;  // committed, by sequence
  std::map<Epoch, std::string> owners_;         // by epoch
  std::vector<std::string> violations_;
};

}  // namespace bitternmux::fleet::test

#endif  // BITTERNMUX_TESTS_FLEET_REPLICATION_SIMULATION_H_
