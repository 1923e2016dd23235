#include "fleet/tallies/tally_group.h"

#include <algorithm>
#include <variant>

#include "fleet/messages/codec.h"

namespace bitternmux::fleet::test {

namespace {

constexpr double kTickMs = 10;
constexpr double kMostDisorderMs = 30;  // by which a datagram is late
constexpr double kDuplicates = 0.2;     // share of the datagrams that arrive twice
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMbitMs = 1000;  // bits that a link of 1 Mbit/s carries in 1 ms

}  // namespace

TallyGroup::TallyGroup(const TallyGroupOptions& options) : options_(options), random_(options.seed) {
  for (std::size_t i = 0; i < options.machines; ++i) {
    machines_.push_back(std::make_unique<Machine>());
    machines_.back()->index = i;
    machines_.back()->address = "10.0.0." + std::to_string(i + 1) + ":7000";
  }
  for (std::size_t i = 0; i < options.machines; ++i) Start(i);
}

// ---- Time ----

void TallyGroup::At(double at_ms, std::function<void()> action) {
  events_.push({at_ms, ++last_event_, std::move(action)});
}

void TallyGroup::RunFor(double ms) {
  const double end_ms = now_ms_ + ms;
  while (!events_.empty() && events_.top().at_ms <= end_ms) {
    const Event event = events_.top();
    events_.pop();
    now_ms_ = event.at_ms;
    event.action();
  }
  now_ms_ = end_ms;
}

double TallyGroup::Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

std::size_t TallyGroup::Below(std::size_t count) {
  return std::min(count - 1, static_cast<std::size_t>(Unit() * static_cast<double>(count)));
}

// ---- Calls ----

std::size_t TallyGroup::Add(std::size_t machine, const TallyAdd& add) {
  TallyCall call;
  call.machine = machine;
  call.add = add;
  return Call(call);
}

std::size_t TallyGroup::Read(std::size_t machine, const std::string& tally) {
  TallyCall call;
  call.machine = machine;
  call.is_read = true;
  call.add.tally = tally;
  return Call(call);
}

std::optional<std::int64_t> TallyGroup::Total(std::size_t machine, const std::string& tally) {
  const std::size_t number = Read(machine, tally);
  RunFor(0);
  if (!calls_[number].Is(TallyOutcome::kTotal)) return std::nullopt;
  return calls_[number].total;
}

std::size_t TallyGroup::Call(TallyCall call) {
  Machine& machine = *machines_[call.machine];
  call.life = machine.life;
  call.sent_ms = now_ms_;
  const std::size_t number = calls_.size();
  calls_.push_back(call);
  With(machine, machine.life, [this, call, number](TallyLedger& ledger) {
    if (call.is_read) {
      ledger.Read(now_ms_, number, call.add.tally);
    } else {
      ledger.Add(now_ms_, number, call.add);
    }
  });
  return number;
}

void TallyGroup::TakeAnswer(Machine& machine, const TallyAnswer& answer) {
  if (answer.call >= calls_.size()) return Violation("an answer to a call that nobody made");
  TallyCall& call = calls_[answer.call];
  if (call.machine != machine.index || call.life != machine.life) Violation("an answer to another's call");
  if (call.outcome) Violation("a second answer to a call");
  if (call.is_read && answer.outcome == TallyOutcome::kAdded) Violation("a read was answered as an add");
  call.outcome = answer.outcome;
  call.answered_ms = now_ms_;
  call.total = answer.total;
  if (call.is_read) return;
  call.disks = DisksWith(call.add.id);
  call.zones = ZonesWith(call.add.id);
  call.apart = HasCutLink(machine.index);
  if (call.Is(TallyOutcome::kAdded)) ++acknowledged_;
}

// ---- Processes ----

void TallyGroup::With(Machine& machine, std::uint64_t life, std::function<void(TallyLedger&)> action) {
  if (machine.ledger == nullptr || machine.life != life) return;
  if (now_ms_ < machine.frozen_until_ms) {
    At(machine.frozen_until_ms,
       [this, &machine, life, action = std::move(action)] { With(machine, life, action); });
    return;
  }
  action(*machine.ledger);
  Drain(machine);
}

void TallyGroup::Drain(Machine& machine) {
  TallyOutput output = machine.ledger->TakeOutput();
  for (const auto& [address, message] : output.sends) Send(machine, address, message);
  for (TallyWrite& write : output.writes) machine.waiting.push_back(std::move(write));
  BeginWrite(machine);
  for (const TallyAnswer& answer : output.answers) TakeAnswer(machine, answer);
}

void TallyGroup::Tick(Machine& machine, std::uint64_t life) {
  if (machine.ledger == nullptr || machine.life != life) return;
  With(machine, life, [this](TallyLedger& ledger) { ledger.Tick(now_ms_); });
  At(std::max(now_ms_ + kTickMs, machine.frozen_until_ms), [this, &machine, life] { Tick(machine, life); });
}

void TallyGroup::Start(std::size_t index) {
  Machine& machine = *machines_[index];
  if (machine.ledger != nullptr) return;
  TallyLedger::Options options;
  options.origin = random_();
  options.copies = options_.copies;
  options.zones = options_.zones_of_copies;
  if (index < options_.zones.size()) options.zone = options_.zones[index];
  options.may_have_lost_disk = !machine.caught_up;
  std::vector<TallyAdds> loaded;
  for (const auto& [origin, log] : machine.disk) loaded.push_back({origin, 1, log});
  ++machine.life;
  machine.frozen_until_ms = 0;
  machine.ledger = std::make_unique<TallyLedger>(options, std::move(loaded), now_ms_);
  const std::uint64_t life = machine.life;
  With(machine, life, [this, index](TallyLedger& ledger) {
    std::vector<std::string> peers;
    for (const auto& other : machines_) {
      if (other->index != index) peers.push_back(other->address);
    }
    ledger.SetPeers(now_ms_, peers);
  });
  At(now_ms_ + kTickMs * Unit(), [this, &machine, life] { Tick(machine, life); });
}

void TallyGroup::Kill(std::size_t index) {
  Machine& machine = *machines_[index];
  if (machine.ledger == nullptr) return;
  if (Unit() < 0.5) KeepOnDisk(machine, machine.writing);
  LosePower(index);
}

void TallyGroup::LosePower(std::size_t index) {
  Machine& machine = *machines_[index];
  machine.ledger.reset();
  machine.writing.clear();
  machine.waiting.clear();
  for (std::size_t other = 0; other < size(); ++other) BreakConnection(index, other);
}

void TallyGroup::Freeze(std::size_t index, double for_ms) {
  Machine& machine = *machines_[index];
  machine.frozen_until_ms = std::max(machine.frozen_until_ms, now_ms_ + for_ms);
}

// ---- Disks ----

void TallyGroup::Wipe(std::size_t index) {
  Kill(index);
  machines_[index]->disk.clear();
  machines_[index]->ids_on_disk.clear();
  machines_[index]->caught_up = false;
}

void TallyGroup::StallDisk(std::size_t index, double for_ms) {
  Machine& machine = *machines_[index];
  machine.stalled_until_ms = std::max(machine.stalled_until_ms, now_ms_ + for_ms);
}

void TallyGroup::BeginWrite(Machine& machine) {
  if (!machine.writing.empty() || machine.waiting.empty()) return;
  machine.writing.swap(machine.waiting);
  At(std::max(now_ms_, machine.stalled_until_ms) + options_.sync_ms, [this, &machine, life = machine.life] {
    if (machine.ledger != nullptr && machine.life == life) EndWrite(machine);
  });
}

void TallyGroup::EndWrite(Machine& machine) {
  if (now_ms_ < machine.stalled_until_ms) {  // it began to stall during the write
    At(machine.stalled_until_ms, [this, &machine, life = machine.life] {
      if (machine.ledger != nullptr && machine.life == life) EndWrite(machine);
    });
    return;
  }
  KeepOnDisk(machine, machine.writing);
  const std::uint64_t ticket = machine.writing.back().ticket;
  machine.writing.clear();
  BeginWrite(machine);
  With(machine, machine.life, [this, ticket](TallyLedger& ledger) { ledger.Stored(now_ms_, ticket); });
}

void TallyGroup::KeepOnDisk(Machine& machine, const std::vector<TallyWrite>& writes) {
  for (const TallyWrite& write : writes) {
    machine.caught_up |= write.caught_up;
    for (const TallyAdds& adds : write.logs) {
      Log& log = machine.disk[adds.origin];
      if (adds.first != log.size() + 1) Violation("a write that does not continue its log");
      log.insert(log.end(), adds.adds.begin(), adds.adds.end());
      for (const TallyAdd& add : adds.adds) machine.ids_on_disk.insert(add.id);
    }
  }
}

std::vector<std::size_t> TallyGroup::MachinesIn(const std::string& zone) const {
  std::vector<std::size_t> machines;
  for (std::size_t machine = 0; machine < options_.zones.size(); ++machine) {
    if (options_.zones[machine] == zone) machines.push_back(machine);
  }
  return machines;
}

std::size_t TallyGroup::DisksWith(const std::string& id) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      machines_, [&](const auto& machine) { return machine->ids_on_disk.contains(id); }));
}

std::size_t TallyGroup::ZonesWith(const std::string& id) const {
  std::set<std::string> zones;
  for (std::size_t machine = 0; machine < options_.zones.size(); ++machine) {
    if (machines_[machine]->ids_on_disk.contains(id)) zones.insert(options_.zones[machine]);
  }
  return zones.size();
}

// ---- Network ----

void TallyGroup::CutOneWay(std::size_t from, std::size_t to) {
  if (from != to) cuts_.insert({from, to});
}

void TallyGroup::Cut(std::size_t one, std::size_t other) {
  CutOneWay(one, other);
  CutOneWay(other, one);
}

void TallyGroup::Isolate(std::size_t machine) {
  for (std::size_t other = 0; other < size(); ++other) Cut(machine, other);
}

void TallyGroup::Heal() {
  cuts_.clear();
  for (auto& [pair, link] : links_) {
    for (auto& delivery : link.held) At(now_ms_ + options_.delay_ms, std::move(delivery));
    link.held.clear();
  }
}

bool TallyGroup::HasCutLink(std::size_t machine) const {
  return std::ranges::any_of(
      cuts_, [machine](const auto& cut) { return cut.first == machine || cut.second == machine; });
}

void TallyGroup::BreakConnection(std::size_t one, std::size_t other) {
  for (const auto& pair : {std::make_pair(one, other), std::make_pair(other, one)}) {
    ++links_[pair].connection;
    links_[pair].held.clear();
  }
}

void TallyGroup::Send(Machine& from, const std::string& address, const Message& message) {
  const auto to =
      std::ranges::find_if(machines_, [&](const auto& machine) { return machine->address == address; });
  if (to == machines_.end()) return Violation("a message to an address that nobody has");
  ++messages_;
  const std::size_t bytes = EncodeFrame(message).size();
  if (std::holds_alternative<TallyPiece>(message)) {
    largest_piece_bytes_ = std::max(largest_piece_bytes_, bytes);
  }
  double sent_ms = now_ms_;
  if (options_.link_mbps > 0) {
    from.sends_until_ms = std::max(from.sends_until_ms, now_ms_) +
                          static_cast<double>(bytes) * kBitsPerByte / (options_.link_mbps * kBitsPerMbitMs);
    sent_ms = from.sends_until_ms;
  }
  const std::size_t sender = from.index, receiver = (*to)->index;
  Link& link = links_[{sender, receiver}];
  const std::uint64_t connection = link.connection;
  const auto arrive = [=, this] { Carry(sender, receiver, connection, message); };
  if (options_.datagrams) {
    At(sent_ms + options_.delay_ms + kMostDisorderMs * Unit(), arrive);
    if (Unit() < kDuplicates) At(sent_ms + options_.delay_ms + kMostDisorderMs * Unit(), arrive);
    return;
  }
  link.last_arrival_ms = std::max(link.last_arrival_ms, sent_ms + options_.delay_ms);
  At(link.last_arrival_ms, arrive);
}

void TallyGroup::Carry(std::size_t from, std::size_t to, std::uint64_t connection, const Message& message) {
  Link& link = links_[{from, to}];
  if (connection != link.connection) return;
  if (IsCut(from, to)) {
    if (options_.cuts_delay) link.held.push_back([=, this] { Carry(from, to, connection, message); });
    return;
  }
  Machine& receiver = *machines_[to];
  With(receiver, receiver.life, [this, from, message](TallyLedger& ledger) {
    ledger.Receive(now_ms_, machines_[from]->address, message);
  });
}

void TallyGroup::Violation(const std::string& text) {
  violations_.push_back("at " + std::to_string(now_ms_) + " ms: " + text);
}

}  // namespace bitternmux::fleet::test
