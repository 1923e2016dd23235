#include "log/line_writer.h"

#include <poll.h>
#include <sys/uio.h>

#include <cerrno>
#include <utility>

namespace bitternmux::log {

LineWriter::LineWriter(int fd, std::function<std::string(std::uint64_t)> dropped_line)
    : fd_(fd), dropped_line_(std::move(dropped_line)) {}

void LineWriter::Put(std::string line) {
  kept_bytes_ += line.size();
  kept_.push_back(std::move(line));
  Flush();
  while (kept_bytes_ > kMostKept) {
    const auto oldest = kept_.begin() + (written_ > 0 ? 1 : 0);  // one that is begun has to be whole
    kept_bytes_ -= oldest->size();
    kept_.erase(oldest);
    ++dropped_;
  }
}

void LineWriter::Flush() {
  while (!idle()) {
    // In the place of those that were dropped: before what is left of the rest, but not within a line.
    const bool tells_dropped = dropped_ > 0 && written_ == 0;
    std::string line = tells_dropped ? dropped_line_(dropped_) : std::string();
    const ssize_t count =
        WriteNow(tells_dropped ? std::string_view(line) : std::string_view(kept_.front()).substr(written_));
    if (count == 0) return;
    if (count < 0) {
      // The reader is gone for good, or the disk is full. What comes later tries again.
      dropped_ += kept_.size();
      kept_.clear();
      kept_bytes_ = written_ = 0;
      return;
    }
    if (tells_dropped) {
      dropped_ = 0;
      kept_bytes_ += line.size();
      kept_.push_front(std::move(line));
    }
    written_ += static_cast<std::size_t>(count);
    if (written_ < kept_.front().size()) continue;
    kept_bytes_ -= kept_.front().size();
    kept_.pop_front();
    written_ = 0;
  }
}

void LineWriter::Drain(int patience_ms) {
  Flush();
  while (!kept_.empty() && Writable(patience_ms)) Flush();
}

ssize_t LineWriter::WriteNow(std::string_view bytes) {
  for (;;) {
    iovec one{const_cast<char*>(bytes.data()), bytes.size()};
    ssize_t count = -1;
    if (nowait_) {
      count = pwritev2(fd_, &one, 1, /*offset=*/-1, RWF_NOWAIT);
      if (count < 0 && (errno == EOPNOTSUPP || errno == ENOSYS || errno == EINVAL)) {
        nowait_ = false;
        continue;
      }
    } else {
      if (!Writable(0)) return 0;
      count = writev(fd_, &one, 1);
    }
    if (count >= 0) return count;
    if (errno == EAGAIN) return 0;
    if (errno != EINTR) return -1;
  }
}

bool LineWriter::Writable(int patience_ms) const {
  pollfd wait{fd_, POLLOUT, 0};
  return poll(&wait, 1, patience_ms) == 1;
}

}  // namespace bitternmux::log
