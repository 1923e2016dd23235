// The record's stream: what is written comes back, and what is not whole is not taken.
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

#include "lab/record/reader.h"
#include "lab/record/writer.h"
#include "support/lab_story.h"

using namespace bitternmux::lab::record;
using bitternmux::lab::story::Split;

namespace {

Header SomeHeader() {
  Header header;
  header.set_scenario("calm");
  header.mutable_rules()->set_max_attempts(3);
  return header;
}

std::string SomeRecord(int tries = 3, const std::string& void_reason = {}) {
  MemorySink sink;
  Writer writer(sink, SomeHeader());
  for (int i = 1; i <= tries; ++i) {
    writer.Put(i * 10, [&](Entry& entry) { entry.mutable_try_sent()->set_try_id(i); });
  }
  if (!void_reason.empty()) writer.Void(void_reason);
  writer.Close();
  return sink.bytes();
}

// The reason for which the record is not taken; empty if it is.
std::string Fault(const std::string& bytes) {
  try {
    MemorySource source(bytes);
    Reader reader(source);
    while (reader.Next() != nullptr) {
    }
    return {};
  } catch (const ReadError& error) {
    return error.what();
  }
}

}  // namespace

TEST_CASE("what is written is read back, in order, with the header and the trailer beside it") {
  const std::string bytes = SomeRecord(3, "the lab was late");
  MemorySource source(bytes);
  Reader reader(source);
  CHECK(reader.header().scenario() == "calm");
  CHECK(reader.header().format() == kFormat);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    const Entry* entry = reader.Next();
    REQUIRE(entry != nullptr);
    CHECK(entry->seq() == i);
    CHECK(entry->at_us() == static_cast<std::int64_t>(i * 10));
    CHECK(entry->try_sent().try_id() == i);
  }
  CHECK(reader.Next() == nullptr);
  CHECK(reader.trailer().void_());
  CHECK(reader.trailer().reason() == "the lab was late");
}

TEST_CASE("a record longer than any buffer is read in pieces, and an entry longer than the buffer too") {
  MemorySink sink;
  Header header = SomeHeader();
  header.set_scenario_text(std::string(600'000, 'x'));
  Writer writer(sink, header);
  for (int i = 1; i <= 50'000; ++i) {
    writer.Put(i, [&](Entry& entry) { entry.mutable_try_sent()->set_try_id(1ull << 40); });
  }
  writer.Close();
  MemorySource source(sink.bytes());
  Reader reader(source);
  int read = 0;
  while (reader.Next() != nullptr) ++read;
  CHECK(read == 50'000);
  CHECK(reader.header().scenario_text().size() == 600'000);
}

TEST_CASE("the writer takes no time that goes back, no empty entry and nothing behind the end") {
  MemorySink sink;
  Writer writer(sink, SomeHeader());
  const auto note = [](Entry& entry) { entry.mutable_note()->set_text("x"); };
  writer.Put(5, note);
  CHECK_THROWS_AS(writer.Put(4, note), std::logic_error);
  CHECK_THROWS_AS(writer.Put(6, [](Entry&) {}), std::logic_error);
  writer.Put(6, note);
  writer.Close();
  CHECK_THROWS_AS(writer.Put(7, note), std::logic_error);
  CHECK(Fault(sink.bytes()).empty());
}

TEST_CASE("a record that is cut, has a gap or goes on behind its end is not taken, and the place is named") {
  const std::string good = SomeRecord();
  REQUIRE(Fault(good).empty());
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK_FALSE(Fault(good.substr(0, size)).empty());
  }
  const auto entries = Split(good);
  const std::string gap = entries[0] + entries[2];
  CHECK(Fault(gap) == "byte " + std::to_string(entries[0].size()) + ": entry 2 where 1 is due");
  CHECK(Fault(entries[0]) == "byte " + std::to_string(entries[0].size()) + ": ends without a trailer");
  CHECK(Fault(good + entries[1]).find("more follows the trailer") != std::string::npos);
  CHECK(Fault(entries[0] + entries[0]).find("where 1 is due") != std::string::npos);
  CHECK(Fault(entries[1]).find("byte 0") == 0);
}

TEST_CASE("a byte that has changed is found") {
  const std::string good = SomeRecord();
  for (std::size_t at = 0; at < good.size(); ++at) {
    std::string bad = good;
    bad[at] = static_cast<char>(bad[at] ^ 1);
    INFO("byte " << at);
    CHECK_FALSE(Fault(bad).empty());
  }
}

TEST_CASE(
    "a record of another format, without rules, back in time or of an unknown kind of entry is not taken") {
  const auto delimited = [](const Entry& entry) {
    const std::string text = entry.SerializeAsString();
    return std::string(1, static_cast<char>(text.size())) + text;
  };
  Entry first;
  *first.mutable_header() = SomeHeader();
  first.mutable_header()->set_format(kFormat + 1);
  CHECK(Fault(delimited(first)) == "byte 0: format 3, and this version reads 1 to 2");
  first.mutable_header()->set_format(kFormat);
  first.mutable_header()->clear_rules();
  CHECK(Fault(delimited(first)) == "byte 0: the header has no rules");
  *first.mutable_header()->mutable_rules() = Rules();
  Entry note;
  note.set_seq(1);
  note.set_at_us(7);
  note.mutable_note()->set_text("x");
  Entry before = note;
  before.set_seq(2);
  before.set_at_us(6);
  CHECK(Fault(delimited(first) + delimited(note) + delimited(before)).find("time goes back from 7 to 6 us") !=
        std::string::npos);
  Entry unknown;
  unknown.set_seq(1);
  unknown.GetReflection()->MutableUnknownFields(&unknown)->AddLengthDelimited(900, "later");
  CHECK(Fault(delimited(first) + delimited(unknown)).find("no known kind") != std::string::npos);
  // A length that lies costs no memory.
  CHECK(Fault(delimited(first) + "\xff\xff\xff\x7f").find("bytes") != std::string::npos);
}
