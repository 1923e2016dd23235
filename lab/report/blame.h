// Which servers failed or were silent, when, and when the sidecars turned away from them.
#ifndef BITTERNMUX_LAB_REPORT_BLAME_H_
#define BITTERNMUX_LAB_REPORT_BLAME_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/record/reader.h"
#include "lab/report/columns.h"

namespace bitternmux::lab::report {

// One server of a run. The columns count its claims by second.
struct ServerRecord {
  std::string id;
  std::uint32_t zone = 0, kind = 0;
  double capacity = 0;
  record::MachineChanged::State state = record::MachineChanged::GONE;
  double warm = 1;  // share of its capacity
  Column claims, ended, failed, silent, declined;
  double worked_s = 0;
};

// A trouble that the scenario brought about, in seconds from the first arrival.
struct TroubleSpan {
  std::string name, detail;
  double from_s = 0, until_s = std::numeric_limits<double>::quiet_NaN();  // NaN: it had no end
  std::vector<std::uint32_t> machines, sidecars;
};

// The spans of seconds in which a server did badly, by their beginnings, in the first `length` seconds.
nlohmann::ordered_json BlameServers(const std::map<std::uint32_t, ServerRecord>& servers,
                                    const std::vector<TroubleSpan>& troubles, std::size_t length);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_BLAME_H_
