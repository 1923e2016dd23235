// Writes a record: the delimited stream of entries that record.proto describes.
//
//   FileSink file("day.record");
//   Writer record(file, header);
//   record.Put(now_us, [&](Entry& entry) { entry.mutable_try_sent()->set_try_id(7); });
//   record.Close();
//
// An entry costs no allocation once the writer has warmed up: it is filled in an arena that is used again,
// and serialized into one buffer. One thread at a time may use a writer.
#ifndef BITTERNMUX_LAB_RECORD_WRITER_H_
#define BITTERNMUX_LAB_RECORD_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "lab/record/record.pb.h"
#include "lab/record/stream.h"

namespace bitternmux::lab::record {

// The format that is written, and the oldest that is read: 1 knows nothing of dials that failed.
constexpr std::uint32_t kFormat = 2;
constexpr std::uint32_t kOldestFormat = 1;

// Where a record's bytes go. Throws std::system_error if they cannot be taken.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void Write(std::string_view bytes) = 0;
  // All has been written; must be on its way to where it is kept when this returns.
  virtual void Close() = 0;
};

// A file, which is emptied first; "-" is standard output. Throws std::system_error that names the file.
class FileSink : public Sink {
 public:
  explicit FileSink(std::string path);
  ~FileSink() override;
  FileSink(const FileSink&) = delete;
  FileSink& operator=(const FileSink&) = delete;

  void Write(std::string_view bytes) override;
  void Close() override;

 private:
  [[noreturn]] void Fail() const;

  std::string path_;
  int fd_ = -1;
};

class MemorySink : public Sink {
 public:
  void Write(std::string_view bytes) override { bytes_.append(bytes); }
  void Close() override {}
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

// Where a run's entries go.
class Entries {
 public:
  virtual ~Entries() = default;

  // Takes what `fill(Entry&)` puts into an empty entry, with its time set: microseconds since the run began.
  template <class Fill>
  void Put(std::int64_t at_us, Fill&& fill) {
    Entry& entry = Begin(at_us);
    fill(entry);
    End(entry);
  }

  // From here on nothing may be concluded from the run; the first reason is kept.
  virtual void Void(std::string reason) = 0;
  // Nothing may be put after it.
  virtual void Close() = 0;

 private:
  virtual Entry& Begin(std::int64_t at_us) = 0;
  virtual void End(const Entry& entry) = 0;
};

// Put sets the entry's number too. It throws std::logic_error for a time before the last entry's, for an
// entry without content and after Close: these are faults of whoever records, and the record would not be
// taken.
class Writer : public Entries {
 public:
  // Writes the header as the first entry, at time 0, with `format` set. The sink must outlive the writer.
  Writer(Sink& sink, const Header& header);
  // What was not closed stays without a trailer, and no reader takes it for whole.
  ~Writer() override;
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void Void(std::string reason) override;
  bool is_void() const { return void_; }

  // Writes the trailer, and closes the sink.
  void Close() override;

  std::uint64_t entries() const { return next_seq_; }
  std::int64_t last_us() const { return last_us_; }

 private:
  Entry& Begin(std::int64_t at_us) override;
  void End(const Entry& entry) override;
  void Flush();

  Sink& sink_;
  Digest digest_;
  EntryArena arena_;
  std::vector<char> buffer_;
  std::size_t buffered_ = 0;
  std::uint64_t next_seq_ = 0;
  std::int64_t last_us_ = 0;
  bool void_ = false, closed_ = false;
  std::string reason_;
};

}  // namespace bitternmux::lab::record

#endif  // BITTERNMUX_LAB_RECORD_WRITER_H_
