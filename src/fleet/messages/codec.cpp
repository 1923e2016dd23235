#include "fleet/messages/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <istream>
#include <ostream>
#include <streambuf>

namespace bitternmux::fleet {
namespace {

// Reads from bytes that stay the caller's.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());  // a streambuf for reading never writes
    setg(begin, begin, begin + bytes.size());
  }
};

// Appends to a string, so that a frame is built in the memory that is sent.
class AppendBuffer : public std::streambuf {
 public:
  explicit AppendBuffer(std::string& out) : out_(out) {}

 protected:
  int_type overflow(int_type byte) override {
    if (byte != traits_type::eof()) out_.push_back(traits_type::to_char_type(byte));
    return byte;
  }
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    out_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }

 private:
  std::string& out_;
};

}  // namespace

std::string EncodeFrame(const Message& message) {
  std::string frame(kFrameHeaderBytes, '\0');
  AppendBuffer buffer(frame);
  std::ostream stream(&buffer);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(kProtocolVersion, message);
  }
  const std::size_t size = frame.size() - kFrameHeaderBytes;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) frame[i] = static_cast<char>((size >> (8 * i)) & 0xff);
  return frame;
}

std::optional<std::size_t> FramePayloadBytes(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  return size;
}

Message DecodePayload(std::string_view payload) {
  ViewBuffer buffer(payload);
  std::istream stream(&buffer);
  std::uint32_t version = 0;
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(version);
    if (version != kProtocolVersion) throw FrameError("protocol version " + std::to_string(version));
    archive(message);
  } catch (const cereal::Exception& error) {
    throw FrameError(error.what());
  } catch (const std::bad_alloc&) {
    throw FrameError("a length beyond the memory");
  } catch (const std::length_error&) {
    throw FrameError("a length beyond reason");
  }
  return message;
}

}  // namespace bitternmux::fleet
