// An independent record of what was asked, sent and answered, held against the rules after every event. It
// shares no type and no code with the program: what it believes comes from the calls below alone.
#ifndef BITTERNMUX_TESTS_SUPPORT_RULE_BOOK_H_
#define BITTERNMUX_TESTS_SUPPORT_RULE_BOOK_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rules {

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Answer { kServed, kRefused, kFailed };

struct Figures {
  int most_claims = 4;
  double repeat_window_ms = 300;  // of keyed requests, within the group of the first claim's host
  double answer_slack_ms = 0;     // beyond a request's time
  double cold_from = 0.3, warm_within_ms = 8000;
  double fall_multiple = 3, fall_ms = 2000;
  double claims_per_ms = 0.004;  // that a warm host can bear
};

class Book {
 public:
  explicit Book(const Figures& figures) : figures_(figures) {}

  // What a list has said. `started_ms`: 0 for long ago.
  void Told(const std::string& host, bool in_service, int group, double started_ms) {
    hosts_[host] = {in_service, group, started_ms, {}};
  }
  void Asked(std::uint64_t id, Effect effect, double give_up_ms) {
    requests_[id].effect = effect;
    requests_[id].give_up_ms = give_up_ms;
  }

  void Sent(double now, std::uint64_t id, const std::string& host_name) {
    Request& request = requests_[id];
    Host& host = hosts_[host_name];
    if (request.over || request.give_up_ms <= 0) Breach("claim-after-end", id);
    if (!host.in_service) Breach("drained", id);
    if (static_cast<int>(request.claims.size()) >= figures_.most_claims) Breach("too-many-claims", id);
    for (const Claim& claim : request.claims) {
      if (claim.out) Breach("two-at-once", id);
      if (!claim.may_have_run || request.effect == Effect::kSafe) continue;
      const bool repeats = request.effect == Effect::kKeyed &&
                           now - claim.sent_ms <= figures_.repeat_window_ms && claim.group == host.group;
      if (!repeats) Breach("again-after-run", id);
    }
    request.claims.push_back({host_name, host.group, now});
    Overrun(now, id, host);
  }
  void Ended(std::uint64_t id, int claim, bool never_ran, bool served) {
    Request& request = requests_[id];
    if (claim >= static_cast<int>(request.claims.size())) return Breach("claim-unknown", id);
    request.claims[claim].out = false;
    request.claims[claim].may_have_run = !never_ran;
    request.claims[claim].served = served;
  }
  void GivenUp(std::uint64_t id, int claim) { Ended(id, claim, /*never_ran=*/false, /*served=*/false); }

  void Answered(double now, std::uint64_t id, Answer answer) {
    Request& request = requests_[id];
    if (request.over) Breach("answer-twice", id);
    if (now > request.give_up_ms + figures_.answer_slack_ms) Breach("answer-late", id);
    const auto& claims = request.claims;
    const bool ran = std::any_of(claims.begin(), claims.end(), [](const Claim& c) { return c.may_have_run; });
    const bool made = std::any_of(claims.begin(), claims.end(), [](const Claim& c) { return c.served; });
    if (answer == Answer::kServed && !made) Breach("answer-unmade", id);
    if (answer == Answer::kRefused && ran && request.effect != Effect::kSafe) Breach("refused-after-run", id);
    request.over = true;
  }
  void Left(std::uint64_t id) { requests_[id].over = true; }

  // At any time: is an answer overdue?
  void Review(double now) {
    for (auto& [id, request] : requests_) {
      if (request.over || now <= request.give_up_ms + figures_.answer_slack_ms) continue;
      Breach("answer-lost", id);
      request.over = true;
    }
  }

  bool IsOpen(std::uint64_t id) const {
    const auto found = requests_.find(id);
    return found != requests_.end() && !found->second.over;
  }
  const std::vector<std::string>& breaches() const { return breaches_; }

 private:
  struct Claim {
    std::string host;
    int group = 0;
    double sent_ms = 0;
    bool out = true, may_have_run = true, served = false;
  };
  struct Request {
    Effect effect = Effect::kSafe;
    double give_up_ms = 0;  // 0: nobody asked
    bool over = false;
    std::vector<Claim> claims;
  };
  struct Host {
    bool in_service = false;
    int group = 0;
    double started_ms = 0;
    std::vector<double> sent_ms;
  };

  // What a started host gets within any window, from all together, against what it can bear by now.
  void Overrun(double now, std::uint64_t id, Host& host) {
    host.sent_ms.push_back(now);
    if (host.started_ms <= 0 || now - host.started_ms >= figures_.warm_within_ms) return;
    const double warmth =
        figures_.cold_from + (1 - figures_.cold_from) * (now - host.started_ms) / figures_.warm_within_ms;
    const auto lately = std::count_if(host.sent_ms.begin(), host.sent_ms.end(),
                                      [&](double at) { return at > now - figures_.fall_ms; });
    const double budget = figures_.fall_multiple * warmth * figures_.claims_per_ms * figures_.fall_ms;
    if (static_cast<double>(lately) > budget) Breach("overrun", id);
  }
  void Breach(const std::string& rule, std::uint64_t id) {
    breaches_.push_back(rule + " " + std::to_string(id));
  }

  const Figures figures_;
  std::map<std::string, Host> hosts_;
  std::map<std::uint64_t, Request> requests_;
  std::vector<std::string> breaches_;
};

// Calls for each order in which `depth` of `events` different things can happen, each once at most, that
// begins with `first`; says how many there were.
inline std::uint64_t ForEachOrder(int events, int depth, int first,
                                  const std::function<void(const std::vector<int>&)>& play) {
  std::vector<int> order = {first};
  std::uint64_t seen = 0;
  const std::function<void()> extend = [&] {
    if (static_cast<int>(order.size()) == depth) {
      ++seen;
      return play(order);
    }
    for (int event = 0; event < events; ++event) {
      if (std::find(order.begin(), order.end(), event) != order.end()) continue;
      order.push_back(event);
      extend();
      order.pop_back();
    }
  };
  extend();
  return seen;
}

}  // namespace rules

#endif  // BITTERNMUX_TESTS_SUPPORT_RULE_BOOK_H_
