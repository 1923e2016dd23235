#include "fleet/tallies/tally_fold.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bitternmux::fleet {
namespace {

constexpr std::size_t kAddFrameBytes = 24;  // of an add in a message, beside its texts

std::map<std::uint64_t, std::uint64_t> ByOrigin(const std::vector<TallyExtent>& extents) {
  std::map<std::uint64_t, std::uint64_t> lengths;
  for (const TallyExtent& extent : extents) lengths[extent.origin] = extent.length;
  return lengths;
}

}  // namespace

std::uint64_t TallyFold::LengthOf(std::uint64_t origin) const {
  const auto found = logs_.find(origin);
  return found == logs_.end() ? 0 : found->second.size();
}

std::uint64_t TallyFold::Append(std::uint64_t origin, const TallyAdd& add) {
  const auto [id, is_new] = ids_.try_emplace(add.id);
  const auto [tally, unused] = totals_.try_emplace(add.tally, 0);
  Log& log = logs_[origin];
  log.push_back({&id->first, &tally->first, add.amount});
  ++adds_;
  Count(&tally->first, add.amount, id->second);
  return log.size();
}

void TallyFold::Count(const std::string* tally, std::int64_t amount, Counted& counted) {
  if (counted.tally != nullptr) {
    if (std::tie(*counted.tally, counted.amount) <= std::tie(*tally, amount)) return;
    totals_.find(*counted.tally)->second -= counted.amount;
  }
  counted = {tally, amount};
  totals_.find(*tally)->second += amount;
}

TallyAdds TallyFold::Take(TallyAdds adds) {
  const std::uint64_t held = LengthOf(adds.origin);
  const bool continues = adds.first >= 1 && adds.first <= held + 1;
  const std::uint64_t known = continues ? held + 1 - adds.first : adds.adds.size();
  const auto skipped = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(known, adds.adds.size()));
  adds.adds.erase(adds.adds.begin(), adds.adds.begin() + skipped);
  adds.first = held + 1;
  for (const TallyAdd& add : adds.adds) Append(adds.origin, add);
  return adds;
}

std::vector<TallyExtent> TallyFold::Extents() const {
  std::vector<TallyExtent> extents;
  extents.reserve(logs_.size());
  for (const auto& [origin, log] : logs_) extents.push_back({origin, log.size()});
  return extents;
}

std::uint64_t TallyFold::CountBeyond(const std::vector<TallyExtent>& extents) const {
  const auto lengths = ByOrigin(extents);
  std::uint64_t count = 0;
  for (const auto& [origin, log] : logs_) {
    const auto found = lengths.find(origin);
    const std::uint64_t there = found == lengths.end() ? 0 : found->second;
    if (log.size() > there) count += log.size() - there;
  }
  return count;
}

std::uint64_t TallyFold::CountMissing(const std::vector<TallyExtent>& extents) const {
  std::uint64_t count = 0;
  for (const TallyExtent& extent : extents) {
    const std::uint64_t held = LengthOf(extent.origin);
    if (extent.length > held) count += extent.length - held;
  }
  return count;
}

std::size_t TallyFold::BytesOf(const Entry& entry) {
  return entry.id->size() + entry.tally->size() + kAddFrameBytes;
}

std::vector<TallyAdds> TallyFold::Beyond(const std::vector<TallyExtent>& extents,
                                         std::size_t most_bytes) const {
  const auto lengths = ByOrigin(extents);
  std::vector<TallyAdds> beyond;
  std::size_t bytes = 0;
  for (const auto& [origin, log] : logs_) {
    const auto found = lengths.find(origin);
    const std::uint64_t there = found == lengths.end() ? 0 : found->second;
    TallyAdds part{origin, there + 1, {}};
    for (std::uint64_t at = there; at < log.size(); ++at) {
      const Entry& entry = log[at];
      bytes += BytesOf(entry);
      const bool first = beyond.empty() && part.adds.empty();
      if (bytes > most_bytes && !first) break;
      part.adds.push_back({*entry.id, *entry.tally, entry.amount});
    }
    if (!part.adds.empty()) beyond.push_back(std::move(part));
    if (bytes > most_bytes) break;
  }
  return beyond;
}

TallyAdd TallyFold::At(std::uint64_t origin, std::uint64_t number) const {
  const Entry& entry = logs_.at(origin).at(number - 1);
  return {*entry.id, *entry.tally, entry.amount};
}

std::int64_t TallyFold::Total(const std::string& tally) const {
  const auto found = totals_.find(tally);
  return found == totals_.end() ? 0 : found->second;
}

}  // namespace bitternmux::fleet
