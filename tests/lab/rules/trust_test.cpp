// What the checker does not take for a record, and that nothing can be taken out of one unnoticed.
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/lab_story.h"

using namespace bitternmux::lab::story;
using bitternmux::lab::record::Sidecar;

namespace {

// Why the record is not taken, without the place.
std::string Fault(const Story& story) {
  const std::string why = Judge(story.Bytes()).unreadable;
  const auto colon = why.find(": ");
  return colon == why.npos ? why : why.substr(colon + 2);
}

// A run that keeps the rules: wishes with their tries and claims one after the other and beside each other,
// servers that come, drain and go, sidecars that are killed, troubles and samples.
Story GoodRun(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::uint64_t below) { return random() % below; };
  Story story(false);
  story.header.mutable_rules()->set_connections_per_node(100);
  for (std::uint32_t i = 0; i < 2; ++i) {
    story.Process(i, Sidecar::STARTED).Process(i, Sidecar::READY);
    story.Add().mutable_asked()->set_sidecar(i);
  }
  std::uint32_t machines = 0;
  const auto add_machine = [&](bool cold) {
    story.Machine(machines, MachineChanged::UP, cold).Listed(machines, MachineChanged::UP);
    for (std::uint32_t i = 0; i < 2; ++i) story.Told(i, machines, MachineChanged::UP);
    if (cold) {
      auto& warmed = *story.Add().mutable_warmed();
      warmed.set_machine(machines);
      warmed.set_share(0.5);
    }
    story.Connection(machines++, true);
  };
  add_machine(false);
  add_machine(false);
  std::uint64_t ids = 0, claims = 0;
  for (int round = 0; round < 12; ++round) {
    story.Wait(100);
    const std::uint32_t klass = draw(2) == 0 ? kSafe : kNever;
    const std::uint64_t first = ++ids;
    std::uint64_t id = first;
    for (;;) {
      story.Wait(1).Sent(id, klass, first, 1, static_cast<std::uint32_t>(draw(2)));
      const auto machine = static_cast<std::uint32_t>(machines - 1 - draw(2));
      story.Wait(1).Claim(++claims, id, draw(2) == 0 ? ClaimEnded::DECLINED : ClaimEnded::NEVER, machine);
      if (draw(3) == 0) {
        story.Wait(1).Ends(id, TryEnded::REFUSED);
        id = ++ids;
        continue;
      }
      const bool fails = draw(4) == 0;
      ++claims;
      story.Wait(1).Begun(claims, id, machine).Wait(1).Whole(claims);
      if (!fails) story.Effect(claims);
      story.Wait(1).Over(claims, fails ? ClaimEnded::RESET : ClaimEnded::SERVED);
      story.Ends(id, fails ? TryEnded::FAILED : TryEnded::SERVED, fails ? 0 : claims);
      break;
    }
    story.Add().mutable_probed()->set_sidecar(1);
    story.Add().mutable_dial_failed()->set_sidecar(0);
    story.Sample(static_cast<std::uint32_t>(draw(2)), 20);
    if (draw(3) == 0) {
      const std::uint32_t leaves = machines - 2;
      story.Wait(10).Machine(leaves, MachineChanged::DRAINING).Listed(leaves, MachineChanged::DRAINING);
      for (std::uint32_t i = 0; i < 2; ++i) story.Told(i, leaves, MachineChanged::DRAINING);
      story.Connection(leaves, false).Machine(leaves, MachineChanged::GONE);
      add_machine(true);
    }
    if (draw(3) == 0) {
      const auto victim = static_cast<std::uint32_t>(draw(2));
      ++ids;
      story.Wait(10).Sent(ids, klass, ids, 1, victim).Process(victim, Sidecar::KILLED);
      story.Ends(ids, TryEnded::LOST).Wait(5).Process(victim, Sidecar::STARTED);
      story.Add().mutable_late()->set_by_us(3);
    }
    auto& trouble = *story.Add().mutable_trouble();
    trouble.set_name("slow");
    trouble.set_begins(round % 2 == 0);
    trouble.add_machines(machines - 1);
    story.Add().mutable_note()->set_text("round");
  }
  return story;
}

}  // namespace

TEST_CASE("a void record is not judged, and says why") {
  const auto verdict = Judge(Story().At(1).Sent(1).Bytes(-1, "the lab was 80 ms late"));
  CHECK(verdict.ExitCode() == 2);
  CHECK(verdict.unreadable == "the run is void: the lab was 80 ms late");
  CHECK(verdict.breaches.empty());
}

TEST_CASE("entries that contradict each other, or name what is unknown, are not trusted") {
  const auto tried = [] { return Story().At(1).Sent(1); };
  CHECK(Fault(tried().Sent(0)) == "a try without an id");
  CHECK(Fault(tried().Sent(1)) == "try 1 was sent twice");
  CHECK(Fault(tried().Sent(2, kSafe, 3)) == "try 3 is unknown");
  CHECK(Fault(tried().Sent(2, kNever, 1)) == "try 2 is of another class than its first");
  CHECK(Fault(tried().Sent(2, 2)) == "class 2 is unknown");
  CHECK(Fault(tried().Sent(2, kSafe, 0, 1, 2)) == "sidecar 2 is unknown");
  CHECK(Fault(tried().Sent(2, kSafe, 0, 1, 0, 0)) == "try 2 has no time");
  CHECK(Fault(tried().Ends(2, TryEnded::FAILED)) == "try 2 is unknown");
  CHECK(Fault(tried().Begun(1, 2)) == "try 2 is unknown");
  CHECK(Fault(tried().DialLost(2)) == "try 2 is unknown");
  CHECK(Fault(tried().Begun(1, 1, 7)) == "machine 7 is unknown");
  CHECK(Fault(tried().Begun(0, 1)) == "a claim without an id");
  CHECK(Fault(tried().Sent(2, kSafe, 0, 1, 1).Begun(1, 1)) ==
        "claim 1 is of a sidecar that its try was not sent to");
  CHECK(Fault(tried().Begun(1, 1).Over(1, ClaimEnded::NEVER).Over(1, ClaimEnded::NEVER)) ==
        "claim 1 ended twice");
  CHECK(Fault(tried().Begun(1, 1).Over(1, ClaimEnded::NEVER).Whole(1)) == "claim 1 was whole after its end");
  CHECK(Fault(tried().Begun(1, 1).Over(1, static_cast<ClaimEnded::How>(99))) ==
        "a claim's end of an unknown kind");
  CHECK(Fault(tried().Begun(1, 1).Begun(1, 1)) == "claim 1 was begun twice");
  CHECK(Fault(tried().Whole(1)) == "claim 1 is unknown");
  CHECK(Fault(tried().Begun(1, 1).Whole(1).Whole(1)) == "claim 1 was whole twice");
  CHECK(Fault(tried().Begun(1, 1).Effect(1)) == "claim 1 took effect and was not whole");
  CHECK(Fault(tried().Begun(1, 1).Whole(1).Effect(1).Effect(1)) == "claim 1 took effect twice");
  CHECK(Fault(tried().Begun(1, 1).Over(1, ClaimEnded::ERROR)) ==
        "claim 1 ended as ERROR though it was not whole");
  CHECK(Fault(tried().Begun(1, 1).Whole(1).Over(1, ClaimEnded::NEVER)) ==
        "claim 1 ended as NEVER though it was whole");
  CHECK(Fault(tried().Begun(1, 1).Whole(1).Over(1, ClaimEnded::SERVED)) ==
        "claim 1 ended as SERVED without having taken effect");
  CHECK(Fault(tried().Begun(1, 1).Ends(1, TryEnded::FAILED)) == "claim 1 has no end");
  CHECK(Fault(tried().Ends(1, static_cast<TryEnded::How>(99))) == "a try's end of an unknown kind");
  CHECK(Fault(Story().Machine(5, MachineChanged::DRAINING)) == "machine 5 is unknown, and was never up");
  CHECK(Fault(Story().Machine(0, MachineChanged::GONE).Machine(0, MachineChanged::UP)) ==
        "machine 0 changes after its end");
  CHECK(Fault(Story().Machine(0, static_cast<MachineChanged::State>(9))) ==
        "a machine's state of an unknown kind");
  CHECK(Fault(Story().Process(0, static_cast<Sidecar::What>(99))) == "a sidecar's change of an unknown kind");
  CHECK(Fault(Story().Process(0, Sidecar::KILLED).Sample(0, 1)) == "a sample of n0, which does not run");
  CHECK(Fault(Story().Connection(0, false)) == "machine 0: more connections close than opened");
  CHECK(Fault(Story().Process(0, Sidecar::STARTED)) == "n0 started while it runs");
  CHECK(Fault(Story().Process(0, Sidecar::KILLED).Process(0, Sidecar::HUP)) ==
        "n0: HUP while it does not run");
  // Guards the arithmetic against figures that cannot be.
  CHECK(Fault(tried().Sent(2, kSafe, 0, 1, 0, 1e12)) == "try 2 waits for ever");
  CHECK(Fault(tried().Sent(2, kSafe, 0, 1e12)) == "try 2 asks for work that cannot be");
  CHECK(Fault(Story().At(1e15).Process(0, Sidecar::HUP)) == "a time that cannot be");
  Story early;
  early.Machine(2, MachineChanged::UP, true).entries.back().mutable_machine_changed()->set_started_us(1);
  CHECK(Fault(early) == "machine 2 is up before it started");
  Story big;
  big.Machine(2, MachineChanged::UP).entries.back().mutable_machine_changed()->set_capacity(1e300);
  CHECK(Fault(big) == "machine 2 has a capacity that cannot be");
  Story warm;
  warm.Add().mutable_warmed()->set_share(1.5);
  CHECK(Fault(warm) == "a share of warmth that is none");
  Story header;
  header.header.mutable_rules()->set_fall_us(-1);
  CHECK(Fault(header) == "the header's fall_us is out of range");
  header.header.mutable_rules()->set_cold_from(2);
  header.header.mutable_rules()->set_fall_us(1);
  CHECK(Fault(header) == "the header's cold_from is out of range");
  header.header.mutable_rules()->set_fall_multiple(-1);
  CHECK(Fault(header) == "the header's fall_multiple is out of range");
  header.header.mutable_classes(0)->set_repeat(static_cast<bitternmux::lab::record::Class::Repeat>(9));
  CHECK(Fault(header) == "a class of an unknown kind");
  Story trouble;
  trouble.Add().mutable_trouble()->set_name("slow");
  CHECK(Fault(trouble) == "trouble 'slow' ends and never began");
  // What is forgotten passes for nothing.
  CHECK(Fault(tried().Ends(1, TryEnded::REFUSED).At(20'000).Sent(2, kSafe, 1)) == "try 1 is unknown");
}

TEST_CASE("what is settled is forgotten, so that memory does not grow with the record") {
  Story story;
  for (std::uint64_t id = 1; id <= 3000; ++id) {
    story.Wait(100).Sent(id, kNever).Claim(id, id, id % 2 == 0 ? ClaimEnded::SERVED : ClaimEnded::CANCELLED);
    story.Ends(id, TryEnded::FAILED);
  }
  bitternmux::lab::rules::Checker checker(story.header);
  std::size_t most = 0;
  for (const Entry& entry : story.entries) {
    checker.Take(entry);
    most = std::max(most, checker.held());
  }
  // 5 a second for 10 s, and 5 a second that may yet run for a minute more.
  CHECK(most > 400);
  CHECK(most <= 402);
  Entry empty = story.entries.back();
  empty.clear_what();
  CHECK_THROWS_WITH(checker.Take(empty), "an entry that has no place here");
}

TEST_CASE("any entry that is taken out of a good record is missed") {
  std::set<int> kinds;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const Story story = GoodRun(seed);
    const std::string good = story.Bytes();
    REQUIRE(Broken(good).empty());
    const auto entries = Split(good);
    REQUIRE(entries.size() == story.entries.size() + 2);
    for (const Entry& entry : story.entries) kinds.insert(entry.what_case());
    for (std::size_t left_out = 0; left_out < entries.size(); ++left_out) {
      std::string bytes;
      for (std::size_t i = 0; i < entries.size(); ++i) bytes += i == left_out ? "" : entries[i];
      INFO("seed " << seed << ", entry " << left_out);
      REQUIRE(Judge(bytes).ExitCode() == 2);
    }
  }
  // All kinds but the header and the trailer, which are among the entries left out.
  CHECK(kinds.size() == static_cast<std::size_t>(Entry::descriptor()->oneof_decl(0)->field_count()) - 2);
}

// Numbers and digest are only a seal. The story that is told must miss the entry too, where others build on
// it.
TEST_CASE("what others build on is missed even where the rest was sealed anew") {
  const std::set<int> built_on = {Entry::kTrySent, Entry::kTryEnded, Entry::kClaimBegun, Entry::kClaimEnded,
                                  Entry::kEffect};
  std::size_t whole = 0, whole_missed = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const Story story = GoodRun(seed);
    for (std::size_t i = 0; i < story.entries.size(); ++i) {
      INFO("seed " << seed << ", entry " << story.entries[i].ShortDebugString());
      const int kind = story.entries[i].what_case();
      const bool first_of_machine =
          kind == Entry::kMachineChanged && story.entries[i].machine_changed().state() == MachineChanged::UP;
      const bool missed = Judge(story.Bytes(i)).ExitCode() != 0;
      if (built_on.count(kind) > 0 || first_of_machine) REQUIRE(missed);
      if (kind == Entry::kClaimWhole) ++whole, whole_missed += missed;
    }
  }
  CHECK(whole_missed > whole / 2);  // not where the claim was declined, which needs no last byte
}
