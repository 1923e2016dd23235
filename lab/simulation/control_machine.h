// A control machine in simulated time: the program's own deciders, and around them what a process has of its
// machine. What arrives while it stands still lies in its buffers until it goes on.
#ifndef BITTERNMUX_LAB_SIMULATION_CONTROL_MACHINE_H_
#define BITTERNMUX_LAB_SIMULATION_CONTROL_MACHINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/control/control_core.h"
#include "lab/simulation/clock.h"
#include "lab/simulation/disk.h"
#include "lab/simulation/tally_disk.h"

namespace bitternmux::lab::simulation {

// What a control machine needs of the world around it.
class ControlSurroundings {
 public:
  virtual ~ControlSurroundings() = default;
  virtual void ToControl(const std::string& from, const std::string& to, const fleet::Message& message) = 0;
  virtual void ToSubscriber(const std::string& from, fleet::SubscriberId id,
                            const fleet::Message& message) = 0;
  virtual std::vector<fleet::SubscriberId> SubscribersOf(const std::string& machine) = 0;
  virtual void ReadPlatform(const std::string& machine) = 0;
  virtual void Observe(const std::string& machine) = 0;
  virtual void Tell(const std::string& line) = 0;
};

class ControlMachine {
 public:
  enum class CallResult { kAnswered, kReset };
  using Answered = std::function<void(CallResult, const fleet::CallAnswer&)>;
  using TallyAnswered = std::function<void(CallResult, const fleet::TallyAnswer&)>;

  struct Options {
    fleet::Member self;
    std::size_t group_size = 3;
    std::string zone;
    std::size_t tolerated = 1;  // machines that may be lost at once
    std::size_t tolerated_zones = 1;
    double sync_ms = 5;
    fleet::QuotaBounds quota;
  };

  ControlMachine(Clock& clock, ControlSurroundings& surroundings, Options options);

  const std::string& address() const { return options_.self.internal; }
  const fleet::Member& member() const { return options_.self; }
  bool up() const { return core_ != nullptr; }
  bool dark() const { return dark_; }
  bool removed() const { return removed_; }
  bool frozen() const;
  std::uint64_t life() const { return life_; }
  const fleet::ControlCore* core() const { return core_.get(); }
  Disk& disk() { return disk_; }
  const TallyDisk& tally_disk() const { return tally_disk_; }
  // It is down, stands still or is slow.
  bool InTrouble() const { return !up() || frozen() || input_ms_ > 0; }
  void WipeDisks() {
    disk_.Wipe();
    tally_disk_.Wipe();
  }

  void Boot(std::vector<fleet::Member> seeds, bool bootstrap);
  void Kill();
  // Without power it neither answers nor refuses.
  void PowerOff() {
    Kill();
    dark_ = true;
  }
  void PowerOn() { dark_ = false; }
  void Remove() {
    PowerOff();
    removed_ = true;
  }
  void Freeze(double for_ms);
  void Unfreeze();
  // How long each input takes: more than nothing on a slow processor. They are taken one behind the other,
  // each at the speed that the processor has when its turn comes.
  void SetInputTime(double ms);
  void Terminate();
  void Reseed(std::vector<fleet::Member> seeds);

  // What arrives for the process; `life`: of the process that it was sent to.
  void Connected(const std::string& control);
  void FromControl(std::uint64_t life, const std::string& from, const fleet::Message& message);
  void Subscribed(std::uint64_t life, fleet::SubscriberId id, const fleet::Subscribe& subscribe);
  void Unsubscribed(std::uint64_t life, fleet::SubscriberId id);
  void FromSubscriber(std::uint64_t life, fleet::SubscriberId id, const fleet::QuotaRequest& request);
  void LoadsTold(std::uint64_t life, fleet::SubscriberId id, const fleet::ServerLoads& loads);
  void ListRead(std::uint64_t life, const std::optional<fleet::ServerMap>& servers);
  // A call of the operator; an order, or a read where there is none.
  void Call(std::uint64_t life, const std::optional<fleet::OperatorOrder>& order, Answered answered);
  // Calls of applications.
  void AddToTally(std::uint64_t life, const fleet::TallyAdd& add, TallyAnswered answered);
  void ReadTally(std::uint64_t life, const std::string& tally, TallyAnswered answered);

 private:
  static constexpr double kTickMs = 50;

  // What waits for a slow processor.
  struct QueuedInput {
    std::uint64_t life = 0;
    std::function<void()> input;
  };

  // Lets the process do something now, or when it goes on.
  void Input(std::uint64_t life, std::function<void()> input);
  void TakeInput(std::uint64_t life, const std::function<void()>& input);
  // Takes the first of the queue when the processor has worked on it for as long as an input takes now.
  void WorkOnNext();
  void TakeNext();
  void Tick(std::uint64_t life);
  void Thaw();
  void Ask(std::uint64_t call, const fleet::Order& order) { core_->Put(clock_.now_ms(), call, order); }
  void Ask(std::uint64_t call, const fleet::EvacuationOrder& order) {
    core_->Evacuate(clock_.now_ms(), call, order);
  }
  void Drain();
  void DrainTallies(const fleet::ControlOutput& output);
  void BeginTallyCall(std::uint64_t life, TallyAnswered answered,
                      std::function<void(std::uint64_t call)> begin);

  Clock& clock_;
  ControlSurroundings& surroundings_;
  const Options options_;
  Disk disk_;
  TallyDisk tally_disk_;
  std::unique_ptr<fleet::ControlCore> core_;
  std::uint64_t life_ = 0;
  double frozen_until_ms_ = 0;
  double input_ms_ = 0;
  std::deque<QueuedInput> queue_;
  std::uint64_t turn_ = 0;  // of work on the first of the queue: an earlier one has no effect
  bool dark_ = false, removed_ = false, ending_ = false;
  std::deque<std::function<void()>> buffered_;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, Answered> calls_;
  std::map<std::uint64_t, TallyAnswered> tally_calls_;
};

// Numbers that no other process or disk of any run has.
std::uint64_t NextUnique(Clock& clock);

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_CONTROL_MACHINE_H_
