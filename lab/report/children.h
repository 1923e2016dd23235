// The programs that a sweep runs. Inside the package only.
#ifndef BITTERNMUX_LAB_REPORT_CHILDREN_H_
#define BITTERNMUX_LAB_REPORT_CHILDREN_H_

#include <sys/types.h>

#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bitternmux::lab::report {

// Any number of threads may run children at once; all of them are told to end by one call.
class Children {
 public:
  // Runs a program to its end, with what it prints in the file `output`, and gives its wait status; -1 if it
  // was not run as they were stopped before. It has a process group of its own: a Ctrl-C is for the sweep
  // alone. A program without a slash is looked for in PATH. Throws std::system_error if it cannot be started.
  int Run(const std::vector<std::string>& arguments, const std::string& output);

  // Tells all that run to end (SIGTERM); none is started any more.
  void Stop();
  bool stopped() const;

 private:
  mutable std::mutex mutex_;
  std::set<pid_t> running_;
  bool stopped_ = false;
};

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_CHILDREN_H_
