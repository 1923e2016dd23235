#include "control/operator_service.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "control/api_responses.h"
#include "events/fleet_catalogue.h"
#include "fleet/validation/validation.h"

namespace bitternmux::control {
namespace {

constexpr std::string_view kEvacuations = "/evacuations";
constexpr std::string_view kEvacuation = "/evacuations/";  // and the name of a zone
constexpr std::size_t kMaxZoneBytes = 256;
constexpr std::size_t kMaxConfigurationBytes = 5 * 1024 * 1024;
constexpr std::size_t kMaxLoggedPathBytes = 256;

ApiResponse Evacuations(const fleet::CallAnswer& answer) {
  return JsonResponse({{"zones", answer.evacuated}});
}

ApiResponse Version(const fleet::CallAnswer& answer) { return JsonResponse({{"version", answer.version}}); }

ApiResponse Configuration(const fleet::CallAnswer& answer) {
  if (answer.version == 0) return ErrorResponse(404, "there is no configuration yet");
  return {200, "", "", 0, answer.configuration};
}

// A caller chooses methods and paths: what is not served is counted under one name, so that there are few.
std::string NameForCount(std::string_view method, std::string_view path) {
  constexpr std::array<std::string_view, 4> kMethods = {"GET", "PUT", "POST", "DELETE"};
  constexpr std::array<std::string_view, 4> kFirstParts = {"/config", "/evacuations", "/tallies", "/status"};
  constexpr std::string_view kOther = "other";
  const std::string_view first_part = path.substr(0, path.find('/', 1));
  const bool served = std::ranges::find(kMethods, method) != kMethods.end() &&
                      std::ranges::find(kFirstParts, first_part) != kFirstParts.end();
  return served ? std::string(method).append(" ").append(first_part) : std::string(kOther);
}

// The server hands paths out decoded.
std::string EncodedPath(const std::string& path) {
  constexpr std::string_view kPlain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char byte : path) {
    if (kPlain.find(byte) != std::string_view::npos) {
      encoded += byte;
      continue;
    }
    const auto code = static_cast<unsigned char>(byte);
    encoded += '%';
    encoded += kHex[code / 16];
    encoded += kHex[code % 16];
  }
  return encoded;
}

}  // namespace

ApiResponse OperatorService::ResponseTo(const OpenCall& call, const fleet::CallAnswer& answer) {
  const std::string version = std::to_string(answer.version);
  const bool evacuations = call.kind == OpenCall::Kind::kEvacuations;
  switch (answer.reply.outcome) {
    case fleet::CallOutcome::kTaken:
      return evacuations ? Evacuations(answer) : Version(answer);
    case fleet::CallOutcome::kConflict:
      return ErrorResponse(412, "version " + version + " is in place");
    case fleet::CallOutcome::kOld:
      return ErrorResponse(400, "the version is not above " + version);
    case fleet::CallOutcome::kRead:
      return evacuations ? Evacuations(answer) : Configuration(answer);
    case fleet::CallOutcome::kRedirected:
      return {307, "", "http://" + answer.reply.owner.control + EncodedPath(call.path), 0};
    case fleet::CallOutcome::kUnavailable:
      return ErrorResponse(503,
                           "no owner of the configuration is known; send the same again, here or elsewhere");
    case fleet::CallOutcome::kUndecided:
      return ErrorResponse(504, "not decided in time; send the same again");
  }
  return ErrorResponse(500, "");
}

// One byte more than an add may have, so that its service says what is wrong with it.
std::size_t OperatorService::MaxBodyBytes(std::string_view method, std::string_view path) {
  if (method == "PUT" && path == "/config") return kMaxConfigurationBytes;
  if (method == "POST" && path.starts_with(TallyService::kPathPrefix))
    return TallyService::kMostBodyBytes + 1;
  return 0;
}

// Answers come on this thread, and the service outlives its calls.
void OperatorService::Serve(double now_ms, ApiRequest request, const ApiRespond& respond) {
  const std::string method = request.method;
  const std::string path = request.path;
  Route(now_ms, std::move(request), [this, method, path, respond](ApiResponse response) {
    Count(method, path, response.status);
    respond(std::move(response));
  });
}

void OperatorService::Count(const std::string& method, const std::string& path, int status) {
  ++counts_[NameForCount(method, path) + " " + std::to_string(status)];
  if (status / 100 != 4) return;
  const std::string logged = path.substr(0, kMaxLoggedPathBytes);
  const std::string call = method + " " + logged.substr(0, logged.find('/', 1));
  events_.Write(fleet_events::kCallRefused, {{"call", call}, {"path", logged}, {"status", status}});
}

void OperatorService::Route(double now_ms, ApiRequest request, const ApiRespond& respond) {
  if (request.path == "/status" && request.method == "GET") return respond({200, status_(), "", 0});
  if (request.path.starts_with(TallyService::kPathPrefix)) return tallies_.Serve(now_ms, request, respond);
  if (request.path == "/config") return ServeConfiguration(now_ms, std::move(request), respond);
  if (request.path == kEvacuations) return ServeEvacuations(now_ms, request, respond);
  if (request.path.starts_with(kEvacuation)) return ServeEvacuation(now_ms, request, respond);
  respond(ErrorResponse(404, "no such path; there are /config, /evacuations, /tallies/NAME and /status"));
}

std::uint64_t OperatorService::Open(OpenCall::Kind kind, const std::string& path, const ApiRespond& respond) {
  const std::uint64_t id = ++last_call_;
  open_[id] = {kind, path, respond};
  return id;
}

// ---- The configuration ----

void OperatorService::ServeConfiguration(double now_ms, ApiRequest request, const ApiRespond& respond) {
  if (request.method == "PUT") return ServePut(now_ms, std::move(request), respond);
  if (request.method != "GET") return respond(ErrorResponse(405, "GET or PUT"));
  core_.Get(now_ms, Open(OpenCall::Kind::kConfiguration, request.path, respond));
}

void OperatorService::ServePut(double now_ms, ApiRequest request, const ApiRespond& respond) {
  if (request.if_match_malformed || !request.if_match) {
    return respond(ErrorResponse(400, "If-Match has to name the version that the change builds on"));
  }
  fleet::Order order;
  try {
    order.version = fleet::ValidateConfiguration(request.body).version;
  } catch (const fleet::ConfigurationError& error) {
    return respond(ErrorResponse(400, error.what()));
  }
  order.builds_on = *request.if_match;
  order.digest = fleet::DigestOf(request.body);
  order.text = std::move(request.body);
  core_.Put(now_ms, Open(OpenCall::Kind::kConfiguration, request.path, respond), std::move(order));
}

// ---- Evacuations ----

void OperatorService::ServeEvacuations(double now_ms, const ApiRequest& request, const ApiRespond& respond) {
  if (request.method != "GET")
    return respond(ErrorResponse(405, "GET, or POST and DELETE of /evacuations/ZONE"));
  core_.Get(now_ms, Open(OpenCall::Kind::kEvacuations, request.path, respond));
}

void OperatorService::ServeEvacuation(double now_ms, const ApiRequest& request, const ApiRespond& respond) {
  const bool begins = request.method == "POST";
  if (!begins && request.method != "DELETE") return respond(ErrorResponse(405, "POST or DELETE"));
  std::string zone = request.path.substr(kEvacuation.size());
  if (zone.empty() || zone.size() > kMaxZoneBytes) {
    return respond(
        ErrorResponse(400, "the name of a zone has 1 to " + std::to_string(kMaxZoneBytes) + " bytes"));
  }
  if (!KnowsZone(zone)) return respond(ErrorResponse(404, "no zone of that name is known: " + zone));
  const std::uint64_t id = Open(OpenCall::Kind::kEvacuations, request.path, respond);
  core_.Evacuate(now_ms, id, {std::move(zone), begins});
}

// The settings may have lost a zone that servers still stand in, or that was evacuated before.
bool OperatorService::KnowsZone(const std::string& zone) const {
  if (std::ranges::find(zones_, zone) != zones_.end()) return true;
  const fleet::FeedState& known = core_.publisher().state();
  if (std::ranges::find(known.evacuations.zones, zone) != known.evacuations.zones.end()) return true;
  return std::ranges::any_of(known.servers, [&](const auto& entry) { return entry.second.zone == zone; });
}

// ---- Answers ----

void OperatorService::Answer(const fleet::CallAnswer& answer) {
  const auto found = open_.find(answer.reply.id);
  if (found == open_.end()) return;
  const OpenCall call = std::move(found->second);
  open_.erase(found);
  call.respond(ResponseTo(call, answer));
}

}  // namespace bitternmux::control
