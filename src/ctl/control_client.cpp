#include "ctl/control_client.h"

#include <curl/curl.h>

#include <gsl/util>
#include <memory>
#include <new>

#include "ctl/tally_calls.h"

namespace bitternmux::ctl {
namespace {

constexpr long kConnectTimeoutMs = 1000;
constexpr long kCallTimeoutMs = 4000;
constexpr long kMostRedirects = 2;
constexpr int kRounds = 3;  // over all machines

std::size_t Append(char* bytes, std::size_t size, std::size_t count, void* out) {
  static_cast<std::string*>(out)->append(bytes, size * count);
  return size * count;
}

std::string EvacuationPath(const std::string& zone) {
  char* const escaped = curl_easy_escape(nullptr, zone.data(), static_cast<int>(zone.size()));
  if (escaped == nullptr) throw std::bad_alloc();
  const auto free_it = gsl::finally([escaped] { curl_free(escaped); });
  return std::string("/evacuations/") + escaped;
}

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

}  // namespace

ControlClient::ControlClient(std::vector<std::string> controls) : controls_(std::move(controls)) {}

ControlClient::~ControlClient() = default;

CallResult ControlClient::Call(const std::string& method, const std::string& url, const std::string& body,
                               const std::vector<std::string>& headers) {
  CallResult result;
  const Handle handle(curl_easy_init(), curl_easy_cleanup);
  if (handle == nullptr) return {0, "libcurl gives no handle"};
  HeaderList list(nullptr, curl_slist_free_all);
  for (const std::string& header : headers) list.reset(curl_slist_append(list.release(), header.c_str()));
  CURL* const curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt(curl, CURLOPT_MAXREDIRS, kMostRedirects);
  curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kCallTimeoutMs);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list.get());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &result.body);
  if (!body.empty()) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  }
  const CURLcode code = curl_easy_perform(curl);
  if (code != CURLE_OK) return {0, curl_easy_strerror(code)};
  long status = 0;
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<int>(status);
  return result;
}

CallResult ControlClient::Anywhere(const std::string& method, const std::string& path,
                                   const std::string& body, const std::vector<std::string>& headers) {
  CallResult result{0, "no control machine is named"};
  for (int round = 0; round < kRounds; ++round) {
    for (const std::string& control : controls_) {
      result = Call(method, "http://" + control + path, body, headers);
      if (result.Clear()) return result;
    }
  }
  return result;
}

CallResult ControlClient::Status(const std::string& control) {
  return Call("GET", "http://" + control + "/status", "", {});
}

CallResult ControlClient::GetConfiguration() { return Anywhere("GET", "/config", "", {}); }

CallResult ControlClient::PutConfiguration(const std::string& text, std::uint64_t builds_on) {
  return Anywhere("PUT", "/config", text,
                  {"If-Match: " + std::to_string(builds_on), "Content-Type: application/json", "Expect:"});
}

CallResult ControlClient::GetTally(const std::string& tally) {
  return Anywhere("GET", TallyPath(tally), "", {});
}

CallResult ControlClient::AddToTally(const std::string& tally, const std::string& id, std::int64_t amount) {
  return Anywhere("POST", TallyPath(tally), TallyAddBody(id, amount), {"Content-Type: application/json"});
}

CallResult ControlClient::GetEvacuations() { return Anywhere("GET", "/evacuations", "", {}); }

CallResult ControlClient::Evacuate(const std::string& zone) {
  return Anywhere("POST", EvacuationPath(zone), "", {});
}

CallResult ControlClient::TakeBack(const std::string& zone) {
  return Anywhere("DELETE", EvacuationPath(zone), "", {});
}

}  // namespace bitternmux::ctl
