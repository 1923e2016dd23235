#include "control/operator_api.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <chrono>
#include <gsl/pointers>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include "fleet/transport/receive_buffer.h"

namespace bitternmux::control {
namespace {

using budget::ClientBudget;
using budget::Standing;

constexpr unsigned kConnectionTimeoutS = 30;
// The budget bounds connections before that.
constexpr unsigned kMaxConnections = 65'536;
constexpr std::size_t kConnectionMemory = 32 * 1024;
constexpr std::size_t kConnectionBytes = kConnectionMemory + 8 * 1024;  // a connection without a body
// For a head to be whole from the connection's start, and a body from its head: what drips does not restart
// them.
constexpr double kHeadTimeoutMs = 15'000;
constexpr double kBodyTimeoutMs = 30'000;
constexpr double kAnswerTimeoutMs = 60'000;  // for the longest configuration to be read
// Reading a text takes memory for its values beside its bytes.
constexpr std::size_t kReadingFactor = 5;
constexpr double kNoRoomRetryS = 0.2;
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

double NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

// One connection, from its acceptance to its end.
struct ClientConnection {
  std::unique_ptr<ClientBudget::Account> account;  // null: there was no place for it
  bool proven = false;                             // a call was answered on it
};

// One request from its first header to its answer. Shared by the server's thread and whoever answers.
struct Call {
  ApiRequest request;
  bool changes = false;            // it is no read
  std::size_t max_body_bytes = 0;  // of a call of that method and path
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

// Keeps the text until the library has sent it.
MHD_Response* ResponseOf(std::shared_ptr<const std::string> text) {
  using Holder = std::shared_ptr<const std::string>;
  auto* const holder = new Holder(std::move(text));
  char* const bytes = const_cast<char*>((*holder)->data());
  const auto release = [](void* held) { delete static_cast<Holder*>(held); };
  MHD_Response* const out =
      MHD_create_response_from_buffer_with_free_callback_cls((*holder)->size(), bytes, release, holder);
  if (out == nullptr) delete holder;
  return out;
}

MHD_Result Queue(MHD_Connection* connection, const ApiResponse& response) {
  MHD_Response* const out = ResponseOf(
      response.shared_body ? response.shared_body : std::make_shared<const std::string>(response.body));
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

ClientConnection* ClientOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* const info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == nullptr ? nullptr : static_cast<ClientConnection*>(info->socket_context);
}

// A socket that listens at that address, with the receive buffer of the connections that come.
int ListeningSocket(const std::string& address, fleet::ReceiveBuffer& receive_buffer,
                    const ClientBudget& budget) {
  const sockaddr_in at = SocketAddress(address);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (descriptor >= 0) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    receive_buffer.Adapt(descriptor, budget);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
        ::listen(descriptor, SOMAXCONN) == 0)
      return descriptor;
    ::close(descriptor);
  }
  throw std::runtime_error("cannot listen at " + address);
}

}  // namespace

class OperatorApi::Server {
 public:
  Server(const std::string& address, MaxBodyBytes max_body_bytes, std::shared_ptr<ClientBudget> budget,
         Handler handler)
      : max_body_bytes_(std::move(max_body_bytes)), budget_(std::move(budget)), handler_(std::move(handler)) {
    listener_ = ListeningSocket(address, receive_buffer_, *budget_);
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
        &Server::Handle, this, MHD_OPTION_LISTEN_SOCKET, listener_, MHD_OPTION_CONNECTION_TIMEOUT,
        kConnectionTimeoutS, MHD_OPTION_CONNECTION_LIMIT, kMaxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        kConnectionMemory, MHD_OPTION_THREAD_STACK_SIZE, kThreadStack, MHD_OPTION_NOTIFY_COMPLETED,
        &Server::Completed, nullptr, MHD_OPTION_NOTIFY_CONNECTION, &Server::ConnectionChanged, this,
        MHD_OPTION_END);
    if (daemon_ != nullptr) return;
    ::close(listener_);
    throw std::runtime_error("cannot serve at " + address);
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

  // A connection is shut down by whoever finds the budget spent. Its descriptor is open until it was closed
  // here, which waits for the budget.
  static void ConnectionChanged(void* self, MHD_Connection* connection, void** client,
                                MHD_ConnectionNotificationCode change) {
    if (change == MHD_CONNECTION_NOTIFY_CLOSED) {
      delete static_cast<ClientConnection*>(*client);
      *client = nullptr;
      return;
    }
    const int descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    const auto shut_down = [descriptor](budget::Shortage) { ::shutdown(descriptor, SHUT_RDWR); };
    auto* const opened = new ClientConnection;
    *client = opened;
    Server& server = *static_cast<Server*>(self);
    server.receive_buffer_.Adapt(server.listener_, *server.budget_);
    opened->account = server.budget_->Open(NowMs(), shut_down);
    if (!opened->account) return void(::shutdown(descriptor, SHUT_RDWR));
    opened->account->EndBy(NowMs() + kHeadTimeoutMs);
    opened->account->Update(NowMs(), Standing::kNew, kConnectionBytes);
  }

  static void Completed(void*, MHD_Connection* connection, void** context, MHD_RequestTerminationCode) {
    delete static_cast<CallPointer*>(*context);
    *context = nullptr;
    ClientConnection* const client = ClientOf(connection);
    if (client == nullptr || !client->account) return;
    client->proven = true;
    client->account->EndBy(NowMs() + kConnectionTimeoutS * 1000 + kHeadTimeoutMs);
    client->account->Update(NowMs(), Standing::kResting, kConnectionBytes);
  }

  static void Charge(MHD_Connection* connection, Standing standing, std::size_t bytes) {
    ClientConnection* const client = ClientOf(connection);
    if (client != nullptr && client->account)
      client->account->Update(NowMs(), standing, kConnectionBytes + bytes);
  }

  static void EndBy(MHD_Connection* connection, double ms) {
    ClientConnection* const client = ClientOf(connection);
    if (client != nullptr && client->account) client->account->EndBy(ms);
  }

  // Whether a call with a body of that many bytes may be worked on.
  bool MayWork(MHD_Connection* connection, std::size_t bytes) {
    if (!budget_->MayWork(kConnectionBytes + bytes)) return false;
    EndBy(connection, ClientBudget::kNever);
    Charge(connection, Standing::kWorking, bytes);
    return true;
  }

  MHD_Result Answer(MHD_Connection* connection, const ApiResponse& response) {
    EndBy(connection, NowMs() + kAnswerTimeoutMs);
    Charge(connection, Standing::kSending, response.body.size());
    return Queue(connection, response);
  }

  static void BeginBody(MHD_Connection* connection) {
    EndBy(connection, NowMs() + kBodyTimeoutMs);
    Charge(connection, Standing::kReceiving, 0);
  }

  // Takes a part of a body, and nothing of one that is too large.
  static void TakeBody(MHD_Connection* connection, Call& call, std::string_view part) {
    std::string& body = call.request.body;
    if (call.too_large) return;
    call.too_large = body.size() + part.size() > call.max_body_bytes;
    if (call.too_large) {
      std::string().swap(body);
    } else {
      body.append(part);
    }
    Charge(connection, Standing::kReceiving, body.capacity());
  }

  MHD_Result Handle(MHD_Connection* connection, const char* url, const char* method, const char* upload,
                    std::size_t& upload_size, void*& context) {
    if (context == nullptr) {
      auto call = std::make_shared<Call>();
      call->request.method = method;
      call->changes = call->request.method != "GET";
      call->request.path = url;
      call->max_body_bytes = max_body_bytes_(method, url);
      ReadIfMatch(connection, call->request);
      BeginBody(connection);
      context = new CallPointer(std::move(call));
      return MHD_YES;
    }
    const CallPointer call = *static_cast<CallPointer*>(context);
    if (upload_size > 0) {
      TakeBody(connection, *call, {upload, upload_size});
      upload_size = 0;
      return MHD_YES;
    }
    if (!call->handed_over) {
      if (call->too_large && call->max_body_bytes > 0)
        return Answer(connection, {413, R"({"error":"the body is too large"})", "", 0});
      if (!MayWork(connection, kReadingFactor * call->request.body.capacity())) {
        return Answer(connection, {503, R"({"error":"no room for the call; nothing was done; go elsewhere"})",
                                   "", kNoRoomRetryS});
      }
      call->handed_over = true;
      handler_(std::move(call->request),
               [call](ApiResponse response) { Respond(call, std::move(response)); });
    }
    const std::lock_guard all(mutex_);
    const std::lock_guard lock(call->mutex);
    if (call->response) return Answer(connection, *call->response);
    if (stopping_) return Answer(connection, Stopping(*call));
    call->suspended = connection;
    MHD_suspend_connection(connection);
    std::erase_if(resting_, [](const std::weak_ptr<Call>& weak) { return weak.expired(); });
    resting_.push_back(call);
    return MHD_YES;
  }

  const MaxBodyBytes max_body_bytes_;
  const std::shared_ptr<ClientBudget> budget_;
  const Handler handler_;
  int listener_ = -1;
  fleet::ReceiveBuffer receive_buffer_;  // on the library's thread once that runs
  MHD_Daemon* daemon_ = nullptr;
  std::mutex mutex_;  // guards what follows; taken before that of a call
  bool stopping_ = false;
  std::vector<std::weak_ptr<Call>> resting_;
};

OperatorApi::OperatorApi(const std::string& address, MaxBodyBytes max_body_bytes,
                         std::shared_ptr<ClientBudget> budget, Handler handler)
    : server_(std::make_unique<Server>(address, std::move(max_body_bytes), std::move(budget),
                                       std::move(handler))) {}

OperatorApi::~OperatorApi() = default;

}  // namespace bitternmux::control
