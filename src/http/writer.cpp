#include "http/writer.h"

#include <cstdio>

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
    case 408:
      return "Request Timeout";
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

std::string StatusLine(int status, const Headers& headers, bool keep_alive) {
  std::string out = "HTTP/1.1 ";
  out.append(std::to_string(status)).append(" ").append(Reason(status)).append("\r\n");
  AppendHeaders(headers, out);
  if (!keep_alive) out.append("Connection: close\r\n");
  return out;
}

void AppendLength(std::size_t length, std::string& out) {
  out.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
}

}  // namespace

std::string WriteRequestHead(std::string_view method, std::string_view target, const Headers& headers,
                             std::size_t length) {
  std::string out;
  out.reserve(256 + target.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, out);
  if (method != "GET" || length > 0) AppendLength(length, out);
  return out.append("\r\n");
}

std::string WriteRequest(std::string_view method, std::string_view target, const Headers& headers,
                         std::string_view body) {
  return WriteRequestHead(method, target, headers, body.size()).append(body);
}

std::string WriteResponseHead(int status, const Headers& headers, Framing framing, std::size_t length,
                              bool keep_alive) {
  std::string out = StatusLine(status, headers, keep_alive);
  if (framing == Framing::kLength) AppendLength(length, out);
  if (framing == Framing::kChunks) out.append("Transfer-Encoding: chunked\r\n");
  return out.append("\r\n");
}

std::string ChunkHead(std::size_t size) {
  char out[20];
  const int count = std::snprintf(out, sizeof out, "%zx\r\n", size);
  return {out, static_cast<std::size_t>(count)};
}

std::string WriteResponse(int status, const Headers& headers, std::string_view body, bool keep_alive) {
  std::string out = StatusLine(status, headers, keep_alive);
  AppendLength(body.size(), out);
  return out.append("\r\n").append(body);
}

}  // namespace bitternmux::http
