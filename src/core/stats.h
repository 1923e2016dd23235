// What a process counts for those who operate it. Plain data, without I/O: JobTable keeps it, each count
// where the fact happens, and src/admin writes it.
#ifndef BITTERNMUX_SRC_CORE_STATS_H_
#define BITTERNMUX_SRC_CORE_STATS_H_

#include <cstdint>
#include <map>
#include <string>

namespace bitternmux {

// All of them since the process started. At any time taken is succeeded, declined, aborted and left over all
// classes, and what is outstanding.
struct Stats {
  struct Ends {
    std::uint64_t succeeded = 0;  // served
    std::uint64_t declined = 0;   // refused: a retry does no harm
    std::uint64_t aborted = 0;    // failed, out of time included
  };
  std::map<std::string, Ends> classes;  // by name; one that the settings lost keeps its counts
  std::uint64_t taken = 0;
  std::uint64_t left = 0;      // whose submitter left before the answer
  std::uint64_t forwards = 0;  // claims written whole to execute nodes
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_STATS_H_
