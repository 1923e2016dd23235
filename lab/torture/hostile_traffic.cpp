#include "lab/torture/hostile_traffic.h"

#include <functional>
#include <utility>

namespace bitternmux::lab::wire {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kMostEvents = 12;
constexpr std::size_t kWireBytes = 700;  // more than an answer takes, so that some cuts lie behind its end
constexpr std::size_t kMostBody = 9000;
constexpr int kMostResumptions = 3;
constexpr int kDeadlineMs = 1500;
constexpr auto kOutOfTime = std::chrono::milliseconds(kDeadlineMs * 9 / 10);

std::size_t Draw(std::mt19937_64& random, std::size_t most) {
  return std::uniform_int_distribution<std::size_t>(0, most)(random);
}

bool OneIn(std::mt19937_64& random, std::size_t count) { return Draw(random, count - 1) == 0; }

tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

ClientHabits DrawHabits(std::mt19937_64& random) {
  constexpr std::size_t kSmallRead = 200, kSmallWrite = 3000, kSomeBytes = 400;
  ClientHabits habits;
  if (OneIn(random, 2)) habits.write_bytes = 1 + Draw(random, kSmallWrite);
  if (OneIn(random, 2)) habits.read_bytes = 1 + Draw(random, kSmallRead);
  habits.leaves_by_reset = OneIn(random, 2);
  if (OneIn(random, 10)) habits.leaves_at = 1 + Draw(random, kSomeBytes);
  if (OneIn(random, 20)) habits.sends_only = Draw(random, kSomeBytes);
  return habits;
}

}  // namespace

// One client, which keeps its connection for as long as it may.
struct HostileTraffic::Client {
  std::shared_ptr<ClientConnection> connection;
  std::size_t router = 0;
  int resumptions = 0;  // of the request under way
};

HostileTraffic::HostileTraffic(Options options) : options_(std::move(options)), work_(io_.get_executor()) {
  for (std::size_t i = 0; i < options_.servers; ++i) {
    servers_.push_back(std::make_unique<HostileServer>(
        io_, "hostile-" + std::to_string(i), options_.server_ip, recorder_,
        [this](const http::Message& request, int arrival) { return Plan(request, arrival); }));
  }
  thread_ = std::thread([this] { io_.run(); });
}

HostileTraffic::~HostileTraffic() {
  io_.stop();
  thread_.join();
}

// By what is drawn for, and not by when.
std::mt19937_64 HostileTraffic::RandomFor(const std::string& what) const {
  constexpr std::uint64_t kSpread = 0x9E3779B97F4A7C15U;
  return std::mt19937_64(options_.seed * kSpread ^ std::hash<std::string>()(what));
}

std::uint64_t HostileTraffic::EventsOf(const std::string& request_id) const {
  // A stream's name is its first request's: what resumes it has a number behind it.
  const std::string stream = request_id.substr(0, request_id.find('+'));
  std::mt19937_64 random = RandomFor("events of " + stream);
  return 1 + Draw(random, kMostEvents - 1);
}

HostileServer::Order HostileTraffic::Plan(const http::Message& request, int arrival) const {
  const std::string id(request.Find("x-request-id").value_or(""));
  HostileServer::Order order;
  order.event_count = EventsOf(id);
  for (const TrafficRoute& route : options_.routes) {
    if (request.target.starts_with(route.prefix)) order.streaming = route.rules.streaming;
  }
  if (!hostile_) return order;
  std::mt19937_64 random = RandomFor(id + "/" + std::to_string(arrival));
  order.plan = DrawPlan(random, kWireBytes);
  if (order.plan.cut_at && OneIn(random, 40)) order.plan.ending = Ending::kSilence;
  return order;
}

bool HostileTraffic::Send(const std::vector<std::string>& routers, RouterTroubles& troubles,
                          std::size_t requests, bool hostile, std::chrono::seconds patience) {
  std::unique_lock lock(mutex_);
  hostile_ = hostile;
  clients_at_work_ = options_.clients;
  asio::post(io_, [this, routers, &troubles, requests] {
    routers_.clear();
    for (const std::string& router : routers) routers_.push_back(EndpointOf(router));
    troubles_ = &troubles;
    to_begin_ = requests;
    for (std::size_t i = 0; i < options_.clients; ++i) Next(std::make_shared<Client>());
  });
  return over_.wait_for(lock, patience, [this] { return clients_at_work_ == 0; });
}

HostileTraffic::Figures HostileTraffic::TakeFigures() {
  const std::lock_guard lock(mutex_);
  return std::exchange(figures_, {});
}

void HostileTraffic::Next(const std::shared_ptr<Client>& client) {
  if (to_begin_ == 0) {
    if (client->connection) client->connection->Close();
    const std::lock_guard lock(mutex_);
    --clients_at_work_;
    over_.notify_all();
    return;
  }
  --to_begin_;
  ClientAsk ask;
  ask.request_id = "q" + std::to_string(options_.seed) + "-" + std::to_string(++number_);
  std::mt19937_64 random = RandomFor(ask.request_id);
  const TrafficRoute& route = options_.routes[Draw(random, options_.routes.size() - 1)];
  ask.path = route.prefix + ask.request_id;
  ask.host = options_.host;
  ask.body = std::string(Draw(random, kMostBody), 'b');
  ask.rules = route.rules;
  ask.event_count = EventsOf(ask.request_id);
  ask.headers = options_.headers;
  ask.headers.emplace_back("X-Deadline-Ms", std::to_string(kDeadlineMs));
  client->resumptions = 0;
  Ask(client, ask);
}

// On the connection that it has, as long as that is open; now and then on another one.
void HostileTraffic::Ask(const std::shared_ptr<Client>& client, const ClientAsk& ask) {
  std::mt19937_64 random = RandomFor(ask.request_id + " habits");
  const bool keeps = client->connection && client->connection->open() && !OneIn(random, 8);
  if (!keeps) {
    if (client->connection) client->connection->Close();
    client->router = Draw(random, routers_.size() - 1);
    client->connection = std::make_shared<ClientConnection>(io_, routers_[client->router]);
  }
  const ClientHabits habits = hostile_ ? DrawHabits(random) : ClientHabits();
  const std::uint64_t begun = troubles_->open(client->router) ? 0 : 1 + troubles_->begun(client->router);
  const auto sent = std::chrono::steady_clock::now();
  client->connection->Ask(ask, habits, [this, client, ask, begun, sent](Received received) {
    received.out_of_time = std::chrono::steady_clock::now() - sent >= kOutOfTime;
    Answered(client, ask, begun, std::move(received));
  });
}

// `troubles_begun`: of its router before it was sent, and one more; 0: it was in trouble then.
void HostileTraffic::Answered(const std::shared_ptr<Client>& client, const ClientAsk& ask,
                              std::uint64_t troubles_begun, Received received) {
  received.router_in_trouble = troubles_begun != 1 + troubles_->begun(client->router);
  const bool served = received.complete && received.status == 200;
  const bool resumes = !served && !received.left && ask.rules.streaming && ask.rules.repeatable &&
                       received.status == 200 && client->resumptions < kMostResumptions;
  const std::uint64_t got = CountEvents(received.bytes);
  recorder_.Add(std::move(received));
  {
    const std::lock_guard lock(mutex_);
    figures_.served += served ? 1 : 0;
    figures_.resumed += resumes ? 1 : 0;
  }
  // Not from within the connection's own handler.
  asio::post(io_, [this, client, ask, resumes, got] {
    if (!resumes) return Next(client);
    ClientAsk next = ask;
    next.first_event += got;
    next.request_id =
        ask.request_id.substr(0, ask.request_id.find('+')) + "+" + std::to_string(++client->resumptions);
    Ask(client, next);
  });
}

}  // namespace bitternmux::lab::wire
