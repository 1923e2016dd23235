// A router's share of the tenants' quotas: a decider.
//
// Tokens are leased from the grantor (quota_grantor.h). A request that finds enough of them is admitted at
// once; else it waits for a grant, and more is asked for ahead where a tenant uses much. A grantor that does
// not answer within kGrantPatienceMs is taken for gone: until one answers, a tenant may use here what it has
// used here on average, which the last grantor allowed, and in any window this router's share of the slack.
//
// Bounds: a row for each tenant with a limit that has sent a request; kMaxWaiting waiting requests each.
#ifndef BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_LEDGER_H_
#define BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/configuration/configuration.h"
#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr double kGrantPatienceMs = 200;
constexpr double kFirstGrantPatienceMs = 700;  // of a ledger that has had none yet
constexpr std::size_t kMaxWaiting = 256;

enum class QuotaAnswer { kAdmitted, kRefused, kWait };

struct QuotaVerdict {
  std::uint64_t request = 0;
  bool admitted = false;
  double retry_ms = 0;
};

class QuotaLedger {
 public:
  struct Options {
    double slack = 0;  // tokens that all routers together may use beyond the limits in a window
    double window_ms = 1;
  };

  explicit QuotaLedger(const Options& options) : options_(options) {}

  void SetRouters(std::size_t count) { routers_ = count > 0 ? static_cast<double>(count) : 1; }
  // A request of the tenant that costs so much. kWait: its verdict comes from TakeVerdicts.
  QuotaAnswer Ask(double now_ms, std::uint64_t request, const Tenant& tenant, double cost);
  // It never ran: what it cost is there again.
  void GiveBack(const std::string& tenant, double cost);
  void Granted(double now_ms, const QuotaGrant& grant);
  // Ends the waiting of requests whose grantor does not answer.
  void Tick(double now_ms);

  // What is to be asked of the grantor.
  std::vector<QuotaRequest> TakeRequests();
  std::vector<QuotaVerdict> TakeVerdicts();
  bool waiting() const { return waiting_count_ > 0; }

 private:
  struct Waiting {
    std::uint64_t request;
    double cost;
    double since_ms;
  };
  // Tokens that were used without a grantor within kUseSpanMs from then on.
  struct UngrantedUse {
    double from_ms = 0;
    double on_trust = 0, of_slack = 0;
  };
  static constexpr double kUseSpanMs = 100;
  struct Row {
    double balance = 0;
    double used_per_ms = 0;              // fading mean
    double used_ms = 0;                  // when it was brought up to date
    double trusted_per_ms = 0;           // of that, as of the last grant
    double granted_ms = 0;               // when that was; 0: never
    bool grantor_gone = false;           // the last request was not answered in time
    double trust = 0;                    // tokens that may be used on trust while no grantor answers
    double since_grant = 0;              // tokens used without a grantor since the last grant
    double trust_ms = 0;                 // when they were counted
    std::deque<UngrantedUse> ungranted;  // in the last window
    std::deque<Waiting> waiting;
    std::optional<std::uint64_t> asked;  // the request to the grantor that is out
    double asked_ms = 0;
    double refused_until_ms = 0;  // the grantor has said so
  };

  void Use(double now_ms, Row& row, double cost);
  void Fade(double now_ms, Row& row);
  void Request(double now_ms, const std::string& tenant, Row& row, double need);
  void Serve(double now_ms, Row& row);
  bool UseAllowance(double now_ms, Row& row, double cost);
  // What was used without a grantor in the last window.
  UngrantedUse UngrantedInWindow(double now_ms, Row& row) const;

  const Options options_;
  double routers_ = 1;
  std::uint64_t last_id_ = 0;
  std::size_t waiting_count_ = 0;
  std::map<std::string, Row> rows_;
  std::vector<QuotaRequest> requests_;
  std::vector<QuotaVerdict> verdicts_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_QUOTA_QUOTA_LEDGER_H_
