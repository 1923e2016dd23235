#include "lab/rules/checker.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <tuple>
#include <utility>

namespace bitternmux::lab::rules {
namespace {

// Guards the arithmetic: no run is longer, and no figure of a rule larger.
constexpr std::int64_t kMostUs = 1'000'000'000'000'000;
constexpr std::int64_t kMostFigureUs = 1'000'000'000'000;
constexpr double kMostMultiple = 1e6;

void CheckFigure(const char* name, std::int64_t us) {
  if (us < 0 || us > kMostFigureUs) throw Untrusted(std::string("the header's ") + name + " is out of range");
}

const record::Header& Checked(const record::Header& header) {
  const record::Rules& rules = header.rules();
  CheckFigure("drain_grace_us", rules.drain_grace_us());
  CheckFigure("answer_slack_us", rules.answer_slack_us());
  CheckFigure("fall_us", rules.fall_us());
  CheckFigure("warm_within_us", rules.warm_within_us());
  CheckFigure("told_within_us", rules.told_within_us());
  CheckFigure("order_slack_us", rules.order_slack_us());
  CheckFigure("length_us", header.length_us());
  for (const auto& klass : header.classes()) {
    CheckFigure("deadline_us", klass.deadline_us());
    if (!record::Class::Repeat_IsValid(klass.repeat())) throw Untrusted("a class of an unknown kind");
  }
  if (!(rules.fall_multiple() >= 0 && rules.fall_multiple() <= kMostMultiple)) {
    throw Untrusted("the header's fall_multiple is out of range");
  }
  if (!(rules.cold_from() >= 0 && rules.cold_from() <= 1)) {
    throw Untrusted("the header's cold_from is out of range");
  }
  return header;
}

std::uint64_t Sum(const std::array<std::uint64_t, kRules>& counts) {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

}  // namespace

Checker::Checker(const record::Header& header)
    : report_([this](Breach breach) {
        ++counts_[static_cast<std::size_t>(breach.rule)];
        if (breaches_.size() < kMostBreaches) breaches_.push_back(std::move(breach));
      }),
      sidecars_(Checked(header), report_),
      machines_(header, sidecars_, report_),
      tries_(header, sidecars_, machines_, report_) {}

void Checker::Take(const record::Entry& entry) {
  using record::Entry;
  if (entry.at_us() < now_us_ || entry.at_us() > kMostUs) throw Untrusted("a time that cannot be");
  now_us_ = entry.at_us();
  tries_.Advance(now_us_);
  switch (entry.what_case()) {
    case Entry::kTrySent:
      return tries_.Sent(now_us_, entry.try_sent());
    case Entry::kTryEnded:
      return tries_.Ended(now_us_, entry.try_ended());
    case Entry::kClaimBegun:
      return tries_.Begun(now_us_, entry.claim_begun());
    case Entry::kClaimWhole:
      return tries_.Whole(now_us_, entry.claim_whole());
    case Entry::kClaimEnded:
      return tries_.ClaimOver(now_us_, entry.claim_ended());
    case Entry::kEffect:
      return tries_.Effect(now_us_, entry.effect());
    case Entry::kProbed:
      sidecars_.Known(entry.probed().sidecar());
      return machines_.Known(entry.probed().machine());
    case Entry::kConnection:
      tries_.DialLost(now_us_, entry.connection().try_id());
      return machines_.Connection(now_us_, entry.connection());
    case Entry::kDialFailed:
      sidecars_.Known(entry.dial_failed().sidecar());
      return tries_.DialLost(now_us_, entry.dial_failed().try_id());
    case Entry::kMachineChanged:
      return machines_.Changed(now_us_, entry.machine_changed());
    case Entry::kTold:
      return machines_.Told(now_us_, entry.told());
    case Entry::kAsked:
      return sidecars_.Known(entry.asked().sidecar());
    case Entry::kListed:
      return machines_.Listed(now_us_, entry.listed());
    case Entry::kWarmed:
      return machines_.Warmed(entry.warmed());
    case Entry::kSidecar:
      return sidecars_.Changed(now_us_, entry.sidecar());
    case Entry::kSample:
      return sidecars_.Sampled(now_us_, entry.sample());
    case Entry::kTrouble:
      return TakeTrouble(entry.trouble());
    case Entry::kLate:  // for the reader; whether the run is void is the trailer's word
    case Entry::kNote:
      return;
    case Entry::kHeader:
    case Entry::kTrailer:
    case Entry::WHAT_NOT_SET:
      throw Untrusted("an entry that has no place here");
  }
}

void Checker::TakeTrouble(const record::Trouble& trouble) {
  for (const std::uint32_t machine : trouble.machines()) machines_.Known(machine);
  for (const std::uint32_t sidecar : trouble.on_sidecars()) sidecars_.Known(sidecar);
  std::uint64_t& open = troubles_[trouble.name()];
  if (!trouble.begins() && open == 0)
    throw Untrusted("trouble '" + trouble.name() + "' ends and never began");
  trouble.begins() ? ++open : --open;
  if (trouble.hides_list()) machines_.Hidden(now_us_, trouble);
}

void Checker::Finish() {
  tries_.Finish(now_us_);
  sidecars_.Finish(now_us_);
}

std::vector<Breach> Checker::Breaches() const {
  std::vector<Breach> sorted = breaches_;
  std::stable_sort(sorted.begin(), sorted.end(), [](const Breach& a, const Breach& b) {
    return std::tie(a.at_us, a.rule) < std::tie(b.at_us, b.rule);
  });
  return sorted;
}

std::uint64_t Checker::found() const { return Sum(counts_); }
std::uint64_t Verdict::found() const { return Sum(counts); }

Verdict Check(record::Source& source) {
  Verdict verdict;
  try {
    record::Reader reader(source);
    try {
      Checker checker(reader.header());
      while (const record::Entry* entry = reader.Next()) {
        checker.Take(*entry);
        verdict.end_us = entry->at_us();
      }
      checker.Finish();
      if (reader.trailer().void_()) {
        verdict.unreadable = "the run is void: " + reader.trailer().reason();
        return verdict;
      }
      verdict.entries = reader.trailer().entries();
      verdict.breaches = checker.Breaches();
      verdict.counts = checker.counts();
    } catch (const Untrusted& fault) {
      throw record::ReadError(reader.offset(), fault.what());
    }
  } catch (const record::ReadError& error) {
    verdict.unreadable = error.what();
  }
  return verdict;
}

}  // namespace bitternmux::lab::rules
