// What the routers of the fleet have in work at each server, summed up: a decider.
//
// A server's own report is old on arrival, and each router hears of a server only with its own answers. So
// each router tells what it has there itself, its agent passes that on, each control machine sums up its
// agents' routers and tells the sum to the other control machines, and each of them tells its agents the sum
// over the fleet. Rows are absolute values and not differences, so that a lost message heals with the next
// one, and a source that goes takes its rows with it.
//
// The sums are a view: they are some hundred milliseconds old, miss what is cut off, and no rule rests on
// them.
//
// Bounds: kMaxRows rows for each source; what exceeds them is passed over.
#ifndef BITTERNMUX_SRC_FLEET_LOAD_LOAD_BOARD_H_
#define BITTERNMUX_SRC_FLEET_LOAD_LOAD_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

// Stands for a server in rows of load: a hash of its id. Two servers with the same one are summed up.
std::uint32_t LoadKey(std::string_view server_id);

class LoadBoard {
 public:
  static constexpr std::size_t kMaxRows = 4096;

  void Set(const std::string& source, const ServerLoads& loads);
  void Drop(const std::string& source);
  // Rows that have changed since they were taken last, with their sums.
  ServerLoads TakeChanges();
  // All rows.
  ServerLoads All() const;
  std::size_t sources() const { return sources_.size(); }

 private:
  using Rows = std::unordered_map<std::uint32_t, ServerLoad>;

  void Change(std::uint32_t server, const ServerLoad& from, const ServerLoad& to);

  std::unordered_map<std::string, Rows> sources_;
  Rows sums_;
  std::set<std::uint32_t> changed_;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_LOAD_LOAD_BOARD_H_
