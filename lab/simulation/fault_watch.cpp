#include "lab/simulation/fault_watch.h"

namespace bitternmux::lab::simulation {
namespace {

// Lengthens the last row of `key`, or begins another one where there was no trouble in between.
template <class Key, class Row>
void Extend(std::map<Key, std::size_t>& last_rows, std::vector<Row>& rows, const Key& key, Row row,
            double now_ms) {
  row.from_ms = now_ms;
  row.until_ms = now_ms + kWatchEveryMs;
  const auto found = last_rows.find(key);
  if (found != last_rows.end() && rows[found->second].until_ms >= now_ms) {
    rows[found->second].until_ms = row.until_ms;
    return;
  }
  rows.push_back(std::move(row));
  last_rows[key] = rows.size() - 1;
}

}  // namespace

void FaultWatch::MachineInTrouble(const std::string& machine, bool disk, double now_ms) {
  Extend(machine_rows_, history_.machine_faults, {machine, disk}, MachineFault{machine, disk, 0, 0}, now_ms);
}

void FaultWatch::LinkCutNow(const std::string& from, const std::string& to, double now_ms) {
  Extend(link_rows_, history_.cuts, {from, to}, LinkCut{from, to, 0, 0}, now_ms);
}

}  // namespace bitternmux::lab::simulation
