// Each rule has a record that breaks it, and the checker finds exactly that; and beside it what the rule
// allows.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/lab_story.h"

using namespace bitternmux::lab::story;
using bitternmux::lab::record::Sidecar;
namespace rules = bitternmux::lab::rules;

using Rules = std::vector<std::string>;
const Rules kNone;

TEST_CASE("a good record breaks no rule") {
  Story story;
  story.At(10).Sent(1, kNever).At(11).Claim(1, 1, ClaimEnded::DECLINED);
  story.At(12).Claim(2, 1, ClaimEnded::SERVED, 1).Ends(1, TryEnded::SERVED, 2);
  const rules::Verdict verdict = Judge(story.Bytes());
  CHECK(verdict.ExitCode() == 0);
  CHECK(verdict.unreadable.empty());
  CHECK(verdict.entries == story.entries.size() + 2);
}

TEST_CASE("answer-lost") {
  CHECK(Broken(Story().At(10).Sent(1).At(500).Ends(1, TryEnded::LOST)) == Rules{"answer-lost"});
  CHECK(Broken(Story().At(10).Sent(1)) == Rules{"answer-lost"});  // no end in the record
  CHECK(Broken(Story().At(10).Sent(1).At(1010).Ends(1, TryEnded::LEFT)) == Rules{"answer-lost"});
  CHECK(Broken(Story().At(10).Sent(1).At(1009).Ends(1, TryEnded::LEFT)) == kNone);
  // A connection may be closed between requests, but not after the request was sent on.
  CHECK(Broken(Story().At(10).Sent(1).Ends(1, TryEnded::NOT_TAKEN)) == kNone);
  Story sent_on;
  sent_on.At(10).Sent(1).Claim(1, 1, ClaimEnded::ERROR).Ends(1, TryEnded::NOT_TAKEN);
  CHECK(Broken(sent_on) == Rules{"answer-lost"});
}

TEST_CASE("answer-lost: an outright kill excuses what it cuts off, the end of a planned restart does not") {
  const auto killed = [](double term_ms, double kill_ms) {
    Story story;
    if (term_ms > 0) story.At(term_ms).Process(0, Sidecar::TERM);
    story.At(kill_ms - 10).Sent(1).At(kill_ms).Process(0, Sidecar::KILLED).Ends(1, TryEnded::LOST);
    return story;
  };
  CHECK(Broken(killed(0, 5000)) == kNone);
  CHECK(Broken(killed(1000, 5000)) == kNone);  // sooner than the longest deadline and 0.7 s
  CHECK(Broken(killed(1000, 5700)) == Rules{"answer-lost"});
  // Told only when the next life has begun, and of a try whose time was over before the kill.
  Story late;
  late.At(10).Sent(1).At(900).Process(0, Sidecar::KILLED).Process(0, Sidecar::STARTED);
  CHECK(Broken(late.At(1000).Ends(1, TryEnded::LOST)) == kNone);
  Story over;
  over.At(10).Sent(1).At(1061).Process(0, Sidecar::KILLED).Ends(1, TryEnded::LOST);
  CHECK(Broken(over) == Rules{"answer-lost"});
  // Sent to the next life.
  Story again = killed(0, 5000);
  again.Process(0, Sidecar::STARTED).At(5001).Sent(2).Ends(2, TryEnded::LOST);
  CHECK(Broken(again) == Rules{"answer-lost"});
}

TEST_CASE("answer-lost: a killed process owes nothing until its exit is told, and its next life owes all") {
  constexpr std::uint32_t kOther = 1;
  const auto sent_after_kill = [](double exit_ms, double sent_ms) {
    Story story;
    story.At(5000).Process(0, Sidecar::KILLED);
    if (exit_ms < sent_ms) story.At(exit_ms).Process(0, Sidecar::EXITED);
    story.At(sent_ms).Sent(1);
    if (exit_ms >= sent_ms) story.At(exit_ms).Process(0, Sidecar::EXITED);
    return story.Wait(1);
  };
  // Its sockets still take requests while the kernel ends it.
  CHECK(Broken(sent_after_kill(5003, 5001).Ends(1, TryEnded::LOST)) == kNone);
  CHECK(Broken(sent_after_kill(5003, 5001).Process(0, Sidecar::STARTED).Ends(1, TryEnded::LOST)) == kNone);
  Story untold;
  untold.At(5000).Process(0, Sidecar::KILLED).At(5001).Sent(1).Wait(1.6).Ends(1, TryEnded::LOST);
  CHECK(Broken(untold.Process(0, Sidecar::EXITED)) == kNone);
  // A process that is gone takes nothing.
  CHECK(Broken(sent_after_kill(5003, 5004).Ends(1, TryEnded::LOST)) == Rules{"answer-lost"});
  // What the next life was sent is not excused by the kill of the one before.
  Story next = sent_after_kill(5003, 5001);
  next.Ends(1, TryEnded::LOST).Process(0, Sidecar::STARTED).Wait(1).Sent(2);
  CHECK(Broken(next.Wait(1).Ends(2, TryEnded::LOST)) == Rules{"answer-lost"});
  // Nor what another sidecar was sent meanwhile, nor what follows a planned restart's kill.
  Story other;
  other.At(5000).Process(0, Sidecar::KILLED).At(5001).Sent(1, kSafe, 0, 10, kOther);
  CHECK(Broken(other.Wait(1).Ends(1, TryEnded::LOST)) == Rules{"answer-lost"});
  Story planned;
  planned.At(1000).Process(0, Sidecar::TERM).At(5700).Process(0, Sidecar::KILLED).At(5701).Sent(1);
  CHECK(Broken(planned.Wait(1).Ends(1, TryEnded::LOST)) == Rules{"answer-lost"});
}

TEST_CASE("answer-late") {
  const auto failed = [](double ms) {
    return Story().At(0).Sent(1).At(500).Claim(1, 1, ClaimEnded::OVERDUE).At(ms).Ends(1, TryEnded::FAILED);
  };
  CHECK(Broken(failed(1051)) == Rules{"answer-late"});
  CHECK(Broken(failed(1050)) == kNone);
  // Late is said once, and not as held back too.
  CHECK(Broken(Story().At(0).Sent(1).At(1051).Ends(1, TryEnded::REFUSED)) == Rules{"answer-late"});
}

TEST_CASE("answer-twice") {
  Story story;
  story.At(10).Sent(1).Claim(1, 1, ClaimEnded::SERVED).Ends(1, TryEnded::REFUSED);
  CHECK(Broken(story) == kNone);
  CHECK(Broken(story.At(20).Ends(1, TryEnded::SERVED, 1)) == Rules{"answer-twice"});
}

TEST_CASE("answer-unmade") {
  const auto served = [](std::uint64_t claim) {
    Story story;
    story.At(10).Sent(1).Claim(1, 1, ClaimEnded::SERVED).Ends(1, TryEnded::SERVED, 1);
    story.Sent(2).Claim(2, 2, ClaimEnded::ERROR).Begun(3, 2).Whole(3);
    return story.Ends(2, TryEnded::SERVED, claim).Effect(3).Over(3, ClaimEnded::SERVED);
  };
  CHECK(Broken(served(0)) == Rules{"answer-unmade"});
  CHECK(Broken(served(1)) == Rules{"answer-unmade"});  // of another try
  CHECK(Broken(served(2)) == Rules{"answer-unmade"});  // failed
  CHECK(Broken(served(3)) == Rules{"answer-unmade"});  // has given no answer yet
  CHECK(Broken(Story().At(10).Sent(1).Ends(1, TryEnded::WRONG)) == Rules{"answer-unmade"});
}

TEST_CASE("held-back") {
  CHECK(Broken(Story().At(0).Sent(1).At(501).Ends(1, TryEnded::REFUSED)) == Rules{"held-back"});
  CHECK(Broken(Story().At(0).Sent(1).At(500).Ends(1, TryEnded::REFUSED)) == kNone);
  const auto failed = [](double claim_ms, ClaimEnded::How how) {
    Story story;
    story.At(0).Sent(1, kNever).At(claim_ms).Claim(1, 1, how);
    return story.At(900).Ends(1, TryEnded::FAILED);
  };
  CHECK(Broken(failed(700, ClaimEnded::ERROR)) == Rules{"held-back"});
  CHECK(Broken(failed(800, ClaimEnded::ERROR)) == kNone);    // the answer to that end
  CHECK(Broken(failed(300, ClaimEnded::OVERDUE)) == kNone);  // its sidecar was told nothing
  Story out;
  out.At(0).Sent(1).At(300).Begun(1, 1).Whole(1).At(900).Ends(1, TryEnded::FAILED);
  CHECK(Broken(out.Over(1, ClaimEnded::CANCELLED)) == kNone);
  const auto dialed = [](double ms) {
    return Story().At(0).Sent(1).At(ms).DialLost(1).At(510).Ends(1, TryEnded::REFUSED);
  };
  CHECK(Broken(dialed(510)) == kNone);  // the answer to a dial that came to nothing
  CHECK(Broken(dialed(409)) == Rules{"held-back"});
}

TEST_CASE("a process that was stopped is judged by the time in which it ran") {
  const auto lost = [](double let_go_ms) {
    Story story;
    story.At(10).Sent(1).At(900).Process(0, Sidecar::FROZEN);
    story.At(let_go_ms).Process(0, Sidecar::LET_GO).At(1060).Ends(1, TryEnded::LOST);
    return Broken(story);
  };
  CHECK(lost(1050) == kNone);
  CHECK(lost(1030) == Rules{"answer-lost"});  // it had half of the slack
  const auto refused = [](double ms) {
    Story story;
    story.At(0).Sent(1).At(100).Process(0, Sidecar::FROZEN).At(300).Process(0, Sidecar::LET_GO);
    return Broken(story.At(ms).Ends(1, TryEnded::REFUSED));
  };
  CHECK(refused(700) == kNone);
  CHECK(refused(710) == Rules{"held-back"});
  // Its client went meanwhile: soon after it was let go it must know.
  const auto begun = [](double ms) {
    Story story;
    story.At(0).Sent(1).At(100).Process(0, Sidecar::FROZEN).At(200).Ends(1, TryEnded::LEFT);
    return Broken(story.At(500).Process(0, Sidecar::LET_GO).At(ms).Claim(1, 1, ClaimEnded::CANCELLED));
  };
  CHECK(begun(540) == kNone);
  CHECK(begun(560) == Rules{"claim-after-end"});
}

TEST_CASE("refused-after-run") {
  const auto refused = [](ClaimEnded::How how, std::uint32_t klass = kNever) {
    return Story().At(10).Sent(1, klass).Claim(1, 1, how).Ends(1, TryEnded::REFUSED);
  };
  for (const auto how : {ClaimEnded::ERROR, ClaimEnded::RESET, ClaimEnded::CANCELLED, ClaimEnded::OVERDUE,
                         ClaimEnded::SILENT}) {
    CHECK(Broken(refused(how)) == Rules{"refused-after-run"});
    CHECK(Broken(refused(how, kSafe)) == kNone);
  }
  CHECK(Broken(refused(ClaimEnded::DECLINED)) == kNone);
  CHECK(Broken(refused(ClaimEnded::NEVER)) == kNone);
  Story out;
  out.At(10).Sent(1, kNever).Begun(1, 1).Whole(1).Ends(1, TryEnded::REFUSED);
  CHECK(Broken(out.Over(1, ClaimEnded::DECLINED)) == Rules{"refused-after-run"});
  Story finished_later;
  finished_later.At(10).Sent(1, kNever).Begun(1, 1).Ends(1, TryEnded::REFUSED).Whole(1);
  CHECK(Broken(finished_later.Over(1, ClaimEnded::CANCELLED)) == Rules{"refused-after-run"});
}

TEST_CASE("again-after-run") {
  const auto again = [](ClaimEnded::How how, std::uint32_t klass = kNever) {
    return Story()
        .At(10)
        .Sent(1, klass)
        .Claim(1, 1, how)
        .Claim(2, 1, ClaimEnded::SERVED, 1)
        .Ends(1, TryEnded::SERVED, 2);
  };
  for (const auto how : {ClaimEnded::ERROR, ClaimEnded::RESET, ClaimEnded::CANCELLED, ClaimEnded::OVERDUE}) {
    CHECK(Broken(again(how)) == Rules{"again-after-run"});
    CHECK(Broken(again(how, kSafe)) == kNone);
  }
  CHECK(Broken(again(ClaimEnded::DECLINED)) == kNone);
  CHECK(Broken(again(ClaimEnded::NEVER)) == kNone);
}

TEST_CASE("effect-twice: over all tries that follow each other on the sidecars' word") {
  // A machine that says it declined, and ran it all the same.
  const auto twice = [](TryEnded::How first_ends) {
    Story story;
    story.At(10).Sent(1, kNever).Begun(1, 1).Whole(1).Over(1, ClaimEnded::DECLINED).Effect(1);
    story.Ends(1, first_ends).At(20).Sent(2, kNever, 1, 10, 1).Claim(2, 2, ClaimEnded::SERVED, 1);
    return story.Ends(2, TryEnded::SERVED, 2);
  };
  CHECK(Broken(twice(TryEnded::REFUSED)) == Rules{"effect-twice"});
  CHECK(Broken(twice(TryEnded::FAILED)) == kNone);  // the client asked again of its own accord
  Story within;
  within.At(10).Sent(1, kNever).Begun(1, 1).Whole(1).Over(1, ClaimEnded::DECLINED).Effect(1);
  within.Claim(2, 1, ClaimEnded::SERVED, 1).Ends(1, TryEnded::SERVED, 2);
  CHECK(Broken(within) == Rules{"effect-twice"});
  // Long after it was given up, at a machine that hung meanwhile.
  Story late;
  late.At(10).Sent(1, kNever).Claim(1, 1, ClaimEnded::CANCELLED).Ends(1, TryEnded::REFUSED);
  late.At(20).Sent(2, kNever, 1).Claim(2, 2, ClaimEnded::SERVED, 1).Ends(2, TryEnded::SERVED, 2);
  CHECK(Broken(late.At(60'000).Effect(1)) == Rules{"refused-after-run", "effect-twice"});
}

TEST_CASE("two-at-once") {
  const auto two = [](double first_ends_ms, ClaimEnded::How how, std::int64_t order_slack_us) {
    Story story;
    story.header.mutable_rules()->set_order_slack_us(order_slack_us);
    story.At(10).Sent(1).Begun(1, 1).Whole(1).At(20).Begun(2, 1, 1).Whole(2);
    story.At(first_ends_ms).Over(1, how).At(40).Effect(2).Over(2, ClaimEnded::SERVED);
    return story.Ends(1, TryEnded::SERVED, 2);
  };
  CHECK(Broken(two(22, ClaimEnded::CANCELLED, 0)) == Rules{"two-at-once"});
  CHECK(Broken(two(22, ClaimEnded::CANCELLED, 2000)) == kNone);
  CHECK(Broken(two(22, ClaimEnded::ERROR, 2000)) == Rules{"two-at-once"});
  CHECK(Broken(two(23, ClaimEnded::CANCELLED, 2000)) == Rules{"two-at-once"});
  Story allowed = two(22, ClaimEnded::ERROR, 0);
  allowed.header.mutable_rules()->set_may_duplicate(true);
  CHECK(Broken(allowed) == kNone);
}

TEST_CASE("too-many-claims") {
  Story story;
  story.At(10).Sent(1);
  for (std::uint64_t claim = 1; claim <= 3; ++claim) story.Claim(claim, 1, ClaimEnded::DECLINED);
  story.Claim(4, 1, ClaimEnded::NEVER);  // does not count
  CHECK(Broken(Story(story).Ends(1, TryEnded::FAILED)) == kNone);
  CHECK(Broken(story.Claim(5, 1, ClaimEnded::DECLINED).Ends(1, TryEnded::FAILED)) ==
        Rules{"too-many-claims"});
}

TEST_CASE("claim-after-end") {
  const auto after = [](double ms) {
    return Story().At(10).Sent(1).Ends(1, TryEnded::FAILED).At(10 + ms).Claim(1, 1, ClaimEnded::CANCELLED);
  };
  CHECK(Broken(after(50)) == kNone);
  CHECK(Broken(after(51)) == Rules{"claim-after-end"});
}

TEST_CASE("drained: by what discovery wrote, or should have been asked for") {
  const auto sent = [](Story story, double ms, std::uint32_t sidecar = 0) {
    story.At(ms).Sent(1, kSafe, 0, 10, sidecar).Claim(1, 1, ClaimEnded::SERVED);
    return story.Ends(1, TryEnded::SERVED, 1);
  };
  Story told;
  told.At(1000).Machine(0, MachineChanged::DRAINING).Told(0, 0, MachineChanged::DRAINING);
  told.At(2000).Told(0, 0, MachineChanged::GONE);  // gives no further grace
  CHECK(Broken(sent(told, 2500)) == kNone);
  CHECK(Broken(sent(told, 2501)) == Rules{"drained"});
  CHECK(Broken(sent(told, 2501, 1)) == kNone);  // the other was not told
  CHECK(Broken(sent(Story(told).At(2100).Told(0, 0, MachineChanged::UP), 4000)) == kNone);
  Story restarted = told;
  restarted.At(2200).Process(0, Sidecar::KILLED).Process(0, Sidecar::STARTED);
  CHECK(Broken(sent(restarted, 4000)) == kNone);
  restarted.At(2300).Told(0, 0, MachineChanged::GONE);  // with a grace of its own
  CHECK(Broken(sent(restarted, 3800)) == kNone);
  CHECK(Broken(sent(restarted, 3801)) == Rules{"drained"});

  Story listed;
  listed.At(1000).Machine(0, MachineChanged::GONE).Listed(0, MachineChanged::GONE);
  CHECK(Broken(sent(listed, 8500)) == kNone);
  CHECK(Broken(sent(listed, 8501)) == Rules{"drained"});
  CHECK(Judge(sent(listed, 8501).Bytes()).breaches[0].detail.find("counts as told") != std::string::npos);
  // Nobody is held to what was kept from him, until told_within after it can come to him.
  const auto hidden = [&](double ends_ms, std::uint32_t sidecar) {
    Story story;
    story.At(500).Hides(true, sidecar).At(1000).Machine(0, MachineChanged::GONE);
    return story.Listed(0, MachineChanged::GONE).At(ends_ms).Hides(false, sidecar);
  };
  CHECK(Broken(sent(hidden(8600, 0), 8601)) == kNone);
  CHECK(Broken(sent(hidden(3000, 0), 10500)) == kNone);
  CHECK(Broken(sent(hidden(3000, 0), 10501)) == Rules{"drained"});
  CHECK(Broken(sent(hidden(8600, 1), 8601)) == Rules{"drained"});
}

TEST_CASE("overdriven: the line says who sent the work, and who knew") {
  // 1 core at 0.16, times 2.5 over 3 s: 1.2 s of work at the start.
  const auto flooded = [](int from_knowing, int from_other) {
    Story story;
    story.At(1000).Machine(2, MachineChanged::UP, /*cold=*/true).Told(0, 2, MachineChanged::UP);
    for (int i = 1; i <= from_knowing + from_other; ++i) {
      const std::uint32_t sidecar = i <= from_knowing ? 0 : 1;
      const auto id = static_cast<std::uint64_t>(i);
      story.At(1000 + i).Sent(id, kSafe, 0, 100, sidecar).Claim(id, id, ClaimEnded::DECLINED, 2);
      story.Ends(id, TryEnded::REFUSED);
    }
    return story;
  };
  CHECK(Broken(flooded(12, 0)) == kNone);
  CHECK(Broken(flooded(14, 0)) == Rules{"overdriven"});
  CHECK(Broken(flooded(30, 0)) == Rules{"overdriven"});  // once a machine
  CHECK(Broken(flooded(5, 9)) == kNone);                 // most could not know
  const auto line = rules::LineOf(Judge(flooded(10, 5).Bytes()).breaches.at(0));
  CHECK(line.find("overdriven\t1.014000\t14\ts-2\t1.400000 s of work in 3.000000 s") == 0);
  CHECK(line.find("from n0 1.000000 s (told of its start 0.014000 s before), n1 0.400000 s (not told of its "
                  "start)") != std::string::npos);

  Story fell = flooded(3, 0);
  CHECK(Broken(fell.At(1020).Machine(2, MachineChanged::FELL)) == Rules{"overdriven"});
  Story warmed;
  warmed.At(1000).Machine(2, MachineChanged::UP, true).Told(0, 2, MachineChanged::UP);
  warmed.Add().mutable_warmed()->set_machine(2);
  warmed.entries.back().mutable_warmed()->set_share(0.5);
  for (std::uint64_t id = 1; id <= 30; ++id) {
    warmed.Sent(id, kSafe, 0, 100).Claim(id, id, ClaimEnded::DECLINED, 2).Ends(id, TryEnded::REFUSED);
  }
  CHECK(Broken(warmed) == kNone);
}

TEST_CASE("connections, memory and descriptors: once each") {
  Story story;
  story.At(10).Connection(0, true).Connection(0, true).Connection(0, false).Connection(0, true);
  story.Sample(0, 64, 256);
  CHECK(Broken(story) == kNone);
  CHECK(Broken(Story(story).Connection(0, true).Connection(0, true)) == Rules{"connections"});
  CHECK(Broken(Story(story).Sample(0, 65).Sample(0, 66)) == Rules{"memory"});
  CHECK(Broken(Story(story).Sample(0, 1, 257).Sample(0, 1, 258)) == Rules{"descriptors"});
}

TEST_CASE("growth: in each quarter of a long run's second half") {
  const auto run = [](double first_mb, double mb_a_second, double seconds) {
    Story story;
    story.header.set_length_us(static_cast<std::int64_t>(seconds * 1e6));
    for (int i = 0; i < seconds; ++i) story.At(i * 1000.0).Sample(0, first_mb + mb_a_second * i);
    return story;
  };
  CHECK(Broken(run(10, 0.2, 100)) == Rules{"growth"});
  CHECK(Broken(run(10, 0.05, 100)) == kNone);  // less than the 4 MB that are let pass
  CHECK(Broken(run(10, 1, 50)) == kNone);      // too short to tell
  Story dips = run(10, 0.2, 100);
  for (Entry& entry : dips.entries) {
    if (entry.at_us() > 76'000'000 && entry.at_us() < 86'000'000) {
      entry.mutable_sample()->set_memory_bytes(1 << 20);
    }
  }
  CHECK(Broken(dips) == kNone);
}

TEST_CASE("crash") {
  const auto ends = [](bool term, Sidecar::What how) {
    Story story;
    if (term) story.At(5).Process(0, Sidecar::TERM);
    return story.At(10).Process(0, how);
  };
  CHECK(Broken(ends(false, Sidecar::EXITED)) == Rules{"crash"});
  CHECK(Broken(ends(true, Sidecar::EXITED)) == kNone);
  CHECK(Broken(ends(true, Sidecar::CRASHED)) == Rules{"crash"});
  CHECK(Broken(ends(false, Sidecar::KILLED).Process(0, Sidecar::CRASHED)) == kNone);
}
