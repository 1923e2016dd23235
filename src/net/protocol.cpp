#include "net/protocol.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>

#include "http/writer.h"

namespace bitternmux::net {

using cartspring::Outcome;

namespace {

constexpr std::size_t kLongestId = 128;
constexpr std::uint64_t kLongestPatienceMs = 24ull * 3600 * 1000;
constexpr double kBodyRoomMs = 1000;  // in which bodies that are being read come to their end

BadRequest Bad(std::string reason) { return {400, std::move(reason), {}}; }

// The value of a header that has to be there once.
std::optional<std::string_view> Only(const http::Message& message, std::string_view name) {
  return message.Count(name) == 1 ? message.Find(name) : std::nullopt;
}

// How long its caller waits, in milliseconds; none where the header does not say so rightly.
std::optional<double> PatienceOf(const http::Message& message) {
  const auto deadline = Only(message, "req-deadline-ms");
  const auto patience = deadline ? http::WholeNumber(*deadline) : std::nullopt;
  if (!patience || *patience == 0 || *patience > kLongestPatienceMs) return std::nullopt;
  return static_cast<double>(*patience);
}

std::string_view FirstPart(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

int ClassNamed(const cartspring::Settings& settings, std::string_view name) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    if (!settings.classes[i].retired && settings.classes[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

// What a message says for this hop alone (RFC 9110, 7.6.1), and what each claim is given anew. All else is
// for the end of the way, known here or not: an application's key for the effect, its tenant.
constexpr std::array<std::string_view, 14> kOfThisHop = {"connection",
                                                         "keep-alive",
                                                         "proxy-connection",
                                                         "proxy-authenticate",
                                                         "proxy-authorization",
                                                         "te",
                                                         "trailer",
                                                         "transfer-encoding",
                                                         "upgrade",
                                                         "expect",
                                                         "host",
                                                         "content-length",
                                                         "req-id",
                                                         "req-deadline-ms"};

std::vector<std::pair<std::string, std::string>> ForTheEnd(
    std::vector<std::pair<std::string, std::string>> headers) {
  std::string hops;  // that the submitter names
  for (const auto& [name, value] : headers) {
    if (name == "connection") hops.append(hops.empty() ? "" : ",").append(value);
  }
  std::erase_if(headers, [&](const auto& header) {
    return std::ranges::find(kOfThisHop, header.first) != kOfThisHop.end() || http::Lists(hops, header.first);
  });
  return headers;
}

std::string Decimal(double value) {
  std::array<char, 32> buffer;
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed, 3).ptr;
  return {buffer.data(), end};
}

}  // namespace

Asked ReadRequest(http::Message message, const cartspring::Settings& settings) {
  const std::string_view part = FirstPart(message.target);
  const bool ready = message.target == "/up";
  const int klass = ClassNamed(settings, part);
  if (klass < 0 && !ready) return BadRequest{404, "no such path", {}};
  const bool safe =
      ready || settings.classes[static_cast<std::size_t>(klass)].effect == cartspring::Effect::kSafe;
  const std::string method = safe ? "GET" : "POST";
  if (message.method != method) return BadRequest{405, "the path takes " + method, method};
  if (ready) return Ready{};

  if (message.Count("host") != 1) return Bad("Host must be there once");
  const auto id = Only(message, "req-id");
  if (!id || id->empty() || id->size() > kLongestId)
    return Bad("Req-Id must be there once, and not be longer");
  const auto kind = Only(message, "req-kind");
  if (!kind || *kind != part) return Bad("Req-Kind must be there once and name the class of the path");
  const auto patience = PatienceOf(message);
  if (!patience) {
    return Bad("Req-Deadline-Ms must be there once, in whole milliseconds above 0");
  }
  std::uint64_t cost_us = 0;
  if (const auto cost = message.Find("req-cost")) {
    const auto read = Only(message, "req-cost") ? http::WholeNumber(*cost) : std::nullopt;
    if (!read) return Bad("Req-Cost must be whole microseconds");
    cost_us = *read;
  }
  Job job;
  job.request_id = *id;
  job.klass = klass;
  job.patience_ms = *patience;
  job.work_hint_ms = static_cast<double>(cost_us) / 1000;
  job.headers = ForTheEnd(std::move(message.headers));
  job.method = std::move(message.method);
  job.target = std::move(message.target);
  if (!message.body.empty()) job.body = std::make_shared<const std::string>(std::move(message.body));
  return job;
}

Answer RefuseBody(const http::Message& request, const cartspring::Settings& settings) {
  Answer refused;
  refused.kind = Answer::Kind::kRefused;
  if (!settings.may_advise_retry) return refused;
  const double patience = PatienceOf(request).value_or(0);
  refused.retry_after_ms = std::min({settings.max_retry_after_ms, kBodyRoomMs, patience / 3});
  return refused;
}

std::string WriteAnswer(const Answer& answer, bool keep_alive) {
  switch (answer.kind) {
    case Answer::Kind::kServed: {
      http::Headers headers;
      if (!answer.content_type.empty()) headers.emplace_back("Content-Type", answer.content_type);
      return http::WriteResponse(200, headers, answer.body, keep_alive);
    }
    case Answer::Kind::kRefused: {
      http::Headers headers;
      if (answer.retry_after_ms > 0)
        headers.emplace_back("Retry-After", Decimal(answer.retry_after_ms / 1000));
      return http::WriteResponse(503, headers, {}, keep_alive);
    }
    case Answer::Kind::kTimedOut:
      return http::WriteResponse(504, {}, {}, keep_alive);
    case Answer::Kind::kFailed:
      break;
  }
  return http::WriteResponse(502, {}, {}, keep_alive);
}

std::string WriteReady(bool keep_alive) { return http::WriteResponse(200, {}, {}, keep_alive); }

std::string WriteBadRequest(const BadRequest& bad, bool keep_alive) {
  http::Headers headers;
  if (!bad.allow.empty()) headers.emplace_back("Allow", bad.allow);
  return http::WriteResponse(bad.status, headers, bad.reason + "\n", keep_alive);
}

std::string WriteClaim(const Job& job, const std::string& host, double wait_ms) {
  http::Headers headers = {
      {"Host", host},
      {"Req-Id", job.request_id},
      {"Req-Deadline-Ms", std::to_string(std::max(1L, std::lround(std::floor(wait_ms))))}};
  for (const auto& [name, value] : job.headers) headers.emplace_back(name, value);
  return http::WriteRequestHead(job.method, job.target, headers, job.body ? job.body->size() : 0);
}

std::string WriteProbe(const std::string& host) {
  return http::WriteRequest("GET", "/metrics/load", {{"Host", host}}, {});
}

// Guards rule 2 (no effect twice). What was not written to its last byte never began at the node; from that
// byte on, everything but the node's own word that it declined may have run.
Outcome ClassifyBreak(Stage stage, Break what) {
  // No fault of the node's: the job's time or our sockets ran out before anything was written whole.
  if (what == Break::kNoSocket) return Outcome::kNotSent;
  if (what == Break::kOutOfTime) return stage == Stage::kWaiting ? Outcome::kTimeout : Outcome::kNotSent;
  return stage == Stage::kWaiting ? Outcome::kConnectionLost : Outcome::kConnectFailed;
}

std::string WriteAnswerHead(const Answer& answer, http::Framing framing, bool keep_alive) {
  http::Headers headers;
  if (!answer.content_type.empty()) headers.emplace_back("Content-Type", answer.content_type);
  return http::WriteResponseHead(200, headers, framing, answer.length, keep_alive);
}

ClaimEnd ClassifyAnswer(http::Message message) {
  ClaimEnd end;
  if (const auto load = message.Find("srv-load")) end.load = ReadLoad(*load);
  if (message.status == 200) {
    end.outcome = Outcome::kServed;
    end.content_type = message.Find("content-type").value_or("");
    end.body = std::move(message.body);
  } else if ((message.status == 503 || message.status == 504) && message.Find("srv-declined") == "1") {
    end.outcome = Outcome::kRefusedByHost;
  } else {
    end.outcome = Outcome::kError;
  }
  return end;
}

std::optional<cartspring::LoadReport> ReadLoad(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return std::nullopt;
  // The settings name the fields in the wire's words; the protocol's page shows them in the simulator's.
  // Guards against a report that is there but never read: without one the module ranks blindly, and nothing
  // shows it.
  const auto figure = [&](const char* name, const char* other) {
    const auto found = json.contains(name) ? json.find(name) : json.find(other);
    const double value = found != json.end() && found->is_number() ? found->get<double>() : -1;
    return std::isfinite(value) && value >= 0 ? value : -1;
  };
  const cartspring::LoadReport report{figure("active", "inflight"), figure("waiting", "queue")};
  if (report.in_flight < 0 && report.queue < 0) return std::nullopt;
  return report;
}

namespace {

const nlohmann::json& Field(const nlohmann::json& object, const char* key, const std::string& at) {
  const auto found = object.find(key);
  if (found == object.end()) throw ListError(at + key + ": missing");
  return *found;
}

std::string TextField(const nlohmann::json& object, const char* key, const std::string& at) {
  const auto& value = Field(object, key, at);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    throw ListError(at + key + ": must be a text");
  }
  return value;
}

double NumberField(const nlohmann::json& object, const char* key, double absent, const std::string& at) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return absent;
  if (!found->is_number() || !std::isfinite(found->get<double>()) || found->get<double>() < 0) {
    throw ListError(at + key + ": must be a number of 0 or more");
  }
  return *found;
}

bool IsAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == text.npos) return false;
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  const auto port = http::WholeNumber(std::string_view(text).substr(colon + 1));
  return !error && port && *port > 0 && *port <= 65535;
}

Machine ReadMachine(const nlohmann::json& json, const std::string& at) {
  if (!json.is_object()) throw ListError(at + " must be an object");
  Machine out;
  out.id = TextField(json, "id", at);
  const std::string phase = TextField(json, "phase", at);
  if (phase == "SERVING") {
    out.state = cartspring::HostState::kLive;
  } else if (phase == "DRAINING") {
    out.state = cartspring::HostState::kDraining;
  } else if (phase == "DELETED") {
    out.state = cartspring::HostState::kGone;
    return out;  // its other figures no longer matter, and may be missing
  } else {
    throw ListError(at + "phase: unknown: '" + phase + "'");
  }
  out.address = TextField(json, "host_port", at);
  if (!IsAddress(out.address)) throw ListError(at + "host_port: no ip:port: '" + out.address + "'");
  out.zone = json.value("locality", nlohmann::json()).is_null() ? "" : TextField(json, "locality", at);
  out.kind = json.value("flavor", nlohmann::json()).is_null() ? "" : TextField(json, "flavor", at);
  out.cell = static_cast<int>(std::min(1e6, NumberField(json, "cell", 0, at)));
  out.size = NumberField(json, "size", 1, at);
  out.up_since_ms = NumberField(json, "up_since_ms", 0, at);
  return out;
}

}  // namespace

MachineUpdate ReadMachineUpdate(const nlohmann::json& json) {
  if (!json.is_object()) throw ListError("the list must be an object");
  MachineUpdate out;
  const auto& revision = Field(json, "revision", "");
  if (!revision.is_number_integer()) throw ListError("revision: must be a whole number");
  out.revision = revision;
  const auto& complete = Field(json, "complete", "");
  if (!complete.is_boolean()) throw ListError("complete: must be true or false");
  out.complete = complete;
  const auto& members = Field(json, "members", "");
  if (!members.is_array()) throw ListError("members: must be a list");
  for (std::size_t i = 0; i < members.size(); ++i) {
    out.machines.push_back(ReadMachine(members[i], "members." + std::to_string(i) + "."));
  }
  return out;
}

std::string WriteWholeList(const std::string& host) {
  return http::WriteRequest("GET", "/discovery/hosts", {{"Host", host}}, {});
}

std::string WriteWatch(const std::string& host, std::int64_t since) {
  return http::WriteRequest("GET", "/discovery/hosts?follow=1&since=" + std::to_string(since),
                            {{"Host", host}}, {});
}

}  // namespace bitternmux::net
