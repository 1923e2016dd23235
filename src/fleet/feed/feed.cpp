#include "fleet/feed/feed.h"

#include <utility>

#include "fleet/delta/text_delta.h"

namespace bitternmux::fleet {
namespace {

std::size_t BytesOf(const FeedEntry& entry) {
  std::size_t bytes = sizeof entry;
  if (entry.configuration) bytes += entry.configuration->delta.size();
  if (entry.servers) bytes += entry.servers->changed.size() * sizeof(ServerEntry);
  return bytes;
}

}  // namespace

ServersChange MakeServersChange(const ServerMap& from, const ListPosition& base, const ServerMap& to,
                                const ListPosition& position) {
  ServersChange change;
  change.position = position;
  change.base = base;
  for (const auto& [id, entry] : to) {
    const auto found = from.find(id);
    if (found == from.end() || found->second != entry) change.changed.push_back(entry);
  }
  for (const auto& [id, entry] : from) {
    if (!to.contains(id)) change.removed.push_back(id);
  }
  return change;
}

FeedEntry& FeedPublisher::Append() {
  FeedEntry& entry = journal_.emplace_back();
  entry.feed = feed_;
  entry.offset = ++offset_;
  return entry;
}

void FeedPublisher::Trim() {
  journal_bytes_ += BytesOf(journal_.back());
  while (journal_.size() > 1 && (journal_.size() > kJournalEntries || journal_bytes_ > kJournalBytes)) {
    journal_bytes_ -= BytesOf(journal_.front());
    journal_.pop_front();
  }
}

bool FeedPublisher::SetConfiguration(std::uint64_t version, std::string text) {
  if (version <= state_.configuration_version) return false;
  Append().configuration = {version, state_.configuration_version, MakeDelta(state_.configuration, text)};
  state_.configuration_version = version;
  state_.configuration = std::move(text);
  Trim();
  return true;
}

bool FeedPublisher::SetServers(const ListPosition& position, ServerMap servers) {
  if (position <= state_.list_position) return false;
  ServersChange change = MakeServersChange(state_.servers, state_.list_position, servers, position);
  const bool first = state_.list_position == ListPosition{};
  const bool news = first || !change.changed.empty() || !change.removed.empty();
  if (news) {
    change.whole = first;
    Append().servers = std::move(change);
    state_.list_position = position;
    state_.servers = std::move(servers);
    Trim();
  }
  return news;
}

bool FeedPublisher::SetFleet(FleetView fleet) {
  if (fleet == state_.fleet) return false;
  state_.fleet = fleet;
  Append().fleet = std::move(fleet);
  Trim();
  return true;
}

bool FeedPublisher::SetEvacuations(Evacuations evacuations) {
  if (evacuations.position <= state_.evacuations.position) return false;
  state_.evacuations = evacuations;
  Append().evacuations = std::move(evacuations);
  Trim();
  return true;
}

FeedEntry FeedPublisher::Snapshot(const Subscribe& subscribe) const {
  FeedEntry snapshot;
  snapshot.feed = feed_;
  snapshot.offset = offset_;
  snapshot.snapshot = true;
  if (state_.configuration_version > subscribe.configuration_version) {
    snapshot.configuration = {state_.configuration_version, 0, MakeDelta({}, state_.configuration)};
  }
  if (state_.list_position > subscribe.servers) {
    ServersChange& change = snapshot.servers.emplace();
    change.position = state_.list_position;
    change.whole = true;
    for (const auto& [id, entry] : state_.servers) change.changed.push_back(entry);
  }
  snapshot.fleet = state_.fleet;
  if (state_.evacuations.position != Position{}) snapshot.evacuations = state_.evacuations;
  return snapshot;
}

std::vector<FeedEntry> FeedPublisher::CatchUp(const Subscribe& subscribe) const {
  const std::uint64_t first = journal_.empty() ? offset_ + 1 : journal_.front().offset;
  if (subscribe.feed != feed_ || subscribe.offset > offset_ || subscribe.offset + 1 < first) {
    return {Snapshot(subscribe)};
  }
  std::vector<FeedEntry> entries;
  for (const FeedEntry& entry : journal_) {
    if (entry.offset > subscribe.offset) entries.push_back(entry);
  }
  return entries;
}

bool FeedFollower::TakeConfiguration(const ConfigurationChange& change, Applied& applied) {
  if (change.version <= state_.configuration_version) return true;
  if (change.base != 0 && change.base != state_.configuration_version) return false;
  auto text = ApplyDelta(change.base == 0 ? std::string_view() : state_.configuration, change.delta);
  if (!text) return false;
  state_.configuration = std::move(*text);
  state_.configuration_version = change.version;
  applied.configuration = true;
  return true;
}

bool FeedFollower::TakeServers(const ServersChange& change, Applied& applied) {
  if (change.position <= state_.list_position) return true;
  if (!change.whole && change.base != state_.list_position) return false;
  if (change.whole) state_.servers.clear();
  for (const ServerEntry& entry : change.changed) state_.servers[entry.id] = entry;
  for (const std::string& id : change.removed) state_.servers.erase(id);
  state_.list_position = change.position;
  applied.servers = true;
  return true;
}

void FeedFollower::TakeEvacuations(const Evacuations& evacuations, Applied& applied) {
  if (evacuations.position <= state_.evacuations.position) return;
  state_.evacuations = evacuations;
  applied.evacuations = true;
}

FeedFollower::Applied FeedFollower::Apply(const FeedEntry& entry) {
  Applied applied;
  const bool follows = entry.feed == feed_ && entry.offset == offset_ + 1;
  if (!entry.snapshot && !follows) {
    applied.gap = !(entry.feed == feed_ && entry.offset <= offset_);
    if (applied.gap) feed_ = 0;
    return applied;
  }
  const bool taken = (!entry.configuration || TakeConfiguration(*entry.configuration, applied)) &&
                     (!entry.servers || TakeServers(*entry.servers, applied));
  if (!taken) {
    applied.gap = true;
    feed_ = 0;
    return applied;
  }
  if (entry.fleet && *entry.fleet != state_.fleet) {
    state_.fleet = *entry.fleet;
    applied.fleet = true;
  }
  if (entry.evacuations) TakeEvacuations(*entry.evacuations, applied);
  feed_ = entry.feed;
  offset_ = entry.offset;
  return applied;
}

Subscribe FeedFollower::Ask(std::string subscriber) const {
  return {std::move(subscriber), feed_, offset_, state_.configuration_version, state_.list_position};
}

}  // namespace bitternmux::fleet
