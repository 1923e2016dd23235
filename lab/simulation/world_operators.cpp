// The operators' calls: which machine is asked, what is made of its answer, and where it goes on.
#include <algorithm>
#include <utility>

#include "fleet/configuration/configuration.h"
#include "lab/simulation/world.h"

namespace bitternmux::lab::simulation {
namespace {

constexpr double kCallSilentMs = 1000;  // after which an operator goes on
constexpr double kMostPauseMs = 800;
constexpr int kMostRedirects = 2;
constexpr std::size_t kCallBytes = 300;

const char* NameOf(fleet::CallOutcome outcome) {
  switch (outcome) {
    case fleet::CallOutcome::kTaken:
      return "taken";
    case fleet::CallOutcome::kConflict:
      return "refused, another version is current";
    case fleet::CallOutcome::kOld:
      return "refused, its version is not above the current one";
    case fleet::CallOutcome::kRead:
      return "read";
    case fleet::CallOutcome::kRedirected:
      return "sent on";
    case fleet::CallOutcome::kUnavailable:
      return "no owner is known";
    case fleet::CallOutcome::kUndecided:
      return "not decided in time";
  }
  return "";
}

CallRecord RecordOf(const std::string& by, const fleet::EvacuationOrder& order) {
  CallRecord record;
  record.kind = order.begins ? CallKind::kEvacuate : CallKind::kTakeBack;
  record.by = by;
  record.zone = order.zone;
  return record;
}

std::size_t BytesOf(const std::optional<fleet::OperatorOrder>& order) {
  if (!order) return 0;
  const auto* const configuration = std::get_if<fleet::Order>(&*order);
  return configuration == nullptr ? 0 : configuration->text.size();
}

// The same call once more, of which nothing is known yet.
CallRecord RepeatOf(const CallRecord& call) {
  CallRecord record;
  record.kind = call.kind;
  record.by = call.by;
  record.version = call.version;
  record.builds_on = call.builds_on;
  record.digest = call.digest;
  record.zone = call.zone;
  return record;
}

}  // namespace

std::string ConfigurationText(std::uint64_t version, const std::string& by, std::size_t padding) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":")" +
         kTenant + R"(","api_keys":["key"],"unit":"token_count","uncached_tokens":1,"rate_per_s":)" +
         std::to_string(static_cast<int>(kTenantRatePerS)) + R"(,"burst":)" +
         std::to_string(static_cast<int>(kTenantBurst)) + R"(}],"by":")" + by + std::string(padding, 'x') +
         R"("})";
}

fleet::Tenant TheTenant() {
  fleet::Tenant tenant;
  tenant.name = kTenant;
  tenant.counts_tokens = true;
  tenant.rate_per_s = kTenantRatePerS;
  tenant.burst = kTenantBurst;
  return tenant;
}

// ---- Operators ----

std::size_t World::Begin(CallRecord record, std::optional<fleet::OperatorOrder> order, double most_ms,
                         std::optional<std::size_t> only_there) {
  record.began_ms = clock_.now_ms();
  record.ended_ms = clock_.now_ms();
  history_.calls.push_back(std::move(record));
  const std::size_t call = history_.calls.size() - 1;
  open_calls_.insert(call);
  if (order) orders_[call] = *order;
  Try attempt;
  attempt.call = call;
  attempt.order = std::move(order);
  attempt.target = only_there ? *only_there : seeds_[clock_.Below(seeds_.size())];
  attempt.until_ms = clock_.now_ms() + most_ms;
  attempt.only_there = only_there.has_value();
  Send(std::move(attempt));
  return call;
}

std::size_t World::Put(const std::string& by, std::uint64_t version, std::uint64_t builds_on,
                       std::size_t padding, double most_ms) {
  const std::string text = ConfigurationText(version, by, padding);
  const fleet::Order order{version, builds_on, fleet::DigestOf(text), text};
  CallRecord record{CallKind::kPut, by, version, builds_on, order.digest, 0, 0, CallEnd::kUnknown, false, ""};
  return Begin(std::move(record), order, most_ms, std::nullopt);
}

std::size_t World::PutAt(std::size_t machine, std::uint64_t version, std::uint64_t builds_on) {
  const std::string by = "operator-" + std::to_string(history_.calls.size());  // its text is nobody else's
  const std::string text = ConfigurationText(version, by, 0);
  const fleet::Order order{version, builds_on, fleet::DigestOf(text), text};
  CallRecord record{CallKind::kPut, by, version, builds_on, order.digest, 0, 0, CallEnd::kUnknown, false, ""};
  return Begin(std::move(record), order, 10'000, machine);
}

std::size_t World::Get(const std::string& by, double most_ms) {
  return Begin({CallKind::kGet, by, 0, 0, 0, 0, 0, CallEnd::kUnknown, false, ""}, std::nullopt, most_ms,
               std::nullopt);
}

std::size_t World::GetAt(std::size_t machine) {
  return Begin({CallKind::kGet, "operator", 0, 0, 0, 0, 0, CallEnd::kUnknown, false, ""}, std::nullopt,
               10'000, machine);
}

std::size_t World::Evacuate(const std::string& by, const fleet::EvacuationOrder& order, double most_ms,
                            Acknowledged acknowledged) {
  const std::size_t call = Begin(RecordOf(by, order), order, most_ms, std::nullopt);
  if (acknowledged) acknowledged_[call] = std::move(acknowledged);
  return call;
}

std::size_t World::EvacuateAt(std::size_t machine, const fleet::EvacuationOrder& order) {
  return Begin(RecordOf("operator", order), order, 10'000, machine);
}

// A repeat is a part of the same call where that has no clear answer, and else a call of its own: what was
// taken must be acknowledged again.
void World::PutAgain(std::size_t call, double most_ms) {
  const fleet::OperatorOrder order = orders_.at(call);
  Begin(RepeatOf(history_.calls[call]), order, most_ms, std::nullopt);
}

void World::Send(Try attempt) {
  if (!open_calls_.contains(attempt.call)) return;
  if (clock_.now_ms() >= attempt.until_ms) return End(attempt.call, CallEnd::kUnknown, "nobody");
  ControlMachine& machine = *controls_[attempt.target];
  const std::string name = history_.calls[attempt.call].by + " at " + machine.address();
  const auto done = std::make_shared<bool>(false);
  const std::size_t bytes = kCallBytes + BytesOf(attempt.order);
  const double silent_ms = kCallSilentMs + static_cast<double>(bytes) / kSlowLink;
  clock_.After(silent_ms, [this, attempt, done, name] {
    if (*done) return;
    *done = true;
    Tell(name + ": no answer");
    GoOn(attempt);
  });
  const double way_ms = network_.Latency() + static_cast<double>(bytes) / kFastLink;
  clock_.After(way_ms, [this, attempt, done, &machine] {
    if (machine.dark() || machine.removed()) return;
    machine.Call(machine.life(), attempt.order,
                 [this, attempt, done, &machine](ControlMachine::CallResult result, const auto& answer) {
                   const bool taken = result == ControlMachine::CallResult::kAnswered &&
                                      answer.reply.outcome == fleet::CallOutcome::kTaken;
                   if (taken) Taken(attempt);
                   if (clock_.Chance(lost_answers_)) return;
                   clock_.After(network_.Latency(), [this, attempt, done, result, answer, &machine] {
                     if (*done) return;
                     *done = true;
                     if (result == ControlMachine::CallResult::kReset) {
                       Tell(history_.calls[attempt.call].by + " at " + machine.address() + ": reset");
                       return GoOn(attempt);
                     }
                     Answered(attempt, answer, machine.address());
                   });
                 });
  });
}

// In the moment in which a machine answers so.
void World::Taken(const Try& attempt) {
  if (const auto found = acknowledged_.extract(attempt.call); !found.empty())
    clock_.After(0, [then = found.mapped(), target = attempt.target] { then(target); });
  if (!when_acknowledged_) return;
  const auto then = std::exchange(when_acknowledged_, nullptr);
  clock_.After(clock_.Between(0, 4), [then, target = attempt.target] { then(target); });
}

void World::GoOn(Try attempt) {
  if (attempt.only_there) return End(attempt.call, CallEnd::kUnknown, "nobody");
  attempt.redirects = 0;
  const std::size_t last = attempt.target;
  do {
    attempt.target = seeds_[clock_.Below(seeds_.size())];
  } while (attempt.target == last && seeds_.size() > 1);
  const double pause_ms = attempt.pause_ms;
  attempt.pause_ms = std::min(kMostPauseMs, attempt.pause_ms * 1.5);
  clock_.After(pause_ms, [this, attempt] { Send(attempt); });
}

void World::Answered(Try attempt, const fleet::CallAnswer& answer, const std::string& by) {
  Tell(history_.calls[attempt.call].by + " at " + by + ": " + NameOf(answer.reply.outcome));
  const bool tells_zones =
      answer.reply.outcome == fleet::CallOutcome::kTaken || answer.reply.outcome == fleet::CallOutcome::kRead;
  if (tells_zones && open_calls_.contains(attempt.call)) {
    history_.calls[attempt.call].tells_zones = true;
    history_.calls[attempt.call].told_zones = answer.evacuated;
  }
  switch (answer.reply.outcome) {
    case fleet::CallOutcome::kTaken:
      return End(attempt.call, CallEnd::kTaken, by);
    case fleet::CallOutcome::kConflict:
    case fleet::CallOutcome::kOld:
      history_.calls[attempt.call].stale = answer.reply.outcome == fleet::CallOutcome::kOld;
      return End(attempt.call, CallEnd::kRefused, by);
    case fleet::CallOutcome::kRead:
      history_.calls[attempt.call].version = answer.version;
      return End(attempt.call, CallEnd::kRead, by);
    case fleet::CallOutcome::kUnavailable:
    case fleet::CallOutcome::kUndecided:
      return GoOn(attempt);
    case fleet::CallOutcome::kRedirected:
      break;
  }
  if (++attempt.redirects > kMostRedirects || attempt.only_there) return GoOn(attempt);
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    if (controls_[i]->member().control != answer.reply.owner.control) continue;
    attempt.target = i;
    return Send(attempt);
  }
  GoOn(attempt);
}

void World::End(std::size_t call, CallEnd end, const std::string& by) {
  if (open_calls_.erase(call) == 0) return;
  CallRecord& record = history_.calls[call];
  record.ended_ms = clock_.now_ms();
  record.end = end;
  record.answered_by = by;
}

}  // namespace bitternmux::lab::simulation
