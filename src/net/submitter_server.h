// The submitter's side: takes jobs from the application over HTTP and hands it their answers.
#ifndef BITTERNMUX_SRC_NET_SUBMITTER_SERVER_H_
#define BITTERNMUX_SRC_NET_SUBMITTER_SERVER_H_

#include <functional>
#include <memory>
#include <vector>

#include "core/job_table.h"
#include "limits/sessions.h"
#include "net/runtime.h"

namespace bitternmux::net {

class SubmitterServer {
 public:
  // Of `clients_hold` submitters can hold for jobs at most, of `most_sessions` in all, and of `most_unread`
  // bytes of requests that are not whole yet, over all sessions.
  SubmitterServer(Runtime& runtime, JobTable& jobs, const cartspring::Settings& settings,
                  std::size_t most_sessions, std::size_t clients_hold, std::size_t most_unread);
  ~SubmitterServer();

  void Listen(const tcp::endpoint& at);  // throws boost::system::system_error
  // No other process listens beside this one any more: takes back what a leaving one arranged.
  void Lead();
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Forgets at once the requests whose submitters have gone by now.
  void CatchUp();
  // No new connections, and the ones that there are end with the answer that they wait for. `done` is called
  // when the last of them has.
  void Close(std::function<void()> done);
  // The same where another process listens beside this one: all that waits to be accepted is, and a
  // connection that idles stays for one more request, until Close.
  void Leave(std::function<void()> done);

 private:
  class Session;

  void Accept();
  void Accepted(const error_code& error);
  void Enter(tcp::socket socket);
  void EmptyQueue();
  void EndWhenEmpty();
  void AcceptLater();
  bool MakeRoom();
  void Trim();
  void TrimOften();
  void SayShort();
  void Ended(limits::Sessions::Id id);

  Runtime& runtime_;
  JobTable& jobs_;
  const cartspring::Settings& settings_;
  const std::size_t most_unread_;
  std::size_t unread_ = 0;
  tcp::acceptor acceptor_;
  tcp::socket incoming_;
  limits::Sessions limits_;
  std::vector<std::shared_ptr<Session>> sessions_;  // by their ids; null where there is none
  double said_short_ms_ = 0;
  bool closing_ = false;  // each answer is its connection's last
  bool leaving_ = false;  // and those that idle stay for one more
  std::function<void()> closed_;
};

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_SUBMITTER_SERVER_H_
