#include "lab/model/told_list.h"

namespace bitternmux::lab::model {

ToldList::ToldList(const Discovery& discovery) : discovery_(discovery) {
  const Listing listing = discovery.Whole();
  revision_ = listing.revision;
  for (const ListEntry& entry : listing.entries) Remember(entry);
}

void ToldList::Remember(const ListEntry& entry) {
  const auto at = static_cast<std::size_t>(discovery_.RowOf(entry.machine));
  if (rows_.size() <= at) rows_.resize(at + 1);
  rows_[at] = entry;
}

std::vector<ListEntry> ToldList::Hear(const Listing& listing) {
  std::vector<ListEntry> news;
  revision_ = listing.revision;
  if (listing.complete) {
    std::vector<bool> there(rows_.size());
    for (const ListEntry& entry : listing.entries) {
      const auto at = static_cast<std::size_t>(discovery_.RowOf(entry.machine));
      if (at < there.size()) there[at] = true;
    }
    for (std::size_t at = 0; at < there.size(); ++at) {
      if (there[at] || !rows_[at] || rows_[at]->phase == Phase::kGone) continue;
      rows_[at]->phase = Phase::kGone;
      if (Binds(listing, *rows_[at])) news.push_back(*rows_[at]);
    }
  }
  for (const ListEntry& entry : listing.entries) {
    const auto at = static_cast<std::size_t>(discovery_.RowOf(entry.machine));
    if (at < rows_.size() && rows_[at] == entry) continue;
    Remember(entry);
    if (Binds(listing, entry)) news.push_back(entry);
  }
  return news;
}

bool ToldList::Binds(const Listing& listing, const ListEntry& entry) const {
  return !listing.old || entry.phase == Phase::kServing || !discovery_.Serves(entry.machine);
}

Listing ToldList::Known() const {
  Listing known{revision_, true, {}};
  for (const auto& entry : rows_) {
    if (entry && entry->phase != Phase::kGone) known.entries.push_back(*entry);
  }
  return known;
}

}  // namespace bitternmux::lab::model
