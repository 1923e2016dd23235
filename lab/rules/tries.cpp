#include "lab/rules/tries.h"

#include <algorithm>

namespace bitternmux::lab::rules {
namespace {

using record::ClaimEnded;
using record::TryEnded;

// Past this share of its time a refusal or failure is late, and within that share after the last claim's end
// it is still the answer to that end.
constexpr std::int64_t kLateParts = 2;
constexpr std::int64_t kPromptParts = 10;

// Guards the arithmetic.
constexpr std::int64_t kMostFigureUs = 1'000'000'000'000;
constexpr std::int64_t kMostWorkUs = 100'000'000'000;

constexpr std::int64_t kMayYetRunUs = 60'000'000;
constexpr std::int64_t kLeastHoldUs = 5'000'000;

std::int64_t HoldOf(const record::Header& header) {
  std::int64_t longest = kLeastHoldUs;
  for (const auto& klass : header.classes()) longest = std::max(longest, klass.deadline_us());
  return 2 * longest;
}

std::string Named(std::uint64_t id) { return std::to_string(id); }

// Work that may go on though the sidecar no longer waits for it.
bool MayYetRun(ClaimEnded::How how) {
  return how == ClaimEnded::RESET || how == ClaimEnded::CANCELLED || how == ClaimEnded::OVERDUE ||
         how == ClaimEnded::SILENT;
}

}  // namespace

Tries::Tries(const record::Header& header, const Sidecars& sidecars, Machines& machines, Report report)
    : rules_(header.rules()),
      classes_(header.classes().begin(), header.classes().end()),
      sidecars_(sidecars),
      machines_(machines),
      report_(std::move(report)),
      hold_us_(HoldOf(header)) {}

bool Tries::Never(const Wish& wish) const { return classes_[wish.klass].repeat() == record::Class::NEVER; }

Tries::Found Tries::FindClaim(std::uint64_t id) {
  const auto found = claims_.find(id);
  if (found == claims_.end()) throw Untrusted("claim " + Named(id) + " is unknown");
  Wish& wish = wishes_.at(found->second.wish);
  Try& attempt = wish.tries[found->second.attempt];
  return {wish, attempt, attempt.claims[found->second.claim]};
}

std::string Tries::NameOf(const Claim& claim) const {
  std::string text = "claim " + Named(claim.id) + " at " + machines_.IdOf(claim.machine);
  return text + (claim.ended() ? " (" + ClaimEnded::How_Name(claim.how) + ")" : " (out)");
}

void Tries::Sent(std::int64_t at_us, const record::TrySent& entry) {
  const std::uint64_t id = entry.try_id();
  const std::uint64_t first = entry.first_id();
  sidecars_.Known(entry.sidecar());
  if (id == 0) throw Untrusted("a try without an id");
  if (entry.class_() >= classes_.size()) throw Untrusted("class " + Named(entry.class_()) + " is unknown");
  if (entry.give_up_us() <= at_us) throw Untrusted("try " + Named(id) + " has no time");
  if (entry.give_up_us() - at_us > kMostFigureUs) throw Untrusted("try " + Named(id) + " waits for ever");
  if (entry.work_us() < 0 || entry.work_us() > kMostWorkUs) {
    throw Untrusted("try " + Named(id) + " asks for work that cannot be");
  }
  if (tries_.count(id) > 0) throw Untrusted("try " + Named(id) + " was sent twice");
  const bool retry = first != id;
  if (retry && wishes_.count(first) == 0) throw Untrusted("try " + Named(first) + " is unknown");
  Wish& wish = wishes_[first];
  if (!retry) {
    wish.klass = entry.class_();
    wish.effects.push_back(0);
  } else if (wish.klass != entry.class_()) {
    throw Untrusted("try " + Named(id) + " is of another class than its first");
  }
  Try attempt;
  if (retry) {
    const Try& last = wish.tries.back();
    const bool on_word = last.ended() && (last.how == TryEnded::REFUSED || last.how == TryEnded::NOT_TAKEN);
    if (!on_word) wish.effects.push_back(0);
  }
  attempt.id = id;
  attempt.sidecar = entry.sidecar();
  attempt.chain = static_cast<std::uint32_t>(wish.effects.size() - 1);
  attempt.sent_us = attempt.idle_us = at_us;
  attempt.give_up_us = entry.give_up_us();
  attempt.work_us = entry.work_us();
  tries_[id] = {first, static_cast<std::uint32_t>(wish.tries.size()), 0};
  wish.tries.push_back(std::move(attempt));
  ++wish.out;
}

void Tries::Ended(std::int64_t at_us, const record::TryEnded& entry) {
  if (!TryEnded::How_IsValid(entry.how())) throw Untrusted("a try's end of an unknown kind");
  const auto found = tries_.find(entry.try_id());
  if (found == tries_.end()) throw Untrusted("try " + Named(entry.try_id()) + " is unknown");
  Wish& wish = wishes_.at(found->second.wish);
  Try& attempt = wish.tries[found->second.attempt];
  if (attempt.ended()) {
    report_({Rule::kAnswerTwice, at_us, attempt.id, "",
             TryEnded::How_Name(entry.how()) + " by " + sidecars_.NameOf(attempt.sidecar) + " after it was " +
                 TryEnded::How_Name(attempt.how) + " " + Seconds(at_us - attempt.ended_us) + " s before"});
    return;
  }
  const bool answered =
      entry.how() == TryEnded::SERVED || entry.how() == TryEnded::REFUSED || entry.how() == TryEnded::FAILED;
  if (answered && at_us > attempt.give_up_us + rules_.answer_slack_us() && !StoodStill(at_us, attempt)) {
    report_({Rule::kAnswerLate, at_us, attempt.id, "",
             TryEnded::How_Name(entry.how()) + " by " + sidecars_.NameOf(attempt.sidecar) + " " +
                 Seconds(at_us - attempt.give_up_us) + " s after its time"});
  }
  switch (entry.how()) {
    case TryEnded::SERVED:
      JudgeServed(at_us, attempt, entry.claim_id());
      break;
    case TryEnded::WRONG:
      report_({Rule::kAnswerUnmade, at_us, attempt.id, "",
               sidecars_.NameOf(attempt.sidecar) + " served what no execute node made for it"});
      break;
    case TryEnded::REFUSED:
      if (Never(wish)) JudgeRefused(at_us, attempt);
      JudgeHeldBack(at_us, attempt);
      break;
    case TryEnded::FAILED:
      JudgeHeldBack(at_us, attempt);
      break;
    case TryEnded::LOST:
      if (!StoodStill(at_us, attempt) && !sidecars_.CutOff(attempt.sidecar, attempt.sent_us,
                                                           attempt.give_up_us + rules_.answer_slack_us())) {
        JudgeLost(at_us, attempt, "no whole answer");
      }
      break;
    case TryEnded::LEFT:
      if (at_us >= attempt.give_up_us) JudgeLost(at_us, attempt, "no answer within its time");
      break;
    case TryEnded::NOT_TAKEN:
      if (!attempt.claims.empty()) {
        JudgeLost(at_us, attempt, "closed as if not taken, after it was sent on");
      }
      break;
    default:
      break;
  }
  attempt.ended_us = at_us;
  attempt.how = entry.how();
  if (--wish.out == 0) Quieted(at_us, found->second.wish, wish);
}

bool Tries::StoodStill(std::int64_t at_us, const Try& attempt) const {
  const std::int64_t slack = rules_.answer_slack_us();
  return 2 * sidecars_.StoodUs(attempt.sidecar, at_us - slack, at_us) > slack;
}

void Tries::JudgeLost(std::int64_t at_us, const Try& attempt, const std::string& why) const {
  const Claim* last = attempt.claims.empty() ? nullptr : &attempt.claims.back();
  report_({Rule::kAnswerLost, at_us, attempt.id, last != nullptr ? machines_.IdOf(last->machine) : "",
           sidecars_.NameOf(attempt.sidecar) + ": " + why + " " + Seconds(at_us - attempt.sent_us) +
               " s after it was sent, with " + Seconds(attempt.give_up_us - attempt.sent_us) +
               " s to wait; " + (last != nullptr ? NameOf(*last) : "no claim was begun")});
}

void Tries::JudgeServed(std::int64_t at_us, const Try& attempt, std::uint64_t claim_id) {
  const std::string& by = sidecars_.NameOf(attempt.sidecar);
  if (claim_id == 0) {
    report_({Rule::kAnswerUnmade, at_us, attempt.id, "", by + " served it without a claim"});
    return;
  }
  const Found found = FindClaim(claim_id);
  const std::string& server = machines_.IdOf(found.claim.machine);
  if (found.attempt.id != attempt.id) {
    report_({Rule::kAnswerUnmade, at_us, attempt.id, server,
             by + " served it with " + NameOf(found.claim) + " of try " + Named(found.attempt.id)});
  } else if (!found.claim.ended() || found.claim.how != ClaimEnded::SERVED) {
    report_({Rule::kAnswerUnmade, at_us, attempt.id, server,
             by + " served it with " + NameOf(found.claim) + ", which gave no answer"});
  }
}

void Tries::JudgeRefused(std::int64_t at_us, const Try& attempt) const {
  for (const Claim& claim : attempt.claims) {
    if (!claim.MayHaveRun()) continue;
    report_({Rule::kRefusedAfterRun, at_us, attempt.id, machines_.IdOf(claim.machine),
             sidecars_.NameOf(attempt.sidecar) + " says that it may be sent again, though " + NameOf(claim) +
                 " may have run"});
    return;
  }
}

// Guards the clients' right to ask again: what has been given up is to be answered at once, not kept until
// there is no time left.
void Tries::JudgeHeldBack(std::int64_t at_us, const Try& attempt) const {
  const std::int64_t time = attempt.give_up_us - attempt.sent_us;
  const std::int64_t prompt = std::max(time / kPromptParts, rules_.answer_slack_us());
  const bool out = std::any_of(attempt.claims.begin(), attempt.claims.end(),
                               [](const Claim& claim) { return !claim.ended(); });
  const std::int64_t ran =
      at_us - attempt.sent_us - sidecars_.StoodUs(attempt.sidecar, attempt.sent_us, at_us);
  if (out || attempt.untold || ran <= time / kLateParts) return;
  if (at_us - attempt.idle_us - sidecars_.StoodUs(attempt.sidecar, attempt.idle_us, at_us) <= prompt) return;
  if (at_us > attempt.give_up_us + rules_.answer_slack_us()) return;  // late, which is said already
  report_({Rule::kHeldBack, at_us, attempt.id,
           attempt.claims.empty() ? "" : machines_.IdOf(attempt.claims.back().machine),
           sidecars_.NameOf(attempt.sidecar) + " answered " + Seconds(at_us - attempt.sent_us) + " s of " +
               Seconds(time) + " s after it was sent, with nothing out for the last " +
               Seconds(at_us - attempt.idle_us) + " s"});
}

void Tries::Begun(std::int64_t at_us, const record::ClaimBegun& entry) {
  const std::uint64_t id = entry.claim_id();
  if (id == 0) throw Untrusted("a claim without an id");
  if (claims_.count(id) > 0) throw Untrusted("claim " + Named(id) + " was begun twice");
  machines_.Known(entry.machine());
  const auto found = tries_.find(entry.try_id());
  if (found == tries_.end()) throw Untrusted("try " + Named(entry.try_id()) + " is unknown");
  Wish& wish = wishes_.at(found->second.wish);
  Try& attempt = wish.tries[found->second.attempt];
  if (attempt.sidecar != entry.sidecar()) {
    throw Untrusted("claim " + Named(id) + " is of a sidecar that its try was not sent to");
  }
  Claim claim;
  claim.id = id;
  claim.machine = entry.machine();
  claim.begun_us = at_us;
  const std::int64_t since_end = at_us - attempt.ended_us;
  if (attempt.ended() &&
      since_end - sidecars_.StoodUs(attempt.sidecar, attempt.ended_us, at_us) > rules_.answer_slack_us()) {
    report_({Rule::kClaimAfterEnd, at_us, attempt.id, machines_.IdOf(claim.machine),
             sidecars_.NameOf(attempt.sidecar) + " began claim " + Named(id) + " " + Seconds(since_end) +
                 " s after the try was " + TryEnded::How_Name(attempt.how)});
  }
  claims_[id] = {found->second.wish, found->second.attempt,
                 static_cast<std::uint32_t>(attempt.claims.size())};
  attempt.claims.push_back(claim);
  ++wish.out;
  machines_.Begun(at_us, entry.sidecar(), entry.machine(), attempt.id);
}

void Tries::Whole(std::int64_t at_us, const record::ClaimWhole& entry) {
  const auto [wish, attempt, claim] = FindClaim(entry.claim_id());
  if (claim.whole()) throw Untrusted("claim " + Named(claim.id) + " was whole twice");
  if (claim.ended()) throw Untrusted("claim " + Named(claim.id) + " was whole after its end");
  const std::string& server = machines_.IdOf(claim.machine);
  const std::string& by = sidecars_.NameOf(attempt.sidecar);

  if (++attempt.whole > rules_.max_attempts()) {
    report_({Rule::kTooManyClaims, at_us, attempt.id, server,
             by + " sent claim " + Named(attempt.whole) + " of " + Named(rules_.max_attempts())});
  }
  const Claim* may_have_run = nullptr;
  for (const Claim& earlier : attempt.claims) {
    if (!earlier.MayHaveRun()) continue;
    if (!earlier.ended() && !rules_.may_duplicate()) {
      overlaps_.push_back({at_us, earlier.id, claim.id});
    } else if (may_have_run == nullptr) {
      may_have_run = &earlier;
    }
  }
  if (may_have_run != nullptr && Never(wish)) {
    report_({Rule::kAgainAfterRun, at_us, attempt.id, server,
             by + " sent claim " + Named(claim.id) + ", though " + NameOf(*may_have_run) + " may have run"});
  }
  // Begun before the answer, and whole behind it: the answer promised what no longer held.
  if (Never(wish) && attempt.ended() && attempt.how == TryEnded::REFUSED &&
      claim.begun_us <= attempt.ended_us + rules_.answer_slack_us()) {
    report_({Rule::kRefusedAfterRun, at_us, attempt.id, server,
             by + " finished sending claim " + Named(claim.id) + " " + Seconds(at_us - attempt.ended_us) +
                 " s after it had said that it may be sent again"});
  }
  claim.whole_us = at_us;
  machines_.Reached(at_us, attempt.sidecar, claim.machine, attempt.id, attempt.work_us);
  Advance(at_us);
}

void Tries::ClaimOver(std::int64_t at_us, const ClaimEnded& entry) {
  if (!ClaimEnded::How_IsValid(entry.how())) throw Untrusted("a claim's end of an unknown kind");
  const auto [wish, attempt, claim] = FindClaim(entry.claim_id());
  const std::string name = "claim " + Named(claim.id);
  if (claim.ended()) throw Untrusted(name + " ended twice");
  const ClaimEnded::How how = entry.how();
  // An execute node may decline before all has come.
  const bool whole_or_not = how == ClaimEnded::DECLINED || how == ClaimEnded::SILENT;
  if (!whole_or_not && (how == ClaimEnded::NEVER) == claim.whole()) {
    throw Untrusted(name + " ended as " + ClaimEnded::How_Name(how) +
                    (claim.whole() ? " though it was whole" : " though it was not whole"));
  }
  if ((how == ClaimEnded::SERVED || how == ClaimEnded::SPOILT) && !claim.effect) {
    throw Untrusted(name + " ended as " + ClaimEnded::How_Name(how) + " without having taken effect");
  }
  claim.ended_us = at_us;
  claim.how = how;
  attempt.idle_us = at_us;
  if (how == ClaimEnded::OVERDUE || how == ClaimEnded::SILENT) attempt.untold = true;
  if (--wish.out == 0) Quieted(at_us, claims_.at(claim.id).wish, wish);
}

void Tries::DialLost(std::int64_t at_us, std::uint64_t id) {
  if (id == 0) return;
  const auto found = tries_.find(id);
  if (found == tries_.end()) throw Untrusted("try " + Named(id) + " is unknown");
  wishes_.at(found->second.wish).tries[found->second.attempt].idle_us = at_us;
}

void Tries::Effect(std::int64_t at_us, const record::Effect& entry) {
  const auto [wish, attempt, claim] = FindClaim(entry.claim_id());
  if (!claim.whole()) throw Untrusted("claim " + Named(claim.id) + " took effect and was not whole");
  if (claim.effect) throw Untrusted("claim " + Named(claim.id) + " took effect twice");
  claim.effect = true;
  if (!Never(wish) || ++wish.effects[attempt.chain] < 2) return;
  std::string others;
  for (const Try& other : wish.tries) {
    for (const Claim& before : other.claims) {
      if (!before.effect || other.chain != attempt.chain || before.id == claim.id) continue;
      others.append(others.empty() ? "" : ", ").append(NameOf(before));
      others.append(" of try ").append(Named(other.id));
    }
  }
  report_({Rule::kEffectTwice, at_us, attempt.id, machines_.IdOf(claim.machine),
           "claim " + Named(claim.id) + " took effect after " + others});
}

void Tries::JudgeOverlap(const Overlap& overlap) {
  const auto [wish, attempt, earlier] = FindClaim(overlap.earlier);
  const Claim& later = FindClaim(overlap.later).claim;
  const std::string& by = sidecars_.NameOf(attempt.sidecar);
  const bool given_up = earlier.ended() && earlier.how == ClaimEnded::CANCELLED &&
                        earlier.ended_us <= overlap.at_us + rules_.order_slack_us();
  if (!given_up) {
    report_({Rule::kTwoAtOnce, overlap.at_us, attempt.id, machines_.IdOf(later.machine),
             by + " sent claim " + Named(later.id) + " while claim " + Named(earlier.id) + " at " +
                 machines_.IdOf(earlier.machine) + " was out"});
  } else if (Never(wish)) {
    report_({Rule::kAgainAfterRun, overlap.at_us, attempt.id, machines_.IdOf(later.machine),
             by + " sent claim " + Named(later.id) + ", though " + NameOf(earlier) + " may have run"});
  }
}

void Tries::Quieted(std::int64_t at_us, std::uint64_t id, Wish& wish) {
  wish.quiet_us = at_us;
  const bool may_yet_run = std::any_of(wish.tries.begin(), wish.tries.end(), [](const Try& attempt) {
    return std::any_of(attempt.claims.begin(), attempt.claims.end(), [](const Claim& claim) {
      return claim.whole() && !claim.effect && MayYetRun(claim.how);
    });
  });
  (may_yet_run ? may_yet_run_ : quiet_).emplace_back(at_us, id);
}

void Tries::Forget(std::deque<std::pair<std::int64_t, std::uint64_t>>& queue, std::int64_t hold_us,
                   std::int64_t at_us) {
  while (!queue.empty() && queue.front().first + hold_us < at_us) {
    const auto [since, id] = queue.front();
    queue.pop_front();
    const auto found = wishes_.find(id);
    // It may have been heard of again since, and then stands further behind.
    if (found == wishes_.end() || found->second.out > 0 || found->second.quiet_us != since) continue;
    for (const Try& attempt : found->second.tries) {
      for (const Claim& claim : attempt.claims) claims_.erase(claim.id);
      tries_.erase(attempt.id);
    }
    wishes_.erase(found);
  }
}

void Tries::Advance(std::int64_t at_us) {
  while (!overlaps_.empty() &&
         (rules_.order_slack_us() == 0 || at_us > overlaps_.front().at_us + rules_.order_slack_us())) {
    JudgeOverlap(overlaps_.front());
    overlaps_.pop_front();
  }
  Forget(quiet_, hold_us_, at_us);
  Forget(may_yet_run_, hold_us_ + kMayYetRunUs, at_us);
}

void Tries::Finish(std::int64_t at_us) {
  while (!overlaps_.empty()) {
    JudgeOverlap(overlaps_.front());
    overlaps_.pop_front();
  }
  std::vector<std::uint64_t> open;
  for (const auto& [id, wish] : wishes_) {
    if (wish.out > 0) open.push_back(id);
  }
  std::sort(open.begin(), open.end());
  for (const std::uint64_t id : open) {
    for (const Try& attempt : wishes_.at(id).tries) {
      for (const Claim& claim : attempt.claims) {
        if (!claim.ended()) throw Untrusted("claim " + Named(claim.id) + " has no end");
      }
      if (!attempt.ended()) JudgeLost(at_us, attempt, "no end in the record");
    }
  }
}

}  // namespace bitternmux::lab::rules
