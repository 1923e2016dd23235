// A relay before the internal addresses of control machines: the way between processes, cut in one direction
// or both, or slow.
//
// Others dial a machine at its front, where the relay listens; the machine itself listens at its backend. Who
// has dialed is read from the Hello that each link begins with. A cut is silent: what is sent meanwhile, the
// end of a connection too, waits and arrives when the cut is healed, as it does with buffers that outlast
// one. A slow machine's links carry so many bytes a millisecond, each direction of each link by itself.
//
// One thread of its own; the public functions may be called from any.
#ifndef BITTERNMUX_LAB_FLEET_LINK_RELAY_H_
#define BITTERNMUX_LAB_FLEET_LINK_RELAY_H_

#include <boost/asio.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bitternmux::lab::fleet {

class LinkRelay {
 public:
  struct Machine {
    std::string front, backend;  // ip:port
  };

  explicit LinkRelay(const std::vector<Machine>& machines);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  // What goes from one machine to another; both are named by their fronts.
  void Cut(const std::string& from, const std::string& to);
  void CutBoth(const std::string& one, const std::string& other);
  void HealAll();
  // Bytes a millisecond on the links of that machine.
  void Slow(const std::string& machine, double bytes_per_ms);
  // Bytes that were passed on so far.
  std::size_t passed() const;

 private:
  class Connection;
  struct Front;

  void Accept(Front& front);
  bool IsCut(const std::string& from, const std::string& to) const;
  double RateOf(const std::string& one, const std::string& other) const;  // 0: no limit
  void Passed(std::size_t bytes);

  boost::asio::io_context io_;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::set<std::shared_ptr<Connection>> connections_;  // only on the thread
  mutable std::mutex mutex_;                           // guards what follows
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, double> rates_;
  std::size_t passed_ = 0;
  std::thread thread_;
};

}  // namespace bitternmux::lab::fleet

#endif  // BITTERNMUX_LAB_FLEET_LINK_RELAY_H_
