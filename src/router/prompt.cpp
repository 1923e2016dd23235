#include "router/prompt.h"

#include <charconv>

#include "http/parser.h"

namespace bitternmux::router {
namespace {

// One step of splitmix64: spreads the bits of the chained value over the whole word.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15u;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  return value ^ (value >> 31);
}

std::string_view TakeField(std::string_view& text, char separator) {
  const auto end = text.find(separator);
  std::string_view field = text.substr(0, end);
  text = end == text.npos ? std::string_view() : text.substr(end + 1);
  while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
  while (!field.empty() && field.back() == ' ') field.remove_suffix(1);
  return field;
}

}  // namespace

std::optional<Prompt> ParseTokenCount(std::string_view token_count) {
  const auto in = http::WholeNumber(TakeField(token_count, ','));
  const auto out = http::WholeNumber(TakeField(token_count, ','));
  if (!in || !out) return std::nullopt;
  Prompt prompt;
  prompt.tokens_in = static_cast<double>(*in);
  prompt.tokens_out = static_cast<double>(*out);
  return prompt;
}

std::vector<PromptPart> ParsePromptPrefix(std::string_view prefix) {
  std::vector<PromptPart> parts;
  std::uint64_t prefix_hash = 0;
  while (!prefix.empty() && parts.size() < kMaxPromptParts) {
    std::string_view part = TakeField(prefix, ',');
    const std::string_view id = TakeField(part, ':');
    const auto tokens = http::WholeNumber(part);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number, 16);
    if (!tokens || error != std::errc() || end != id.data() + id.size()) break;
    prefix_hash = Mix(prefix_hash ^ number);
    parts.push_back({prefix_hash, static_cast<double>(*tokens)});
  }
  return parts;
}

}  // namespace bitternmux::router
