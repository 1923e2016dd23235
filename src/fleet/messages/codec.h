// Frames of the internal protocol: a length, then the protocol's version and one message as cereal writes it.
#ifndef BITTERNMUX_SRC_FLEET_MESSAGES_CODEC_H_
#define BITTERNMUX_SRC_FLEET_MESSAGES_CODEC_H_

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr std::size_t kFrameHeaderBytes = 4;
constexpr std::size_t kMaxFrameBytes =
    12 * 1024 * 1024;  // a configuration of 4 MB with its history, and room

// A frame that no peer of this version sends. The link that it came on is to be closed.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The message as bytes for a link, its length first.
std::string EncodeFrame(const Message& message);

// The length of the frame's payload by its first kFrameHeaderBytes bytes; none while fewer are there.
std::optional<std::size_t> FramePayloadBytes(std::string_view bytes);

// The message of a payload. Throws FrameError.
Message DecodePayload(std::string_view payload);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_MESSAGES_CODEC_H_
