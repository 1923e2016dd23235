// The records of hosts and requests. Plain data: the steps that include this file define when it changes.
#ifndef CARTSPRING_SRC_CARTSPRING_RECORDS_H_
#define CARTSPRING_SRC_CARTSPRING_RECORDS_H_

#include <algorithm>
#include <string>
#include <vector>

#include "cartspring/context.h"

namespace cartspring {

// Each group of fields has one writer, named above it. HostTable also resets what refers to an earlier
// process of the host.
struct Host {
  HostEntry entry;
  int row = 0;  // its index in the table
  bool listed = true;
  double sort_by = 0;     // position in this instance's own order of all hosts, by HostTable
  int open_attempts = 0;  // by the event handlers: attempts of open requests, finished ones included
  // By Reports.
  double load = -1;  // last reported; -1: never
  double load_at = 0;
  double others = 0;      // the part of it that was not this instance's own
  double usual = 0;       // decaying mean of `others` over reports, used once the last report is old
  int own = 0;            // own attempts in flight
  int late = 0;           // of these, the late ones
  double own_mean = 0;    // decaying mean of own - late
  double own_at = 0;      // time of its last update
  double idle_until = 0;  // until when an idle connection to the host stays open
  bool probe_out = false;
  std::vector<RequestId> waiters;
  // By Health.
  double waiting_since = 0;     // since when an own attempt is in flight without any sign of the host
  double expected_ms = 0;       // expected time of the attempt sent last
  double log_odds = 0;          // log odds that the host is failing
  int pauses = 0;               // since its last answer
  double paused_until = 0;      // end of its latest pause
  bool connect_failed = false;  // the last attempt could not connect, and nothing was heard since
  // By Estimates.
  double slow_log = 0;  // log of its time relative to its kind, when last updated
  double slow_at = 0;

  const std::string& Name() const { return entry.host; }
  bool Live() const { return entry.state == HostState::kLive; }
  int CurrentOwn() const { return own - late; }
  bool InUse() const {
    return entry.state != HostState::kGone || open_attempts != 0 || probe_out || !waiters.empty();
  }
};

struct Attempt {
  int host = 0;
  double sent_at = 0;
  double figure = 0;  // the host's figure when it was sent, this attempt included
  bool pending = true;
  bool may_have_run = true;
  double late_at = 0;  // from then on it no longer counts as load, though no answer came
  bool late = false;
  bool slow = false;  // was reported to the pace as late before its end
};

struct Live {
  Request request;
  double halfway_at = 0;  // a request not sent by then is ended
  double share = 1;       // work relative to its class's mean, by the client's hint
  std::vector<Attempt> attempts;
  std::vector<int> sample;    // rows of the hosts to choose from
  std::vector<int> excluded;  // hosts that this request tried, or skipped for being cold
  double sample_chance = 1;   // probability that a given host is in the sample
  double sampled_at = 0;
  double hold_until = 0;   // end of the wait for reports or for the next sample
  int reports_due = 0;     // probes that it waits for
  int draws = 0;           // samples since the last send of which no host was chosen
  bool gathering = false;  // such a wait is in progress
  bool stream_begun = false;

  int Count() const { return static_cast<int>(attempts.size()); }
  bool Pending() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.pending; });
  }
  bool MayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  void Reset() {  // resets all fields but keeps the vectors' memory
    Live fresh;
    const auto keep = [](auto& to, auto& from) {
      to.swap(from);
      to.clear();
    };
    keep(fresh.attempts, attempts);
    keep(fresh.sample, sample);
    keep(fresh.excluded, excluded);
    *this = std::move(fresh);
  }
  bool Sampled(int host) const { return std::find(sample.begin(), sample.end(), host) != sample.end(); }
  bool Excluded(int host) const {
    return std::find(excluded.begin(), excluded.end(), host) != excluded.end();
  }
};

// A host in the ranking of HostSelector.
struct Ranked {
  double key;  // expected time due to load and distance, by which hosts are ranked
  double tie;  // random, orders equal keys
  int host;    // or kNoHost or kAllFull
  double figure;

  bool operator<(const Ranked& other) const { return key != other.key ? key < other.key : tie < other.tie; }
};
constexpr int kNoHost = -1, kAllFull = -2;

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_RECORDS_H_
