// The platform's protocol: its names, its forms, and what comes of a claim. No other part knows them.
#ifndef BITTERNMUX_SRC_NET_PROTOCOL_H_
#define BITTERNMUX_SRC_NET_PROTOCOL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "core/job_table.h"
#include "core/machine_list.h"
#include "http/parser.h"
#include "http/writer.h"

namespace bitternmux::net {

// ---- The submitter's side ----

struct Ready {};     // GET /up
struct BadRequest {  // never reaches an execute node, and never 429 or 503: those promise that a retry helps
  int status = 400;
  std::string reason;
  std::string allow;  // 405: the method that would do
};
using Asked = std::variant<Job, Ready, BadRequest>;

Asked ReadRequest(http::Message message, const cartspring::Settings& settings);
// Where no memory is left for the request's body: it went nowhere and may come again, after at most a third
// of its caller's time, for which callers heed such advice.
Answer RefuseBody(const http::Message& request, const cartspring::Settings& settings);
std::string WriteAnswer(const Answer& answer, bool keep_alive);
// Of a served answer whose body comes through its flow.
std::string WriteAnswerHead(const Answer& answer, http::Framing framing, bool keep_alive);
std::string WriteReady(bool keep_alive);
std::string WriteBadRequest(const BadRequest& bad, bool keep_alive);

// ---- The execute node's side ----

// The claim's head: the job's body follows as it is.
std::string WriteClaim(const Job& job, const std::string& host, double wait_ms);
std::string WriteProbe(const std::string& host);

// How far a claim came on its connection.
enum class Stage { kDialing, kWriting, kWaiting };
enum class Break { kDialFailed, kConnection, kOutOfTime, kNoSocket };

// The one place that tells what never ran from what may have run.
cartspring::Outcome ClassifyBreak(Stage stage, Break what);
ClaimEnd ClassifyAnswer(http::Message message);
std::optional<cartspring::LoadReport> ReadLoad(std::string_view text);

// ---- Discovery ----

// Names the faulty key.
class ListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

MachineUpdate ReadMachineUpdate(const nlohmann::json& json);
std::string WriteWholeList(const std::string& host);
std::string WriteWatch(const std::string& host, std::int64_t since);

}  // namespace bitternmux::net

#endif  // BITTERNMUX_SRC_NET_PROTOCOL_H_
