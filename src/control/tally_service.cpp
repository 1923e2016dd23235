#include "control/tally_service.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "control/api_responses.h"

namespace bitternmux::control {
namespace {

// The amount stands under this key, as the users' protocol has it.
constexpr const char* kAmountKey = "owner";
constexpr const char* kIdKey = "id";
constexpr double kRetryAfterS = 0.2;

ApiResponse ResponseTo(const fleet::TallyAnswer& answer) {
  switch (answer.outcome) {
    case fleet::TallyOutcome::kAdded:
      return {200, "{}", "", 0};
    case fleet::TallyOutcome::kTotal:
      return JsonResponse({{"total", answer.total}});
    case fleet::TallyOutcome::kUnavailable:
      return ErrorResponse(503, "this machine cannot serve tallies now; nothing was done; go elsewhere",
                           kRetryAfterS);
    case fleet::TallyOutcome::kFull:
      return ErrorResponse(503, "this machine holds as many adds as it may; nothing was done");
    case fleet::TallyOutcome::kUndecided:
      return ErrorResponse(
          504, "not on enough disks in time; it may count: send the same id again, here or elsewhere");
  }
  return ErrorResponse(500, "");
}

std::int64_t ReadAmount(const nlohmann::json& call) {
  const auto amount = call.find(kAmountKey);
  if (amount == call.end() || !amount->is_number_integer())
    throw std::invalid_argument(std::string(kAmountKey) + " has to be a whole number");
  const auto value = amount->get<std::int64_t>();
  const bool too_large =
      amount->is_number_unsigned() && amount->get<std::uint64_t>() > TallyService::kMostAmount;
  if (too_large || value > TallyService::kMostAmount || value < -TallyService::kMostAmount)
    throw std::invalid_argument(std::string(kAmountKey) + " lies beyond " +
                                std::to_string(TallyService::kMostAmount));
  return value;
}

}  // namespace

fleet::TallyAdd ReadTallyAdd(const std::string& tally, const std::string& body) {
  if (body.size() > TallyService::kMostBodyBytes) throw std::invalid_argument("the body is over 4096 bytes");
  const nlohmann::json call = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!call.is_object()) throw std::invalid_argument("the body is no JSON object");
  const auto id = call.find(kIdKey);
  if (id == call.end() || !id->is_string()) throw std::invalid_argument("id has to be a text");
  fleet::TallyAdd add{id->get<std::string>(), tally, ReadAmount(call)};
  if (add.id.empty() || add.id.size() > fleet::kMaxTallyNameBytes)
    throw std::invalid_argument("id has to have 1 to 256 bytes");
  return add;
}

void TallyService::Serve(double now_ms, const ApiRequest& request, const ApiRespond& respond) {
  const std::string tally = request.path.substr(std::string_view(kPathPrefix).size());
  if (tally.empty() || tally.size() > fleet::kMaxTallyNameBytes || tally.find('/') != std::string::npos)
    return respond(ErrorResponse(400, "the name of a tally has 1 to 256 bytes, and no slash"));
  if (request.method != "GET" && request.method != "POST") return respond(ErrorResponse(405, "GET or POST"));
  try {
    const std::uint64_t call = ++last_call_;
    if (request.method == "GET") {
      open_[call] = respond;
      return core_.ReadTally(now_ms, call, tally);
    }
    fleet::TallyAdd add = ReadTallyAdd(tally, request.body);
    open_[call] = respond;
    core_.AddToTally(now_ms, call, std::move(add));
  } catch (const std::invalid_argument& error) {
    respond(ErrorResponse(400, error.what()));
  }
}

void TallyService::Answer(const fleet::TallyAnswer& answer) {
  const auto found = open_.find(answer.call);
  if (found == open_.end()) return;
  const ApiRespond respond = std::move(found->second);
  open_.erase(found);
  respond(ResponseTo(answer));
}

}  // namespace bitternmux::control
