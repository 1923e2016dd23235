// Where both sides record what they did. May be called by any thread.
#ifndef BITTERNMUX_LAB_WIRE_RECORDER_H_
#define BITTERNMUX_LAB_WIRE_RECORDER_H_

#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "lab/wire/history.h"

namespace bitternmux::lab::wire {

class Recorder {
 public:
  // The number of arrivals of that request before this one.
  int Arrive(const std::string& request_id) {
    const std::lock_guard lock(mutex_);
    return arrivals_[request_id]++;
  }
  void Add(Run run) {
    const std::lock_guard lock(mutex_);
    history_.runs.push_back(std::move(run));
  }
  void Add(Received received) {
    const std::lock_guard lock(mutex_);
    history_.received.push_back(std::move(received));
  }
  History Take() {
    const std::lock_guard lock(mutex_);
    arrivals_.clear();
    return std::exchange(history_, {});
  }

 private:
  std::mutex mutex_;  // guards what follows
  std::map<std::string, int> arrivals_;
  History history_;
};

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_RECORDER_H_
