#include "sidecar/starts_file.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "config/text_file.h"
#include "events/catalogue.h"

namespace bitternmux {
namespace {

constexpr std::uintmax_t kLongest = 4096;  // a file that is longer is not ours

std::string PathOf(const std::string& folder, std::string listen) {
  if (folder.empty()) return {};
  std::ranges::replace(listen, ':', '-');
  return folder + "/bitternmux-" + listen + ".starts";
}

}  // namespace

StartsFile::StartsFile(const std::string& folder, const std::string& listen, EventSink& events)
    : path_(PathOf(folder, listen)), events_(events) {}

std::int64_t StartsFile::Begin() {
  if (path_.empty()) return 0;
  began_ = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  StartHistory starts = Load();
  const std::int64_t held_ms = starts.Begin(began_);
  failed_ = starts.failed();
  Keep(starts);
  return held_ms;
}

void StartsFile::Full() {
  StartHistory starts = Load();
  starts.Full(began_);
  Keep(starts);
}

void StartsFile::Forget() {
  StartHistory starts = Load();
  starts.Forget(began_);
  Keep(starts);
}

void StartsFile::Stopped() {
  StartHistory starts = Load();
  starts.Stopped(began_);
  Keep(starts);
}

StartHistory StartsFile::Load() {
  std::error_code error;
  if (path_.empty() || !std::filesystem::exists(path_, error)) return {};
  const bool ours =
      std::filesystem::is_regular_file(path_, error) && std::filesystem::file_size(path_, error) <= kLongest;
  const auto text = ours ? ReadTextFile(path_) : std::nullopt;
  if (!text) return Tell("cannot be read"), StartHistory();
  const auto starts = StartHistory::Parse(*text);
  if (!starts) Tell("torn, or not ours");
  return starts.value_or(StartHistory());
}

void StartsFile::Keep(const StartHistory& starts) {
  if (path_.empty()) return;
  const std::string next = path_ + ".next";
  std::ofstream out(next, std::ios::trunc);
  const bool written = static_cast<bool>(out << starts.Serialize() << std::flush);
  out.close();
  if (!written || std::rename(next.c_str(), path_.c_str()) != 0) Tell("cannot be written");
}

void StartsFile::Tell(const char* why) {
  if (!std::exchange(told_, true)) events_.Write(events::kComebackStarts, {{"why", why}, {"path", path_}});
}

}  // namespace bitternmux
