// A crowd of hostile clients on loopback: plays one script a connection, all at once and on one thread. It is
// bounded in connections, bytes and rounds, and ends by itself.
//
// A connection that the other side closes is opened again, a bounded number of times: such clients come back.
#ifndef BITTERNMUX_LAB_CROWD_CROWD_H_
#define BITTERNMUX_LAB_CROWD_CROWD_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "lab/crowd/script.h"

namespace bitternmux::lab::crowd {

class Crowd {
 public:
  // `address`: ip:port (IPv4). Throws std::runtime_error if this process may not open so many descriptors.
  Crowd(const std::string& address, std::vector<Script> scripts);
  ~Crowd();  // closes all connections
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends until the other side takes nothing more for some rounds, or all is sent. `each_round`: called
  // between two rounds.
  void Press(const std::function<void()>& each_round);
  // One round of sending, reading and opening again.
  void Round();
  // Bytes that the other side's kernel took, over all connections.
  std::size_t sent() const { return sent_; }
  // Connections opened so far.
  std::size_t opened() const { return opened_; }

 private:
  struct Connection;

  void Open(Connection& connection);
  void Send(Connection& connection);
  void Receive(Connection& connection);
  void Reopen(Connection& connection);

  const std::string ip_;
  const int port_;
  std::vector<Connection> connections_;
  std::size_t sent_ = 0, opened_ = 0, most_opened_ = 0;
};

// Goes on with rounds of a crowd on a thread of its own, so that what drips drips on beside an ordinary
// client.
class BackgroundRounds {
 public:
  // `each_round`: called on that thread.
  BackgroundRounds(Crowd& crowd, std::function<void()> each_round);
  ~BackgroundRounds();
  BackgroundRounds(const BackgroundRounds&) = delete;
  BackgroundRounds& operator=(const BackgroundRounds&) = delete;

 private:
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace bitternmux::lab::crowd

#endif  // BITTERNMUX_LAB_CROWD_CROWD_H_
