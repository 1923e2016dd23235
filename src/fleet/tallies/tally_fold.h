// The logs of adds that a control machine holds, and the sums that are folded from them. Values alone.
//
// What is held of a log is a prefix of it. An id counts once over all logs, with the lowest of the contents
// that it came with (by tally, then amount).
#ifndef BITTERNMUX_SRC_FLEET_TALLIES_TALLY_FOLD_H_
#define BITTERNMUX_SRC_FLEET_TALLIES_TALLY_FOLD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/messages/tally_messages.h"

namespace bitternmux::fleet {

class TallyFold {
 public:
  TallyFold() = default;
  TallyFold(const TallyFold&) = delete;  // logs point into the ids
  TallyFold& operator=(const TallyFold&) = delete;

  // Takes those of the adds that continue the prefix that is held. What was taken; none of it may be empty.
  TallyAdds Take(TallyAdds adds);
  // Appends to a log. The number of the add.
  std::uint64_t Append(std::uint64_t origin, const TallyAdd& add);

  std::uint64_t LengthOf(std::uint64_t origin) const;
  std::vector<TallyExtent> Extents() const;
  // Adds that are held beyond these extents, from the start of each log; 0: none.
  std::uint64_t CountBeyond(const std::vector<TallyExtent>& extents) const;
  // Adds of these extents that are not held.
  std::uint64_t CountMissing(const std::vector<TallyExtent>& extents) const;
  // What is held beyond these extents: some of it, of at most so many bytes or a single add.
  std::vector<TallyAdds> Beyond(const std::vector<TallyExtent>& extents, std::size_t most_bytes) const;

  std::int64_t Total(const std::string& tally) const;
  // An add that is held, by its number.
  TallyAdd At(std::uint64_t origin, std::uint64_t number) const;
  std::size_t adds() const { return adds_; }  // of all logs

 private:
  using Totals = std::map<std::string, std::int64_t, std::less<>>;
  // What an id counts with.
  struct Counted {
    const std::string* tally = nullptr;
    std::int64_t amount = 0;
  };
  struct Entry {
    const std::string* id;
    const std::string* tally;
    std::int64_t amount;
  };
  using Log = std::vector<Entry>;

  void Count(const std::string* tally, std::int64_t amount, Counted& counted);
  static std::size_t BytesOf(const Entry& entry);

  std::map<std::uint64_t, Log> logs_;  // by origin
  std::unordered_map<std::string, Counted> ids_;
  Totals totals_;
  std::size_t adds_ = 0;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_TALLIES_TALLY_FOLD_H_
