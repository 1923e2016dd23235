#include "control/tally_storage_thread.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bitternmux::control {

TallyStorageThread::TallyStorageThread(fleet::TallyStore& store, Handlers handlers,
                                       std::chrono::milliseconds retry_pause)
    : store_(store), handlers_(std::move(handlers)), retry_pause_(retry_pause), thread_([this] { Run(); }) {}

TallyStorageThread::~TallyStorageThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void TallyStorageThread::Write(fleet::TallyWrite write) {
  {
    const std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(write));
  }
  wake_.notify_one();
}

bool TallyStorageThread::TryAppend(const Batch& batch) {
  try {
    if (!batch.logs.empty()) store_.Append(batch.logs);
    if (batch.caught_up) store_.MarkCaughtUp();
  } catch (const fleet::StorageError& error) {
    if (!std::exchange(failing_, true)) handlers_.failed(error.what());
    return false;
  }
  failing_ = false;
  handlers_.saved(batch.last_ticket);
  return true;
}

void TallyStorageThread::MoveInto(Batch& batch, std::vector<fleet::TallyWrite>& writes) {
  for (fleet::TallyWrite& write : writes) {
    batch.last_ticket = write.ticket;
    batch.caught_up |= write.caught_up;
    std::ranges::move(write.logs, std::back_inserter(batch.logs));
  }
  writes.clear();
}

void TallyStorageThread::Run() {
  Batch batch;
  std::unique_lock lock(mutex_);
  while (true) {
    if (batch.last_ticket == 0) wake_.wait(lock, [this] { return !waiting_.empty() || stopping_; });
    if (batch.last_ticket == 0 && waiting_.empty()) return;
    MoveInto(batch, waiting_);
    lock.unlock();
    const bool saved = TryAppend(batch);
    if (saved) batch = {};
    lock.lock();
    if (saved) continue;
    if (stopping_) return;
    wake_.wait_for(lock, retry_pause_, [this] { return stopping_; });
  }
}

}  // namespace bitternmux::control
