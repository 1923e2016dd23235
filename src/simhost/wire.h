// The simulator's wire protocol: parses events and writes actions. Only wire.cpp knows the protocol's names.
#ifndef CARTSPRING_SRC_SIMHOST_WIRE_H_
#define CARTSPRING_SRC_SIMHOST_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cartspring/balancer.h"
#include "cartspring/fields.h"
#include "cartspring/settings.h"

namespace cartspring::wire {

using cartspring::ParseError;  // what is wrong with a line; SimHost::Run adds the line number
using cartspring::ReadSettings;

// The message types of the protocol.
enum class Kind {
  kBatchOpen,
  kBatchClose,
  kStart,
  kStop,
  kList,
  kListRow,
  kHosts,
  kRequest,
  kStreamBegun,
  kOutcome,
  kClientGone,
  kTimer,
  kProbeResult,
  kUnknown,
};

// One line, split into message name and fields; the fields are not converted yet. All views point into the
// text that the constructor gets, which must outlive the object.
class Line : public Fields {
 public:
  explicit Line(std::string_view text);
  Kind kind() const { return kind_; }
  std::string_view name() const { return name_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }

  std::optional<std::string_view> Find(std::string_view field) const override;

 private:
  std::string_view name_;
  Kind kind_ = Kind::kUnknown;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// The start of a batch: its time and the identifier that the reply repeats.
struct BatchOpen {
  double now_ms = 0;
  std::string turn;
};
// A discovery event: which of the lists sent in this batch or before it applies, and what it stands for.
struct Hosts {
  enum class Scope { kChanges, kAll, kRemembered, kRefused };
  Scope scope = Scope::kAll;
  std::uint64_t list = 0;
};
// The outcome of an attempt.
struct AttemptOutcome {
  RequestId id = 0;
  int attempt = 0;
  Outcome outcome = Outcome::kTimeout;
  bool request_over = false;
  double took_ms = 0;
  std::optional<LoadReport> report;
};
// The result of a probe.
struct ProbeResult {
  std::string host;
  bool answered = false;
  double took_ms = 0;
  std::optional<LoadReport> report;
};

// Readers of single messages. Each throws ParseError if a required field is missing or a field is malformed.
std::string_view Instance(const Line& line);
BatchOpen ReadBatchOpen(const Line& line);
std::uint64_t ReadSeed(const Line& line);
std::uint64_t ReadListNumber(const Line& line);
std::uint64_t ReadListRows(const Line& line);
HostEntry ReadHostEntry(const Line& line);
Hosts ReadHosts(const Line& line);
Request ReadRequest(const Line& line);
AttemptOutcome ReadOutcome(const Line& line);
std::pair<RequestId, int> ReadStreamBegun(const Line& line);
RequestId ReadClientGone(const Line& line);
std::uint64_t ReadTimer(const Line& line);
ProbeResult ReadProbeResult(const Line& line);

// Appends the actions of one balancer instance to a reply.
class ReplyWriter : public ActionSink {
 public:
  ReplyWriter(std::string instance, std::string* reply) : instance_(std::move(instance)), reply_(reply) {}
  void Send(RequestId id, const std::string& host, double give_up_ms, double out_by_ms) override;
  void Cancel(RequestId id, int attempt) override;
  void Refuse(RequestId id, double retry_after_ms) override;
  void Fail(RequestId id) override;
  void Probe(const std::string& host) override;
  void Subscribe() override;
  void SetTimer(double at_ms, std::uint64_t token) override;
  void Log(const std::string& line) override;

 private:
  void Begin(std::string_view action);
  std::string instance_;
  std::string* reply_;
};

// Appends the message that an event made an instance throw; `text` is the exception's message.
void WriteBroken(std::string_view instance, std::string_view text, std::string* reply);
// Appends the end of the reply to the batch with that `turn`.
void WriteEnd(std::string_view turn, std::string* reply);

}  // namespace cartspring::wire

#endif  // CARTSPRING_SRC_SIMHOST_WIRE_H_
