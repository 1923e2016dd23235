// The one buffer of a connection: it grows as needed and is compacted in place.
#ifndef BITTERNMUX_SRC_HTTP_BUFFER_H_
#define BITTERNMUX_SRC_HTTP_BUFFER_H_

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace bitternmux::http {

class Buffer {
 public:
  std::string_view Data() const { return {bytes_.data() + begin_, end_ - begin_}; }
  std::size_t size() const { return end_ - begin_; }
  std::size_t capacity() const { return bytes_.size(); }

  // Room for at least `count` bytes more, to be written and then committed.
  char* Prepare(std::size_t count) {
    if (bytes_.size() - end_ < count && begin_ > 0) {
      std::copy(bytes_.begin() + static_cast<std::ptrdiff_t>(begin_),
                bytes_.begin() + static_cast<std::ptrdiff_t>(end_), bytes_.begin());
      end_ -= begin_;
      begin_ = 0;
    }
    if (bytes_.size() - end_ < count) bytes_.resize(std::max(end_ + count, bytes_.size() * 2));
    return bytes_.data() + end_;
  }
  void Commit(std::size_t count) { end_ += count; }
  // Gives memory back that is over `most`, while nothing is in it: for a connection that idles.
  void Trim(std::size_t most) {
    if (size() == 0 && bytes_.size() > most) std::vector<char>().swap(bytes_);
  }
  void Consume(std::size_t count) {
    begin_ += count;
    if (begin_ == end_) begin_ = end_ = 0;
  }

 private:
  std::vector<char> bytes_;
  std::size_t begin_ = 0, end_ = 0;
};

}  // namespace bitternmux::http

#endif  // BITTERNMUX_SRC_HTTP_BUFFER_H_
