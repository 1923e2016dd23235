// What is kept of a host and of a request. Plain data: what it means and when it changes is decided by the
// steps that include this.
#ifndef CARTSPRING_SRC_CARTSPRING_RECORDS_H_
#define CARTSPRING_SRC_CARTSPRING_RECORDS_H_

#include <algorithm>
#include <string>
#include <vector>

#include "cartspring/context.h"

namespace cartspring {

// Each group of fields has one writer, which is named; what speaks of a process before is voided by
// HostTable.
struct Host {
  HostEntry entry;
  int row = 0;  // its own in the table
  bool listed = true;
  double place = 0;  // in the own order of all hosts, by HostTable
  int held = 0;      // by the event handlers: attempts of requests that are not over, ended ones included
  // By Reports.
  double load = -1;  // last reported; -1: never
  double load_at = 0;
  double others = 0;        // what of it was not this instance's own
  double usual = 0;         // fading mean of that over reports, which stands for it once it is old
  int own = 0;              // own attempts out
  int late = 0;             // of these, the ones that are late
  double own_mean = 0;      // fading mean of these
  double own_at = 0;        // when it was brought up to date
  double linked_until = 0;  // until when an idle connection to it stays open
  bool probe_out = false;
  std::vector<RequestId> waiters;
  // By Health.
  double waiting_since = 0;  // since when an own attempt is out and nothing was heard
  double expected_ms = 0;    // of the attempt sent last
  double doubt = 0;          // log odds that it is failing
  int set_asides = 0;        // since its last answer
  double out_until = 0;
  bool unreached = false;  // the last thing known of it is that no connection came up
  // By Estimates.
  double slow_log = 0;  // log of how much slower than its kind it was last seen to be
  double slow_at = 0;

  const std::string& Name() const { return entry.host; }
  bool Live() const { return entry.state == HostState::kLive; }
  int Working() const { return own - late; }
  bool InUse() const { return entry.state != HostState::kGone || held != 0 || probe_out || !waiters.empty(); }
};

struct Attempt {
  int host = 0;
  double sent_at = 0;
  double figure = 0;  // the host's figure, this attempt included, when it was sent
  bool pending = true;
  bool may_have_run = true;
  double late_at = 0;  // from then on its host is held to be done with it, though no answer came
  bool late = false;
  bool slow = false;  // it was told to be late before its end
};

struct Live {
  Request request;
  double aim_at = 0;
  double end_at = 0;
  double half_at = 0;  // by then one that was not sent is given up
  bool first = true;   // the client's first try, as far as can be told
  double share = 1;    // of its class's mean work, by the client's hint
  std::vector<Attempt> attempts;
  std::vector<int> sample;
  std::vector<int> barred;  // hosts that this request tried, or passed over for being cold
  double considered = 1;    // chance of a host to be in the sample
  double looked_at = 0;
  double hold_until = 0;
  int reports_due = 0;
  int looks = 0;
  bool gathering = false;
  bool begun = false;

  int Count() const { return static_cast<int>(attempts.size()); }
  bool Pending() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.pending; });
  }
  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  void Reset() {  // as if new, but for its memory
    Live fresh;
    const auto keep = [](auto& to, auto& from) {
      to.swap(from);
      to.clear();
    };
    keep(fresh.attempts, attempts);
    keep(fresh.sample, sample);
    keep(fresh.barred, barred);
    *this = std::move(fresh);
  }
  bool Sampled(int host) const { return std::find(sample.begin(), sample.end(), host) != sample.end(); }
  bool Barred(int host) const { return std::find(barred.begin(), barred.end(), host) != barred.end(); }
};

// A host in the walk's ranking.
struct Ranked {
  double key;
  double tie;
  int host;  // or one of the two below
  double figure;

  bool operator<(const Ranked& other) const { return key != other.key ? key < other.key : tie < other.tie; }
};
constexpr int kNoHost = -1, kAllFull = -2;

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_RECORDS_H_
