// Discovery's list as this sidecar holds it: who the execute nodes are and where to reach them.
#ifndef BITTERNMUX_SRC_CORE_MACHINE_LIST_H_
#define BITTERNMUX_SRC_CORE_MACHINE_LIST_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartspring/balancer.h"

namespace bitternmux {

// One entry as discovery words it, before its names are turned into indexes and its time into our clock's.
struct Machine {
  std::string id;
  std::string address;  // ip:port
  std::string zone, kind;
  int cell = 0;
  cartspring::HostState state = cartspring::HostState::kLive;
  double size = 1;
  double up_since_ms = 0;  // Unix time; 0: long ago
};

struct MachineUpdate {
  std::int64_t revision = 0;
  bool complete = false;
  std::vector<Machine> machines;
};

class MachineList {
 public:
  // The settings must outlive it. Names that they gain count from the next update on.
  explicit MachineList(const cartspring::Settings& settings) : settings_(settings) {}
  explicit MachineList(cartspring::Settings&&) = delete;

  // Takes in an update and gives the module's view of its entries. `unix_ahead_ms`: Unix time less our clock.
  std::vector<cartspring::HostEntry> Apply(const MachineUpdate& update, double unix_ahead_ms);

  std::int64_t revision() const { return revision_; }
  std::size_t size() const { return known_.size(); }          // in service or draining
  const std::string& AddressOf(const std::string& id) const;  // empty: not known
  bool IsLive(const std::string& id) const;
  int KindOf(
      const std::string& id) const;       // its index; the one behind the settings' kinds if it is not known
  std::vector<std::string> Live() const;  // the ids in service, in no order

 private:
  struct Known {
    std::string address;
    double up_since_ms = 0;
    double started_ms = 0;
    int kind = 0;
    bool live = false;
  };

  const cartspring::Settings& settings_;
  std::int64_t revision_ = 0;
  std::unordered_map<std::string, Known> known_;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_MACHINE_LIST_H_
