#include "handover/place.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace bitternmux::handover {
namespace {

enum class Lock { kOurs, kTheirs, kNone };

Lock Try(int fd) {
  if (fd < 0) return Lock::kNone;
  if (::flock(fd, LOCK_EX | LOCK_NB) == 0) return Lock::kOurs;
  return errno == EWOULDBLOCK ? Lock::kTheirs : Lock::kNone;
}

}  // namespace

Place::Place(const std::string& folder, const std::string& address) {
  if (folder.empty() || address.ends_with(":0")) return;  // any port is no place that two could share
  std::string path = folder;
  path.append("/bitternmux-").append(address);
  std::replace(path.begin() + static_cast<std::ptrdiff_t>(folder.size()), path.end(), ':', '-');
  serving_fd_ = ::open((path + ".serving").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  next_fd_ = ::open((path + ".next").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
}

Place::~Place() {
  for (const int fd : {serving_fd_, next_fd_}) {
    if (fd >= 0) ::close(fd);
  }
}

bool Place::HasElder() {
  if (serving_) return false;
  if (Try(serving_fd_) == Lock::kTheirs) return true;
  // The place is free, but not for us while one that came before us follows and has not seen it yet.
  if (!next_ && Try(next_fd_) == Lock::kTheirs) {
    ::flock(serving_fd_, LOCK_UN);
    return true;
  }
  serving_ = true;
  next_ = false;
  if (next_fd_ >= 0) ::flock(next_fd_, LOCK_UN);
  return false;
}

bool Place::Follow() {
  if (!serving_ && !next_) next_ = Try(next_fd_) == Lock::kOurs;
  return next_;
}

bool Place::HasSuccessor() {
  if (!serving_) return false;
  const Lock next = Try(next_fd_);
  // Held for a moment only: a process that tries just then tries again.
  if (next == Lock::kOurs) ::flock(next_fd_, LOCK_UN);
  return next == Lock::kTheirs;
}

}  // namespace bitternmux::handover
