#include "control/storage_thread.h"

#include <chrono>
#include <utility>

namespace bitternmux::control {
namespace {
constexpr auto kRetryPause = std::chrono::milliseconds(150);
}  // namespace

StorageThread::StorageThread(fleet::ReplicaStore& store, Handlers handlers)
    : store_(store), handlers_(std::move(handlers)), thread_([this] { Run(); }) {}

StorageThread::~StorageThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void StorageThread::Save(std::uint64_t ticket, fleet::DurableState state) {
  {
    const std::lock_guard lock(mutex_);
    next_ = Request{ticket, std::move(state)};
  }
  wake_.notify_one();
}

bool StorageThread::TrySave(const Request& request) {
  try {
    store_.Save(request.state);
    handlers_.saved(request.ticket);
    return true;
  } catch (const fleet::StorageError& error) {
    handlers_.failed(error.what());
    return false;
  }
}

void StorageThread::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return next_ || stopping_; });
    if (!next_) return;
    Request request = *std::exchange(next_, std::nullopt);
    lock.unlock();
    const bool saved = TrySave(request);
    lock.lock();
    if (saved) continue;
    if (!next_) next_ = std::move(request);
    wake_.wait_for(lock, kRetryPause, [this] { return stopping_; });
    if (stopping_) return;
  }
}

}  // namespace bitternmux::control
