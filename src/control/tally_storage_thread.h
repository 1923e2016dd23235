// Writes the adds to tallies on a thread of its own, so that nothing else waits for the disk. All writes that
// wait go into one append, which is one sync.
#ifndef BITTERNMUX_SRC_CONTROL_TALLY_STORAGE_THREAD_H_
#define BITTERNMUX_SRC_CONTROL_TALLY_STORAGE_THREAD_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fleet/storage/tally_store.h"
#include "fleet/tallies/tally_ledger.h"

namespace bitternmux::control {

constexpr auto kTallyRetryPause = std::chrono::milliseconds(150);

class TallyStorageThread {
 public:
  struct Handlers {  // called on the storage thread
    // All writes up to that ticket are on disk.
    std::function<void(std::uint64_t ticket)> saved;
    // The disk fails. Told once until a write succeeds again.
    std::function<void(const std::string& why)> failed;
  };

  TallyStorageThread(fleet::TallyStore& store, Handlers handlers,
                     std::chrono::milliseconds retry_pause = kTallyRetryPause);
  // Tries once more to write what waits.
  ~TallyStorageThread();
  TallyStorageThread(const TallyStorageThread&) = delete;
  TallyStorageThread& operator=(const TallyStorageThread&) = delete;

  // Tickets rise. What cannot be written is tried again, together with what came meanwhile, until it is on
  // disk. The caller bounds what waits.
  void Write(fleet::TallyWrite write);

 private:
  // Writes that go to the disk together.
  struct Batch {
    std::uint64_t last_ticket = 0;
    std::vector<fleet::TallyAdds> logs;
    bool caught_up = false;
  };
  void Run();
  bool TryAppend(const Batch& batch);
  static void MoveInto(Batch& batch, std::vector<fleet::TallyWrite>& writes);

  fleet::TallyStore& store_;
  const Handlers handlers_;
  const std::chrono::milliseconds retry_pause_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<fleet::TallyWrite> waiting_;
  bool stopping_ = false;
  bool failing_ = false;  // of the storage thread alone
  std::thread thread_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_TALLY_STORAGE_THREAD_H_
