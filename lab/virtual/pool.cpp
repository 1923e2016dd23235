#include "lab/virtual/pool.h"

#include <algorithm>
#include <charconv>

namespace bitternmux::lab {
namespace {

using cartspring::Outcome;
using record::ClaimEnded;

constexpr double kIdleShare = 0.5;        // as in the sidecar's pool
constexpr double kProbePatienceMs = 500;  // likewise

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
      add_timer_(std::move(add_timer)) {}

void Pool::Start(const Claim& claim, const Job& job) {
  Begin({claim, false, std::stoull(job.request_id), claim.until_ms, outside_.NowMs()});
}

void Pool::Probe(const std::string& node, const std::string& address) {
  const double now = outside_.NowMs();
  Begin({{0, 0, node, address, now + kProbePatienceMs}, true, 0, now + kProbePatienceMs, now});
}

void Pool::Begin(Exchange exchange) {
  model::ConnectionId id = 0;
  if (!TakeIdle(exchange, id)) {
    if (exchange.claim.address.empty() || (connections_.size() >= most_connections_ && !MakeRoom())) {
      unsent_.push_back(std::move(exchange));
      return outside_.Defer(sidecar_);
    }
    id = outside_.Dial(sidecar_, exchange.claim.address);
    Connection& connection = connections_[id];
    connection.node = exchange.claim.node;
    connection.address = exchange.claim.address;
  }
  Carry(id, connections_.at(id), std::move(exchange));
}

void Pool::Carry(model::ConnectionId id, Connection& connection, Exchange exchange) {
  if (!exchange.probe) out_[exchange.claim.job] = {exchange.claim.number, id};
  wheel_.Cancel(connection.idle_timer);
  connection.exchange = std::move(exchange);
  connection.until_timer = add_timer_(connection.exchange.until_ms, [this, id] { OutOfTime(id); });
  if (connection.stage != Stage::kDialing) return Write(id, connection);
  if (settings_.dial_timeout_ms > 0) {
    connection.dial_timer =
        add_timer_(outside_.NowMs() + settings_.dial_timeout_ms, [this, id] { DialFailed(id); });
  }
}

void Pool::Write(model::ConnectionId id, Connection& connection) {
  connection.stage = Stage::kWaiting;
  const Exchange& exchange = connection.exchange;
  if (exchange.probe) return outside_.SendProbe(id);
  connection.claim =
      outside_.Send(id, exchange.attempt, exchange.claim.number, exchange.until_ms - outside_.NowMs());
}

void Pool::Dialed(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  wheel_.Cancel(found->second.dial_timer);
  Write(id, found->second);
}

void Pool::DialFailed(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.stage != Stage::kDialing) return;
  ClaimEnd end;
  end.outcome = Outcome::kConnectFailed;
  End(found, std::move(end), false);
}

// Before anything was written, it never ran; after that it may have.
void Pool::OutOfTime(model::ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.stage == Stage::kIdle) return;
  ClaimEnd end;
  end.outcome = found->second.stage == Stage::kWaiting ? Outcome::kTimeout : Outcome::kNotSent;
  End(found, std::move(end), false);
}

void Pool::Heard(model::ConnectionId id, const model::NodeAction& action) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  ClaimEnd end;
  switch (action.what) {
    case model::NodeAction::What::kClose:
    case model::NodeAction::What::kReset:
      if (connection.stage == Stage::kIdle) return Close(id, false);
      if (connection.claim != 0) outside_.ClaimOver(connection.claim, ClaimEnded::RESET, action.worked_ms);
      connection.claim = 0;
      end.outcome = Outcome::kConnectionLost;
      return End(found, std::move(end), false);
    case model::NodeAction::What::kAnswer:
    case model::NodeAction::What::kProbeAnswer:
      break;
    default:
      return;
  }
  if (connection.stage != Stage::kWaiting || IsWaitedFor(action.spoil)) return;
  if (connection.claim != 0) outside_.ClaimOver(connection.claim, HowOf(action.end), action.worked_ms);
  end.outcome = OutcomeOf(action.end);
  if (action.end == model::ClaimEnd::kServed) {
    end.body = std::to_string(connection.claim) + " " + std::to_string(connection.exchange.attempt);
  }
  connection.claim = 0;
  if (action.has_report) {
    end.load = cartspring::LoadReport{static_cast<double>(action.report.inflight),
                                      static_cast<double>(action.report.queue)};
  }
  const bool clean = action.spoil == model::Spoil::kNone || action.spoil == model::Spoil::kBadReport ||
                     action.spoil == model::Spoil::kInterim;
  End(found, std::move(end), clean && machines_.IsLive(connection.node));
}

void Pool::End(Handle handle, ClaimEnd end, bool reusable) {
  const model::ConnectionId id = handle->first;
  Connection& connection = handle->second;
  wheel_.Cancel(connection.until_timer);
  const Exchange exchange = std::move(connection.exchange);
  // The connection is back in the pool, or closed, before anyone hears of it and may want one.
  if (reusable) {
    connection.stage = Stage::kIdle;
    connection.idle_since = outside_.NowMs();
    const double retire_ms = kIdleShare * settings_.connection_idle_ms;
    if (retire_ms > 0) {
      connection.idle_timer = add_timer_(connection.idle_since + retire_ms, [this, id] { Close(id, true); });
    }
    idle_[connection.node].push_back(id);
  } else {
    Close(id, true);
  }
  Tell(exchange, std::move(end));
}

void Pool::Tell(const Exchange& exchange, ClaimEnd end) {
  const double now = outside_.NowMs();
  if (exchange.probe) {
    const bool answered = end.outcome == Outcome::kServed;
    return jobs_.NodeProbed(now, exchange.claim.node, answered, now - exchange.asked_ms, end.load);
  }
  out_.erase(exchange.claim.job);
  jobs_.ClaimEnded(now, exchange.claim, std::move(end));
}

void Pool::GiveUp(JobId job, int number) {
  const auto found = out_.find(job);
  if (found == out_.end() || found->second.first != number) return;
  const model::ConnectionId id = found->second.second;
  out_.erase(found);
  Close(id, true);
}

void Pool::Close(model::ConnectionId id, bool by_sidecar) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const Connection connection = std::move(found->second);
  connections_.erase(found);
  for (const auto timer : {connection.until_timer, connection.dial_timer, connection.idle_timer}) {
    wheel_.Cancel(timer);
  }
  if (connection.claim != 0) outside_.ClaimOver(connection.claim, ClaimEnded::CANCELLED, 0);
  if (by_sidecar) outside_.Close(id);
  const auto idle = idle_.find(connection.node);
  if (idle == idle_.end()) return;
  std::erase(idle->second, id);
  if (idle->second.empty()) idle_.erase(idle);
}

bool Pool::TakeIdle(const Exchange& exchange, model::ConnectionId& id) {
  for (auto found = idle_.find(exchange.claim.node); found != idle_.end();
       found = idle_.find(exchange.claim.node)) {
    id = found->second.back();
    if (connections_.at(id).address == exchange.claim.address) {
      found->second.pop_back();
      if (found->second.empty()) idle_.erase(found);
      return true;
    }
    Close(id, true);
  }
  return false;
}

// Closes the connection that has idled longest.
bool Pool::MakeRoom() {
  model::ConnectionId idlest = 0;
  double since = 0;
  for (const auto& [node, idle] : idle_) {
    const double front = connections_.at(idle.front()).idle_since;
    if (idlest != 0 && front >= since) continue;
    idlest = idle.front();
    since = front;
  }
  if (idlest != 0) Close(idlest, true);
  return connections_.size() < most_connections_;
}

void Pool::Prune() {
  std::vector<model::ConnectionId> closing;
  for (const auto& [node, idle] : idle_) {
    if (!machines_.IsLive(node)) closing.insert(closing.end(), idle.begin(), idle.end());
  }
  for (const model::ConnectionId id : closing) Close(id, true);
}

void Pool::Deferred() {
  auto unsent = std::exchange(unsent_, {});
  for (const Exchange& exchange : unsent) {
    ClaimEnd end;
    end.outcome = Outcome::kNotSent;
    Tell(exchange, std::move(end));
  }
}

void Pool::Drop() {
  std::vector<model::ConnectionId> all;
  for (const auto& [id, connection] : connections_) all.push_back(id);
  std::sort(all.begin(), all.end());
  for (const model::ConnectionId id : all) Close(id, true);
}

}  // namespace bitternmux::lab
