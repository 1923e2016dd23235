// A router's part of the tenants' quotas: a decider. It lets through only what the grantor has granted
// (quota_grantor.h), in one of two forms:
//
//   - tokens, for a request that waits; they lapse kTokenLifeMs after they were asked for;
//   - a lease on a part of the tenant's rate, sized by what is used here: its level fills at that rate, from
//     nothing, up to the lease's carry. It runs for kLeaseMs and is renewed well before, so that a tenant
//     keeps most of its use while no grantor answers for a moment.
//
// While no grantor answers a router lets through a small part of the slack besides. It grows from nothing, a
// half of this router's part in a window, and no more than a half is saved up.
//
// A request waits for its verdict as long as its caller can spare the time to wait. If the grantor is silent,
// it waits no longer than until a successor is expected to answer (grantor_contact.h); from then on what
// nothing covers is refused at once, so that its caller can try another router.
//
// A ledger that has just been made has none of these, and what it does not know of its former life cannot be
// used again. What lapses unused is returned with the next request. All of a lease ends by this machine's
// steady clock, counted from the moment of asking, which is before the grantor began to count.
//
// Bounds: a row for each tenant with a limit that has sent a request; kMaxWaiting waiting requests each, and
// grants of one window of kTokenLifeMs.
#ifndef BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_LEDGER_H_
#define BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_LEDGER_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/configuration/configuration.h"
#include "fleet/messages/messages.h"
#include "fleet/quota/grantor_contact.h"
#include "fleet/quota/quota_budget.h"

namespace bitternmux::fleet {

constexpr double kAnswerPatienceMs = 300;  // after which the grantor is asked anew
constexpr double kNoWaitLimit = std::numeric_limits<double>::infinity();  // a time on the clock, in ms
constexpr std::size_t kMaxWaiting = 256;
constexpr double kUntoldRouters = 64;  // until the control machines have told how many there are

enum class QuotaAnswer { kAdmitted, kRefused, kWait };

struct QuotaVerdict {
  std::uint64_t request = 0;
  bool admitted = false;
  double retry_ms = 0;
};

// What became of a tenant's requests, in tokens.
struct QuotaFigures {
  double leased = 0, granted = 0;      // let through
  double ungranted = 0;                // of that, without any grant
  double refused = 0, unanswered = 0;  // by the grantor; as none answered
};

class QuotaLedger {
 public:
  struct Options {
    std::uint64_t holder = 0;  // a number of this life of the router
    double started_ms = 0;     // when it began
    QuotaBounds bounds = {};
  };

  explicit QuotaLedger(const Options& options) : options_(options) {}

  // As many divide what may be used without a grantor.
  void SetRouters(std::size_t count) { routers_ = count > 0 ? static_cast<double>(count) : 1; }

  // A request of the tenant that costs so much, and whose caller can spare the time until `wait_until_ms`;
  // an answer of the grantor that comes without delay is waited for in any case. kWait: its verdict comes
  // from TakeVerdicts.
  QuotaAnswer Ask(double now_ms, std::uint64_t request, const Tenant& tenant, double cost,
                  double wait_until_ms = kNoWaitLimit);
  // In how many milliseconds a request that is refused now, for want of an answer, may be admitted.
  double RetryMs(double now_ms) const;
  // A request that was let through at `charged_ms` never ran: what it cost is there again, for a moment.
  void GiveBack(double now_ms, const std::string& tenant, double charged_ms, double cost);
  // A request that waits is over.
  void Withdraw(const std::string& tenant, std::uint64_t request);
  void Granted(double now_ms, const QuotaGrant& grant);
  // Ends the waiting of requests whose grantor does not answer, and gives up what is not used. To be called a
  // few times a second, more often while requests wait, and at NextEndMs.
  void Tick(double now_ms);
  // When Tick has something to decide for a request that waits, if no answer comes; none: none waits.
  std::optional<double> NextEndMs(double now_ms) const;

  // What is to be asked of the grantor.
  std::vector<QuotaRequest> TakeRequests();
  std::vector<QuotaVerdict> TakeVerdicts();
  // Of each tenant since they were taken last, where anything was refused.
  std::map<std::string, QuotaFigures> TakeFigures();
  bool waiting() const { return waiting_count_ > 0; }

 private:
  struct Waiting {
    std::uint64_t request;
    double cost;
    double until_ms;  // for which its caller can spare the time
  };
  struct Tokens {
    double count;
    double until_ms;
  };
  struct Row {
    QuotaLease lease;
    double lease_until_ms = 0;
    std::optional<QuotaLease> fair;  // as the grantor has said
    double level = 0;                // of the lease
    double level_ms = 0;
    double lapsed = 0;  // tokens that lapsed unused, to be returned
    std::deque<Tokens> tokens;
    double used_per_ms = 0;  // fading mean
    double used_ms = 0;      // when it was brought up to date
    double usual_cost = 0;   // of a request
    std::deque<Waiting> waiting;
    QuotaBudget budget;
    double ungranted = 0;  // that may be used while no grantor answers
    double ungranted_ms = 0;
    std::optional<std::uint64_t> asked;  // the request to the grantor that is out
    double asked_ms = 0;
    std::deque<std::uint64_t> given_up;  // requests before it, not answered in time
    std::uint64_t asked_for = 0;         // the waiting request that it is for; 0: none
    double renewed_ms = 0;               // when the newest request that was answered was asked
    bool keeps_lease = false;  // the grantor raises none yet, or is silent: what is given up is lost
    QuotaFigures figures;
  };

  static void Advance(double now_ms, Row& row);
  static void LimitLevel(Row& row);
  static double Available(const Row& row);
  static bool Covers(const Row& row, double cost);
  static void Take(Row& row, double cost);
  static void Fade(double now_ms, Row& row);
  static QuotaLease Wanted(const Row& row);
  static void Lower(Row& row, const QuotaLease& most);
  void Use(double now_ms, Row& row, double cost);
  void Request(double now_ms, const std::string& tenant, Row& row);
  void TakeLease(double now_ms, Row& row, const QuotaGrant& grant);
  static void GiveUp(Row& row);
  // When a request that waits is refused if no answer comes.
  double EndMs(const Waiting& waiting) const;
  void EndFirst(Row& row, bool admitted, double retry_ms);
  void EndOverdue(double now_ms, Row& row);
  void GrowUngranted(double now_ms, Row& row) const;
  bool UseUngranted(double now_ms, Row& row, double cost);
  void ServeUngranted(double now_ms, Row& row);
  void Serve(double now_ms, Row& row);

  const Options options_;
  double routers_ = kUntoldRouters;
  std::uint64_t last_id_ = 0;
  GrantorContact grantor_;  // of all tenants
  std::size_t waiting_count_ = 0;
  std::map<std::string, Row> rows_;
  std::vector<QuotaRequest> requests_;
  std::vector<QuotaVerdict> verdicts_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_LEDGER_H_
