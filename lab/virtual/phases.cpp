#include "lab/virtual/phases.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bitternmux::lab {

Phases::Phases(const model::Figures& figures) : figures_(figures) {
  for (const model::TroubleFigures& trouble : figures.troubles) {
    from_ms_ = std::min(from_ms_, trouble.from_ms);
    until_ms_ = until_ms_ == model::kNever ? trouble.until_ms : std::max(until_ms_, trouble.until_ms);
  }
}

void Phases::TrySent(std::int64_t, const model::Try& attempt) {
  if (attempt.first != attempt.id) return;
  Wish& wish = wishes_[attempt.id];
  wish.phase = attempt.wish_ms < from_ms_ ? 0 : attempt.wish_ms < until_ms_ ? 1 : 2;
  wish.klass = static_cast<std::size_t>(attempt.klass);
}

void Phases::TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) {
  Wish& wish = wishes_[attempt.first];
  const double took_ms = static_cast<double>(at) / 1000 - attempt.wish_ms;
  if (outcome.how == record::TryEnded::SERVED) {
    wish.got = took_ms <= figures_.classes[wish.klass].aim_ms ? kInTime : kLate;
  } else {
    wish.got = outcome.how == record::TryEnded::REFUSED ? kRefused : kFailed;
  }
}

std::string Phases::Text() const {
  using Counts = std::array<std::size_t, kGots>;
  std::array<std::vector<Counts>, 3> phases;
  for (auto& classes : phases) classes.resize(figures_.classes.size());
  for (const auto& [id, wish] : wishes_) ++phases[wish.phase][wish.klass][wish.got];
  const auto second = [&](double ms) { return (ms - figures_.first_ms) / 1000; };
  const bool trouble = from_ms_ < model::kNever;
  std::ostringstream out;
  out << std::left << std::setw(28) << "what members got" << std::right;
  for (const char* head : {"asked", "in time", "late", "refused", "failed"}) out << std::setw(9) << head;
  out << "\n";
  for (std::size_t phase = 0; phase < (trouble ? phases.size() : 1); ++phase) {
    out << (!trouble     ? "the whole day"
            : phase == 0 ? "before the trouble"
            : phase == 1 ? "during the trouble"
                         : "after the trouble");
    if (trouble && phase == 1) out << " (" << second(from_ms_) << " to " << second(until_ms_) << " s)";
    out << "\n";
    for (std::size_t klass = 0; klass < figures_.classes.size(); ++klass) {
      const Counts& counts = phases[phase][klass];
      std::size_t asked = 0;
      for (const std::size_t count : counts) asked += count;
      out << "  " << std::left << std::setw(26) << figures_.classes[klass].name << std::right << std::setw(9)
          << asked;
      for (const std::size_t count : counts) out << std::setw(9) << count;
      out << "\n";
    }
  }
  return out.str();
}

}  // namespace bitternmux::lab
