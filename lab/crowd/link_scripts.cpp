#include "lab/crowd/link_scripts.h"

#include <algorithm>

#include "fleet/messages/codec.h"

namespace bitternmux::lab::crowd {
namespace {

using fleet::EncodeFrame;
using fleet::Hello;
using fleet::kFrameHeaderBytes;
using fleet::kMaxFrameBytes;
using fleet::PeerRole;
using fleet::Subscribe;

constexpr std::size_t kMinFrameBytes = 1024 * 1024;

std::size_t Between(std::size_t least, std::size_t most, std::mt19937& random) {
  return std::uniform_int_distribution<std::size_t>(least, most)(random);
}

std::string Name(std::mt19937& random) { return "hostile-" + std::to_string(Between(1, 1'000'000, random)); }

std::string Greeting(std::mt19937& random) {
  return EncodeFrame(Hello{PeerRole::kAgent, Name(random), {}, Between(1, 1'000'000, random)});
}

std::string Subscription(std::mt19937& random) {
  Subscribe subscribe;
  subscribe.subscriber = Name(random);
  return EncodeFrame(subscribe);
}

std::string FrameSize(std::size_t size) {
  std::string bytes(kFrameHeaderBytes, '\0');
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) bytes[i] = static_cast<char>((size >> (8 * i)) & 0xff);
  return bytes;
}

// Behind `opening`, a frame that lacks its last bytes.
Script ShortFrame(const char* name, const std::string& opening, std::mt19937& random) {
  Script script;
  script.name = name;
  const std::size_t size = Between(kMinFrameBytes, kMaxFrameBytes, random);
  script.opening = opening + FrameSize(size);
  script.repeated = "f";
  script.repeats = size - Between(1, 64, random);
  return script;
}

}  // namespace

Script FirstFrame(std::mt19937& random) { return ShortFrame("a first frame", "", random); }

Script FrameBehindHello(std::mt19937& random) {
  return ShortFrame("a frame behind a greeting", Greeting(random), random);
}

Script FrameBehindSubscription(std::mt19937& random) {
  return ShortFrame("a frame behind a subscription", Greeting(random) + Subscription(random), random);
}

Script DrippedFrame(std::mt19937& random) {
  Script script = ShortFrame("a frame that drips", Greeting(random), random);
  script.pace = Script::Pace::kOneByteARound;
  return script;
}

Script NeverReadsFeed(std::mt19937& random) {
  Script script;
  script.name = "a feed that nobody reads";
  script.opening = Greeting(random);
  script.repeated = Subscription(random);
  script.repeats = Between(100, 400, random);
  script.reads = false;
  return script;
}

Script SilentLink(std::mt19937&) {
  Script script;
  script.name = "silence";
  return script;
}

Script Noise(std::mt19937& random) {
  Script script;
  script.name = "noise";
  const std::size_t size = Between(16, 4'096, random);
  script.repeated = FrameSize(size) + std::string(size, 'z');
  script.repeats = 4;
  return script;
}

const std::vector<LinkKind>& FrameKinds() {
  static const std::vector<LinkKind> kinds = {FirstFrame, FrameBehindHello, FrameBehindSubscription,
                                              DrippedFrame};
  return kinds;
}

const std::vector<LinkKind>& LinkConnectionKinds() {
  static const std::vector<LinkKind> kinds = {SilentLink, Noise, DrippedFrame};
  return kinds;
}

std::vector<Script> Draw(const std::vector<LinkKind>& kinds, std::size_t count, std::mt19937& random) {
  std::vector<Script> scripts;
  scripts.reserve(count);
  for (std::size_t i = 0; i < count; ++i) scripts.push_back(kinds[i % kinds.size()](random));
  std::shuffle(scripts.begin(), scripts.end(), random);
  return scripts;
}

}  // namespace bitternmux::lab::crowd
