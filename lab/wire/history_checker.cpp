#include "lab/wire/history_checker.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>

namespace bitternmux::lab::wire {
namespace {

constexpr std::size_t kShownBytes = 80;  // around a difference
constexpr std::array kPromisesNotRun = {408, 421, 429, 503};

using Runs = std::vector<const Run*>;

bool IsSuccess(int status) { return status / 100 == 2; }

bool PromisesNotRun(int status) {
  return std::ranges::find(kPromisesNotRun, status) != kPromisesNotRun.end();
}

std::string Describe(const Runs& runs) {
  std::string text;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    text += "; run " + std::to_string(i) + " at " + runs[i]->server +
            (runs[i]->executed ? "" : " (not run)") + ": " + std::to_string(runs[i]->events.size()) +
            " events from " + std::to_string(runs[i]->first_event);
  }
  return text;
}

// Judges what one client got.
class AnswerChecker {
 public:
  AnswerChecker(const Received& received, const Runs& runs, std::vector<Finding>& findings)
      : received_(received), runs_(runs), findings_(findings) {}

  void Check() {
    CheckRuns();
    CheckLost();
    if (!received_.surplus.empty())
      Find(Rule::kMixed, "bytes with no request open: " + Shown(received_.surplus));
    if (received_.status == 0) return;
    if (!IsSuccess(received_.status)) return CheckFailure();
    if (RunOf(received_.seal) == nullptr) return Find(Rule::kMixed, "a success without the stamp of a run");
    received_.rules.streaming ? CheckStream() : CheckWhole();
  }

 private:
  static std::string Shown(std::string_view bytes) {
    return "\"" + Escaped(bytes.substr(0, kShownBytes)) + "\"";
  }

  void Find(Rule rule, const std::string& what) {
    findings_.push_back({rule, received_.request_id, what + Describe(runs_)});
  }

  const Run* RunOf(const std::string& seal) const {
    const auto found =
        std::ranges::find_if(runs_, [&](const Run* run) { return !seal.empty() && run->seal == seal; });
    return found == runs_.end() ? nullptr : *found;
  }

  void CheckRuns() {
    const auto executed = std::ranges::count_if(runs_, [](const Run* run) { return run->executed; });
    if (executed > 1 && !received_.rules.repeatable) Find(Rule::kTwice, "it ran more than once");
    if (executed > received_.rules.max_attempts)
      Find(Rule::kBudget, "it ran on more servers than its route allows");
    if (executed > 0 && !received_.rules.repeatable && PromisesNotRun(received_.status))
      Find(Rule::kRefused, "status " + std::to_string(received_.status) + " says that it never ran");
    for (const Run* run : runs_) {
      if (run->path != received_.path || run->body != received_.body)
        Find(Rule::kUnasked, "its path or body was changed on the way to " + run->server);
    }
  }

  // Sound servers ran it, and the router's connection ended without a whole answer.
  void CheckLost() {
    if (received_.complete || received_.left || received_.out_of_time || received_.router_in_trouble) return;
    const auto executed = std::ranges::count_if(runs_, [](const Run* run) { return run->executed; });
    const auto sound =
        std::ranges::count_if(runs_, [](const Run* run) { return run->executed && run->sound; });
    if (executed > 0 && sound == executed)
      Find(Rule::kLost, "its connection ended though its servers answered");
  }

  void CheckFailure() {
    const Run* const run = RunOf(received_.seal);
    if (!received_.seal.empty() && (run == nullptr || run->status != received_.status))
      Find(Rule::kMixed, "a failure with the stamp of an answer that had another status");
  }

  void CheckWhole() {
    const Run& run = *RunOf(received_.seal);
    if (run.status != received_.status)
      return Find(Rule::kMixed, "a success where the server had answered a failure");
    if (received_.complete ? received_.bytes == run.answer : run.answer.starts_with(received_.bytes)) return;
    Find(Rule::kMixed, "not the server's whole body: " + Shown(received_.bytes));
  }

  // The run, not before `from`, whose event of that number stands at the front of the bytes.
  std::optional<std::size_t> FindMaker(std::string_view bytes, std::uint64_t number, std::size_t from) const {
    for (std::size_t i = from; i < runs_.size(); ++i) {
      const Run& run = *runs_[i];
      if (number < run.first_event || number - run.first_event >= run.events.size()) continue;
      if (bytes.starts_with(run.events[number - run.first_event])) return i;
    }
    return std::nullopt;
  }

  bool BeginsAnEvent(std::string_view bytes, std::uint64_t number) const {
    return std::ranges::any_of(runs_, [&](const Run* run) {
      return number >= run->first_event && number - run->first_event < run->events.size() &&
             run->events[number - run->first_event].starts_with(bytes);
    });
  }

  void CheckStream() {
    std::string_view rest = received_.bytes;
    std::uint64_t due = received_.first_event;
    std::size_t run = 0;
    while (!rest.empty()) {
      const auto maker = FindMaker(rest, due, run);
      if (!maker) break;
      if (due == received_.first_event && runs_[*maker]->seal != received_.seal)
        Find(Rule::kMixed, "the head is not of the run that made the first event");
      run = *maker;
      rest.remove_prefix(runs_[run]->events[due - runs_[run]->first_event].size());
      ++due;
    }
    const bool cut_by_client = received_.left && BeginsAnEvent(rest, due);
    if (!rest.empty() && !cut_by_client) {
      return Find(Rule::kOrder, "a piece that no run made whole where event " + std::to_string(due) + " of " +
                                    std::to_string(received_.event_count) + " was due: " + Shown(rest));
    }
    if (received_.complete && due != received_.event_count)
      Find(Rule::kOrder, "it ends as complete where event " + std::to_string(due) + " of " +
                             std::to_string(received_.event_count) + " was due");
  }

  const Received& received_;
  const Runs& runs_;
  std::vector<Finding>& findings_;
};

}  // namespace

std::string_view NameOf(Rule rule) {
  switch (rule) {
    case Rule::kMixed:
      return "MIXED";
    case Rule::kUnasked:
      return "UNASKED";
    case Rule::kTwice:
      return "TWICE";
    case Rule::kRefused:
      return "REFUSED";
    case Rule::kBudget:
      return "BUDGET";
    case Rule::kLost:
      return "LOST";
    case Rule::kOrder:
      break;
  }
  return "ORDER";
}

std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\n') {
      escaped += "\\n";
    } else if (character == '\r') {
      escaped += "\\r";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

std::vector<Finding> Check(const History& history) {
  std::vector<Finding> findings;
  std::map<std::string, Runs> runs;
  for (const Run& run : history.runs) runs[run.request_id].push_back(&run);
  std::map<std::string, int> sent;
  for (const Received& received : history.received) {
    ++sent[received.request_id];
    AnswerChecker(received, runs[received.request_id], findings).Check();
  }
  for (const auto& [id, arrived] : runs) {
    if (!arrived.empty() && !sent.contains(id))
      findings.push_back({Rule::kUnasked, id, "no client sent it" + Describe(arrived)});
  }
  return findings;
}

}  // namespace bitternmux::lab::wire
