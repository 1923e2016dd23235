// Saves the replica's state on a thread of its own: whoever waits for the disk never holds up a heartbeat.
#ifndef BITTERNMUX_SRC_CONTROL_STORAGE_THREAD_H_
#define BITTERNMUX_SRC_CONTROL_STORAGE_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "fleet/storage/replica_store.h"

namespace bitternmux::control {

class StorageThread {
 public:
  struct Handlers {
    std::function<void(std::uint64_t ticket)> saved;  // both are called on the storage thread
    std::function<void(const std::string& why)> failed;
  };

  StorageThread(fleet::ReplicaStore& store, Handlers handlers);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  // Takes the place of a state that waits to be saved. One that cannot be saved is tried again until it is,
  // or until a newer one takes its place.
  void Save(std::uint64_t ticket, fleet::DurableState state);

 private:
  struct Request {
    std::uint64_t ticket;
    fleet::DurableState state;
  };
  void Run();
  bool TrySave(const Request& request);

  fleet::ReplicaStore& store_;
  const Handlers handlers_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Request> next_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_STORAGE_THREAD_H_
