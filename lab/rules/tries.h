// The rules on tries, claims and effects: one final answer for each try and within its time, made by an
// execute node; no effect twice; never two claims at once, nor too many; nothing for a try that has ended,
// and nothing given up held back.
//
// A wish is what a client wants, over all its tries: the first, and those with its id as `first_id`. State:
// the wishes that something is out of, or that were heard of lately. A wish is forgotten twice the longest
// deadline after the last of its tries and claims has ended, and a minute more where one of its claims may
// yet run. An entry that names it later makes the record untrusted, so that nothing passes for having been
// forgotten.
#ifndef BITTERNMUX_LAB_RULES_TRIES_H_
#define BITTERNMUX_LAB_RULES_TRIES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/record/record.pb.h"
#include "lab/rules/breach.h"
#include "lab/rules/machines.h"
#include "lab/rules/sidecars.h"

namespace bitternmux::lab::rules {

class Tries {
 public:
  // Both others must outlive it; it tells the machines of each claim.
  Tries(const record::Header& header, const Sidecars& sidecars, Machines& machines, Report report);

  // All throw Untrusted for what contradicts the entries before.
  void Sent(std::int64_t at_us, const record::TrySent& entry);
  void Ended(std::int64_t at_us, const record::TryEnded& entry);
  void Begun(std::int64_t at_us, const record::ClaimBegun& entry);
  void Whole(std::int64_t at_us, const record::ClaimWhole& entry);
  void ClaimOver(std::int64_t at_us, const record::ClaimEnded& entry);
  void DialLost(std::int64_t at_us, std::uint64_t id);  // a dial made for it, 0: for none
  void Effect(std::int64_t at_us, const record::Effect& entry);

  // Before each entry: judges what had to wait for entries that may stand in the wrong order, and forgets.
  void Advance(std::int64_t at_us);
  void Finish(std::int64_t at_us);

  std::size_t held() const { return wishes_.size(); }

 private:
  struct Claim {
    std::uint64_t id = 0;
    std::uint32_t machine = 0;
    std::int64_t begun_us = 0, whole_us = -1, ended_us = -1;
    record::ClaimEnded::How how = record::ClaimEnded::SERVED;
    bool effect = false;

    bool whole() const { return whole_us >= 0; }
    bool ended() const { return ended_us >= 0; }
    // Nothing proves that it never ran.
    bool MayHaveRun() const { return whole() && !(ended() && how == record::ClaimEnded::DECLINED); }
  };
  struct Try {
    std::uint64_t id = 0;
    std::uint32_t sidecar = 0;
    std::uint32_t chain = 0;  // of its wish
    std::int64_t sent_us = 0, give_up_us = 0, work_us = 0;
    std::int64_t ended_us = -1;
    record::TryEnded::How how = record::TryEnded::SERVED;
    std::int64_t idle_us = 0;  // since when nothing has been out for it, as its sidecar can know
    bool untold = false;       // a claim ended of which the sidecar was told nothing
    std::uint32_t whole = 0;   // claims
    std::vector<Claim> claims;

    bool ended() const { return ended_us >= 0; }
  };
  // Tries follow each other on a sidecar's word if the one before was refused or not taken: then they are one
  // chain, in which a second effect is to blame on the sidecars. A client that asks again after anything else
  // begins a new chain.
  struct Wish {
    std::uint32_t klass = 0;
    std::uint32_t out = 0;  // tries and claims that have not ended
    std::int64_t quiet_us = 0;
    std::vector<Try> tries;
    std::vector<std::uint32_t> effects;  // by chain
  };
  struct Place {
    std::uint64_t wish = 0;
    std::uint32_t attempt = 0, claim = 0;
  };
  struct Found {
    Wish& wish;
    Try& attempt;
    Claim& claim;
  };
  struct Overlap {  // two claims that were out together, if the order of the entries can be relied on
    std::int64_t at_us;
    std::uint64_t earlier, later;
  };

  Found FindClaim(std::uint64_t id);
  bool Never(const Wish& wish) const;
  std::string NameOf(const Claim& claim) const;
  void JudgeLost(std::int64_t at_us, const Try& attempt, const std::string& why) const;
  void JudgeServed(std::int64_t at_us, const Try& attempt, std::uint64_t claim_id);
  void JudgeRefused(std::int64_t at_us, const Try& attempt) const;
  void JudgeHeldBack(std::int64_t at_us, const Try& attempt) const;
  // Did its sidecar stand still for most of the last moments in which it could have answered?
  bool StoodStill(std::int64_t at_us, const Try& attempt) const;
  void JudgeOverlap(const Overlap& overlap);
  void Quieted(std::int64_t at_us, std::uint64_t id, Wish& wish);
  void Forget(std::deque<std::pair<std::int64_t, std::uint64_t>>& queue, std::int64_t hold_us,
              std::int64_t at_us);

  const record::Rules rules_;
  const std::vector<record::Class> classes_;
  const Sidecars& sidecars_;
  Machines& machines_;
  const Report report_;
  const std::int64_t hold_us_;
  std::unordered_map<std::uint64_t, Wish> wishes_;   // by the first try's id
  std::unordered_map<std::uint64_t, Place> tries_;   // by id
  std::unordered_map<std::uint64_t, Place> claims_;  // by id
  std::deque<Overlap> overlaps_;
  // Wishes of which nothing is out, by the time since when; and those of which a claim may yet run.
  std::deque<std::pair<std::int64_t, std::uint64_t>> quiet_, may_yet_run_;
};

}  // namespace bitternmux::lab::rules

#endif  // BITTERNMUX_LAB_RULES_TRIES_H_
