// Reads a record as a stream, in memory that does not depend on its length, and sees to it that it is whole.
//
// What is checked here is the stream: that each entry can be read and has content that this version knows,
// that numbers have no gap and times never go back, that the first entry is a header of a known format with
// rules, that the last is a trailer with the right count and digest, and that nothing follows it. What
// entries say is the checker's matter.
#ifndef BITTERNMUX_LAB_RECORD_READER_H_
#define BITTERNMUX_LAB_RECORD_READER_H_

#include <google/protobuf/stubs/logging.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "lab/record/record.pb.h"
#include "lab/record/stream.h"

namespace bitternmux::lab::record {

// The record cannot be read, or not be trusted, from the entry on that begins at this byte.
class ReadError : public std::runtime_error {
 public:
  ReadError(std::uint64_t offset, const std::string& reason)
      : std::runtime_error("byte " + std::to_string(offset) + ": " + reason), offset_(offset) {}
  std::uint64_t offset() const { return offset_; }

 private:
  std::uint64_t offset_;
};

// Where a record's bytes come from.
class Source {
 public:
  virtual ~Source() = default;
  // Up to `size` bytes; 0 at the end. Throws std::system_error.
  virtual std::size_t Read(char* into, std::size_t size) = 0;
};

// A file; "-" is standard input. Throws std::system_error that names the file.
class FileSource : public Source {
 public:
  explicit FileSource(std::string path);
  ~FileSource() override;
  FileSource(const FileSource&) = delete;
  FileSource& operator=(const FileSource&) = delete;
  std::size_t Read(char* into, std::size_t size) override;

 private:
  std::string path_;
  int fd_ = -1;
};

class MemorySource : public Source {
 public:
  // The bytes must outlive the source.
  explicit MemorySource(std::string_view bytes) : left_(bytes) {}
  std::size_t Read(char* into, std::size_t size) override;

 private:
  std::string_view left_;
};

class Reader {
 public:
  // Reads the header. The source must outlive the reader. Throws ReadError.
  explicit Reader(Source& source);
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  const Header& header() const { return header_; }

  // The next entry, which is good until the next call; null once the trailer has been read and found right.
  // The header and the trailer are not given out. Throws ReadError; there is nothing to be read after it.
  const Entry* Next();

  // Once Next has given null.
  const Trailer& trailer() const { return trailer_; }

  // Where the entry begins that was read last.
  std::uint64_t offset() const { return offset_; }

 private:
  Entry& Parse();
  bool Have(std::size_t count);
  [[noreturn]] void Fail(const std::string& reason) const;

  const google::protobuf::LogSilencer quiet_;  // what cannot be read is told by ReadError alone
  Source& source_;
  Digest digest_;
  EntryArena arena_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0, end_ = 0;  // of what is read ahead, in buffer_
  std::size_t entry_size_ = 0;       // of the entry at offset_, its length's bytes included
  std::uint64_t offset_ = 0;
  std::uint64_t next_seq_ = 0;
  std::int64_t last_us_ = 0;
  bool over_ = false;
  Header header_;
  Trailer trailer_;
};

}  // namespace bitternmux::lab::record

#endif  // BITTERNMUX_LAB_RECORD_READER_H_
