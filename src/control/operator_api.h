// The operator's API over HTTP (libmicrohttpd). Requests are handed to the control machine's own thread,
// their connections rest until it answers.
//
// What a connection holds is charged to the process's budget. One that has to give way is shut down, which
// promises nothing; a call that finds no memory to be worked on is answered with 503. A body that no call
// wants, or that is too large, is read to its end and not kept.
#ifndef BITTERNMUX_SRC_CONTROL_OPERATOR_API_H_
#define BITTERNMUX_SRC_CONTROL_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "budget/client_budget.h"

namespace bitternmux::control {

struct ApiRequest {
  std::string method, path, body;
  std::optional<std::uint64_t> if_match;
  bool if_match_malformed = false;
};

struct ApiResponse {
  int status = 200;
  std::string body;
  std::string location;                                      // of a redirection
  double retry_after_s = 0;                                  // 0: no advice
  std::shared_ptr<const std::string> shared_body = nullptr;  // in place of `body`, where several share it

  const std::string& text() const { return shared_body ? *shared_body : body; }
};

// The longest body that a call of that method and path may have, in bytes. 0: none is wanted.
using MaxBodyBytes = std::function<std::size_t(std::string_view method, std::string_view path)>;

using ApiRespond = std::function<void(ApiResponse)>;  // once, from any thread

class OperatorApi {
 public:
  // Called on a thread of the server.
  using Handler = std::function<void(ApiRequest, ApiRespond)>;

  // Listens at an ip:port. `budget`: of the process. Throws std::runtime_error.
  OperatorApi(const std::string& address, MaxBodyBytes max_body_bytes,
              std::shared_ptr<budget::ClientBudget> budget, Handler handler);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_OPERATOR_API_H_
