// What the checker finds.
#ifndef BITTERNMUX_LAB_RULES_BREACH_H_
#define BITTERNMUX_LAB_RULES_BREACH_H_

#include <array>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace bitternmux::lab::rules {

enum class Rule {
  kAnswerLost,       // a try that was taken has no final answer
  kAnswerLate,       // the answer came when the try's time was over
  kAnswerTwice,      // a try was answered again
  kAnswerUnmade,     // what was served is not what an execute node made for this try
  kHeldBack,         // a refusal or failure came late though nothing was out for the try
  kRefusedAfterRun,  // refused as harmless to repeat, though a claim of it may have run
  kAgainAfterRun,    // sent again, though a claim of it may have run
  kEffectTwice,      // a wish that must never run twice took effect twice
  kTwoAtOnce,        // two claims of one try out together
  kTooManyClaims,    // more claims than a try may have
  kClaimAfterEnd,    // a claim for a try that had ended
  kDrained,          // a claim to a machine that was known to drain or to be gone, behind the grace
  kOverdriven,       // a cold machine was sent more than it can take, by sidecars that knew of its start
  kConnections,      // more connections open to a machine than it takes
  kMemory,           // a sidecar over its limit of memory
  kDescriptors,      // a sidecar over its limit of descriptors
  kGrowth,           // a sidecar whose memory keeps growing
  kCrash,            // a sidecar that ended by itself
};
constexpr std::size_t kRules = 18;

// As it stands in lines and JSON: these names do not change.
constexpr std::array<std::string_view, kRules> kRuleNames = {
    "answer-lost",       "answer-late",     "answer-twice", "answer-unmade", "held-back",
    "refused-after-run", "again-after-run", "effect-twice", "two-at-once",   "too-many-claims",
    "claim-after-end",   "drained",         "overdriven",   "connections",   "memory",
    "descriptors",       "growth",          "crash"};
constexpr std::string_view NameOf(Rule rule) { return kRuleNames[static_cast<std::size_t>(rule)]; }

struct Breach {
  Rule rule = Rule::kAnswerLost;
  std::int64_t at_us = 0;
  std::uint64_t job = 0;  // the try's id; 0: it is about none
  std::string server;     // the machine's id; empty: it is about none
  std::string detail;
};
using Report = std::function<void(Breach breach)>;

// The entries contradict each other, or name what they did not introduce: nothing may be concluded from them.
class Untrusted : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Seconds with all their microseconds.
std::string Seconds(std::int64_t us);

// One line without its end: rule, seconds, job, server and detail with tabs between them, and "-" for none.
std::string LineOf(const Breach& breach);

}  // namespace bitternmux::lab::rules

#endif  // BITTERNMUX_LAB_RULES_BREACH_H_
