#include "wire.h"

#include <array>
#include <charconv>
#include <cmath>

namespace cartspring::wire {
namespace {

constexpr std::array<std::pair<std::string_view, Kind>, 13> kNames = {{
    {"ROUND", Kind::kBatchOpen},
    {"OVER_TO_YOU", Kind::kBatchClose},
    {"SPAWN", Kind::kStart},
    {"POWER_OFF", Kind::kStop},
    {"INVENTORY", Kind::kList},
    {"ROW", Kind::kListRow},
    {"SYNC", Kind::kHosts},
    {"WORK_ITEM", Kind::kRequest},
    {"BEGUN", Kind::kBegun},
    {"RESPONSE", Kind::kOutcome},
    {"CLIENT_GONE", Kind::kClientGone},
    {"RING", Kind::kTimer},
    {"PROBE_RESULT", Kind::kProbed},
}};

constexpr std::array<std::pair<std::string_view, Outcome>, 8> kOutcomes = {{
    {"served", Outcome::kServed},
    {"server_error", Outcome::kError},
    {"turned_away", Outcome::kRefusedByHost},
    {"no_answer", Outcome::kTimeout},
    {"no_connection", Outcome::kConnectFailed},
    {"connection_lost", Outcome::kConnectionLost},
    {"called_off", Outcome::kCancelled},
    {"not_sent", Outcome::kNotSent},
}};

std::string Quoted(std::string_view text) { return "'" + std::string(text.substr(0, 80)) + "'"; }

template <typename Table>
auto Lookup(const Table& table, std::string_view word, std::string_view what) {
  for (const auto& [name, value] : table) {
    if (name == word) return value;
  }
  throw ParseError("unknown " + std::string(what) + " " + Quoted(word));
}

double ToNumber(std::string_view text, std::string_view field) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    throw ParseError(std::string(field) + " is no number: " + Quoted(text));
  }
  return value;
}

std::uint64_t ToWhole(std::string_view text, std::string_view field) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ParseError(std::string(field) + " is no whole number: " + Quoted(text));
  }
  return value;
}

int ToIndex(std::uint64_t value, std::string_view field) {
  if (value > 1'000'000) throw ParseError(std::string(field) + " is out of range: " + std::to_string(value));
  return static_cast<int>(value);
}

bool ToFlag(std::string_view text, std::string_view field) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw ParseError(std::string(field) + " is neither 0 nor 1: " + Quoted(text));
}

LoadReport ToReport(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const auto pair = text.substr(0, comma);
    const auto colon = pair.find(':');
    if (colon == std::string_view::npos) throw ParseError("report without a value: " + Quoted(pair));
    const auto name = pair.substr(0, colon);
    const double value = ToNumber(pair.substr(colon + 1), name);
    if (name == "active") report.in_flight = value;
    if (name == "waiting") report.queue = value;
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return report;
}

std::optional<LoadReport> ReadReport(const Line& line) {
  const auto text = line.Find("report");
  if (!text) return std::nullopt;
  return ToReport(*text);
}

RequestClass ReadClass(const Line& line, const std::string& at) {
  RequestClass out;
  out.aim_ms = line.Number(at + "promiseMs");
  out.aim_stretch = line.Number(at + "aimStretch", 0);
  out.deadline_ms = line.Number(at + "deadlineMs");
  out.worth = line.Number(at + "worth", 1);
  out.late_worth = line.Number(at + "lateWorth", 0);
  constexpr std::array<std::pair<std::string_view, Effect>, 3> kEffects = {
      {{"free", Effect::kSafe}, {"guarded", Effect::kKeyed}, {"single_shot", Effect::kUnsafe}}};
  constexpr std::array<std::pair<std::string_view, RepeatGroup>, 3> kGroups = {
      {{"all", RepeatGroup::kAll}, {"zone", RepeatGroup::kZone}, {"cell", RepeatGroup::kCell}}};
  out.effect = Lookup(kEffects, line.Text(at + "effect"), "effect");
  if (out.effect == Effect::kKeyed) {
    out.group = Lookup(kGroups, line.Text(at + "group"), "group");
    out.repeat_window_ms = line.Number(at + "windowMs");
  }
  out.streaming = line.Flag(at + "streaming");
  return out;
}

void AppendNumber(double value, std::string* out) {
  std::array<char, 32> buffer;
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, 3);
  out->append(buffer.data(), result.ptr);
}

}  // namespace

Line::Line(std::string_view text) {
  auto tab = text.find('\t');
  name_ = text.substr(0, tab);
  if (name_.empty()) throw ParseError("a line without a message name");
  for (const auto& [name, kind] : kNames) {
    if (name == name_) kind_ = kind;
  }
  if (kind_ == Kind::kUnknown) return;  // skipped by the reader, whatever its parts look like
  while (tab != std::string_view::npos) {
    text.remove_prefix(tab + 1);
    tab = text.find('\t');
    const auto part = text.substr(0, tab);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      throw ParseError("a part without a name and a value: " + Quoted(part));
    }
    fields_.emplace_back(part.substr(0, equals), part.substr(equals + 1));
  }
}

std::optional<std::string_view> Line::Find(std::string_view field) const {
  for (const auto& [name, value] : fields_) {
    if (name == field) return value;
  }
  return std::nullopt;
}

std::string_view Line::Text(std::string_view field) const {
  const auto value = Find(field);
  if (!value || value->empty()) throw ParseError("no " + std::string(field));
  return *value;
}

double Line::Number(std::string_view field) const { return ToNumber(Text(field), field); }

double Line::Number(std::string_view field, double absent) const {
  const auto value = Find(field);
  return value ? ToNumber(*value, field) : absent;
}

std::uint64_t Line::Whole(std::string_view field) const { return ToWhole(Text(field), field); }

std::uint64_t Line::Whole(std::string_view field, std::uint64_t absent) const {
  const auto value = Find(field);
  return value ? ToWhole(*value, field) : absent;
}

bool Line::Flag(std::string_view field) const {
  const auto value = Find(field);
  return value && ToFlag(*value, field);
}

std::string_view Instance(const Line& line) { return line.Text("proxy"); }

BatchOpen ReadBatchOpen(const Line& line) { return {line.Number("clockMs"), std::string(line.Text("turn"))}; }

Settings ReadSettings(const Line& line) {
  Settings out;
  for (std::uint64_t i = 0, count = line.Whole("services.count"); i < count; ++i) {
    out.classes.push_back(ReadClass(line, "services." + std::to_string(i) + "."));
  }
  for (std::uint64_t i = 0, count = line.Whole("tenants.count", 0); i < count; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    out.tenants.push_back({line.Number(at + "portion", 0), line.Number(at + "quotaRps", 0)});
  }
  constexpr std::array<std::pair<std::string_view, Reporting>, 3> kReporting = {
      {{"answers", Reporting::kAnswers}, {"probe", Reporting::kProbe}, {"none", Reporting::kNone}}};
  out.reporting = Lookup(kReporting, line.Text("feedback.via"), "feedback.via");
  out.own_zone = ToIndex(line.Whole("az", 0), "az");
  out.balancers = ToIndex(line.Whole("balancers", 1), "balancers");
  out.tick_ms = line.Number("tickMs", 1);
  const auto weights = line.Find("weights").value_or("none");
  out.weights_known = weights == "nominal" || weights == "rough";
  out.may_probe = line.Flag("bounds.probes");
  out.may_cancel = line.Flag("bounds.mayCancel");
  out.may_duplicate = line.Flag("bounds.mayDuplicate");
  out.may_advise_retry = line.Flag("bounds.retryAfter");
  out.must_subscribe = line.Find("discovery").value_or("automatic") == "subscribe";
  out.max_attempts = ToIndex(line.Whole("bounds.sendCap"), "bounds.sendCap");
  out.max_retry_after_ms = line.Number("bounds.maxRetryAfterMs", 0);
  out.worth_by_work = line.Find("worthBy").value_or("request") == "work";
  out.over_share_worth = line.Number("overShareWorth", 1);
  out.ask_within_ms = line.Number("contract.askWithinMs", 0);
  out.drain_grace_ms = line.Number("contract.drainGraceMs", 0);
  out.cold_from = line.Number("contract.coldFrom", 1);
  out.warm_within_ms = line.Number("contract.warmWithinMs", 0);
  out.fall_multiple = line.Number("contract.fallMultiple", 1);
  out.fall_ms = line.Number("contract.fallMs", 0);
  out.probe_price = line.Number("prices.probe", 0);
  out.handshake_price = line.Number("prices.handshake", 0);
  out.connection_idle_ms = line.Number("bounds.connIdleMs", 0);
  out.cross_zone_price = line.Number("prices.crossZone", 0);
  return out;
}

std::uint64_t ReadSeed(const Line& line) { return line.Whole("randomSeed"); }
std::uint64_t ReadListNumber(const Line& line) { return line.Whole("sheet"); }
std::uint64_t ReadListRows(const Line& line) { return line.Whole("rows"); }

HostEntry ReadHostEntry(const Line& line) {
  constexpr std::array<std::pair<std::string_view, HostState>, 3> kStates = {
      {{"live", HostState::kLive}, {"quiescing", HostState::kDraining}, {"dead", HostState::kGone}}};
  HostEntry out;
  out.host = line.Text("host");
  out.zone = ToIndex(line.Whole("area", 0), "area");
  out.kind = ToIndex(line.Whole("familyType", 0), "familyType");
  out.cell = ToIndex(line.Whole("cluster", 0), "cluster");
  out.state = Lookup(kStates, line.Text("state"), "state");
  out.weight = line.Number("weight", 1);
  out.started_ms = line.Number("cameUpMs", 0);
  return out;
}

Hosts ReadHosts(const Line& line) {
  constexpr std::array<std::pair<std::string_view, Hosts::Scope>, 4> kScopes = {
      {{"changes", Hosts::Scope::kChanges},
       {"all", Hosts::Scope::kAll},
       {"remembered", Hosts::Scope::kRemembered},
       {"refused", Hosts::Scope::kRefused}}};
  Hosts out;
  out.scope = Lookup(kScopes, line.Text("kind"), "kind");
  if (out.scope != Hosts::Scope::kRefused) out.list = line.Whole("sheet");
  return out;
}

Request ReadRequest(const Line& line) {
  Request out;
  out.id = line.Whole("corr");
  out.klass = ToIndex(line.Whole("type"), "type");
  out.tenant = ToIndex(line.Whole("owner", 0), "owner");
  out.give_up_ms = line.Number("notAfterMs");
  out.work_hint_ms = line.Number("workHintMs", 0);
  out.client_retry = line.Flag("resent");
  return out;
}

Ended ReadOutcome(const Line& line) {
  Ended out;
  out.id = line.Whole("corr");
  out.attempt = ToIndex(line.Whole("seqNo"), "seqNo");
  out.outcome = Lookup(kOutcomes, line.Text("outcome"), "outcome");
  out.request_over = line.Flag("terminal");
  out.took_ms = line.Number("tookMs", 0);
  out.report = ReadReport(line);
  return out;
}

std::pair<RequestId, int> ReadBegun(const Line& line) {
  return {line.Whole("corr"), ToIndex(line.Whole("seqNo"), "seqNo")};
}

RequestId ReadClientGone(const Line& line) { return line.Whole("corr"); }
std::uint64_t ReadTimer(const Line& line) { return line.Whole("ctx"); }

Probed ReadProbed(const Line& line) {
  Probed out;
  out.host = line.Text("host");
  out.answered = line.Text("outcome") == "served";
  out.took_ms = line.Number("tookMs", 0);
  out.report = ReadReport(line);
  return out;
}

void ReplyWriter::Begin(std::string_view action) {
  reply_->append(action).append("\tproxy=").append(instance_);
}

void ReplyWriter::Send(RequestId id, const std::string& host, double give_up_ms) {
  Begin("PLACE");
  reply_->append("\tcorr=").append(std::to_string(id)).append("\tuntilMs=");
  AppendNumber(give_up_ms, reply_);
  reply_->append("\thost=").append(host).append("\n");
}

void ReplyWriter::Cancel(RequestId id, int attempt) {
  Begin("ABANDON");
  reply_->append("\tcorr=").append(std::to_string(id));
  reply_->append("\tseqNo=").append(std::to_string(attempt)).append("\n");
}

void ReplyWriter::Refuse(RequestId id, double retry_after_ms) {
  Begin("REFUSE");
  reply_->append("\tcorr=").append(std::to_string(id));
  if (retry_after_ms > 0) {
    reply_->append("\tnotBeforeForMs=");
    AppendNumber(retry_after_ms, reply_);
  }
  reply_->append("\n");
}

void ReplyWriter::Fail(RequestId id) {
  Begin("SURRENDER");
  reply_->append("\tcorr=").append(std::to_string(id)).append("\n");
}

void ReplyWriter::Probe(const std::string& host) {
  Begin("INSPECT");
  reply_->append("\thost=").append(host).append("\n");
}

void ReplyWriter::Subscribe() {
  Begin("LISTEN");
  reply_->append("\tactive=1\n");
}

void ReplyWriter::SetTimer(double at_ms, std::uint64_t token) {
  Begin("DEFER");
  reply_->append("\talarmTimeMs=");
  AppendNumber(at_ms, reply_);
  reply_->append("\tctx=").append(std::to_string(token)).append("\n");
}

void ReplyWriter::Log(const std::string& line) {
  Begin("JOURNAL_LINE");
  reply_->append("\ttext=").append(line).append("\n");
}

void WriteBroken(std::string_view instance, std::string_view text, std::string* reply) {
  reply->append("BROKEN\tproxy=").append(instance).append("\ttext=").append(text).append("\n");
}

void WriteEnd(std::string_view turn, std::string* reply) {
  reply->append("END\tturn=").append(turn).append("\n");
}

}  // namespace cartspring::wire
