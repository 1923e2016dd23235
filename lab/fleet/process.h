// A program of the fleet as a process of its own, with its log on a pipe. Waits are for lines of that log:
// nothing here sleeps.
#ifndef BITTERNMUX_LAB_FLEET_PROCESS_H_
#define BITTERNMUX_LAB_FLEET_PROCESS_H_

#include <sys/types.h>

#include <string>

namespace bitternmux::lab::fleet {

class Process {
 public:
  // Starts it with BITTERNMUX_NODE_FILE set to that path, and with no descriptor of this process but the
  // standard ones. Throws std::runtime_error.
  Process(const std::string& program, const std::string& settings_path);
  ~Process();  // kills it
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Until a line that holds the text has come since the last call that found one. False: it ended, or did not
  // say so in `ms`.
  bool Says(const std::string& text, int ms = 15'000);
  void Signal(int signal);
  pid_t id() const { return id_; }
  // The kernel's limit on its descriptors, from now on.
  void LimitDescriptors(std::size_t most);
  // Waits for its end. Its exit code, or minus the signal that ended it.
  int Wait();
  // What it has written so far; what is still on the pipe is read before, without waiting.
  const std::string& ReadLog();
  const std::string& log() const { return log_; }

 private:
  bool Drain();

  pid_t id_ = -1;
  int pipe_ = -1;
  std::string log_;
  std::size_t read_to_ = 0;
};

}  // namespace bitternmux::lab::fleet

#endif  // BITTERNMUX_LAB_FLEET_PROCESS_H_
