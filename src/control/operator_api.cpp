#include "control/operator_api.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <charconv>
#include <gsl/pointers>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

namespace bitternmux::control {
namespace {

constexpr unsigned kConnectionTimeoutS = 30;
constexpr unsigned kMaxConnections = 400;
constexpr std::size_t kConnectionMemory = 32 * 1024;
constexpr std::size_t kThreadStack = 256 * 1024;

sockaddr_in SocketAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1) {
    throw std::runtime_error("no ip:port: " + address);
  }
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  return out;
}

// One request from its first header to its answer. Shared by the server's thread and whoever answers.
struct Call {
  ApiRequest request;
  bool changes = false;  // it is no read
  bool too_large = false;
  bool handed_over = false;
  std::mutex mutex;  // guards what follows
  std::optional<ApiResponse> response;
  MHD_Connection* suspended = nullptr;  // to be resumed by the answer
};

void ReadIfMatch(MHD_Connection* connection, ApiRequest& request) {
  const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "If-Match");
  if (text == nullptr) return;
  std::string_view digits(text);
  if (digits.size() >= 2 && digits.front() == '"' && digits.back() == '"')
    digits = digits.substr(1, digits.size() - 2);
  std::uint64_t version = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    request.if_match_malformed = true;
  } else {
    request.if_match = version;
  }
}

MHD_Result Queue(MHD_Connection* connection, const ApiResponse& response) {
  MHD_Response* out = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
  if (out == nullptr) return MHD_NO;
  MHD_add_response_header(out, "Content-Type", "application/json");
  if (!response.location.empty()) MHD_add_response_header(out, "Location", response.location.c_str());
  if (response.retry_after_s > 0) {
    MHD_add_response_header(out, "Retry-After", std::to_string(response.retry_after_s).c_str());
  }
  const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
  MHD_destroy_response(out);
  return result;
}

}  // namespace

class OperatorApi::Server {
 public:
  Server(const std::string& address, std::size_t max_body_bytes, Handler handler)
      : max_body_bytes_(max_body_bytes), handler_(std::move(handler)) {
    const sockaddr_in at = SocketAddress(address);
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
        &Server::Handle, this, MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_CONNECTION_TIMEOUT, kConnectionTimeoutS,
        MHD_OPTION_CONNECTION_LIMIT, kMaxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemory,
        MHD_OPTION_THREAD_STACK_SIZE, kThreadStack, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_NOTIFY_COMPLETED, &Server::Completed, nullptr, MHD_OPTION_END);
    if (daemon_ == nullptr) throw std::runtime_error("cannot listen at " + address);
  }
  // The library must not be stopped while connections rest.
  ~Server() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      for (const std::weak_ptr<Call>& weak : resting_) {
        if (const auto call = weak.lock()) Respond(call, Stopping(*call));
      }
    }
    MHD_stop_daemon(daemon_);
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  using CallPointer = std::shared_ptr<Call>;

  // A call that was handed over may be carried out: 503 would promise that it is not.
  static ApiResponse Stopping(const Call& call) {
    if (call.changes && call.handed_over)
      return {504, R"({"error":"this machine stops; it may be done; send the same elsewhere"})", "", 0};
    return {503, R"({"error":"this machine stops; go elsewhere"})", "", 0};
  }

  static void Respond(const CallPointer& call, ApiResponse response) {
    const std::lock_guard lock(call->mutex);
    if (call->response) return;
    call->response = std::move(response);
    if (call->suspended != nullptr) MHD_resume_connection(std::exchange(call->suspended, nullptr));
  }

  static MHD_Result Handle(void* self, MHD_Connection* connection, const char* url, const char* method,
                           const char*, const char* upload, std::size_t* upload_size, void** context) {
    return gsl::not_null(static_cast<Server*>(self))
        ->Handle(connection, url, method, upload, *upload_size, *context);
  }

  static void Completed(void*, MHD_Connection*, void** context, MHD_RequestTerminationCode) {
    delete static_cast<CallPointer*>(*context);
    *context = nullptr;
  }

  MHD_Result Handle(MHD_Connection* connection, const char* url, const char* method, const char* upload,
                    std::size_t& upload_size, void*& context) {
    if (context == nullptr) {
      auto call = std::make_shared<Call>();
      call->request.method = method;
      call->changes = call->request.method != "GET";
      call->request.path = url;
      ReadIfMatch(connection, call->request);
      context = new CallPointer(std::move(call));
      return MHD_YES;
    }
    const CallPointer call = *static_cast<CallPointer*>(context);
    if (upload_size > 0) {
      if (call->request.body.size() + upload_size > max_body_bytes_) {
        call->too_large = true;
      } else {
        call->request.body.append(upload, upload_size);
      }
      upload_size = 0;
      return MHD_YES;
    }
    if (call->too_large) return Queue(connection, {413, R"({"error":"the body is too large"})", "", 0});
    if (!call->handed_over) {
      call->handed_over = true;
      handler_(std::move(call->request),
               [call](ApiResponse response) { Respond(call, std::move(response)); });
    }
    const std::lock_guard all(mutex_);
    const std::lock_guard lock(call->mutex);
    if (call->response) return Queue(connection, *call->response);
    if (stopping_) return Queue(connection, Stopping(*call));
    call->suspended = connection;
    MHD_suspend_connection(connection);
    std::erase_if(resting_, [](const std::weak_ptr<Call>& weak) { return weak.expired(); });
    resting_.push_back(call);
    return MHD_YES;
  }

  const std::size_t max_body_bytes_;
  const Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::mutex mutex_;  // guards what follows; taken before that of a call
  bool stopping_ = false;
  std::vector<std::weak_ptr<Call>> resting_;
};

OperatorApi::OperatorApi(const std::string& address, std::size_t max_body_bytes, Handler handler)
    : server_(std::make_unique<Server>(address, max_body_bytes, std::move(handler))) {}

OperatorApi::~OperatorApi() = default;

}  // namespace bitternmux::control
