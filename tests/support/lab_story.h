// Records written by hand for the checker's tests: two sidecars, n0 and n1, two machines, s-0 and s-1, and
// two classes, one that may be repeated and one that must never run twice.
#ifndef BITTERNMUX_TESTS_SUPPORT_LAB_STORY_H_
#define BITTERNMUX_TESTS_SUPPORT_LAB_STORY_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/record/writer.h"
#include "lab/rules/checker.h"

namespace bitternmux::lab::story {

using record::ClaimEnded;
using record::Entry;
using record::Header;
using record::MachineChanged;
using record::TryEnded;
using record::Writer;

constexpr std::uint32_t kSafe = 0, kNever = 1;

inline Header SomeHeader() {
  Header header;
  header.set_scenario("story");
  header.set_length_us(10'000'000);
  header.add_sidecars("n0");
  header.add_sidecars("n1");
  for (const char* name : {"rate-check", "space-hold"}) {
    auto& klass = *header.add_classes();
    klass.set_name(name);
    klass.set_deadline_us(4'000'000);
  }
  header.mutable_classes(1)->set_repeat(record::Class::NEVER);
  auto& rules = *header.mutable_rules();
  rules.set_drain_grace_us(1'500'000);
  rules.set_answer_slack_us(50'000);
  rules.set_max_attempts(3);
  rules.set_fall_multiple(2.5);
  rules.set_fall_us(3'000'000);
  rules.set_cold_from(0.16);
  rules.set_warm_within_us(24'000'000);
  rules.set_memory_bytes(64 << 20);
  rules.set_descriptors(256);
  rules.set_connections_per_node(2);
  rules.set_told_within_us(6'000'000);
  return header;
}

class Story {
 public:
  explicit Story(bool begun = true) : header(SomeHeader()) {
    if (!begun) return;
    for (std::uint32_t i = 0; i < 2; ++i) Process(i, record::Sidecar::STARTED);
    for (std::uint32_t i = 0; i < 2; ++i) Machine(i, MachineChanged::UP);
  }

  Story& At(double ms) {
    now_us = static_cast<std::int64_t>(ms * 1000);
    return *this;
  }
  Story& Wait(double ms) {
    now_us += static_cast<std::int64_t>(ms * 1000);
    return *this;
  }
  Entry& Add() {
    entries.emplace_back().set_at_us(now_us);
    return entries.back();
  }

  // Tries.
  Story& Sent(std::uint64_t id, std::uint32_t klass = kSafe, std::uint64_t first = 0, double work_ms = 10,
              std::uint32_t sidecar = 0, double time_ms = 1000) {
    auto& sent = *Add().mutable_try_sent();
    sent.set_try_id(id);
    sent.set_first_id(first != 0 ? first : id);
    sent.set_sidecar(sidecar);
    sent.set_class_(klass);
    sent.set_give_up_us(now_us + static_cast<std::int64_t>(time_ms * 1000));
    sent.set_work_us(static_cast<std::int64_t>(work_ms * 1000));
    sidecar_of_ = sidecar;
    return *this;
  }
  Story& Ends(std::uint64_t id, TryEnded::How how, std::uint64_t claim = 0) {
    auto& ended = *Add().mutable_try_ended();
    ended.set_try_id(id);
    ended.set_how(how);
    ended.set_claim_id(claim);
    return *this;
  }

  // Claims, of the sidecar that the last try was sent to.
  Story& Begun(std::uint64_t claim, std::uint64_t id, std::uint32_t machine = 0) {
    auto& begun = *Add().mutable_claim_begun();
    begun.set_claim_id(claim);
    begun.set_try_id(id);
    begun.set_sidecar(sidecar_of_);
    begun.set_machine(machine);
    return *this;
  }
  Story& DialLost(std::uint64_t id) {
    Add().mutable_dial_failed()->set_try_id(id);
    return *this;
  }
  Story& Whole(std::uint64_t claim) {
    Add().mutable_claim_whole()->set_claim_id(claim);
    return *this;
  }
  Story& Effect(std::uint64_t claim) {
    Add().mutable_effect()->set_claim_id(claim);
    return *this;
  }
  Story& Over(std::uint64_t claim, ClaimEnded::How how) {
    auto& ended = *Add().mutable_claim_ended();
    ended.set_claim_id(claim);
    ended.set_how(how);
    return *this;
  }
  // All of it, at once.
  Story& Claim(std::uint64_t claim, std::uint64_t id, ClaimEnded::How how, std::uint32_t machine = 0) {
    Begun(claim, id, machine);
    if (how != ClaimEnded::NEVER) Whole(claim);
    if (how == ClaimEnded::SERVED) Effect(claim);
    return Over(claim, how);
  }

  // Machines and discovery.
  Story& Machine(std::uint32_t machine, MachineChanged::State state, bool cold = false) {
    auto& changed = *Add().mutable_machine_changed();
    changed.set_machine(machine);
    changed.set_id("s-" + std::to_string(machine));
    changed.set_state(state);
    changed.set_started_us(cold ? now_us : 0);
    changed.set_capacity(1);
    return *this;
  }
  Story& Told(std::uint32_t sidecar, std::uint32_t machine, MachineChanged::State state) {
    auto& told = *Add().mutable_told();
    told.set_sidecar(sidecar);
    told.set_machine(machine);
    told.set_state(state);
    return *this;
  }
  Story& Listed(std::uint32_t machine, MachineChanged::State state) {
    auto& listed = *Add().mutable_listed();
    listed.set_machine(machine);
    listed.set_state(state);
    return *this;
  }
  Story& Hides(bool begins, std::uint32_t sidecar) {
    auto& trouble = *Add().mutable_trouble();
    trouble.set_begins(begins);
    trouble.set_hides_list(true);
    trouble.add_on_sidecars(sidecar);
    return *this;
  }
  Story& Connection(std::uint32_t machine, bool opened) {
    auto& connection = *Add().mutable_connection();
    connection.set_machine(machine);
    connection.set_opened(opened);
    return *this;
  }

  // Sidecars.
  Story& Process(std::uint32_t sidecar, record::Sidecar::What what) {
    auto& changed = *Add().mutable_sidecar();
    changed.set_sidecar(sidecar);
    changed.set_what(what);
    return *this;
  }
  Story& Sample(std::uint32_t sidecar, double memory_mb, std::uint32_t descriptors = 50) {
    auto& sample = *Add().mutable_sample();
    sample.set_sidecar(sidecar);
    sample.set_memory_bytes(static_cast<std::int64_t>(memory_mb * (1 << 20)));
    sample.set_descriptors(descriptors);
    return *this;
  }

  // The record, with one entry left out and the rest sealed as if it had never been, if so asked.
  std::string Bytes(std::size_t left_out = static_cast<std::size_t>(-1),
                    const std::string& void_reason = {}) const {
    record::MemorySink sink;
    Writer writer(sink, header);
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (i == left_out) continue;
      writer.Put(entries[i].at_us(), [&](Entry& entry) {
        const std::uint64_t seq = entry.seq();
        entry = entries[i];
        entry.set_seq(seq);
      });
    }
    if (!void_reason.empty()) writer.Void(void_reason);
    writer.Close();
    return sink.bytes();
  }

  Header header;
  std::vector<Entry> entries;
  std::int64_t now_us = 0;

 private:
  std::uint32_t sidecar_of_ = 0;
};

// A record entry by entry, each with its length in front.
inline std::vector<std::string> Split(const std::string& bytes) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at < bytes.size(); at += out.back().size()) {
    std::size_t size = 0, prefix = 0;
    do {
      size |= (static_cast<unsigned char>(bytes[at + prefix]) & 0x7fu) << (7 * prefix);
    } while ((static_cast<unsigned char>(bytes[at + prefix++]) & 0x80) != 0);
    out.push_back(bytes.substr(at, prefix + size));
  }
  return out;
}

inline rules::Verdict Judge(const std::string& bytes) {
  record::MemorySource source(bytes);
  return rules::Check(source);
}

// The rules that were broken, in the order of the lines; or why the record is not taken.
inline std::vector<std::string> Broken(const std::string& bytes) {
  const rules::Verdict verdict = Judge(bytes);
  if (!verdict.unreadable.empty()) return {verdict.unreadable};
  std::vector<std::string> out;
  for (const auto& breach : verdict.breaches) out.emplace_back(rules::NameOf(breach.rule));
  return out;
}
inline std::vector<std::string> Broken(const Story& story) { return Broken(story.Bytes()); }

}  // namespace bitternmux::lab::story

#endif  // BITTERNMUX_TESTS_SUPPORT_LAB_STORY_H_
