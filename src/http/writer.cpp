#include "http/writer.h"

namespace bitternmux::http {
namespace {

std::string_view Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Other";
  }
}

void AppendHeaders(const Headers& headers, std::string& out) {
  for (const auto& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
}

void AppendBody(std::string_view body, std::string& out) {
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

}  // namespace

std::string WriteRequest(std::string_view method, std::string_view target, const Headers& headers,
                         std::string_view body) {
  std::string out;
  out.reserve(256 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, out);
  if (method == "GET" && body.empty()) {
    out.append("\r\n");
  } else {
    AppendBody(body, out);
  }
  return out;
}

std::string WriteResponse(int status, const Headers& headers, std::string_view body, bool keep_alive) {
  std::string out;
  out.reserve(256 + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(Reason(status)).append("\r\n");
  AppendHeaders(headers, out);
  if (!keep_alive) out.append("Connection: close\r\n");
  AppendBody(body, out);
  return out;
}

}  // namespace bitternmux::http
