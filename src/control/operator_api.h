// The operator's API over HTTP (libmicrohttpd). Requests are handed to the control machine's own thread,
// their connections rest until it answers.
#ifndef BITTERNMUX_SRC_CONTROL_OPERATOR_API_H_
#define BITTERNMUX_SRC_CONTROL_OPERATOR_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bitternmux::control {

struct ApiRequest {
  std::string method, path, body;
  std::optional<std::uint64_t> if_match;
  bool if_match_malformed = false;
};

struct ApiResponse {
  int status = 200;
  std::string body;
  std::string location;      // of a redirection
  double retry_after_s = 0;  // 0: no advice
};

using ApiRespond = std::function<void(ApiResponse)>;  // once, from any thread

class OperatorApi {
 public:
  // Called on a thread of the server.
  using Handler = std::function<void(ApiRequest, ApiRespond)>;

  // Listens at an ip:port. Throws std::runtime_error.
  OperatorApi(const std::string& address, std::size_t max_body_bytes, Handler handler);
  ~OperatorApi();
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_OPERATOR_API_H_
