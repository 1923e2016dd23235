#include "simhost/wire.h"

#include <array>
#include <charconv>

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
    {"BEGUN", Kind::kStreamBegun},
    {"RESPONSE", Kind::kOutcome},
    {"CLIENT_GONE", Kind::kClientGone},
    {"RING", Kind::kTimer},
    {"PROBE_RESULT", Kind::kProbeResult},
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
  if (kind_ == Kind::kUnknown) return;  // the caller skips it; its fields are not validated
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

std::string_view Instance(const Line& line) { return line.Text("proxy"); }

BatchOpen ReadBatchOpen(const Line& line) { return {line.Number("clockMs"), std::string(line.Text("turn"))}; }

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
  out.give_up_ms = line.Number("notAfterMs");
  out.work_hint_ms = line.Number("workHintMs", 0);
  return out;
}

AttemptOutcome ReadOutcome(const Line& line) {
  AttemptOutcome out;
  out.id = line.Whole("corr");
  out.attempt = ToIndex(line.Whole("seqNo"), "seqNo");
  out.outcome = Lookup(kOutcomes, line.Text("outcome"), "outcome");
  out.request_over = line.Flag("terminal");
  out.took_ms = line.Number("tookMs", 0);
  out.report = ReadReport(line);
  return out;
}

std::pair<RequestId, int> ReadStreamBegun(const Line& line) {
  return {line.Whole("corr"), ToIndex(line.Whole("seqNo"), "seqNo")};
}

RequestId ReadClientGone(const Line& line) { return line.Whole("corr"); }
std::uint64_t ReadTimer(const Line& line) { return line.Whole("ctx"); }

ProbeResult ReadProbeResult(const Line& line) {
  ProbeResult out;
  out.host = line.Text("host");
  out.answered = line.Text("outcome") == "served";
  out.took_ms = line.Number("tookMs", 0);
  out.report = ReadReport(line);
  return out;
}

void ReplyWriter::Begin(std::string_view action) {
  reply_->append(action).append("\tproxy=").append(instance_);
}

void ReplyWriter::Send(RequestId id, const std::string& host, double give_up_ms, double /*out_by_ms*/) {
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
