#include "fleet/delta/text_delta.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

// A delta is a row of steps. Each begins with a letter: 'c' and two numbers copy from the base (offset,
// count); 'n' and one number take that many bytes that follow it; 'e' and two numbers end it (size of the
// base, digest of the text).
namespace bitternmux::fleet {
namespace {

constexpr std::size_t kNumberBytes = 8;

std::uint64_t Digest(std::string_view text) {
  std::uint64_t value = 0xcbf29ce484222325u;  // FNV-1a
  for (const char byte : text) value = (value ^ static_cast<unsigned char>(byte)) * 0x100000001b3u;
  return value;
}

std::vector<std::string_view> Pieces(std::string_view text) {
  std::vector<std::string_view> pieces;
  while (!text.empty()) {
    const auto end = text.find('}');
    const std::size_t size = end == text.npos ? text.size() : end + 1;
    pieces.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return pieces;
}

void PutNumber(std::string& out, std::uint64_t number) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) out.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
}

std::optional<std::uint64_t> TakeNumber(std::string_view& in) {
  if (in.size() < kNumberBytes) return std::nullopt;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i])) << (8 * i);
  }
  in.remove_prefix(kNumberBytes);
  return number;
}

// Gathers neighbouring steps of one kind into one.
class Writer {
 public:
  void Copy(std::size_t offset, std::size_t count) {
    if (count_ > 0 && offset == offset_ + count_) {
      count_ += count;
      return;
    }
    Flush();
    offset_ = offset;
    count_ = count;
  }
  void Add(std::string_view bytes) {
    FlushCopy();
    fresh_.append(bytes);
  }
  std::string Finish(std::string_view base, std::string_view text) {
    Flush();
    out_.push_back('e');
    PutNumber(out_, base.size());
    PutNumber(out_, Digest(text));
    return std::move(out_);
  }

 private:
  void FlushCopy() {
    if (count_ == 0) return;
    out_.push_back('c');
    PutNumber(out_, offset_);
    PutNumber(out_, count_);
    count_ = 0;
  }
  void Flush() {
    FlushCopy();
    if (fresh_.empty()) return;
    out_.push_back('n');
    PutNumber(out_, fresh_.size());
    out_.append(fresh_);
    fresh_.clear();
  }

  std::string out_, fresh_;
  std::size_t offset_ = 0, count_ = 0;
};

}  // namespace

std::string MakeDelta(std::string_view base, std::string_view text) {
  std::unordered_map<std::string_view, std::size_t> known;
  for (const std::string_view piece : Pieces(base)) {
    known.emplace(piece, static_cast<std::size_t>(piece.data() - base.data()));
  }
  Writer writer;
  for (const std::string_view piece : Pieces(text)) {
    const auto found = known.find(piece);
    found != known.end() ? writer.Copy(found->second, piece.size()) : writer.Add(piece);
  }
  return writer.Finish(base, text);
}

std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta) {
  std::string text;
  while (!delta.empty()) {
    const char step = delta.front();
    delta.remove_prefix(1);
    const auto first = TakeNumber(delta);
    if (!first) return std::nullopt;
    if (step == 'n') {
      if (delta.size() < *first) return std::nullopt;
      text.append(delta.substr(0, *first));
      delta.remove_prefix(*first);
      continue;
    }
    const auto second = TakeNumber(delta);
    if (!second) return std::nullopt;
    if (step == 'e') {
      if (*first != base.size() || *second != Digest(text)) return std::nullopt;
      return text;
    }
    if (step != 'c' || *first > base.size() || *second > base.size() - *first) return std::nullopt;
    text.append(base.substr(*first, *second));
  }
  return std::nullopt;
}

}  // namespace bitternmux::fleet
