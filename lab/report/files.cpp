#include "lab/report/files.h"

#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <system_error>

#include "lab/record/stream.h"

namespace bitternmux::lab::report {
namespace {

[[noreturn]] void Fail(const std::string& file) {
  throw std::system_error(errno != 0 ? errno : EIO, std::generic_category(), file);
}

// Bytes of the UTF-8 character that begins at `at`; 0 if none does.
std::size_t LengthOf(const std::string& text, std::size_t at) {
  const auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0u; };
  const unsigned lead = byte(at);
  if (lead < 0x80) return 1;
  const std::size_t length = lead >= 0xc2 && lead < 0xe0   ? 2
                             : lead >= 0xe0 && lead < 0xf0 ? 3
                             : lead >= 0xf0 && lead < 0xf5 ? 4
                                                           : 0;
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(at + i) & 0xc0) != 0x80) return 0;
  }
  // Overlong forms, surrogates, what is beyond Unicode, and the two that XML does not allow.
  const unsigned second = byte(at + 1);
  if ((lead == 0xe0 && second < 0xa0) || (lead == 0xed && second >= 0xa0) ||
      (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second >= 0x90) ||
      (lead == 0xef && second == 0xbf && byte(at + 2) >= 0xbe)) {
    return 0;
  }
  return length;
}

}  // namespace

std::string ReadFile(const std::string& file) {
  errno = 0;
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in) Fail(file);
  if (in.peek() != std::ifstream::traits_type::eof() && !(text << in.rdbuf())) Fail(file);
  return text.str();
}

void WriteFile(const std::string& file, const std::string& text) {
  const std::string beside = file + ".new";
  errno = 0;
  {
    std::ofstream out(beside, std::ios::binary | std::ios::trunc);
    if (!(out << text) || !out.flush()) Fail(beside);
  }
  if (std::rename(beside.c_str(), file.c_str()) != 0) Fail(file);
}

std::string DigestOf(const std::string& bytes) {
  record::Digest digest;
  digest.Add(bytes.data(), bytes.size());
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, digest.Value());
  return text;
}

std::string Clean(const std::string& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t length = LengthOf(text, at);
    const auto lead = static_cast<unsigned char>(text[at]);
    if (length == 0 || lead < 0x20 || lead == 0x7f) {
      out += '?';
      ++at;
    } else {
      out.append(text, at, length);
      at += length;
    }
  }
  return out;
}

}  // namespace bitternmux::lab::report
