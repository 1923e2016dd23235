// How much a record costs: to write, to read and to check, for each entry, and the memory that a check holds.
//
//   lab_record [ENTRIES [FILE]]     10,000,000 entries into a file in the temporary folder
//
// The record is of 1,000 tries a second, each of six entries and out for 20 ms, over 100 sidecars and 50
// machines.
#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <iostream>
#include <string>

#include "lab/record/writer.h"
#include "lab/rules/checker.h"

namespace {

using namespace bitternmux::lab;
using record::Entry;

constexpr std::uint32_t kSidecars = 100, kMachines = 50;
constexpr std::int64_t kGapUs = 1000, kOutUs = 20'000;

record::Header SomeHeader() {
  record::Header header;
  for (std::uint32_t i = 0; i < kSidecars; ++i) header.add_sidecars("n" + std::to_string(i));
  auto& klass = *header.add_classes();
  klass.set_name("space-hold");
  klass.set_repeat(record::Class::NEVER);
  klass.set_deadline_us(4'000'000);
  auto& rules = *header.mutable_rules();
  rules.set_max_attempts(3);
  rules.set_drain_grace_us(1'500'000);
  rules.set_told_within_us(6'000'000);
  return header;
}

void End(record::Writer& writer, std::int64_t at_us, std::uint64_t id) {
  writer.Put(at_us, [&](Entry& entry) { entry.mutable_effect()->set_claim_id(id); });
  writer.Put(at_us, [&](Entry& entry) {
    entry.mutable_claim_ended()->set_claim_id(id);
    entry.mutable_claim_ended()->set_worked_us(10'000);
  });
  writer.Put(at_us, [&](Entry& entry) {
    entry.mutable_try_ended()->set_try_id(id);
    entry.mutable_try_ended()->set_status(200);
    entry.mutable_try_ended()->set_claim_id(id);
  });
}

void Write(record::Sink& sink, std::uint64_t entries) {
  record::Writer writer(sink, SomeHeader());
  for (std::uint32_t i = 0; i < kSidecars; ++i) {
    writer.Put(0, [&](Entry& entry) { entry.mutable_sidecar()->set_sidecar(i); });
  }
  for (std::uint32_t i = 0; i < kMachines; ++i) {
    writer.Put(0, [&](Entry& entry) {
      entry.mutable_machine_changed()->set_machine(i);
      entry.mutable_machine_changed()->set_id("s-" + std::to_string(i));
    });
  }
  std::deque<std::pair<std::int64_t, std::uint64_t>> out;
  std::int64_t now = 0;
  for (std::uint64_t id = 1; writer.entries() + 6 * out.size() < entries; ++id) {
    now += kGapUs;
    for (; !out.empty() && out.front().first <= now; out.pop_front()) {
      End(writer, out.front().first, out.front().second);
    }
    const auto sidecar = static_cast<std::uint32_t>(id % kSidecars);
    writer.Put(now, [&](Entry& entry) {
      auto& sent = *entry.mutable_try_sent();
      sent.set_try_id(id);
      sent.set_first_id(id);
      sent.set_sidecar(sidecar);
      sent.set_give_up_us(now + 2'000'000);
      sent.set_due_us(now);
      sent.set_work_us(10'000);
      sent.set_hint_us(9'000);
    });
    writer.Put(now, [&](Entry& entry) {
      auto& begun = *entry.mutable_claim_begun();
      begun.set_claim_id(id);
      begun.set_try_id(id);
      begun.set_sidecar(sidecar);
      begun.set_machine(static_cast<std::uint32_t>(id % kMachines));
      begun.set_wait_us(1'000'000);
    });
    writer.Put(now, [&](Entry& entry) { entry.mutable_claim_whole()->set_claim_id(id); });
    out.emplace_back(now + kOutUs, id);
  }
  for (const auto& [at_us, id] : out) End(writer, at_us, id);
  writer.Close();
}

template <class Work>
void Measure(const char* what, std::uint64_t entries, Work work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  std::cout << what << ": " << took.count() << " s, " << took.count() * 1e9 / static_cast<double>(entries)
            << " ns an entry; at most " << usage.ru_maxrss / 1024 << " MB held so far\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t entries = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10'000'000;
  const std::string path =
      argc > 2 ? argv[2] : (std::filesystem::temp_directory_path() / "lab_record.bench").string();
  int code = 0;
  Measure("write", entries, [&] {
    record::FileSink sink(path);
    Write(sink, entries);
  });
  std::cout << std::filesystem::file_size(path) / 1'000'000 << " MB, "
            << static_cast<double>(std::filesystem::file_size(path)) / static_cast<double>(entries)
            << " bytes an entry\n";
  Measure("read", entries, [&] {
    record::FileSource source(path);
    record::Reader reader(source);
    while (reader.Next() != nullptr) {
    }
  });
  Measure("check", entries, [&] {
    record::FileSource source(path);
    const rules::Verdict verdict = rules::Check(source);
    std::cout << "verdict " << verdict.ExitCode() << " " << verdict.unreadable << ", " << verdict.entries
              << " entries over " << rules::Seconds(verdict.end_us) << " s\n";
    code = verdict.ExitCode();
  });
  std::filesystem::remove(path);
  return code;
}
