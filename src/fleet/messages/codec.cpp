#include "fleet/messages/codec.h"

#include "fleet/messages/archive.h"

namespace bitternmux::fleet {

std::string EncodeFrame(const Message& message) {
  std::string frame(kFrameHeaderBytes, '\0');
  ByteOutput archive(frame);
  archive(kProtocolVersion, message);
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
  ByteInput archive(payload);
  std::uint32_t version = 0;
  Message message;
  try {
    archive(version);
    if (version != kProtocolVersion) throw FrameError("protocol version " + std::to_string(version));
    archive(message);
  } catch (const cereal::Exception& error) {
    throw FrameError(error.what());
  }
  return message;
}

}  // namespace bitternmux::fleet
