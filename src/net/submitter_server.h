// The submitter's side: takes jobs from the application over HTTP and hands it their answers.
#ifndef BITTERNMUX_SRC_NET_SUBMITTER_SERVER_H_
#define BITTERNMUX_SRC_NET_SUBMITTER_SERVER_H_

#include <functional>
#include <memory>
#include <unordered_set>

#include "core/job_table.h"
#include "net/runtime.h"

namespace bitternmux::net {

class SubmitterServer {
 public:
  // `most_unread`: bytes of requests that are not whole yet, over all sessions.
  SubmitterServer(Runtime& runtime, JobTable& jobs, const cartspring::Settings& settings,
                  std::size_t most_sessions, std::size_t most_unread);
  ~SubmitterServer();

  void Listen(const tcp::endpoint& at);  // throws boost::system::system_error
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // No new connections, and the ones that there are end with the answer that they wait for. `done` is called
  // when the last of them has.
  void Close(std::function<void()> done);

 private:
  class Session;

  void Accept();
  void Accepted(const error_code& error);
  void AcceptLater();
  bool MakeRoom();
  void CloseLeast();
  void Ended(const std::shared_ptr<Session>& session);

  Runtime& runtime_;
  JobTable& jobs_;
  const cartspring::Settings& settings_;
  const std::size_t most_sessions_, most_unread_;
  std::size_t unread_ = 0;
  tcp::acceptor acceptor_;
  tcp::socket incoming_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  bool closing_ = false;
  std::function<void()> closed_;
};

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_SUBMITTER_SERVER_H_
