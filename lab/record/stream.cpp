#include "lab/record/stream.h"

#include <xxhash.h>

#include <new>
#include <string>

namespace bitternmux::lab::record {
namespace {

constexpr std::size_t kArenaBlock = 4 * 1024;  // more than any usual entry takes

google::protobuf::ArenaOptions ArenaIn(std::vector<char>& block) {
  google::protobuf::ArenaOptions options;
  options.initial_block = block.data();
  options.initial_block_size = block.size();
  return options;
}

}  // namespace

Digest::Digest() : state_(XXH64_createState()) {
  if (!state_) throw std::bad_alloc();
  XXH64_reset(state_.get(), 0);
}
void Digest::Free::operator()(XXH64_state_s* state) const { XXH64_freeState(state); }
void Digest::Add(const char* bytes, std::size_t size) { XXH64_update(state_.get(), bytes, size); }
void Digest::Add(const Entry& entry) {
  const std::string bytes = entry.SerializeAsString();
  Add(bytes.data(), bytes.size());
}
std::uint64_t Digest::Value() const { return XXH64_digest(state_.get()); }

EntryArena::EntryArena() : block_(kArenaBlock), arena_(ArenaIn(block_)) {}

Entry& EntryArena::Next() {
  arena_.Reset();
  return *google::protobuf::Arena::CreateMessage<Entry>(&arena_);
}

}  // namespace bitternmux::lab::record
