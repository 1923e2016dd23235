// What stands in for discovery: the list and watches of the protocol on real sockets, in a thread of its own,
// with counts by who asks. Real and hollow sidecars have an address each, so that they are told apart without
// a word in the protocol.
#ifndef BITTERNMUX_LAB_SCALE_DISCOVERY_H_
#define BITTERNMUX_LAB_SCALE_DISCOVERY_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/scale/plan.h"
#include "lab/scale/stand_thread.h"

namespace bitternmux::lab::scale {

enum Group { kReal, kHollow };
constexpr std::size_t kGroups = 2;

// Since the start, of one group's sidecars. Bytes are those of HTTP.
struct DiscoveryCounts {
  std::uint64_t calls = 0;        // requests
  std::uint64_t messages = 0;     // lines with something to tell, and lists
  std::uint64_t whole_lists = 0;  // of these
  std::uint64_t blanks = 0;       // empty lines
  std::uint64_t bytes_in = 0, bytes_out = 0;
  std::uint64_t watches = 0;  // open now
  std::vector<double> call_times_ms;
};
using Counts = std::array<DiscoveryCounts, kGroups>;

class Discovery {
 public:
  // `addresses`: of the plan's servers. All are in service.
  Discovery(const Plan& plan, std::vector<std::string> addresses);
  ~Discovery();

  std::string AddressOf(Group group) const;
  // Gives these servers that phase and tells it in one line to every watch that is not silent. Returns when
  // it had the change.
  double Change(const std::vector<int>& servers, const std::string& phase);
  // Ends all watches of that group.
  void BreakAll(Group group);
  // Every watch is answered with the whole list from now on, whatever version it names; or no longer.
  void AlwaysWhole(bool on);
  // Every `nth` watch that is open is written nothing more, nor told that; its connection stays. 0: none new.
  void Silence(int nth);
  Counts Count();
  std::size_t ListBytes();  // of the whole list as it is now
  std::int64_t Revision();
  StandThread& thread() { return thread_; }

 private:
  class Caller;
  using Handle = std::shared_ptr<Caller>;

  void Accept(Group group);
  void Blank();
  std::string Entry(std::size_t server) const;
  std::string Lines(std::int64_t since) const;
  const std::string& Whole();

  const Plan& plan_;
  const std::vector<std::string> addresses_;
  std::vector<std::string> phases_;
  std::vector<std::int64_t> changed_at_;  // the version that last changed each server
  std::int64_t revision_ = 1;
  std::string whole_;  // the list as of that version, made once for all that ask for it
  std::int64_t whole_at_ = 0;
  bool always_whole_ = false;
  Counts counts_;
  StandThread thread_;
  std::array<boost::asio::ip::tcp::acceptor, kGroups> acceptors_;
  boost::asio::steady_timer blank_;
  std::list<Handle> watches_;
};

}  // namespace bitternmux::lab::scale

#endif  // BITTERNMUX_LAB_SCALE_DISCOVERY_H_
