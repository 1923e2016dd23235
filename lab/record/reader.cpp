#include "lab/record/reader.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "lab/record/writer.h"

namespace bitternmux::lab::record {
namespace {

constexpr std::size_t kReadAhead = 256 * 1024;
// A header holds the scenario's text and the names of all sidecars. Guards against a length that is noise.
constexpr std::size_t kLongestEntry = 16 * 1024 * 1024;

}  // namespace

FileSource::FileSource(std::string path) : path_(std::move(path)) {
  fd_ = path_ == "-" ? ::dup(STDIN_FILENO) : ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), path_);
}

FileSource::~FileSource() { ::close(fd_); }

std::size_t FileSource::Read(char* into, std::size_t size) {
  for (;;) {
    const auto count = ::read(fd_, into, size);
    if (count >= 0) return static_cast<std::size_t>(count);
    if (errno != EINTR) throw std::system_error(errno, std::generic_category(), path_);
  }
}

std::size_t MemorySource::Read(char* into, std::size_t size) {
  const std::size_t count = std::min(size, left_.size());
  std::copy_n(left_.data(), count, into);
  left_.remove_prefix(count);
  return count;
}

Reader::Reader(Source& source) : source_(source), buffer_(kReadAhead) {
  if (!Have(1)) Fail("empty");
  const Entry& entry = Parse();
  if (!entry.has_header()) Fail("the first entry is not a header");
  if (entry.header().format() < kOldestFormat || entry.header().format() > kFormat) {
    Fail("format " + std::to_string(entry.header().format()) + ", and this version reads " +
         std::to_string(kOldestFormat) + " to " + std::to_string(kFormat));
  }
  if (!entry.header().has_rules()) Fail("the header has no rules");
  header_ = entry.header();
}

void Reader::Fail(const std::string& reason) const {
  throw ReadError(offset_, (next_seq_ == 0 ? "no record: " : "") + reason);
}

// Are there so many bytes to be read? Reads on as they come, so that a length that lies costs no memory.
bool Reader::Have(std::size_t count) {
  while (end_ - begin_ < count) {
    if (begin_ > 0) {
      std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
      end_ -= std::exchange(begin_, 0);
    }
    if (end_ == buffer_.size()) buffer_.resize(buffer_.size() * 2);
    const std::size_t read = source_.Read(buffer_.data() + end_, buffer_.size() - end_);
    if (read == 0) return false;
    end_ += read;
  }
  return true;
}

Entry& Reader::Parse() {
  std::uint64_t size = 0;
  std::size_t prefix = 0;
  for (bool more = true; more; ++prefix) {
    if (prefix == kLongestVarint) Fail("an entry's length cannot be read");
    if (!Have(prefix + 1)) Fail("ends within an entry's length");
    const auto byte = static_cast<unsigned char>(buffer_[begin_ + prefix]);
    size |= static_cast<std::uint64_t>(byte & 0x7f) << (7 * prefix);
    more = (byte & 0x80) != 0;
  }
  if (size > kLongestEntry) Fail("an entry of " + std::to_string(size) + " bytes");
  entry_size_ = prefix + static_cast<std::size_t>(size);
  if (!Have(entry_size_)) Fail("ends within an entry");

  Entry& entry = arena_.Next();
  if (!entry.ParseFromArray(buffer_.data() + begin_ + prefix, static_cast<int>(size))) {
    Fail("an entry cannot be read");
  }
  if (entry.what_case() == Entry::WHAT_NOT_SET) Fail("an entry of no known kind");
  if (entry.seq() != next_seq_) {
    Fail("entry " + std::to_string(entry.seq()) + " where " + std::to_string(next_seq_) + " is due");
  }
  if (entry.at_us() < last_us_) {
    Fail("time goes back from " + std::to_string(last_us_) + " to " + std::to_string(entry.at_us()) + " us");
  }
  if (!entry.has_trailer()) digest_.Add(buffer_.data() + begin_, entry_size_);
  begin_ += entry_size_;
  ++next_seq_;
  last_us_ = entry.at_us();
  return entry;
}

const Entry* Reader::Next() {
  if (over_) return nullptr;
  offset_ += entry_size_;
  entry_size_ = 0;
  if (!Have(1)) Fail("ends without a trailer");
  Entry& entry = Parse();
  if (entry.has_header()) Fail("a second header");
  if (!entry.has_trailer()) return &entry;

  trailer_ = entry.trailer();
  if (trailer_.entries() != next_seq_) {
    Fail("the trailer counts " + std::to_string(trailer_.entries()) + " entries of " +
         std::to_string(next_seq_));
  }
  entry.mutable_trailer()->clear_digest();
  digest_.Add(entry);
  if (trailer_.digest() != digest_.Value()) Fail("the trailer's digest is of other bytes");
  if (Have(1)) Fail("more follows the trailer");
  over_ = true;
  return nullptr;
}

}  // namespace bitternmux::lab::record
