// What the writer and the reader share: the digest of a record's bytes, and an arena that is used again for
// each entry. No part outside this folder includes it.
#ifndef BITTERNMUX_LAB_RECORD_STREAM_H_
#define BITTERNMUX_LAB_RECORD_STREAM_H_

#include <google/protobuf/arena.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "lab/record/record.pb.h"

struct XXH64_state_s;

namespace bitternmux::lab::record {

constexpr std::size_t kLongestVarint = 10;

// XXH64 with seed 0 of all bytes added so far.
class Digest {
 public:
  Digest();
  void Add(const char* bytes, std::size_t size);
  void Add(const Entry& entry);  // as it is written, without its length
  std::uint64_t Value() const;

 private:
  struct Free {
    void operator()(XXH64_state_s* state) const;
  };
  std::unique_ptr<XXH64_state_s, Free> state_;
};

// Gives one empty entry at a time, without allocating for those of the usual size.
class EntryArena {
 public:
  EntryArena();
  // Ends the entry that was given before.
  Entry& Next();

 private:
  std::vector<char> block_;
  google::protobuf::Arena arena_;
};

}  // namespace bitternmux::lab::record

#endif  // BITTERNMUX_LAB_RECORD_STREAM_H_
