#include "lab/crowd/process_gauge.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bitternmux::lab::crowd {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

// "127.0.0.1:80" as "0100007F:0050": the address in the byte order of this machine.
std::string LocalEnd(const std::string& address) {
  const auto colon = address.rfind(':');
  in_addr ip{};
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip);
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%08X:%04X", ip.s_addr,
                static_cast<unsigned>(std::stoul(address.substr(colon + 1))));
  return text.data();
}

std::string Folder(pid_t process) { return "/proc/" + std::to_string(process); }

// The value of a line "KEY: VALUE kB" in /proc/PID/status, in bytes; 0: there is none.
std::size_t StatusBytes(pid_t process, const std::string& key) {
  std::ifstream status(Folder(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(key)) return std::stoul(line.substr(key.size())) * 1024;
  }
  return 0;
}

std::size_t Descriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator folder(Folder(process) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

}  // namespace

ProcessGauge::ProcessGauge(pid_t process, const std::vector<std::string>& listeners) : process_(process) {
  for (const std::string& listener : listeners) local_ends_.push_back(LocalEnd(listener));
}

void ProcessGauge::Sample() {
  const std::size_t unread = UnreadBytes();
  peak_unread_ = std::max(peak_unread_, unread);
  peak_sum_ = std::max(peak_sum_, StatusBytes(process_, "VmRSS:") + unread);
  peak_descriptors_ = std::max(peak_descriptors_, Descriptors(process_));
}

void ProcessGauge::SampleSometimes() {
  constexpr std::size_t kCallsForEach = 8;
  if (calls_++ % kCallsForEach == 0) Sample();
}

bool ProcessGauge::Alive() const {
  std::ifstream status(Folder(process_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("State:")) return line.find('Z') == std::string::npos;
  }
  return false;
}

std::size_t ProcessGauge::peak_resident_bytes() const { return StatusBytes(process_, "VmHWM:"); }

std::size_t ProcessGauge::peak_bytes() const { return std::max(peak_sum_, peak_resident_bytes()); }

std::string ProcessGauge::Describe() const {
  return "peak " + std::to_string(peak_bytes() / kMegabyte) + " MB in all, " +
         std::to_string(peak_resident_bytes() / kMegabyte) + " MB resident, " +
         std::to_string(peak_unread_ / kMegabyte) + " MB unread, " + std::to_string(peak_descriptors_) +
         " descriptors";
}

// Rows of /proc/net/tcp: number, local end, remote end, state, tx_queue:rx_queue, ... The queue of a listener
// is a number of connections.
std::size_t ProcessGauge::UnreadBytes() const {
  constexpr const char* kListening = "0A";
  std::ifstream table("/proc/net/tcp");
  std::size_t unread = 0;
  for (std::string line; std::getline(table, line);) {
    std::array<std::string, 5> columns;
    std::istringstream row(line);
    for (std::string& column : columns) row >> column;
    const bool own = std::ranges::find(local_ends_, columns[1]) != local_ends_.end();
    const auto colon = columns[4].find(':');
    if (!own || columns[3] == kListening || colon == std::string::npos) continue;
    unread += std::stoul(columns[4].substr(colon + 1), nullptr, 16);
  }
  return unread;
}

}  // namespace bitternmux::lab::crowd
