// Writes HTTP/1.1 messages.
#ifndef BITTERNMUX_SRC_HTTP_WRITER_H_
#define BITTERNMUX_SRC_HTTP_WRITER_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bitternmux::http {

using Headers = std::vector<std::pair<std::string_view, std::string>>;

// Content-Length is added unless the method has no body and there is none.
std::string WriteRequest(std::string_view method, std::string_view target, const Headers& headers,
                         std::string_view body);
std::string WriteResponse(int status, const Headers& headers, std::string_view body, bool keep_alive);

}  // namespace bitternmux::http

#endif  // BITTERNMUX_SRC_HTTP_WRITER_H_
