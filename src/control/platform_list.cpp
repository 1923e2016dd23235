#include "control/platform_list.h"

#include <curl/curl.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fleet/transport/link.h"

namespace bitternmux::control {
namespace {

constexpr long kConnectTimeoutMs = 400;
constexpr long kPageTimeoutMs = 600;
constexpr std::size_t kMaxPages = 200;
constexpr std::size_t kMaxPageBytes = 8 * 1024 * 1024;
constexpr long kOk = 200;

std::size_t Append(char* bytes, std::size_t size, std::size_t count, void* out) {
  auto& text = *static_cast<std::string*>(out);
  if (text.size() + size * count > kMaxPageBytes) return 0;
  text.append(bytes, size * count);
  return size * count;
}

// A handle that keeps its connection from one call to the next.
class Client {
 public:
  explicit Client(std::string address)
      : address_(std::move(address)), handle_(curl_easy_init(), curl_easy_cleanup) {
    if (handle_ == nullptr) throw std::runtime_error("libcurl gives no handle");
  }

  std::string Get(const std::string& target) {
    std::string body;
    CURL* const handle = handle_.get();
    curl_easy_setopt(handle, CURLOPT_URL, ("http://" + address_ + target).c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kPageTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Append);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
    const CURLcode code = curl_easy_perform(handle);
    if (code != CURLE_OK) throw std::runtime_error(curl_easy_strerror(code));
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (status != kOk) throw std::runtime_error("status " + std::to_string(status));
    return body;
  }

  std::string Escape(const std::string& text) {
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(handle_.get(), text.c_str(), static_cast<int>(text.size())), curl_free);
    return escaped == nullptr ? "" : escaped.get();
  }

 private:
  const std::string address_;
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle_;
};

struct Reading {
  fleet::ServerMap servers;
  std::size_t unreachable = 0;  // entries that were left out
  std::string example;          // one of them
};

Reading ReadAll(Client& client) {
  Reading reading;
  std::string target = "/instances";
  for (std::size_t page_number = 0; page_number < kMaxPages; ++page_number) {
    ListPage page = ParseListPage(client.Get(target));
    for (fleet::ServerEntry& entry : page.servers) reading.servers[entry.id] = std::move(entry);
    reading.unreachable += page.unreachable.size();
    for (const fleet::ServerEntry& entry : page.unreachable)
      reading.example = entry.id + " at '" + entry.address + "'";
    if (page.next_token.empty()) return reading;
    target = "/instances?page_token=" + client.Escape(page.next_token);
  }
  throw std::runtime_error("the list has no end");
}

std::string FaultOf(const Reading& reading) {
  if (reading.unreachable == 0) return "";
  return std::to_string(reading.unreachable) + " without an ip:port, among them " + reading.example;
}

bool IsReachable(const fleet::ServerEntry& entry) {
  const auto endpoint = fleet::ParseEndpoint(entry.address);
  return endpoint && endpoint->port() != 0;
}

// A server of which no time is told is not cold.
bool IsCold(const nlohmann::json& item) {
  const auto remaining_ms = item.find("cold_remaining_ms");
  return remaining_ms != item.end() && remaining_ms->is_number() && remaining_ms->get<double>() > 0;
}

}  // namespace

ListPage ParseListPage(std::string_view text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    ListPage page;
    for (const nlohmann::json& item : json.at("instances")) {
      fleet::ServerEntry entry;
      entry.id = item.at("id").get<std::string>();
      entry.service = item.at("service").get<std::string>();
      entry.address = item.at("address").get<std::string>();
      entry.zone = item.value("zone", "");
      entry.slots = item.value("slots", 0);
      entry.draining = item.value("state", "ready") != "ready";
      entry.cold = IsCold(item);
      (IsReachable(entry) ? page.servers : page.unreachable).push_back(std::move(entry));
    }
    const auto token = json.find("next_token");
    if (token != json.end() && token->is_string()) page.next_token = token->get<std::string>();
    return page;
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("no page of the list: ") + error.what());
  }
}

PlatformList::PlatformList(std::string address, Done done)
    : address_(std::move(address)), done_(std::move(done)), thread_([this] { Run(); }) {}

PlatformList::~PlatformList() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void PlatformList::Read() {
  {
    const std::lock_guard lock(mutex_);
    wanted_ = true;
  }
  wake_.notify_one();
}

void PlatformList::Run() {
  Client client(address_);
  while (true) {
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return wanted_ || stopping_; });
      if (stopping_) return;
      wanted_ = false;
    }
    try {
      Reading reading = ReadAll(client);
      std::string fault = FaultOf(reading);
      done_(std::move(reading.servers), std::move(fault));
    } catch (const std::exception& error) {
      done_(std::nullopt, error.what());
    }
  }
}

}  // namespace bitternmux::control
