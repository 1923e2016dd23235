#include "lab/virtual/pool.h"

#include <algorithm>
#include <charconv>

namespace bitternmux::lab {
namespace {

using cartspring::Outcome;
using record::ClaimEnded;

constexpr double kProbePatienceMs = 500;  // these two as in the sidecar's pool
constexpr double kSweepMs = 20;

// What the sidecar's parser makes of a spoilt answer: most cannot be read, and break the connection at once;
// one that is too short is waited for.
bool IsWaitedFor(model::Spoil spoil) { return spoil == model::Spoil::kTooShort; }

Outcome OutcomeOf(model::ClaimEnd end) {
  switch (end) {
    case model::ClaimEnd::kServed:
      return Outcome::kServed;
    case model::ClaimEnd::kDeclined:
      return Outcome::kRefusedByHost;
    case model::ClaimEnd::kError:
      return Outcome::kError;
    default:
      return Outcome::kConnectionLost;
  }
}

ClaimEnded::How HowOf(model::ClaimEnd end) {
  switch (end) {
    case model::ClaimEnd::kServed:
      return ClaimEnded::SERVED;
    case model::ClaimEnd::kDeclined:
      return ClaimEnded::DECLINED;
    case model::ClaimEnd::kError:
      return ClaimEnded::ERROR;
    default:
      return ClaimEnded::SPOILT;
  }
}

}  // namespace

AnswerMade ReadBody(const std::string& body) {
  AnswerMade made;
  const char* end = body.data() + body.size();
  const char* at = std::from_chars(body.data(), end, made.claim).ptr;
  if (at != end) std::from_chars(at + 1, end, made.attempt);
  return made;
}

Pool::Pool(Outside& outside, int sidecar, JobTable& jobs, const MachineList& machines,
           const cartspring::Settings& settings, std::size_t most_connections, TimerWheel& wheel,
           AddTimer add_timer)
    : outside_(outside),
      sidecar_(sidecar),
      jobs_(jobs),
      machines_(machines),
      settings_(settings),
      most_connections_(most_connections),
      wheel_(wheel),
      add_timer_(std::move(add_timer)),
      choice_(settings) {}

void Pool::Start(const Claim& claim, const Job& job) {
  Begin({claim, false, std::stoull(job.request_id), job.klass, job.work_hint_ms, claim.until_ms,
         outside_.NowMs()});
}

void Pool::Probe(const std::string& node, const std::string& address) {
  const double now = outside_.NowMs();
  Exchange exchange;
  exchange.claim = {0, 0, node, address, now + kProbePatienceMs, kAnyTime};
  exchange.probe = true;
  exchange.until_ms = now + kProbePatienceMs;
  exchange.asked_ms = now;
  Begin(std::move(exchange));
}

void Pool::Begin(Exchange exchange) {
  const std::string &node = exchange.claim.node, &address = exchange.claim.address;
  const int kind = machines_.KindOf(node);
  while (const model::ConnectionId id =
             choice_.Take(outside_.NowMs(), node, kind, exchange.klass, exchange.work_ms)) {
    Connection& connection = connections_.at(id);
    if (connection.address == address) {
      Carry(id, connection, std::move(exchange));
      return Write(id, connection);
    }
    Close(id);
  }
  if (address.empty() || (connections_.size() >= most_connections_ && !MakeRoom())) {
    unsent_.push_back(std::move(exchange));
    return outside_.Defer(sidecar_);
  }
  const model::ConnectionId id = Open(node, address, exchange.attempt);
  Carry(id, connections_.at(id), std::move(exchange));
}

void Pool::Carry(model::ConnectionId id, Connection& connection, Exchange exchange) {
  if (!exchange.probe) out_[exchange.claim.job] = {exchange.claim.number, id};
  connection.busy = true;
  connection.exchange = std::move(exchange);
  connection.until_timer = add_timer_(connection.exchange.until_ms, [this, id] { OutOfTime(id); });
}

model::ConnectionId Pool::Open(const std::string& node, const std::string& address, model::TryId attempt) {
  const model::ConnectionId id = outside_.Dial(sidecar_, address, attempt);
  Connection& connection = connections_[id];
  connection.node = node;
  connection.address = address;
  connection.dialed_ms = outside_.NowMs();
  if (settings_.dial_timeout_ms > 0) {
    connection.dial_timer =
        add_timer_(connection.dialed_ms + settings_.dial_timeout_ms, [this, id] { DialFailed(id); });
  }
  return id;
}

void Pool::DialAhead(const std::string& node, const std::string& address) {
  if (machines_.IsLive(node) && connections_.size() < most_connections_) Open(node, address, 0);
}

void Pool::Write(model::ConnectionId id, Connection& connection) {
  connection.stage = Stage::kWaiting;
  connection.answered = false;
  connection.begun_ms = outside_.NowMs();
  choice_.Begun(id);
  const Exchange& exchange = connection.exchange;
  if (exchange.probe) return outside_.SendProbe(id);
  connection.claim =
      outside_.Send(id, exchange.attempt, exchange.claim.number, exchange.until_ms - outside_.NowMs());
}

void Pool::Dialed(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  wheel_.Cancel(connection.dial_timer);
  const double now = outside_.NowMs();
  choice_.Opened(now, id, connection.node, machines_.KindOf(connection.node), now - connection.dialed_ms);
  if (connection.busy && now <= connection.exchange.claim.out_by_ms) return Write(id, connection);
  if (connection.busy) return OutOfTime(id);  // a repeat that its node would not drop any more
  machines_.IsLive(connection.node) ? Idles(id, connection) : Close(id);
}

void Pool::DialFailed(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.stage != Stage::kDialing) return;
  if (!found->second.busy) return Close(id);
  Tell(id, found->second, false);
  ClaimEnd end;
  end.outcome = Outcome::kConnectFailed;
  End(found, std::move(end), false);
}

// Before anything was written, it never ran; after that it may have.
void Pool::OutOfTime(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || !found->second.busy) return;
  Tell(id, found->second, false);
  ClaimEnd end;
  end.outcome = found->second.stage == Stage::kWaiting ? Outcome::kTimeout : Outcome::kNotSent;
  End(found, std::move(end), false);
}

void Pool::Heard(model::ConnectionId id, const model::NodeAction& action) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  switch (action.what) {
    case model::NodeAction::What::kClose:
    case model::NodeAction::What::kReset:
      return Broke(found, action.worked_ms);
    case model::NodeAction::What::kAnswer:
    case model::NodeAction::What::kProbeAnswer:
      break;
    default:
      return;
  }
  if (connection.stage != Stage::kWaiting) return;
  connection.answered = true;
  if (IsWaitedFor(action.spoil)) return;
  if (connection.claim != 0) outside_.ClaimOver(connection.claim, HowOf(action.end), action.worked_ms);
  ClaimEnd end;
  end.outcome = OutcomeOf(action.end);
  if (action.end == model::ClaimEnd::kServed) {
    end.body = std::to_string(connection.claim) + " " + std::to_string(connection.exchange.attempt);
  }
  connection.claim = 0;
  if (action.has_report) {
    end.load = cartspring::LoadReport{static_cast<double>(action.report.inflight),
                                      static_cast<double>(action.report.queue)};
  }
  if (end.outcome == Outcome::kConnectionLost) Tell(id, connection, true);
  const bool clean = action.spoil == model::Spoil::kNone || action.spoil == model::Spoil::kBadReport ||
                     action.spoil == model::Spoil::kInterim;
  End(found, std::move(end), clean && machines_.IsLive(connection.node));
}

void Pool::Broke(Handle handle, double worked_ms) {
  const model::ConnectionId id = handle->first;
  Connection& connection = handle->second;
  if (!connection.busy) {
    const std::string node = connection.node, address = connection.address;
    const bool ahead = choice_.ClosedByNode(outside_.NowMs(), id);
    Close(id);
    if (ahead) DialAhead(node, address);
    return;
  }
  if (connection.claim != 0) outside_.ClaimOver(connection.claim, ClaimEnded::RESET, worked_ms);
  connection.claim = 0;
  Tell(id, connection, true);
  ClaimEnd end;
  end.outcome = Outcome::kConnectionLost;
  End(handle, std::move(end), false);
}

void Pool::Tell(model::ConnectionId id, const Connection& connection, bool broke) {
  const double now = outside_.NowMs();
  choice_.Ended(now, id, {connection.answered, broke, now - connection.begun_ms});
}

void Pool::End(Handle handle, ClaimEnd end, bool reusable) {
  const model::ConnectionId id = handle->first;
  Connection& connection = handle->second;
  wheel_.Cancel(connection.until_timer);
  connection.busy = false;
  const Exchange exchange = std::move(connection.exchange);
  // The connection is back in the pool, or closed, before anyone hears of it and may want one.
  if (reusable) {
    Tell(id, connection, false);
    Idles(id, connection);
  } else {
    Close(id);
  }
  Report(exchange, std::move(end));
}

void Pool::Idles(model::ConnectionId id, Connection& connection) {
  connection.stage = Stage::kIdle;
  choice_.Idles(outside_.NowMs(), id);
  if (!std::exchange(sweeping_, true)) Sweep();
}

void Pool::Sweep() {
  for (const model::ConnectionId id : choice_.Retire(outside_.NowMs())) Close(id);
  sweeping_ = choice_.Oldest() != 0;
  if (sweeping_) add_timer_(outside_.NowMs() + kSweepMs, [this] { Sweep(); });
}

void Pool::Report(const Exchange& exchange, ClaimEnd end) {
  const double now = outside_.NowMs();
  if (exchange.probe) {
    const bool answered = end.outcome == Outcome::kServed;
    return jobs_.NodeProbed(now, exchange.claim.node, answered, now - exchange.asked_ms, end.load);
  }
  const auto found = out_.find(exchange.claim.job);
  if (found != out_.end() && found->second.first == exchange.claim.number) out_.erase(found);
  jobs_.ClaimEnded(now, exchange.claim, std::move(end));
}

void Pool::GiveUp(JobId job, int number) {
  const auto found = out_.find(job);
  if (found == out_.end() || found->second.first != number) return;
  const model::ConnectionId id = found->second.second;
  out_.erase(found);
  Tell(id, connections_.at(id), false);
  Close(id);
}

void Pool::Withdraw(JobId job, int number) {
  const auto found = out_.find(job);
  if (found == out_.end() || found->second.first != number) return;
  Connection& connection = connections_.at(found->second.second);
  if (connection.stage != Stage::kDialing) return;
  out_.erase(found);
  connection.busy = false;  // it is kept for another once it is up
  wheel_.Cancel(connection.until_timer);
}

void Pool::Close(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection connection = std::move(found->second);
  connections_.erase(found);
  for (const auto timer : {connection.until_timer, connection.dial_timer}) wheel_.Cancel(timer);
  choice_.Closed(id);
  if (connection.claim != 0) outside_.ClaimOver(connection.claim, ClaimEnded::CANCELLED, 0);
  outside_.Close(id);
}

// Closes the connection that has idled longest.
bool Pool::MakeRoom() {
  if (const model::ConnectionId oldest = choice_.Oldest()) Close(oldest);
  return connections_.size() < most_connections_;
}

void Pool::Prune() {
  for (const model::ConnectionId id : choice_.Serving(machines_.Live())) Close(id);
}

void Pool::Deferred() {
  auto unsent = std::exchange(unsent_, {});
  for (const Exchange& exchange : unsent) {
    ClaimEnd end;
    end.outcome = Outcome::kNotSent;
    Report(exchange, std::move(end));
  }
}

void Pool::Drop() {
  std::vector<model::ConnectionId> all;
  for (const auto& [id, connection] : connections_) all.push_back(id);
  std::sort(all.begin(), all.end());
  for (const model::ConnectionId id : all) Close(id);
}

}  // namespace bitternmux::lab
