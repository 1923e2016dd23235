#include "lab/simulation/checker.h"

#include <algorithm>
#include <optional>
#include <set>

#include "lab/simulation/evacuation_checker.h"
#include "lab/simulation/platform.h"

namespace bitternmux::lab::simulation {
namespace {

using fleet::Member;
using fleet::ShardValue;

constexpr std::uint64_t kMostUnanswered = 8 * fleet::kPiecesAhead * fleet::kPieceBytes;

// Members that `to` has and `from` has not.
std::size_t Added(const std::vector<Member>& from, const std::vector<Member>& to) {
  const auto is_new = [&](const Member& member) { return std::ranges::find(from, member) == from.end(); };
  return static_cast<std::size_t>(std::ranges::count_if(to, is_new));
}

// Where the last committed history has the order; 0 is the state before the first one.
class Chain {
 public:
  explicit Chain(const std::vector<fleet::TakenOrder>& history) : history_(history) {}
  std::size_t size() const { return history_.size(); }
  std::uint64_t Version(std::size_t index) const { return index == 0 ? 0 : history_[index - 1].version; }
  std::optional<std::size_t> Find(std::uint64_t version, std::uint64_t digest) const {
    const auto found = std::ranges::find(history_, fleet::TakenOrder{version, digest});
    if (found == history_.end()) return std::nullopt;
    return static_cast<std::size_t>(found - history_.begin()) + 1;
  }
  std::optional<std::size_t> FindVersion(std::uint64_t version) const {
    if (version == 0) return 0;
    const auto found = std::ranges::find(history_, version, &fleet::TakenOrder::version);
    if (found == history_.end()) return std::nullopt;
    return static_cast<std::size_t>(found - history_.begin()) + 1;
  }

 private:
  const std::vector<fleet::TakenOrder>& history_;
};

std::string Name(const CallRecord& call) {
  return call.by + " " + NameOf(call.kind) + " " + std::to_string(call.version) + " on " +
         std::to_string(call.builds_on) + ", " + std::to_string(call.began_ms) + " to " +
         std::to_string(call.ended_ms) + " ms, answered by " + call.answered_by;
}

// The states that a call may have met: no older than what was known to anybody when it began, no newer than
// what had been sent when it ended.
struct Span {
  std::size_t oldest = 0, newest = 0;
};

Span MayHaveMet(const History& history, const Chain& chain, const CallRecord& call) {
  Span span;
  for (const CallRecord& other : history.calls) {
    const auto index = other.kind == CallKind::kPut ? chain.Find(other.version, other.digest)
                                                    : chain.FindVersion(other.version);
    if (!index) continue;
    const bool known = other.end == CallEnd::kTaken || other.end == CallEnd::kRead;
    if (known && other.ended_ms <= call.began_ms) span.oldest = std::max(span.oldest, *index);
    if (other.kind == CallKind::kPut && other.began_ms <= call.ended_ms)
      span.newest = std::max(span.newest, *index);
  }
  return span;
}

}  // namespace

void Checker::Fault(int invariant, std::string what) {
  history_.violations.push_back({invariant, clock_.now_ms(), std::move(what)});
}

// ---- While it runs ----

void Checker::CheckCommitted(const std::string& machine, const fleet::AcceptedValue& committed) {
  if (committed.position == fleet::Position{}) return;
  const auto [found, added] = history_.committed.emplace(committed.position.sequence, committed.value);
  if (added) {
    history_.committed_ms[committed.position.sequence] = clock_.now_ms();
    return CheckGroups(committed.position.sequence, committed.value);
  }
  if (found->second != committed.value) {
    Fault(1, machine + " holds another committed value at " + std::to_string(committed.position.sequence));
  }
}

void Checker::CheckGroups(std::uint64_t sequence, const ShardValue& value) {
  std::set<std::string> addresses;
  for (const Member& member : value.members) addresses.insert(member.internal);
  const std::string at = "the group at " + std::to_string(sequence);
  if (addresses.size() != value.members.size()) Fault(8, at + " has a member twice");
  const std::size_t come = Added(value.previous_members, value.members);
  const std::size_t gone = Added(value.members, value.previous_members);
  const bool changing = !value.previous_members.empty();
  if (changing && (come != 1 || gone > 1)) Fault(8, at + " changes more than one member");
  const auto before = history_.committed.find(sequence - 1);
  if (before == history_.committed.end()) return;
  const bool same = before->second.members == value.members;
  const bool taken_back = before->second.previous_members == value.members;
  if (!changing && !same && !taken_back) Fault(8, at + " has changed without the word of the one before");
  if (changing && !same && before->second.members != value.previous_members) {
    Fault(8, at + " is not the neighbour of the one before");
  }
}

void Checker::CheckContent(const fleet::ListPosition& position, const fleet::ServerMap& servers) {
  const int revision = RevisionOf(servers);
  if (revision == 0) return;
  const auto [found, added] = contents_.emplace(position, revision);
  if (!added && found->second != revision) Fault(10, "two lists at one position");
}

void Checker::ControlSeen(const std::string& machine, std::uint64_t life, const fleet::ControlCore& core) {
  const fleet::Replica& replica = core.replica();
  Seen& seen = seen_[machine];
  if (seen.life != life) seen = Seen{life, {}, 0, {}, 0};
  const fleet::AcceptedValue& committed = replica.committed();
  if (committed.position < seen.committed) Fault(3, machine + ": what is committed has gone back");
  if (committed.position != seen.committed) CheckCommitted(machine, committed);
  seen.committed = committed.position;
  if (replica.role() == fleet::Replica::Role::kOwner) {
    const auto [found, added] = owners_.emplace(replica.epoch(), std::make_pair(machine, life));
    if (!added && found->second != std::make_pair(machine, life)) {
      Fault(2, machine + " owns an epoch that " + found->second.first + " owned");
    }
  }
  const fleet::ListView& list = core.list();
  if (list.newest() < seen.list) Fault(10, machine + ": the list's position has gone back");
  if (RevisionOf(list.servers()) < seen.revision) Fault(10, machine + ": the list has gone back");
  seen.list = list.newest();
  seen.revision = RevisionOf(list.servers());
  CheckContent(list.content(), list.servers());
  const auto unanswered = static_cast<double>(replica.UnansweredBytes());
  history_.measure.most_unanswered_bytes = std::max(history_.measure.most_unanswered_bytes, unanswered);
  if (replica.UnansweredBytes() > kMostUnanswered) Fault(15, machine + " has too much under way");
  if (committed.value.history.size() > fleet::kMaxHistory) Fault(15, machine + " remembers too much");
  if (core.open_calls() > fleet::kMostCalls) Fault(15, machine + " holds too many calls");
}

void Checker::EdgeSeen(const std::string& process, std::uint64_t life, const fleet::FeedState& state) {
  Seen& seen = seen_[process];
  if (seen.life != life) seen = Seen{life, {}, 0, {}, 0};
  const int revision = RevisionOf(state.servers);
  if (state.configuration_version < seen.version) Fault(9, process + ": the configuration has gone back");
  if (state.list_position < seen.list) Fault(9, process + ": the list's position has gone back");
  if (revision < seen.revision) Fault(9, process + ": the list has gone back");
  if (state.evacuations.position < seen.evacuations)
    Fault(9, process + ": the evacuations' position has gone back");
  CheckTold(process, state.evacuations);
  seen.evacuations = state.evacuations.position;
  seen.version = state.configuration_version;
  seen.list = state.list_position;
  seen.revision = revision;
  CheckContent(state.list_position, state.servers);
}

// What a feed has brought is what stands in the committed value of that position.
void Checker::CheckTold(const std::string& process, const fleet::Evacuations& evacuations) {
  if (evacuations.position == fleet::Position{}) return;
  const auto found = history_.committed.find(evacuations.position.sequence);
  if (found != history_.committed.end() && found->second.evacuated == evacuations.zones) return;
  Fault(kEvacuationsToldWrong, process + " holds other evacuations than were committed at " +
                                   std::to_string(evacuations.position.sequence));
}

void Checker::Granted(double tokens) { grants_.emplace_back(clock_.now_ms(), tokens); }

void Checker::Admitted(double tokens) { admitted_.emplace_back(clock_.now_ms(), tokens); }

// ---- At the end ----

void Checker::CheckQuota() {
  CheckWindows(grants_, "granted");
  CheckWindows(admitted_, "let through");
}

void Checker::CheckWindows(const Tokens& tokens, const std::string& name) {
  const double allowed =
      (quota_.rate_per_s * quota_.window_ms / 1000 + quota_.burst) * (1 + quota_.overage) + quota_.slack;
  double sum = 0;
  auto first = tokens.begin();
  for (const auto& [at_ms, count] : tokens) {
    sum += count;
    while (first->first < at_ms - quota_.window_ms) sum -= (first++)->second;
    if (sum <= allowed) continue;
    return Fault(11, name + " " + std::to_string(sum) + " of " + std::to_string(allowed) + " up to " +
                         std::to_string(at_ms) + " ms");
  }
}

void Checker::CheckEvacuations() {
  EvacuationChecker checker(history_,
                            [&](int invariant, const std::string& what) { Fault(invariant, what); });
  checker.Check();
}

void Checker::CheckCalls() {
  static const std::vector<fleet::TakenOrder> kNone;
  const auto& committed = history_.committed;
  const Chain chain(committed.empty() ? kNone : committed.rbegin()->second.history);
  for (std::size_t index = 1; index <= chain.size(); ++index) {
    if (chain.Version(index) <= chain.Version(index - 1)) Fault(6, "versions in force do not rise");
  }
  for (const CallRecord& call : history_.calls) {
    if (call.kind == CallKind::kPut) {
      const auto index = chain.Find(call.version, call.digest);
      if (call.end == CallEnd::kTaken && !index) Fault(4, "acknowledged and lost: " + Name(call));
      if (index && chain.Version(*index - 1) != call.builds_on)
        Fault(6, "in force on another version: " + Name(call));
      if (call.end == CallEnd::kRefused && index) Fault(5, "refused and in force: " + Name(call));
      if (call.end != CallEnd::kRefused || index) continue;
      const Span span = MayHaveMet(history_, chain, call);
      bool right = false;
      for (std::size_t at = span.oldest; at <= span.newest && at <= chain.size(); ++at) {
        right = right || chain.Version(at) != call.builds_on || call.version <= chain.Version(at);
      }
      if (!right) Fault(5, "refused though it built on the newest: " + Name(call));
    } else if (call.end == CallEnd::kRead) {
      const auto index = chain.FindVersion(call.version);
      const Span span = MayHaveMet(history_, chain, call);
      if (!index || *index < span.oldest) Fault(7, "an old state was read: " + Name(call));
      if (index && *index > span.newest) Fault(7, "a state was read that nobody had sent: " + Name(call));
    }
  }
}

}  // namespace bitternmux::lab::simulation
