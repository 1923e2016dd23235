// Reads the platform's list of servers over HTTP (libcurl), on a thread of its own.
#ifndef BITTERNMUX_SRC_CONTROL_PLATFORM_LIST_H_
#define BITTERNMUX_SRC_CONTROL_PLATFORM_LIST_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "fleet/feed/feed.h"

namespace bitternmux::control {

// One page of the list. Throws std::runtime_error for what is no page.
struct ListPage {
  std::vector<fleet::ServerEntry> servers;
  std::vector<fleet::ServerEntry> unreachable;  // left out of `servers`: their address is no ip:port
  std::string next_token;                       // empty: the last one
};
ListPage ParseListPage(std::string_view text);

class PlatformList {
 public:
  // `done`: called on the reader's thread. No servers: the reading failed, and `fault` says why. With
  // servers, `fault` says which entries were left out; empty: none.
  using Done = std::function<void(std::optional<fleet::ServerMap>, std::string fault)>;

  PlatformList(std::string address, Done done);
  ~PlatformList();
  PlatformList(const PlatformList&) = delete;
  PlatformList& operator=(const PlatformList&) = delete;

  // Begins a reading, unless one is under way.
  void Read();

 private:
  void Run();

  const std::string address_;
  const Done done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool wanted_ = false, stopping_ = false;
  std::thread thread_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_PLATFORM_LIST_H_
