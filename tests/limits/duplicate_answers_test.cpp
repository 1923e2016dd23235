// The decider for answers that come twice, alone: scripted connections, and nodes whose answers are alike or
// not.
#include "limits/duplicate_answers.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace bitternmux::limits {
namespace {

constexpr unsigned kProof = AnswersAlike::kProof;

void See(AnswersAlike& alike, const std::string& node, unsigned unlike) {
  for (unsigned i = 0; i < unlike; ++i) alike.Seen(node, false);
}

// One request and its answer on a connection.
std::optional<bool> Ask(RecentAnswers& recent, double begun_ms, double ended_ms,
                        std::optional<std::uint64_t> digest) {
  recent.Begun(begun_ms);
  return recent.Answered(ended_ms, digest);
}

}  // namespace

TEST_CASE("a digest tells parts from their bytes moved from one to the next") {
  CHECK(Digest().Add("ab").Add("c").value() == Digest().Add("ab").Add("c").value());
  CHECK(Digest().Add("ab").Add("c").value() != Digest().Add("a").Add("bc").value());
  CHECK(Digest().Add("ab").Add("").value() != Digest().Add("").Add("ab").value());
  CHECK(Digest().Add("ab").value() != Digest().Add("aB").value());
  CHECK(Digest().Add(std::string(1, '\0')).value() != Digest().value());
}

TEST_CASE("a node's answers are told apart once it has shown enough that are unlike, and no sooner") {
  AnswersAlike alike;
  CHECK_FALSE(alike.TellsApart("s-1"));
  See(alike, "s-1", kProof - 1);
  CHECK_FALSE(alike.TellsApart("s-1"));
  See(alike, "s-1", 1);
  CHECK(alike.TellsApart("s-1"));
}

TEST_CASE("a node that has shown few goes by the fleet, but one never heard of rests") {
  AnswersAlike alike;
  See(alike, "s-2", AnswersAlike::kOwnProof);
  See(alike, "s-3", AnswersAlike::kOwnProof - 1);
  for (unsigned i = 0; i < kProof - 2 * AnswersAlike::kOwnProof; ++i)
    alike.Seen("t-" + std::to_string(i), false);
  CHECK_FALSE(alike.TellsApart("s-2"));
  alike.Seen("s-4", false);
  CHECK(alike.TellsApart("s-2"));
  CHECK_FALSE(alike.TellsApart("s-3"));
  CHECK_FALSE(alike.TellsApart("s-5"));
}

TEST_CASE(
    "one alike answer makes its node rest, and those that go by the fleet, what showed its own goes on") {
  AnswersAlike alike;
  See(alike, "s-1", kProof);
  See(alike, "s-2", AnswersAlike::kOwnProof);
  See(alike, "s-3", AnswersAlike::kOwnProof);
  REQUIRE(alike.TellsApart("s-2"));
  alike.Seen("s-3", true);
  CHECK(alike.TellsApart("s-1"));
  CHECK_FALSE(alike.TellsApart("s-2"));
  CHECK_FALSE(alike.TellsApart("s-3"));
  See(alike, "s-1", 2 * kProof);
  See(alike, "s-3", AnswersAlike::kOwnProof);  // the fleet is believed again, and s-3 does not go by it
  CHECK(alike.TellsApart("s-2"));
  CHECK_FALSE(alike.TellsApart("s-3"));
}

TEST_CASE("the way back doubles with each alike answer and is bounded") {
  AnswersAlike alike;
  unsigned most = 0;
  for (unsigned round = 1; round <= 12; ++round) {
    alike.Seen("s-1", true);
    unsigned took = 0;
    while (!alike.TellsApart("s-1")) {
      alike.Seen("s-1", false);
      REQUIRE(++took <= AnswersAlike::kMostProof);
    }
    CHECK(took == std::min(kProof << round, AnswersAlike::kMostProof));
    most = std::max(most, took);
  }
  CHECK(most == AnswersAlike::kMostProof);
}

TEST_CASE("a node rests while a request waits on behind a duplicate") {
  AnswersAlike alike;
  See(alike, "s-1", kProof);
  alike.Doubt("s-1");
  alike.Doubt("s-1");
  CHECK_FALSE(alike.TellsApart("s-1"));
  alike.Settle("s-1", /*answered=*/true);
  CHECK_FALSE(alike.TellsApart("s-1"));
  SECTION("its own answer comes") {
    alike.Settle("s-1", /*answered=*/true);
    CHECK(alike.TellsApart("s-1"));
  }
  SECTION("it does not: what was dropped may have been it") {
    alike.Settle("s-1", /*answered=*/false);
    CHECK_FALSE(alike.TellsApart("s-1"));
    See(alike, "s-1", 2 * kProof - 1);
    CHECK_FALSE(alike.TellsApart("s-1"));
    See(alike, "s-1", 1);
    CHECK(alike.TellsApart("s-1"));
  }
  SECTION("the node leaves service meanwhile and comes back") {
    alike.Serving({});
    alike.Settle("s-1", /*answered=*/true);
    See(alike, "s-1", kProof);
    CHECK(alike.TellsApart("s-1"));
  }
}

TEST_CASE("what is known of nodes out of service is dropped, and the fleet's stays") {
  AnswersAlike alike;
  for (unsigned i = 0; i < kProof; ++i) alike.Seen("s-" + std::to_string(i), false);
  CHECK(alike.rows() == kProof);
  alike.Serving({"s-9", "s-1"});
  CHECK(alike.rows() == 2);
  See(alike, "s-1", AnswersAlike::kOwnProof - 1);
  CHECK(alike.TellsApart("s-1"));
  alike.Seen("s-9", true);
  CHECK(alike.Describe() == "answers told apart: fleet in 508\ns-9: answers told apart in 508\n");
}

TEST_CASE("a connection rests after an answer unless the node's answers are told apart") {
  RecentAnswers recent;
  CHECK(recent.RestsUntilMs(false) <= 0);
  Ask(recent, 100, 101, 1);
  CHECK(recent.RestsUntilMs(false) == 101 + kRestMs);
  CHECK(recent.RestsUntilMs(true) <= 0);
  Ask(recent, 103, 104, std::nullopt);  // which nothing tells from others
  CHECK(recent.RestsUntilMs(true) == 104 + kRestMs);
  Ask(recent, 120, 121, 2);
  CHECK(recent.RestsUntilMs(true) == 104 + kRestMs);
}

TEST_CASE(
    "a duplicate is one of an answer of the last milliseconds before the request, whenever it is read") {
  RecentAnswers recent;
  Ask(recent, 90, 93, 1);
  Ask(recent, 94, 96, 2);
  Ask(recent, 97, 98, 3);
  recent.Begun(99.5);
  CHECK_FALSE(recent.IsDuplicate(1));  // too old when the request was begun
  CHECK_FALSE(recent.IsDuplicate(4));
  CHECK_FALSE(recent.dropped());
  CHECK(recent.IsDuplicate(2));
  CHECK(recent.IsDuplicate(3));
  CHECK(recent.IsDuplicate(3));
  CHECK(recent.dropped());
  recent.Answered(5000, 4);
  CHECK_FALSE(recent.dropped());
  recent.Begun(5000 + kRestMs);
  CHECK_FALSE(recent.IsDuplicate(4));
}

TEST_CASE("what is alike counts only where the connection had rested, against the last ones kept") {
  RecentAnswers recent;
  CHECK(Ask(recent, 0, 10, 1) == std::nullopt);  // nothing to compare it with
  CHECK(Ask(recent, 12, 13, 2) == std::nullopt);
  CHECK(Ask(recent, 30, 31, 3) == false);
  CHECK(Ask(recent, 50, 51, 1) == true);
  CHECK(Ask(recent, 70, 71, std::nullopt) == std::nullopt);
  CHECK(Ask(recent, 72, 73, 4) == std::nullopt);
  CHECK(Ask(recent, 90, 91, 3) == true);
  for (std::uint64_t i = 0; i < RecentAnswers::kCompared; ++i) Ask(recent, 100, 100, 100 + i);
  CHECK(Ask(recent, 120, 121, 3) == false);
  CHECK(recent.kept() == RecentAnswers::kCompared + 1);
}

TEST_CASE("where more answers came lately than are kept, the connection rests until the oldest is too old") {
  RecentAnswers recent;
  const double each_ms = kRestMs / 2 / RecentAnswers::kMostKept;
  double now_ms = 100;
  for (std::uint64_t i = 0; i < RecentAnswers::kMostKept; ++i) {
    REQUIRE(recent.RestsUntilMs(true) <= now_ms);
    Ask(recent, now_ms, now_ms, i);
    now_ms += each_ms;
  }
  CHECK(recent.RestsUntilMs(true) == 100 + kRestMs);
  recent.Begun(100 + kRestMs);
  CHECK_FALSE(recent.IsDuplicate(0));
  CHECK(recent.IsDuplicate(1));
  for (std::uint64_t i = 0; i < 1000; ++i) Ask(recent, now_ms, now_ms, i);
  CHECK(recent.kept() <= RecentAnswers::kMostKept);
}

TEST_CASE(
    "whatever happens, an answer is its request's own where duplicates come in time and none are alike") {
  int dropped = 0, passed_unrested = 0;
  for (unsigned seed = 1; seed <= 30; ++seed) {
    std::mt19937_64 random(seed);
    const auto upto = [&](int n) { return std::uniform_int_distribution<>(0, n - 1)(random); };
    const auto some_ms = [&](double most) { return std::uniform_real_distribution<>(0, most)(random); };
    const bool fast = seed % 2 == 0;
    RecentAnswers recent;
    std::deque<std::pair<double, std::uint64_t>> coming;  // by when it comes
    const auto write = [&](double at_ms, std::uint64_t digest) {
      const auto later = [&](const auto& one) { return one.first > at_ms; };
      coming.insert(std::find_if(coming.begin(), coming.end(), later), {at_ms, digest});
    };
    const auto anew = [&] {
      recent = {};
      coming.clear();
    };
    const auto quiet = [&](double now_ms) { return coming.empty() || coming.front().first > now_ms; };
    double now_ms = 0;
    for (std::uint64_t request = 1; request <= 3000; ++request) {
      now_ms += upto(3) == 0 ? some_ms(20) : some_ms(0.2);
      if (!quiet(now_ms)) anew();  // as what comes on an idle connection ends it
      now_ms = std::max(now_ms, recent.RestsUntilMs(/*tells_apart=*/upto(8) != 0));
      if (!quiet(now_ms)) anew();
      recent.Begun(now_ms);
      const double written_ms = now_ms + some_ms(fast ? 0.05 : 4);
      write(written_ms, request);
      if (upto(2) == 0) write(written_ms + some_ms(kRestMs), request);
      while (true) {
        REQUIRE_FALSE(coming.empty());
        const auto [at_ms, digest] = coming.front();
        coming.pop_front();
        now_ms = std::max(now_ms, at_ms) + (upto(50) == 0 ? some_ms(30) : 0);  // it may stand still
        if (recent.IsDuplicate(digest)) {
          ++dropped;
          REQUIRE(digest != request);
          continue;
        }
        REQUIRE(digest == request);
        break;
      }
      passed_unrested +=
          recent.Answered(now_ms, upto(20) == 0 ? std::nullopt : std::optional(request)) ? 0 : 1;
      REQUIRE(recent.kept() <= RecentAnswers::kMostKept);
    }
  }
  CHECK(dropped > 1000);
  CHECK(passed_unrested > 1000);
}

TEST_CASE(
    "few answers are dropped of a node whose own are alike now and then, and none where they always are") {
  for (const double share : {1.0, 0.5, 0.1, 0.02, 0.004, 0.001}) {
    std::mt19937_64 random(7);
    AnswersAlike alike;
    RecentAnswers recent;
    double now_ms = 0;
    std::uint64_t last = 0;
    int lost = 0;
    constexpr int kAnswers = 200'000;
    for (int i = 0; i < kAnswers; ++i) {
      now_ms = std::max(now_ms + 0.05, recent.RestsUntilMs(alike.TellsApart("s-1")));
      recent.Begun(now_ms);
      if (!std::bernoulli_distribution(share)(random)) ++last;
      now_ms += 0.05;
      if (recent.IsDuplicate(last)) {
        ++lost;
        alike.Doubt("s-1");
        alike.Settle("s-1", /*answered=*/false);
        recent = {};  // its connection ends with it
      } else if (const auto seen = recent.Answered(now_ms, last)) {
        alike.Seen("s-1", *seen);
      }
    }
    INFO(share << ": " << lost);
    CHECK(lost <= 5 + kAnswers / static_cast<int>(AnswersAlike::kMostProof));
    if (share >= 0.1) CHECK(lost == 0);
  }
}

}  // namespace bitternmux::limits
