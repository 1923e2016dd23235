#include "lab/load/schedule.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace bitternmux::lab::load {
namespace {

[[noreturn]] void Bad(std::string_view text, const std::string& reason) {
  throw std::invalid_argument("'" + std::string(text) + "': " + reason);
}

// A plain number of 0 or more; what it is of is for the message.
double NumberOf(std::string_view text, std::string_view whole, const std::string& what) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool good =
      error == std::errc() && end == text.data() + text.size() && std::isfinite(value) && value >= 0;
  if (!good) Bad(whole, what + " must be a number of 0 or more");
  return value;
}

}  // namespace

Class ParseClass(std::string_view text) {
  const auto first = text.find(':');
  const auto second = first == text.npos ? first : text.find(':', first + 1);
  if (first == 0 || second == text.npos) Bad(text, "a class is NAME:METHOD:DEADLINE_MS");
  Class out;
  out.name = text.substr(0, first);
  const std::string_view method = text.substr(first + 1, second - first - 1);
  if (method != "GET" && method != "POST") Bad(text, "the method must be GET or POST");
  out.safe = method == "GET";
  out.deadline_ms = NumberOf(text.substr(second + 1), text, "the deadline");
  if (out.deadline_ms < 1) Bad(text, "the deadline must be 1 ms or more");
  out.share = 1;
  return out;
}

void ApplyMix(std::string_view mix, std::vector<Class>& classes) {
  for (Class& klass : classes) klass.share = 0;
  for (std::string_view rest = mix;;) {
    const auto comma = rest.find(',');
    const std::string_view part = rest.substr(0, comma);
    const auto equals = part.find('=');
    if (equals == part.npos) Bad(part, "a part of the mix is NAME=SHARE");
    const auto found = std::find_if(classes.begin(), classes.end(),
                                    [&](const Class& klass) { return klass.name == part.substr(0, equals); });
    if (found == classes.end()) Bad(part, "no such class");
    if (found->share > 0) Bad(part, "the class stands in the mix twice");
    found->share = NumberOf(part.substr(equals + 1), part, "the share");
    if (comma == rest.npos) return;
    rest.remove_prefix(comma + 1);
  }
}

Shape ParseRate(std::string_view text, double seconds) {
  const auto colon = text.find(':');
  Shape shape;
  shape.seconds = seconds;
  shape.from_rate = shape.to_rate = NumberOf(text.substr(0, colon), text, "a rate");
  if (colon != text.npos) shape.to_rate = NumberOf(text.substr(colon + 1), text, "a rate");
  return shape;
}

Schedule::Schedule(const Shape& shape, const std::vector<Class>& classes, std::uint64_t seed)
    : shape_(shape), random_(seed) {
  const double requests = (shape.from_rate + shape.to_rate) / 2 * shape.seconds;
  if (!(shape.seconds > 0 && shape.seconds <= kMostSeconds)) {
    throw std::invalid_argument("the time must be above 0 and at most " +
                                std::to_string(static_cast<int>(kMostSeconds)) + " s");
  }
  if (!(requests >= 1 && requests <= kMostRequests)) {
    throw std::invalid_argument("a load is of 1 to " + std::to_string(static_cast<int>(kMostRequests)) +
                                " requests");
  }
  count_ = static_cast<std::uint64_t>(requests + 0.5);
  double sum = 0;
  for (const Class& klass : classes) upto_.push_back(sum += klass.share);
  if (!(sum > 0)) throw std::invalid_argument("no class has a share of the load");
  for (double& upto : upto_) upto /= sum;
  Draw();
}

void Schedule::Advance() {
  ++next_;
  if (!over()) Draw();
}

// The n-th request is due when the rate, added up over time, has come to n. With the rate from r to s over T:
// n = r t + (s - r) / (2 T) t^2, solved in the form that holds for s = r too.
void Schedule::Draw() {
  const double n = static_cast<double>(next_);
  const double bend = (shape_.to_rate - shape_.from_rate) / (2 * shape_.seconds);
  const double root = std::sqrt(std::max(0.0, shape_.from_rate * shape_.from_rate + 4 * bend * n));
  due_ms_ = n == 0 ? 0 : 1000 * 2 * n / (shape_.from_rate + root);
  const double drawn = static_cast<double>(random_() >> 11) * 0x1p-53;
  klass_ = static_cast<std::size_t>(std::upper_bound(upto_.begin(), upto_.end(), drawn) - upto_.begin());
  // Guards against the last sum having been rounded to below 1: the last class that has a share.
  while (klass_ >= upto_.size() || (klass_ > 0 && upto_[klass_] == upto_[klass_ - 1])) --klass_;
}

}  // namespace bitternmux::lab::load
