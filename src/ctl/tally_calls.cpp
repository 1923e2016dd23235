#include "ctl/tally_calls.h"

#include <curl/curl.h>

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace bitternmux::ctl {
namespace {

constexpr const char* kPathPrefix = "/tallies/";
constexpr const char* kIdKey = "id";
constexpr const char* kAmountKey = "owner";  // as the users' protocol has it
constexpr const char* kTotalKey = "total";

using Json = nlohmann::json;

}  // namespace

std::string TallyPath(const std::string& tally) {
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, tally.data(), static_cast<int>(tally.size())), curl_free);
  if (escaped == nullptr) throw std::runtime_error("libcurl cannot escape the name of a tally");
  return std::string(kPathPrefix) + escaped.get();
}

std::string TallyAddBody(const std::string& id, std::int64_t amount) {
  try {
    return Json{{kIdKey, id}, {kAmountKey, amount}}.dump();
  } catch (const Json::type_error&) {
    throw std::invalid_argument("the id is no UTF-8");
  }
}

std::optional<std::int64_t> ReadAmount(const std::string& word) {
  std::int64_t amount = 0;
  const char* const end = word.data() + word.size();
  const auto [stop, error] = std::from_chars(word.data(), end, amount);
  if (error != std::errc() || stop != end) return std::nullopt;
  return amount;
}

std::optional<std::int64_t> ReadTotal(const std::string& body) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return std::nullopt;
  const auto total = json.find(kTotalKey);
  if (total == json.end() || !total->is_number_integer()) return std::nullopt;
  return total->get<std::int64_t>();
}

}  // namespace bitternmux::ctl
