// The checker: reads what passed, knows nothing of the program, and says which rules were broken.
//
// It follows a record entry by entry, whether from a file or as it is written, in memory that does not grow
// with the record's length but for its machines and what is found. docs/operators/lab-check.md says what each
// rule means.
#ifndef BITTERNMUX_LAB_RULES_CHECKER_H_
#define BITTERNMUX_LAB_RULES_CHECKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/record/reader.h"
#include "lab/record/record.pb.h"
#include "lab/rules/breach.h"
#include "lab/rules/machines.h"
#include "lab/rules/sidecars.h"
#include "lab/rules/tries.h"

namespace bitternmux::lab::rules {

class Checker {
 public:
  // So many breaches are kept; further ones are only counted.
  static constexpr std::size_t kMostBreaches = 10'000;

  // Throws Untrusted for a header whose figures cannot be.
  explicit Checker(const record::Header& header);
  Checker(const Checker&) = delete;
  Checker& operator=(const Checker&) = delete;

  // Each entry behind the header, in order. Throws Untrusted; nothing may be concluded after it.
  void Take(const record::Entry& entry);
  // Behind the last entry.
  void Finish();

  // By time and then by rule; all of them are there only after Finish.
  std::vector<Breach> Breaches() const;
  std::array<std::uint64_t, kRules> counts() const { return counts_; }
  std::uint64_t found() const;

  // Wishes that are not forgotten: what the bound of memory is about.
  std::size_t held() const { return tries_.held(); }

 private:
  void TakeTrouble(const record::Trouble& trouble);

  std::vector<Breach> breaches_;
  std::array<std::uint64_t, kRules> counts_{};
  std::int64_t now_us_ = 0;
  std::map<std::string, std::uint64_t> troubles_;  // that have begun and not ended, by name
  const Report report_;
  Sidecars sidecars_;
  Machines machines_;
  Tries tries_;
};

struct Verdict {
  // The record cannot be read or trusted, or is void: why. Empty if it was judged, and only then is the rest
  // right.
  std::string unreadable;
  std::vector<Breach> breaches;
  std::array<std::uint64_t, kRules> counts{};
  std::uint64_t entries = 0;
  std::int64_t end_us = 0;

  std::uint64_t found() const;
  // 0: all rules hold; 1: some were broken; 2: unreadable.
  int ExitCode() const { return !unreadable.empty() ? 2 : found() > 0 ? 1 : 0; }
};

// Reads a whole record. Faults of the record are in the verdict; std::system_error is thrown where its bytes
// cannot be had.
Verdict Check(record::Source& source);

}  // namespace bitternmux::lab::rules

#endif  // BITTERNMUX_LAB_RULES_CHECKER_H_
