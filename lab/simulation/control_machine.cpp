#include "lab/simulation/control_machine.h"

#include <algorithm>
#include <utility>

namespace bitternmux::lab::simulation {

std::uint64_t NextUnique(Clock& clock) {
  constexpr double kRange = 1e15;
  return fleet::Replica::kMaxFirstStore + 1 + static_cast<std::uint64_t>(clock.Unit() * kRange);
}

ControlMachine::ControlMachine(Clock& clock, ControlSurroundings& surroundings, Options options)
    : clock_(clock),
      surroundings_(surroundings),
      options_(std::move(options)),
      disk_(clock, options_.sync_ms),
      tally_disk_(clock, disk_) {}

bool ControlMachine::frozen() const { return clock_.now_ms() < frozen_until_ms_; }

void ControlMachine::Boot(std::vector<fleet::Member> seeds, bool bootstrap) {
  if (up() || dark_ || removed_) return;
  fleet::ControlCore::Options options;
  options.replica.self = options_.self;
  options.replica.seeds = std::move(seeds);
  options.replica.bootstrap = bootstrap;
  options.replica.group_size = options_.group_size;
  options.quota = options_.quota;
  options.replica.incarnation = NextUnique(clock_);
  options.replica.new_store = NextUnique(clock_);
  options.tallies.origin = NextUnique(clock_);
  options.tallies.copies = std::max(options_.tolerated, options_.tolerated_zones) + 1;
  options.tallies.zones = options_.tolerated_zones + 1;
  options.tallies.zone = options_.zone;
  const bool fleet_begins = bootstrap && !disk_.content();
  if (fleet_begins) tally_disk_.MarkCaughtUp();
  options.tallies.may_have_lost_disk = !tally_disk_.HasCaughtUp();
  options.loaded_tallies = tally_disk_.Load();
  ++life_;
  ending_ = false;
  frozen_until_ms_ = 0;
  core_ = std::make_unique<fleet::ControlCore>(std::move(options), disk_.content(), clock_.now_ms());
  Drain();
  Tick(life_);
}

void ControlMachine::Kill() {
  if (!up()) return;
  core_.reset();
  ++life_;
  frozen_until_ms_ = 0;
  buffered_.clear();
  queue_.clear();
  ++turn_;
  disk_.Interrupt();
  tally_disk_.Interrupt();
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, answered] : calls) answered(CallResult::kReset, {});
  const auto tally_calls = std::exchange(tally_calls_, {});
  for (const auto& [id, answered] : tally_calls) answered(CallResult::kReset, {});
}

void ControlMachine::Freeze(double for_ms) {
  if (!up() || frozen()) return;
  frozen_until_ms_ = clock_.now_ms() + for_ms;
  clock_.At(frozen_until_ms_, [this, life = life_] {
    if (life == life_) Thaw();
  });
}

void ControlMachine::Unfreeze() {
  if (!up() || !frozen()) return;
  frozen_until_ms_ = clock_.now_ms();
  Thaw();
}

// Timers and buffers are looked at in any order.
void ControlMachine::Thaw() {
  const std::uint64_t life = life_;
  const bool tick_first = clock_.Chance(0.5);
  if (tick_first) {
    core_->Tick(clock_.now_ms());
    Drain();
  }
  auto buffered = std::exchange(buffered_, {});
  for (const std::function<void()>& input : buffered) {
    if (life != life_) return;
    input();
    Drain();
  }
}

void ControlMachine::Terminate() {
  Input(life_, [this] {
    ending_ = true;
    core_->Leave(clock_.now_ms());
  });
}

void ControlMachine::Reseed(std::vector<fleet::Member> seeds) {
  Input(life_, [this, seeds = std::move(seeds)] { core_->SetSeeds(seeds); });
}

void ControlMachine::Input(std::uint64_t life, std::function<void()> input) {
  if (input_ms_ <= 0 && queue_.empty()) return TakeInput(life, input);
  queue_.push_back({life, std::move(input)});
  if (queue_.size() == 1) WorkOnNext();
}

void ControlMachine::SetInputTime(double ms) {
  input_ms_ = ms;
  if (!queue_.empty()) WorkOnNext();
}

void ControlMachine::WorkOnNext() {
  clock_.After(input_ms_, [this, turn = ++turn_] {
    if (turn == turn_) TakeNext();
  });
}

void ControlMachine::TakeNext() {
  const QueuedInput next = std::move(queue_.front());
  queue_.pop_front();
  TakeInput(next.life, next.input);
  if (!queue_.empty()) WorkOnNext();
}

void ControlMachine::TakeInput(std::uint64_t life, const std::function<void()>& input) {
  if (!up() || life != life_) return;
  if (frozen()) {
    buffered_.push_back(input);
    return;
  }
  input();
  Drain();
}

void ControlMachine::Tick(std::uint64_t life) {
  if (!up() || life != life_) return;
  const bool busy = !queue_.empty();  // then the timer is late
  if (!frozen() && !busy) {
    core_->Tick(clock_.now_ms());
    Drain();
    if (ending_ && core_->replica().MayStop(clock_.now_ms())) {
      surroundings_.Tell(address() + " ends");
      return Kill();
    }
  }
  clock_.After(kTickMs, [this, life] { Tick(life); });
}

void ControlMachine::Connected(const std::string& control) {
  Input(life_, [this, control] { core_->ControlConnected(control); });
}

void ControlMachine::FromControl(std::uint64_t life, const std::string& from, const fleet::Message& message) {
  Input(life, [this, from, message] { core_->FromControl(clock_.now_ms(), from, message); });
}

void ControlMachine::Subscribed(std::uint64_t life, fleet::SubscriberId id,
                                const fleet::Subscribe& subscribe) {
  Input(life, [this, id, subscribe] { core_->Subscribed(clock_.now_ms(), id, subscribe); });
}

void ControlMachine::Unsubscribed(std::uint64_t life, fleet::SubscriberId id) {
  Input(life, [this, id] { core_->Unsubscribed(id); });
}

void ControlMachine::FromSubscriber(std::uint64_t life, fleet::SubscriberId id,
                                    const fleet::QuotaRequest& request) {
  Input(life, [this, id, request] { core_->FromSubscriber(clock_.now_ms(), id, request); });
}

void ControlMachine::LoadsTold(std::uint64_t life, fleet::SubscriberId id, const fleet::ServerLoads& loads) {
  Input(life, [this, id, loads] { core_->LoadsTold(id, loads); });
}

void ControlMachine::ListRead(std::uint64_t life, const std::optional<fleet::ServerMap>& servers) {
  Input(life, [this, servers] { core_->ListRead(clock_.now_ms(), servers); });
}

void ControlMachine::Call(std::uint64_t life, const std::optional<fleet::OperatorOrder>& order,
                          Answered answered) {
  if (!up() || life != life_) return answered(CallResult::kReset, {});
  const std::uint64_t id = ++last_call_;
  calls_[id] = std::move(answered);
  Input(life, [this, id, order] {
    if (order) {
      std::visit([&](const auto& wanted) { Ask(id, wanted); }, *order);
    } else {
      core_->Get(clock_.now_ms(), id);
    }
  });
}

void ControlMachine::BeginTallyCall(std::uint64_t life, TallyAnswered answered,
                                    std::function<void(std::uint64_t call)> begin) {
  if (!up() || life != life_) return answered(CallResult::kReset, {});
  const std::uint64_t call = ++last_call_;
  tally_calls_[call] = std::move(answered);
  Input(life, [call, begin = std::move(begin)] { begin(call); });
}

void ControlMachine::AddToTally(std::uint64_t life, const fleet::TallyAdd& add, TallyAnswered answered) {
  BeginTallyCall(life, std::move(answered),
                 [this, add](std::uint64_t call) { core_->AddToTally(clock_.now_ms(), call, add); });
}

void ControlMachine::ReadTally(std::uint64_t life, const std::string& tally, TallyAnswered answered) {
  BeginTallyCall(life, std::move(answered),
                 [this, tally](std::uint64_t call) { core_->ReadTally(clock_.now_ms(), call, tally); });
}

void ControlMachine::DrainTallies(const fleet::ControlOutput& output) {
  for (const fleet::TallyWrite& write : output.tally_writes) {
    tally_disk_.Append(write, [this, life = life_](std::uint64_t ticket) {
      Input(life, [this, ticket] { core_->TalliesStored(clock_.now_ms(), ticket); });
    });
  }
  for (const fleet::TallyAnswer& answer : output.tally_answers) {
    const auto found = tally_calls_.find(answer.call);
    if (found == tally_calls_.end()) continue;
    const TallyAnswered answered = std::move(found->second);
    tally_calls_.erase(found);
    answered(CallResult::kAnswered, answer);
  }
}

// Carries out what was decided.
void ControlMachine::Drain() {
  if (!up()) return;
  fleet::ControlOutput output = core_->TakeOutput(clock_.now_ms());
  surroundings_.Observe(address());
  const std::uint64_t life = life_;
  if (output.save) {
    disk_.Save(output.save->first, std::move(output.save->second), [this, life](std::uint64_t ticket) {
      Input(life, [this, ticket] { core_->Saved(clock_.now_ms(), ticket); });
    });
  }
  for (const fleet::ControlSend& send : output.sends) {
    if (!send.control.empty()) {
      surroundings_.ToControl(address(), send.control, send.message);
    } else if (send.subscriber != 0) {
      surroundings_.ToSubscriber(address(), send.subscriber, send.message);
    } else {
      for (const fleet::SubscriberId id : surroundings_.SubscribersOf(address())) {
        surroundings_.ToSubscriber(address(), id, send.message);
      }
    }
  }
  for (const fleet::CallAnswer& answer : output.answers) {
    const auto found = calls_.find(answer.reply.id);
    if (found == calls_.end()) continue;
    const Answered answered = std::move(found->second);
    calls_.erase(found);
    answered(CallResult::kAnswered, answer);
  }
  DrainTallies(output);
  for (const fleet::ControlNotice& notice : output.notices) {
    if (notice.kind == fleet::ControlNotice::Kind::kRole) {
      surroundings_.Tell(address() + " is " + notice.text + ", epoch " + std::to_string(notice.number));
    }
  }
  if (output.read_list) surroundings_.ReadPlatform(address());
}

}  // namespace bitternmux::lab::simulation
