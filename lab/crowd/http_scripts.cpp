#include "lab/crowd/http_scripts.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bitternmux::lab::crowd {
namespace {

constexpr std::size_t kLastBytes = 64;             // of a head, that are left out
constexpr std::size_t kSmallChunkBodies = 65'536;  // bytes of a body in very small chunks
constexpr std::size_t kOverLimitFactor = 8;

std::size_t Between(std::size_t least, std::size_t most, Random& random) {
  return std::uniform_int_distribution<std::size_t>(least, most)(random);
}

std::string Id(Random& random) { return "hostile-" + std::to_string(Between(1, 1'000'000'000, random)); }

std::string FirstLines(const HttpTarget& target, Random& random) {
  return target.method + " " + target.path + " HTTP/1.1\r\nHost: " + target.host +
         "\r\nX-Request-Id: " + Id(random) + "\r\n" + target.headers;
}

std::string ChunkSize(std::size_t size) {
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%zx\r\n", size);
  return text.data();
}

std::string Chunk(std::size_t size, char letter) {
  return ChunkSize(size) + std::string(size, letter) + "\r\n";
}

Script Chunked(const char* name, const HttpTarget& target, Random& random) {
  Script script;
  script.name = name;
  script.opening = FirstLines(target, random) + "Transfer-Encoding: chunked\r\n\r\n";
  return script;
}

}  // namespace

Script ManyShortHeaders(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "many short headers";
  script.opening = FirstLines(target, random);
  while (script.opening.size() < target.max_head_bytes - kLastBytes)
    script.opening += std::string(1, static_cast<char>('a' + Between(0, 25, random))) + ":\r\n";
  return script;
}

Script OddHeaders(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "odd headers";
  script.opening = FirstLines(target, random);
  while (true) {
    const std::string line = std::string(Between(1, 40, random), '~') + ":" +
                             std::string(Between(0, 40, random), '\t') +
                             std::string(Between(0, 20, random), '"') + "\r\n";
    if (script.opening.size() + line.size() > target.max_head_bytes - kLastBytes) return script;
    script.opening += line;
  }
}

Script LongHeader(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "a long header";
  script.opening = FirstLines(target, random) + "X-Long: ";
  const std::size_t most = target.max_head_bytes - script.opening.size() - kLastBytes;
  script.opening += std::string(Between(most / 2, most, random), 'l');
  return script;
}

Script DrippedHead(const HttpTarget& target, Random& random) {
  Script script = LongHeader(target, random);
  script.name = "a head that drips";
  script.pace = Script::Pace::kOneByteARound;
  return script;
}

Script AnnouncedBody(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "an announced body";
  const std::size_t length = Between(target.max_body_bytes * 3 / 4, target.max_body_bytes, random);
  script.opening = FirstLines(target, random) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  script.repeated = "b";
  script.repeats = length - Between(1, 64, random);
  return script;
}

Script LargeChunks(const HttpTarget& target, Random& random) {
  Script script = Chunked("large chunks", target, random);
  const std::size_t size = Between(32'768, 131'072, random);
  script.repeated = Chunk(size, 'c');
  script.repeats = target.max_body_bytes / size - 1;
  script.ending = ChunkSize(size) + std::string(size - Between(1, 64, random), 'c');
  return script;
}

Script SmallChunks(const HttpTarget& target, Random& random) {
  Script script = Chunked("small chunks", target, random);
  const std::size_t size = Between(1, 3, random);
  script.repeated = Chunk(size, 's');
  script.repeats = std::min(kSmallChunkBodies, target.max_body_bytes) / size - 1;
  return script;
}

Script DrippedBody(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "a body that drips";
  script.opening =
      FirstLines(target, random) + "Content-Length: " + std::to_string(target.max_body_bytes) + "\r\n\r\n";
  script.repeated = "d";
  script.repeats = target.max_body_bytes - 1;
  script.pace = Script::Pace::kOneByteARound;
  return script;
}

Script AnnouncedOver(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "an announced body over the limit";
  const std::size_t length = target.max_body_bytes * kOverLimitFactor + Between(1, 65'536, random);
  script.opening = FirstLines(target, random) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  script.repeated = std::string(65'536, 'o');
  script.repeats = length / script.repeated.size();
  return script;
}

Script EndlessChunks(const HttpTarget& target, Random& random) {
  Script script = Chunked("chunks without an end", target, random);
  const std::size_t size = Between(1'000, 65'536, random);
  script.repeated = Chunk(size, 'e');
  script.repeats = target.max_body_bytes * kOverLimitFactor / size;
  return script;
}

Script EnormousChunk(const HttpTarget& target, Random& random) {
  Script script = Chunked("an enormous chunk", target, random);
  script.opening += ChunkSize((std::size_t{1} << Between(31, 46, random)) + 5);
  script.repeated = std::string(65'536, 'n');
  script.repeats = target.max_body_bytes * kOverLimitFactor / script.repeated.size();
  return script;
}

Script NeverReads(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "answers that nobody reads";
  script.repeated = FirstLines(target, random) + "Content-Length: 0\r\n\r\n";
  script.repeats = Between(500, 2'000, random);
  script.reads = false;
  return script;
}

Script Silent(const HttpTarget&, Random&) {
  Script script;
  script.name = "silence";
  return script;
}

Script FirstBytes(const HttpTarget& target, Random& random) {
  Script script;
  script.name = "the first bytes of a request";
  script.opening = target.method.substr(0, Between(1, target.method.size(), random));
  return script;
}

Script Leaves(const HttpTarget& target, Random& random) {
  Script script = Between(0, 1, random) == 0 ? SmallChunks(target, random) : OddHeaders(target, random);
  script.name = "part of a request, and gone";
  script.repeats /= 16;
  script.leaves = true;
  return script;
}

const std::vector<HttpKind>& HeadKinds() {
  static const std::vector<HttpKind> kinds = {ManyShortHeaders, OddHeaders, LongHeader, DrippedHead};
  return kinds;
}

const std::vector<HttpKind>& BodyKinds() {
  static const std::vector<HttpKind> kinds = {AnnouncedBody, LargeChunks, SmallChunks, DrippedBody};
  return kinds;
}

const std::vector<HttpKind>& OverLimitKinds() {
  static const std::vector<HttpKind> kinds = {AnnouncedOver, EndlessChunks, EnormousChunk};
  return kinds;
}

const std::vector<HttpKind>& ConnectionKinds() {
  static const std::vector<HttpKind> kinds = {Silent, FirstBytes, SmallChunks, Leaves};
  return kinds;
}

std::vector<Script> Draw(const std::vector<HttpKind>& kinds, const HttpTarget& target, std::size_t count,
                         Random& random) {
  std::vector<Script> scripts;
  scripts.reserve(count);
  for (std::size_t i = 0; i < count; ++i) scripts.push_back(kinds[i % kinds.size()](target, random));
  std::shuffle(scripts.begin(), scripts.end(), random);
  return scripts;
}

}  // namespace bitternmux::lab::crowd
