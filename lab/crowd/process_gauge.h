// What a process holds, as the kernel tells it: resident memory, descriptors, and bytes that have arrived at
// its listeners' connections and that it has not read.
#ifndef BITTERNMUX_LAB_CROWD_PROCESS_GAUGE_H_
#define BITTERNMUX_LAB_CROWD_PROCESS_GAUGE_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace bitternmux::lab::crowd {

class ProcessGauge {
 public:
  // `listeners`: ip:port (IPv4) of each; connections that nobody has accepted yet count too.
  ProcessGauge(pid_t process, const std::vector<std::string>& listeners);

  // Measures, and keeps the largest figures. Of a process that is gone nothing is measured.
  void Sample();
  // The same once in some calls: the kernel takes milliseconds to write its table of connections.
  void SampleSometimes();
  // The process runs; one that has ended and was not waited for does not.
  bool Alive() const;
  // The most memory so far: what was resident and unread bytes at one moment, or what the kernel says was
  // resident at any.
  std::size_t peak_bytes() const;
  std::size_t peak_resident_bytes() const;
  std::size_t peak_unread_bytes() const { return peak_unread_; }
  std::size_t peak_descriptors() const { return peak_descriptors_; }
  // One line.
  std::string Describe() const;

 private:
  std::size_t UnreadBytes() const;

  const pid_t process_;
  std::vector<std::string> local_ends_;  // as /proc/net/tcp writes them
  std::size_t calls_ = 0;
  std::size_t peak_sum_ = 0, peak_unread_ = 0, peak_descriptors_ = 0;
};

}  // namespace bitternmux::lab::crowd

#endif  // BITTERNMUX_LAB_CROWD_PROCESS_GAUGE_H_
