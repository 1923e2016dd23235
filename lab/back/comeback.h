// How a fleet comes back after a trouble, from what was recorded of a run: the time to full service, the
// peaks that make a stampede, and how soon a started sidecar serves.
//
// Full service is told beside the *calm* run: the same day without its troubles, played with the same seed,
// so that what the servers lack anyway is not counted. A second is full if the worth served of the wishes due
// in it and in the four after it is at least 0.95 of what is served of the same wishes there. The time to
// full service after a trouble is from its beginning to the end of the last second that was not full, of
// those whose window is over when the next trouble begins: 0 if none was, and none if the last of them was
// not. Bursts of load are in the calm run too, and are no trouble here.
//
// A sidecar that started after the first arrival is full from the first of its windows on that is at least
// 0.9 of the calm run's: a window is its own next wishes, 20 of them and 5 s long at the least. The time to
// full is from the start of its process to the last wish before that window, 0 if there is none. Chance moves
// both kinds of window: docs/operators/comeback.md has how much.
//
// It grows with the wishes, the tries and the starts of the run.
#ifndef BITTERNMUX_LAB_BACK_COMEBACK_H_
#define BITTERNMUX_LAB_BACK_COMEBACK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/record/writer.h"

namespace bitternmux::lab::back {

class Comeback {
 public:
  // `first_us`: when the arrivals begin.
  Comeback(record::Header header, std::int64_t first_us)
      : header_(std::move(header)), first_us_(first_us), wishes_(header_.sidecars_size()) {}

  // Entries in their order, all of one run.
  void Take(const record::Entry& entry);

  // Once both runs are over. `calm` may be null: then there is no full service to tell. Of the same scenario
  // and seed, or it throws std::invalid_argument.
  nlohmann::ordered_json ToJson(const Comeback* calm) const;
  // Columns by second, of that length; `calm` may be null.
  nlohmann::ordered_json Columns(std::size_t length, const Comeback* calm) const;

 private:
  struct Second {
    double worth = 0, earned = 0;  // of the wishes due in it
    std::uint64_t tries = 0, dials = 0, failed_dials = 0, first_contacts = 0, list_calls = 0;
    std::map<std::uint32_t, std::uint64_t> dials_of;  // by machine
    std::uint64_t MostOfOne() const;
  };
  struct Wish {
    std::int64_t due_us = 0;
    std::uint32_t klass = 0;
    double worth = 0, earned = 0;
  };
  struct Life {  // of a sidecar's process
    std::uint32_t sidecar = 0;
    std::int64_t started_us = 0;
    std::optional<std::int64_t> ended_us;
    std::optional<std::int64_t> served_us, bound_us;  // its first answer, and its first to a request that may
                                                      // not be run twice
    std::set<std::uint32_t> met;                      // machines
  };
  struct Trouble {
    std::string name;
    std::int64_t from_us = 0;
  };
  struct Peak {
    std::uint64_t count = 0;
    std::size_t second = 0;
  };

  Second& At(std::int64_t at_us);
  Life& LifeOf(std::uint32_t sidecar);
  void Sent(std::int64_t at, const record::TrySent& sent);
  void Ended(std::int64_t at, const record::TryEnded& ended);
  void Changed(std::int64_t at, const record::Sidecar& changed);
  std::size_t Length() const;  // of the arrivals, whole seconds
  std::vector<bool> FullSeconds(const Comeback& calm) const;
  nlohmann::ordered_json Backs(const Comeback& calm) const;
  template <class Count>
  Peak PeakOf(const Count& count) const;  // since the first trouble began
  nlohmann::ordered_json Peaks() const;
  nlohmann::ordered_json Starts(const Comeback* calm) const;
  // Milliseconds; none if it was never full. False if it had no window.
  bool TimeToFull(const Life& life, const Comeback& calm, std::optional<double>& ms) const;

  record::Header header_;
  std::int64_t first_us_ = 0;
  std::vector<Second> seconds_;
  std::vector<std::vector<Wish>> wishes_;  // by sidecar, in the order of their first tries
  std::unordered_map<std::uint64_t, std::pair<std::uint32_t, std::size_t>>
      wish_of_;  // by try; looked up only
  std::vector<Life> lives_;
  std::map<std::uint32_t, std::size_t> life_of_;  // the present one, by sidecar
  std::vector<Trouble> troubles_;                 // without bursts of load
  std::size_t bursts_ = 0;
};

// For people: a line for each thing that ToJson tells.
std::string TextOf(const nlohmann::ordered_json& told);

// Hands on what would be written to a record.
class Feed : public record::Entries {
 public:
  // `to` must outlive it.
  explicit Feed(Comeback& to) : to_(to) {}
  void Void(std::string) override {}
  void Close() override {}

 private:
  record::Entry& Begin(std::int64_t at_us) override;
  void End(const record::Entry& entry) override { to_.Take(entry); }

  Comeback& to_;
  record::Entry entry_;
};

}  // namespace bitternmux::lab::back

#endif  // BITTERNMUX_LAB_BACK_COMEBACK_H_
