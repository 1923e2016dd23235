#include "lab/record/writer.h"

#include <fcntl.h>
#include <google/protobuf/io/coded_stream.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace bitternmux::lab::record {
namespace {

constexpr std::size_t kBuffer = 256 * 1024;

}  // namespace

FileSink::FileSink(std::string path) : path_(std::move(path)) {
  fd_ = path_ == "-" ? ::dup(STDOUT_FILENO)
                     : ::open(path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd_ < 0) Fail();
}

FileSink::~FileSink() {
  if (fd_ >= 0) ::close(fd_);
}

void FileSink::Fail() const { throw std::system_error(errno, std::generic_category(), path_); }

void FileSink::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto count = ::write(fd_, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) Fail();
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
}

void FileSink::Close() {
  // A full disk may show only here.
  if (fd_ >= 0 && ::close(std::exchange(fd_, -1)) != 0) Fail();
}

Writer::Writer(Sink& sink, const Header& header) : sink_(sink), buffer_(kBuffer) {
  Put(0, [&](Entry& entry) {
    *entry.mutable_header() = header;
    entry.mutable_header()->set_format(kFormat);
  });
}

Writer::~Writer() {
  if (closed_) return;
  try {
    Flush();
  } catch (const std::system_error&) {
    // Nobody is left to tell; the record has no trailer.
  }
}

Entry& Writer::Begin(std::int64_t at_us) {
  if (closed_) throw std::logic_error("record: an entry after the last");
  if (at_us < last_us_) {
    throw std::logic_error("record: time goes back from " + std::to_string(last_us_) + " to " +
                           std::to_string(at_us));
  }
  Entry& entry = arena_.Next();
  entry.set_seq(next_seq_);
  entry.set_at_us(at_us);
  return entry;
}

void Writer::End(const Entry& entry) {
  if (entry.what_case() == Entry::WHAT_NOT_SET) throw std::logic_error("record: an entry without content");
  const std::size_t size = entry.ByteSizeLong();
  if (buffer_.size() - buffered_ < size + kLongestVarint) {
    Flush();
    if (buffer_.size() < size + kLongestVarint) buffer_.resize(size + kLongestVarint);
  }
  auto* const begin = reinterpret_cast<std::uint8_t*>(buffer_.data()) + buffered_;
  auto* at = google::protobuf::io::CodedOutputStream::WriteVarint64ToArray(size, begin);
  at = entry.SerializeWithCachedSizesToArray(at);
  buffered_ += static_cast<std::size_t>(at - begin);
  ++next_seq_;
  last_us_ = entry.at_us();
}

void Writer::Flush() {
  digest_.Add(buffer_.data(), buffered_);
  sink_.Write({buffer_.data(), std::exchange(buffered_, 0)});
}

void Writer::Void(std::string reason) {
  if (std::exchange(void_, true)) return;
  reason_ = std::move(reason);
}

void Writer::Close() {
  Flush();
  Put(last_us_, [&](Entry& entry) {
    Trailer& trailer = *entry.mutable_trailer();
    trailer.set_entries(next_seq_ + 1);
    trailer.set_void_(void_);
    trailer.set_reason(reason_);
    digest_.Add(entry);
    trailer.set_digest(digest_.Value());
  });
  Flush();
  closed_ = true;
  sink_.Close();
}

}  // namespace bitternmux::lab::record
