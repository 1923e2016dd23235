#include "cartspring/fields.h"

#include <charconv>
#include <cmath>

namespace cartspring {

std::string Quoted(std::string_view text) {
  std::string out = "'";
  return out.append(text.substr(0, 80)).append("'");
}

double ToNumber(std::string_view text, std::string_view field) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    throw ParseError(std::string(field) + " is no number: " + Quoted(text));
  }
  return value;
}

std::uint64_t ToUnsigned(std::string_view text, std::string_view field) {
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

std::string_view Fields::Text(std::string_view field) const {
  const auto value = Find(field);
  if (!value || value->empty()) throw ParseError("no " + std::string(field));
  return *value;
}

std::string_view Fields::Text(std::string_view field, std::string_view default_value) const {
  const auto value = Find(field);
  if (!value) OnDefaultUsed(field, default_value);
  return value.value_or(default_value);
}

double Fields::Number(std::string_view field) const { return ToNumber(Text(field), field); }

double Fields::Number(std::string_view field, double default_value) const {
  const auto value = Find(field);
  if (value) return ToNumber(*value, field);
  OnDefaultUsed(field, default_value);
  return default_value;
}

std::uint64_t Fields::Whole(std::string_view field) const { return ToUnsigned(Text(field), field); }

std::uint64_t Fields::Whole(std::string_view field, std::uint64_t default_value) const {
  const auto value = Find(field);
  if (value) return ToUnsigned(*value, field);
  OnDefaultUsed(field, static_cast<double>(default_value));
  return default_value;
}

bool Fields::Flag(std::string_view field) const {
  const auto value = Find(field);
  if (value) return ToFlag(*value, field);
  OnDefaultUsed(field, std::string_view("false"));
  return false;
}

}  // namespace cartspring
