// Writes whole lines to a descriptor and never waits for whoever reads it.
//
// Standard error is shared: with the shell, with whatever else was started on the same terminal or pipe.
// O_NONBLOCK belongs to the open file and not to the descriptor, so that to set it would change it for all of
// them. Each write says instead that it must not wait: pwritev2 with RWF_NOWAIT (Linux; sockets, and
// since 6.4 pipes). What does not know that, such as a terminal, a named pipe or a file, is asked by poll
// first: a pipe or a pseudo-terminal that takes anything takes a whole line.
//
// What the reader does not take is kept, kMostKept bytes at the most, the oldest line dropped first; the
// number of those that were dropped is written in their place once there is room again. SIGPIPE must be
// ignored.
#ifndef BITTERNMUX_SRC_LOG_LINE_WRITER_H_
#define BITTERNMUX_SRC_LOG_LINE_WRITER_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace bitternmux::log {

class LineWriter {
 public:
  // A line with its end. Linux and POSIX keep a write of so much to a pipe in one piece (PIPE_BUF).
  static constexpr std::size_t kLongestLine = 4096;
  static constexpr std::size_t kMostKept = 32 * 1024;

  // `fd` stays the caller's. `dropped_line`: the line that tells of so many dropped ones.
  LineWriter(int fd, std::function<std::string(std::uint64_t)> dropped_line);
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Ends with '\n', kLongestLine at the most.
  void Put(std::string line);
  // Writes of what is kept as much as the reader takes now. Due now and then while !idle().
  void Flush();
  // The same for as long as so many milliseconds: at the end of the program, not before.
  void Drain(int patience_ms);
  bool idle() const { return kept_.empty() && dropped_ == 0; }

 private:
  // How much was written; 0: nothing now; below 0: nothing ever.
  ssize_t WriteNow(std::string_view bytes);
  bool Writable(int patience_ms) const;

  const int fd_;
  bool nowait_ = true;  // a write can be told not to wait
  const std::function<std::string(std::uint64_t)> dropped_line_;
  std::deque<std::string> kept_;
  std::size_t kept_bytes_ = 0;
  std::size_t written_ = 0;  // of the first one that is kept
  std::uint64_t dropped_ = 0;
};

}  // namespace bitternmux::log

#endif  // BITTERNMUX_SRC_LOG_LINE_WRITER_H_
