#include "lab/back/comeback.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace bitternmux::lab::back {
namespace {

using nlohmann::ordered_json;
using record::Entry;

constexpr std::size_t kAheadS = 5;
constexpr double kFullShare = 0.95;
// Of one sidecar: fewer wishes, and chance alone keeps one from being full.
constexpr std::size_t kAheadWishes = 20;
constexpr double kFullShareOfOne = 0.9;
constexpr std::int64_t kSecondUs = 1'000'000;
// No run is longer: guards the memory against a record whose times are noise.
constexpr std::int64_t kMostSeconds = 200'000;
constexpr double kNever = std::numeric_limits<double>::infinity();

double Rounded(double value) { return std::round(value * 1e4) / 1e4; }
ordered_json Number(double value) { return std::isfinite(value) ? ordered_json(Rounded(value)) : nullptr; }

// Milliseconds that some took; kNever is counted as never. Half of all of them, and the slowest that came.
ordered_json Times(std::vector<double> took) {
  std::sort(took.begin(), took.end());
  const auto came = std::lower_bound(took.begin(), took.end(), kNever);
  return {{"p50", took.empty() ? ordered_json() : Number(took[(took.size() - 1) / 2])},
          {"most", came == took.begin() ? ordered_json() : Number(*(came - 1))},
          {"never", took.end() - came}};
}

}  // namespace

std::uint64_t Comeback::Second::MostOfOne() const {
  std::uint64_t most = 0;
  for (const auto& [machine, count] : dials_of) most = std::max(most, count);
  return most;
}

Comeback::Second& Comeback::At(std::int64_t at_us) {
  const auto second =
      static_cast<std::size_t>(std::clamp<std::int64_t>((at_us - first_us_) / kSecondUs, 0, kMostSeconds));
  if (second >= seconds_.size()) seconds_.resize(second + 1);
  return seconds_[second];
}

Comeback::Life& Comeback::LifeOf(std::uint32_t sidecar) {
  const auto [found, added] = life_of_.emplace(sidecar, lives_.size());
  if (added) lives_.push_back({sidecar, 0, {}, {}, {}, {}});
  return lives_[found->second];
}

void Comeback::Take(const Entry& entry) {
  const std::int64_t at = entry.at_us();
  switch (entry.what_case()) {
    case Entry::kTrySent:
      return Sent(at, entry.try_sent());
    case Entry::kTryEnded:
      return Ended(at, entry.try_ended());
    case Entry::kConnection: {
      const record::Connection& change = entry.connection();
      if (!change.opened()) return;
      Second& second = At(at);
      ++second.dials;
      second.failed_dials += change.turned_away();
      ++second.dials_of[change.machine()];
      second.first_contacts += LifeOf(change.sidecar()).met.insert(change.machine()).second;
      return;
    }
    case Entry::kDialFailed: {
      if (LifeOf(entry.dial_failed().sidecar()).ended_us) return;  // it ended with its process
      Second& second = At(at);
      ++second.dials;
      ++second.failed_dials;
      return;
    }
    case Entry::kAsked:
      At(at).list_calls += !entry.asked().failed();
      return;
    case Entry::kSidecar:
      return Changed(at, entry.sidecar());
    case Entry::kTrouble:
      if (!entry.trouble().begins()) return;
      if (entry.trouble().of_load()) {
        ++bursts_;
      } else {
        troubles_.push_back({entry.trouble().name(), at});
      }
      return;
    default:
      return;
  }
}

void Comeback::Sent(std::int64_t at, const record::TrySent& sent) {
  ++At(at).tries;
  const auto first = wish_of_.find(sent.first_id());
  if (first != wish_of_.end()) {
    wish_of_[sent.try_id()] = first->second;
    return;
  }
  if (sent.sidecar() >= wishes_.size()) return;
  const auto klass = static_cast<int>(sent.class_());
  Wish wish;
  wish.due_us = sent.due_us() > 0 ? sent.due_us() : at;
  wish.klass = sent.class_();
  wish.worth = klass < header_.classes_size() ? header_.classes(klass).worth() : 1;
  if (header_.rules().worth_by_work()) wish.worth *= static_cast<double>(sent.work_us()) / 1000;
  At(wish.due_us).worth += wish.worth;
  std::vector<Wish>& own = wishes_[sent.sidecar()];
  wish_of_[sent.try_id()] = {sent.sidecar(), own.size()};
  own.push_back(wish);
}

void Comeback::Ended(std::int64_t at, const record::TryEnded& ended) {
  const auto found = wish_of_.find(ended.try_id());
  if (ended.how() != record::TryEnded::SERVED || found == wish_of_.end()) return;
  const auto [sidecar, index] = found->second;
  Wish& wish = wishes_[sidecar][index];
  const auto klass = static_cast<int>(wish.klass);
  if (klass >= header_.classes_size()) return;
  const record::Class& figures = header_.classes(klass);
  if (wish.earned == 0) {
    wish.earned = wish.worth * (at - wish.due_us <= figures.aim_us() ? 1 : figures.late_worth());
    At(wish.due_us).earned += wish.earned;
  }
  Life& life = LifeOf(sidecar);
  if (!life.served_us) life.served_us = at;
  if (figures.repeat() == record::Class::NEVER && !life.bound_us) life.bound_us = at;
}

void Comeback::Changed(std::int64_t at, const record::Sidecar& changed) {
  using record::Sidecar;
  if (changed.what() == Sidecar::STARTED) {
    life_of_[changed.sidecar()] = lives_.size();
    lives_.push_back({changed.sidecar(), at, {}, {}, {}, {}});
  } else if (changed.what() == Sidecar::KILLED || changed.what() == Sidecar::EXITED ||
             changed.what() == Sidecar::CRASHED) {
    Life& life = LifeOf(changed.sidecar());
    if (!life.ended_us) life.ended_us = at;
  }
}

std::size_t Comeback::Length() const {
  const auto length = static_cast<std::int64_t>(header_.length_us()) - first_us_;
  return static_cast<std::size_t>(std::clamp<std::int64_t>(length / kSecondUs, 0, kMostSeconds));
}

// As far as there are five to look at.
std::vector<bool> Comeback::FullSeconds(const Comeback& calm) const {
  const std::size_t length = Length(), known = std::min(seconds_.size(), calm.seconds_.size());
  std::vector<bool> full;
  for (std::size_t from = 0; from + kAheadS <= length; ++from) {
    double asked = 0, earned = 0, calm_asked = 0, calm_earned = 0;
    for (std::size_t at = from; at < std::min(from + kAheadS, known); ++at) {
      asked += seconds_[at].worth;
      earned += seconds_[at].earned;
      calm_asked += calm.seconds_[at].worth;
      calm_earned += calm.seconds_[at].earned;
    }
    full.push_back(earned * calm_asked >= kFullShare * calm_earned * asked);
  }
  return full;
}

ordered_json Comeback::Backs(const Comeback& calm) const {
  const std::vector<bool> full = FullSeconds(calm);
  ordered_json backs = ordered_json::array();
  for (std::size_t i = 0; i < troubles_.size(); ++i) {
    const double from_s = static_cast<double>(troubles_[i].from_us - first_us_) / kSecondUs;
    const auto begin = static_cast<std::size_t>(std::max(0.0, std::floor(from_s)));
    // Seconds whose windows are over before the next trouble begins.
    std::size_t end = full.size();
    const bool last = i + 1 == troubles_.size();
    if (!last) {
      const auto next = static_cast<std::size_t>(
          std::max<std::int64_t>(0, (troubles_[i + 1].from_us - first_us_) / kSecondUs));
      end = std::min(end, next >= kAheadS ? next - (kAheadS - 1) : 0);
    }
    double after_s = 0;
    for (std::size_t at = begin; at < end; ++at) {
      if (!full[at]) after_s = static_cast<double>(at) + 1 - from_s;
    }
    const bool told = begin < end;  // else too near to the end, or to the next
    if (told && !full[end - 1]) after_s = kNever;
    backs.push_back({{"trouble", troubles_[i].name},
                     {"from_s", Rounded(from_s)},
                     {"after_s", told ? Number(after_s) : ordered_json()},
                     {"looked_s", told ? Rounded(static_cast<double>(end) - from_s) : 0},
                     {"before", last ? ordered_json() : ordered_json(troubles_[i + 1].name)}});
  }
  return backs;
}

template <class Count>
Comeback::Peak Comeback::PeakOf(const Count& count) const {
  const std::int64_t from_us =
      troubles_.empty() ? 0 : std::max<std::int64_t>(0, troubles_.front().from_us - first_us_);
  Peak peak;
  for (auto i = static_cast<std::size_t>(from_us / kSecondUs); i < seconds_.size(); ++i) {
    if (count(seconds_[i]) > peak.count) peak = {count(seconds_[i]), i};
  }
  return peak;
}

ordered_json Comeback::Peaks() const {
  const std::pair<const char*, Peak> peaks[] = {
      {"tries", PeakOf([](const Second& s) { return s.tries; })},
      {"dials", PeakOf([](const Second& s) { return s.dials; })},
      {"failed_dials", PeakOf([](const Second& s) { return s.failed_dials; })},
      {"dials_of_one_server", PeakOf([](const Second& s) { return s.MostOfOne(); })},
      {"first_contacts", PeakOf([](const Second& s) { return s.first_contacts; })},
      {"list_calls", PeakOf([](const Second& s) { return s.list_calls; })}};
  ordered_json out;
  for (const auto& [name, peak] : peaks) out[name] = {{"count", peak.count}, {"second", peak.second}};
  // No such dial shows on a socket of the lab's.
  if (header_.mode() == "loopback") out["failed_dials"] = nullptr;
  return out;
}

bool Comeback::TimeToFull(const Life& life, const Comeback& calm, std::optional<double>& ms) const {
  std::map<std::int64_t, double> calm_earned;  // by when the wish was due
  for (const Wish& wish : calm.wishes_[life.sidecar]) calm_earned[wish.due_us] += wish.earned;
  std::vector<Wish> own = wishes_[life.sidecar];
  std::sort(own.begin(), own.end(), [](const Wish& a, const Wish& b) { return a.due_us < b.due_us; });
  own.erase(std::remove_if(own.begin(), own.end(),
                           [&](const Wish& wish) {
                             return wish.due_us < life.started_us ||
                                    (life.ended_us && wish.due_us >= *life.ended_us) ||
                                    calm_earned.count(wish.due_us) == 0;
                           }),
            own.end());
  bool told = false;
  double earned = 0, there = 0;
  std::size_t at = 0;  // the window is [from, at)
  for (std::size_t from = 0; from < own.size(); ++from) {
    while (at < own.size() &&
           (at - from < kAheadWishes ||
            own[at].due_us - own[from].due_us < static_cast<std::int64_t>(kAheadS) * kSecondUs)) {
      earned += own[at].earned;
      there += calm_earned[own[at].due_us];
      ++at;
    }
    if (at == own.size()) break;  // it may not be over
    told = true;
    if (earned >= kFullShareOfOne * there) {
      ms = from == 0 ? 0 : static_cast<double>(own[from - 1].due_us - life.started_us) / 1000;
      break;
    }
    earned -= own[from].earned;
    there -= calm_earned[own[from].due_us];
  }
  return told;
}

ordered_json Comeback::Starts(const Comeback* calm) const {
  std::vector<double> served, bound, full;
  std::size_t untold = 0;
  for (const Life& life : lives_) {
    if (life.started_us <= first_us_) continue;
    const auto took = [&](const std::optional<std::int64_t>& at) {
      return at ? static_cast<double>(*at - life.started_us) / 1000 : kNever;
    };
    served.push_back(took(life.served_us));
    bound.push_back(took(life.bound_us));
    if (calm == nullptr || life.sidecar >= wishes_.size()) continue;
    std::optional<double> ms;
    if (TimeToFull(life, *calm, ms)) {
      full.push_back(ms.value_or(kNever));
    } else {
      ++untold;
    }
  }
  ordered_json out{{"count", served.size()},
                   {"first_answer_ms", Times(served)},
                   {"first_binding_answer_ms", Times(bound)}};
  if (calm == nullptr) return out;
  out["full_ms"] = Times(full);
  out["full_ms"]["untold"] = untold;
  return out;
}

ordered_json Comeback::ToJson(const Comeback* calm) const {
  ordered_json out;
  if (calm != nullptr) {
    if (calm->header_.scenario_text() != header_.scenario_text() || calm->header_.seed() != header_.seed() ||
        calm->first_us_ != first_us_ || calm->wishes_.size() != wishes_.size()) {
      throw std::invalid_argument("the calm run is not of this scenario and seed");
    }
    out["full_service"] = Backs(*calm);
  }
  out["bursts"] = bursts_;
  out["peaks"] = Peaks();
  out["starts"] = Starts(calm);
  return out;
}

ordered_json Comeback::Columns(std::size_t length, const Comeback* calm) const {
  ordered_json out;
  for (const char* name : {"first_contacts", "list_calls", "failed_dials", "dials_of_one_server"}) {
    out[name] = ordered_json::array();
  }
  for (std::size_t s = 0; s < length; ++s) {
    const Second second = s < seconds_.size() ? seconds_[s] : Second{};
    out["first_contacts"].push_back(second.first_contacts);
    out["list_calls"].push_back(second.list_calls);
    out["failed_dials"].push_back(second.failed_dials);
    out["dials_of_one_server"].push_back(second.MostOfOne());
    if (calm == nullptr) continue;
    const Second there = s < calm->seconds_.size() ? calm->seconds_[s] : Second{};
    out["worth_calm"].push_back(there.worth > 0 ? Number(there.earned / there.worth) : ordered_json());
  }
  return out;
}

std::string TextOf(const ordered_json& told) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  for (const ordered_json& back : told.value("full_service", ordered_json::array())) {
    out << "full service after " << back["trouble"].get<std::string>() << " (" << back["from_s"].get<double>()
        << " s): ";
    const double looked_s = back["looked_s"].get<double>();
    if (looked_s == 0) {
      out << "not told, too near to what follows";
    } else if (back["after_s"].is_null()) {
      out << "not in the " << looked_s << " s looked at";
    } else {
      out << "within " << back["after_s"].get<double>() << " s, of " << looked_s << " s looked at";
    }
    if (!back["before"].is_null())
      out << "; windows that reach into " << back["before"].get<std::string>() << " left out";
    out << "\n";
  }
  if (told["bursts"] != 0) out << "bursts of load: in the calm day too, and no trouble here\n";
  out << "most in a second:";
  for (const auto& [name, peak] : told["peaks"].items()) {
    std::string words = name;
    std::replace(words.begin(), words.end(), '_', ' ');
    if (peak.is_null()) continue;
    out << " " << words << " " << peak["count"] << " (" << peak["second"] << " s)";
  }
  out << "\n";
  const ordered_json& starts = told["starts"];
  if (starts["count"] == 0) return out.str();
  out << "sidecars that started: " << starts["count"];
  for (const char* name : {"first_answer_ms", "first_binding_answer_ms", "full_ms"}) {
    if (!starts.contains(name)) continue;
    const ordered_json& times = starts[name];
    std::string words = name;
    words = words.substr(0, words.size() - 3);
    std::replace(words.begin(), words.end(), '_', ' ');
    const auto ms = [](const ordered_json& value) {
      return value.is_null() ? std::string("never")
                             : std::to_string(std::lround(value.get<double>())) + " ms";
    };
    out << "; " << words << " after " << ms(times["p50"]) << " of half, " << ms(times["most"]) << " at most";
    if (times["never"] != 0) out << ", never of " << times["never"];
    if (times.value("untold", 0) != 0) out << ", not told of " << times["untold"] << " with too few wishes";
  }
  out << "\n";
  return out.str();
}

Entry& Feed::Begin(std::int64_t at_us) {
  entry_.Clear();
  entry_.set_at_us(at_us);
  return entry_;
}

}  // namespace bitternmux::lab::back
