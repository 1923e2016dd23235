#include "control/operator_service.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "events/fleet_catalogue.h"
#include "fleet/validation/validation.h"

namespace bitternmux::control {
namespace {

ApiResponse Fault(int status, const std::string& why) {
  return {status, nlohmann::json{{"error", why}}.dump(), "", 0};
}

ApiResponse ResponseTo(const fleet::CallAnswer& answer) {
  const std::string version = std::to_string(answer.version);
  switch (answer.reply.outcome) {
    case fleet::CallOutcome::kTaken:
      return {200, nlohmann::json{{"version", answer.version}}.dump(), "", 0};
    case fleet::CallOutcome::kConflict:
      return Fault(412, "version " + version + " is in place");
    case fleet::CallOutcome::kOld:
      return Fault(400, "the version is not above " + version);
    case fleet::CallOutcome::kRead:
      if (answer.version == 0) return Fault(404, "there is no configuration yet");
      return {200, answer.configuration.value_or(""), "", 0};
    case fleet::CallOutcome::kRedirected:
      return {307, "", "http://" + answer.reply.owner.control + "/config", 0};
    case fleet::CallOutcome::kUnavailable:
      return Fault(503, "no owner of the configuration is known; send the same again, here or elsewhere");
    case fleet::CallOutcome::kUndecided:
      return Fault(504, "not decided in time; send the same again");
  }
  return Fault(500, "");
}

}  // namespace

// Answers come on this thread, and the service outlives its calls.
void OperatorService::Serve(double now_ms, ApiRequest request, const ApiRespond& respond) {
  const std::string path = request.path;
  const std::string what = request.method + " " + path.substr(0, path.find('/', 1));
  Route(now_ms, std::move(request), [this, what, path, respond](ApiResponse response) {
    Count(what, path, response.status);
    respond(std::move(response));
  });
}

void OperatorService::Count(const std::string& what, const std::string& path, int status) {
  constexpr std::size_t kMostRows = 64;  // a caller chooses the paths
  const std::string row = what + " " + std::to_string(status);
  if (counts_.size() < kMostRows || counts_.contains(row)) ++counts_[row];
  if (status / 100 == 4)
    events_.Write(fleet_events::kCallRefused, {{"call", what}, {"path", path}, {"status", status}});
}

void OperatorService::Route(double now_ms, ApiRequest request, const ApiRespond& respond) {
  if (request.path == "/status" && request.method == "GET") return respond({200, status_(), "", 0});
  if (request.path.starts_with(TallyService::kPathPrefix)) return tallies_.Serve(now_ms, request, respond);
  if (request.path != "/config")
    return respond(Fault(404, "no such path; there are /config, /tallies/NAME and /status"));
  if (request.method == "PUT") return ServePut(now_ms, std::move(request), respond);
  if (request.method != "GET") return respond(Fault(405, "GET or PUT"));
  const std::uint64_t id = ++last_call_;
  open_[id] = respond;
  core_.Get(now_ms, id);
}

void OperatorService::ServePut(double now_ms, ApiRequest request, const ApiRespond& respond) {
  if (request.if_match_malformed || !request.if_match) {
    return respond(Fault(400, "If-Match has to name the version that the change builds on"));
  }
  fleet::Order order;
  try {
    order.version = fleet::ValidateConfiguration(request.body).version;
  } catch (const fleet::ConfigurationError& error) {
    return respond(Fault(400, error.what()));
  }
  order.builds_on = *request.if_match;
  order.digest = fleet::DigestOf(request.body);
  order.text = std::move(request.body);
  const std::uint64_t id = ++last_call_;
  open_[id] = respond;
  core_.Put(now_ms, id, std::move(order));
}

void OperatorService::Answer(const fleet::CallAnswer& answer) {
  const auto found = open_.find(answer.reply.id);
  if (found == open_.end()) return;
  const ApiRespond respond = std::move(found->second);
  open_.erase(found);
  respond(ResponseTo(answer));
}

}  // namespace bitternmux::control
