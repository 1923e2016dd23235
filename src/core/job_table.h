// The jobs that the sidecar holds, from their last byte to their one final answer, whatever front brought
// them.
#ifndef BITTERNMUX_SRC_CORE_JOB_TABLE_H_
#define BITTERNMUX_SRC_CORE_JOB_TABLE_H_

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/facade.h"
#include "core/flow.h"
#include "core/machine_list.h"
#include "core/stats.h"
#include "events/event.h"

namespace bitternmux {

// A job as its submitter gave it. What goes on to the execute node is carried, not read.
struct Job {
  std::string request_id, method, target;
  std::vector<std::pair<std::string, std::string>> headers;  // those that are meant for the end of the way
  std::shared_ptr<const std::string> body;  // null: none; a claim that is written holds it too
  int klass = 0;
  double patience_ms = 0;  // how long the submitter waits, from the job's last byte
  double work_hint_ms = 0;
};

struct Answer {
  enum class Kind { kServed, kRefused, kFailed, kTimedOut };
  Kind kind = Kind::kFailed;
  std::string body, content_type;  // kServed
  // kServed, with the body still on its way: `body` is empty, and all of it comes through here.
  std::shared_ptr<Flow> flow;
  std::size_t length = 0;     // of that body; 0: not known
  double retry_after_ms = 0;  // kRefused: 0 for no advice
};
using Answerer = std::function<void(Answer)>;

// A time that never comes.
constexpr double kAnyTime = std::numeric_limits<double>::infinity();

// One attempt of a job on one execute node.
struct Claim {
  JobId job = 0;
  int number = 0;
  std::string node, address;
  double until_ms = 0;
  double out_by_ms = kAnyTime;  // when its last byte has to be out, or it must not be sent
};

// What became of it.
struct ClaimEnd {
  cartspring::Outcome outcome = cartspring::Outcome::kTimeout;
  std::string body, content_type;
  std::optional<cartspring::LoadReport> load;
  std::shared_ptr<Flow> flow;  // the answer has begun: as Answer's
  std::size_t length = 0;
};

// Who carries claims to the execute nodes. The end of a claim is told to the job table later, never from
// within Start, and not at all once the claim was given up.
class ClaimRunner {
 public:
  virtual ~ClaimRunner() = default;
  virtual void Start(const Claim& claim, const Job& job) = 0;
  virtual void GiveUp(JobId job, int number) = 0;
  // The same, but only if its last byte is not out: then it never ran, and giving it up cancels nothing.
  virtual void Withdraw(JobId job, int number) = 0;
  virtual void Probe(const std::string& node, const std::string& address) = 0;
};

class JobTable {
 public:
  JobTable(const cartspring::Settings& settings, Facade& facade, const MachineList& machines,
           EventSink& events = Unheard())
      : settings_(settings), facade_(facade), machines_(machines), events_(events) {
    ListClasses();
  }
  void Attach(ClaimRunner& runner, std::function<void()> watch_discovery) {
    runner_ = &runner;
    watch_discovery_ = std::move(watch_discovery);
  }

  // Takes a job on. The answerer is called once, maybe before this returns, unless the submitter leaves
  // first.
  JobId Take(double now_ms, Job job, Answerer answerer);
  void SubmitterLeft(double now_ms, JobId id);
  // The process ends: all that wait for an answer get one now, that their time is over. What was sent may
  // have run; its claim is given up where the settings allow. Answers that have begun go on.
  void EndAll(double now_ms);
  // Is a job with this id of its submitter's still without its answer?
  bool IsOpen(const std::string& request_id) const { return open_.count(request_id) > 0; }
  // The claim's last byte is out.
  void ClaimWritten() { ++stats_.forwards; }
  // A served answer has begun, and its body comes through the flow. The submitter has it, so that the claim's
  // time no longer ends it and nothing is sent again; the module hears of it as served now. ClaimEnded tells
  // whether it came whole. False: its submitter left, and nobody takes it.
  bool ClaimBegan(double now_ms, const Claim& claim, ClaimEnd begun);
  void ClaimEnded(double now_ms, const Claim& claim, ClaimEnd end);
  void NodeProbed(double now_ms, const std::string& node, bool answered, double took_ms,
                  const std::optional<cartspring::LoadReport>& load);
  // Carries out what the module wants done by now. Due at each turn of the wheel and after every facade call.
  void Tick(double now_ms);

  // The settings that it goes by have changed.
  void Retuned() { ListClasses(); }
  // Is a job of the class with that index held?
  bool Holds(int klass) const;
  std::size_t held() const { return held_.size(); }
  const Stats& stats() const { return stats_; }

 private:
  struct Held {
    Job job;
    Answerer answerer;
    double give_up_ms = 0;
    int claims = 0;               // sent so far
    double claim_sent_ms = 0;     // when the last of them was
    bool last_timed_out = false;  // it ran out of time
    bool begun = false;           // its answer is on its way, by the claim sent last
  };

  void Apply(double now_ms, JobId id, const Verdict& verdict);
  void Send(double now_ms, JobId id, Held& held, const Verdict& verdict);
  void Finish(JobId id, Answer answer);
  void Count(const Job& job, Answer::Kind kind);
  Held Release(JobId id);
  void ListClasses();

  const cartspring::Settings& settings_;
  Facade& facade_;
  const MachineList& machines_;
  EventSink& events_;
  ClaimRunner* runner_ = nullptr;
  std::function<void()> watch_discovery_;
  Stats stats_;
  JobId last_id_ = 0;
  std::unordered_map<JobId, Held> held_;
  std::unordered_set<std::string> open_;  // the request ids of these
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_JOB_TABLE_H_
