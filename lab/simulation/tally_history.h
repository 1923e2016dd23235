// What applications asked of tallies and were answered, and the faults that decide which of it must be there.
#ifndef BITTERNMUX_LAB_SIMULATION_TALLY_HISTORY_H_
#define BITTERNMUX_LAB_SIMULATION_TALLY_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace bitternmux::lab::simulation {

constexpr double kForeverMs = std::numeric_limits<double>::infinity();

enum class TallyEnd {
  kUnknown,       // no answer, a reset connection, or an answer that promises nothing
  kAnswerLost,    // there was an answer, and the network lost it
  kAcknowledged,  // an add
  kRefused,       // nothing was done
  kTotal,         // a read
};

// One call of one process. The client's times: when it was sent, and when the answer had come.
struct TallyTry {
  std::string machine;
  std::uint64_t life = 0;
  double sent_ms = 0;
  double ended_ms = 0;
  TallyEnd end = TallyEnd::kUnknown;
  bool in_own_zone = false;
};

struct TallyAddRecord {
  std::string id, tally;
  std::int64_t amount = 0;
  std::vector<TallyTry> tries;
};

struct TallyReadRecord {
  std::string tally;
  TallyTry call;
  std::int64_t total = 0;
  bool at_end = false;  // a read after all trouble, which must be answered
};

// A control machine that is or was part of the fleet.
struct TallyMachine {
  std::string name;
  double since_ms = 0, until_ms = kForeverMs;
};

// A control machine stands still, is down or slow, or (`disk`) its disk is in trouble.
struct MachineFault {
  std::string machine;
  bool disk = false;
  double from_ms = 0, until_ms = 0;
};

// One way, between control machines.
struct LinkCut {
  std::string from, to;
  double from_ms = 0, until_ms = 0;
};

struct DiskLoss {
  std::string machine;
  double at_ms = 0;
  double back_ms = kForeverMs;  // with an empty disk
};

struct TallyHistory {
  std::vector<TallyAddRecord> adds;
  std::vector<TallyReadRecord> reads;
  std::vector<TallyMachine> machines;
  std::vector<MachineFault> machine_faults;
  std::vector<LinkCut> cuts;
  std::vector<DiskLoss> disk_losses;
  std::size_t tolerated = 1;
  bool loses_messages = false;  // the network does, all day
  // Found by the checker, for people: adds that must be in the last totals, and those that need not.
  std::size_t owed = 0, not_owed = 0;
};

}  // namespace bitternmux::lab::simulation

#endif  // BITTERNMUX_LAB_SIMULATION_TALLY_HISTORY_H_
