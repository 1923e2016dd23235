// Runs many balancer instances for the simulator: reads batches of events, writes one reply per batch.
#ifndef CARTSPRING_SRC_SIMHOST_SIMHOST_H_
#define CARTSPRING_SRC_SIMHOST_SIMHOST_H_

#include <array>
#include <cstdint>
#include <istream>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

#include "cartspring/balancer.h"
#include "simhost/wire.h"

namespace cartspring {

class SimHost {
 public:
  // Reads batches until the input ends. Returns 0 if it ends between two batches, or 1 if it is malformed;
  // the line number and the reason are then written to `errors`.
  int Run(std::istream& in, std::ostream& out, std::ostream& errors);

 private:
  struct Instance {
    Instance(const std::string& name, const Settings& settings, std::uint64_t seed, std::string* reply)
        : writer(name, reply), balancer(settings, seed, writer) {}
    wire::ReplyWriter writer;
    Balancer balancer;
  };

  void Handle(const wire::Line& line, std::ostream& errors);
  void HandleEvent(const wire::Line& line, std::ostream& errors);
  void Deliver(const wire::Line& line, Balancer& balancer);
  void DeliverHosts(const wire::Line& line, Balancer& balancer);

  std::unordered_map<std::string, std::unique_ptr<Instance>> instances_;  // never iterated over
  std::array<std::optional<std::vector<HostEntry>>, 16> lists_;           // the protocol numbers them 0 to 15
  std::vector<HostEntry>* open_list_ = nullptr;  // the list whose rows are being read
  std::uint64_t rows_remaining_ = 0;             // rows of it still to come
  bool in_batch_ = false;
  double now_ms_ = 0;
  std::string turn_;
  std::string reply_;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_SIMHOST_SIMHOST_H_
