// Writes HTTP/1.1 messages.
#ifndef BITTERNMUX_SRC_HTTP_WRITER_H_
#define BITTERNMUX_SRC_HTTP_WRITER_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bitternmux::http {

using Headers = std::vector<std::pair<std::string_view, std::string>>;

// The head for a body of that length, which follows. Content-Length is added unless the method has no body
// and there is none.
std::string WriteRequestHead(std::string_view method, std::string_view target, const Headers& headers,
                             std::size_t length);
std::string WriteRequest(std::string_view method, std::string_view target, const Headers& headers,
                         std::string_view body);
// The head alone, for a body that follows in pieces: of a known length, or else in chunks, or for whom does
// not know these up to the end of the connection.
enum class Framing { kLength, kChunks, kToEnd };
std::string WriteResponseHead(int status, const Headers& headers, Framing framing, std::size_t length,
                              bool keep_alive);
std::string ChunkHead(std::size_t size);  // its bytes and an empty line follow
inline constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
inline constexpr std::string_view kChunkEnd = "\r\n", kLastChunk = "0\r\n\r\n";

std::string WriteResponse(int status, const Headers& headers, std::string_view body, bool keep_alive);

}  // namespace bitternmux::http

#endif  // BITTERNMUX_SRC_HTTP_WRITER_H_
