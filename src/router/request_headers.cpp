#include "router/request_headers.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bitternmux::router {
namespace {

// Headers that concern a single connection, or that this router sets itself.
constexpr std::array<std::string_view, 16> kNotForwarded = {"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade",
                                                            "content-length",
                                                            "host",
                                                            "expect",
                                                            "x-api-key",
                                                            "x-tenant",
                                                            "x-deadline-ms",
                                                            "x-expected-instance",
                                                            "priority",
                                                            "x-request-id"};
constexpr std::array<std::string_view, 9> kNotReturned = {"connection", "keep-alive",     "proxy-connection",
                                                          "te",         "trailer",        "transfer-encoding",
                                                          "upgrade",    "content-length", "x-server-load"};

template <std::size_t kCount>
bool IsOneOf(const std::array<std::string_view, kCount>& names, std::string_view name) {
  return std::ranges::find(names, name) != names.end();
}

}  // namespace

bool IsForwarded(std::string_view name) { return !IsOneOf(kNotForwarded, name); }

bool StatusMeansNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::optional<LoadReport> ParseLoadReport(const http::Message& head) {
  const auto value = head.Find("x-server-load");
  if (!value) return std::nullopt;
  std::array<double, 3> numbers{};
  std::string_view rest = *value;
  for (double& number : numbers) {
    std::string_view field = rest.substr(0, rest.find(','));
    rest = rest.size() > field.size() ? rest.substr(field.size() + 1) : std::string_view();
    while (field.starts_with(' ')) field.remove_prefix(1);
    const auto whole = http::WholeNumber(field);
    if (!whole) return std::nullopt;
    number = static_cast<double>(*whole);
  }
  return LoadReport{numbers[0], numbers[1], numbers[2]};
}

std::string FormatSeconds(double ms) {
  std::array<char, 32> text;
  const int count = std::snprintf(text.data(), text.size(), "%.3f", ms / 1000);
  return {text.data(), static_cast<std::size_t>(count)};
}

http::Headers ReturnedHeaders(const http::Message& head) {
  http::Headers headers;
  for (const auto& [name, value] : head.headers) {
    if (!IsOneOf(kNotReturned, name)) headers.emplace_back(name, value);
  }
  return headers;
}

}  // namespace bitternmux::router
