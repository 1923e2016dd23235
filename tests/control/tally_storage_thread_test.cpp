#include "control/tally_storage_thread.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <future>
#include <stdexcept>

namespace bitternmux::control {
namespace {

using fleet::TallyAdds;
using fleet::TallyWrite;
using Logs = std::vector<TallyAdds>;
using trompeloeil::_;

class MockStore : public fleet::TallyStore {
 public:
  MAKE_MOCK0(Load, std::vector<TallyAdds>(), override);
  MAKE_MOCK1(Append, void(const std::vector<TallyAdds>&), override);
  MAKE_MOCK0(HasCaughtUp, bool(), override);
  MAKE_MOCK0(MarkCaughtUp, void(), override);
};

constexpr auto kLong = std::chrono::seconds(20);  // a test that fails ends by then
constexpr auto kNoPause = std::chrono::milliseconds(0);
constexpr auto kForGood = std::chrono::hours(24);

// A write whose one log tells it apart.
TallyWrite Write(std::uint64_t ticket) { return {ticket, {{7, ticket, {{std::to_string(ticket), "t", 1}}}}}; }

Logs LogsOf(std::initializer_list<std::uint64_t> tickets) {
  Logs logs;
  for (const std::uint64_t ticket : tickets) logs.push_back(Write(ticket).logs.front());
  return logs;
}

// Lets another thread through once it is opened.
class Gate {
 public:
  void Open() { open_.set_value(); }
  void Wait() {
    if (opened_.wait_for(kLong) != std::future_status::ready) throw std::runtime_error("gate stays closed");
  }

 private:
  std::promise<void> open_;
  std::shared_future<void> opened_ = open_.get_future().share();
};

// What the handlers are told. Read it once the thread has ended or a gate has been passed.
struct Told {
  std::vector<std::uint64_t> saved;
  std::vector<std::string> failed;
  Gate first_failure, first_saved;

  TallyStorageThread::Handlers Handlers() {
    return {[this](std::uint64_t ticket) {
              saved.push_back(ticket);
              if (saved.size() == 1) first_saved.Open();
            },
            [this](const std::string& why) {
              failed.push_back(why);
              if (failed.size() == 1) first_failure.Open();
            }};
  }
};

}  // namespace

TEST_CASE("tally storage thread: writes that come during an append share the next one") {
  MockStore store;
  Told told;
  Gate begun, go_on;
  trompeloeil::sequence order;
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order).LR_SIDE_EFFECT(begun.Open(); go_on.Wait());
  REQUIRE_CALL(store, Append(LogsOf({2, 3, 4}))).IN_SEQUENCE(order);
  {
    TallyStorageThread thread(store, told.Handlers());
    thread.Write(Write(1));
    begun.Wait();
    for (const std::uint64_t ticket : {2U, 3U, 4U}) thread.Write(Write(ticket));
    go_on.Open();
  }
  CHECK(told.saved == std::vector<std::uint64_t>{1, 4});
  CHECK(told.failed.empty());
}

TEST_CASE("tally storage thread: a failure is told once, and tried again with what came meanwhile") {
  MockStore store;
  Told told;
  Gate second_try, go_on, saved;
  const fleet::StorageError full("disk full");
  trompeloeil::sequence order;
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order).LR_THROW(full);
  REQUIRE_CALL(store, Append(LogsOf({1})))
      .IN_SEQUENCE(order)
      .LR_SIDE_EFFECT(second_try.Open(); go_on.Wait())
      .LR_THROW(full);
  REQUIRE_CALL(store, Append(LogsOf({1, 2}))).IN_SEQUENCE(order).LR_SIDE_EFFECT(saved.Open());
  {
    TallyStorageThread thread(store, told.Handlers(), kNoPause);
    thread.Write(Write(1));
    second_try.Wait();
    thread.Write(Write(2));
    go_on.Open();
    saved.Wait();
  }
  CHECK(told.failed == std::vector<std::string>{"disk full"});
  CHECK(told.saved == std::vector<std::uint64_t>{2});
}

TEST_CASE("tally storage thread: after a success the next failure is told again") {
  MockStore store;
  Told told;
  Gate saved;
  trompeloeil::sequence order;
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order).THROW(fleet::StorageError("first"));
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order).LR_SIDE_EFFECT(saved.Open());
  REQUIRE_CALL(store, Append(LogsOf({2})))
      .TIMES(AT_LEAST(1))
      .IN_SEQUENCE(order)
      .THROW(fleet::StorageError("second"));
  {
    TallyStorageThread thread(store, told.Handlers(), kNoPause);
    thread.Write(Write(1));
    saved.Wait();
    thread.Write(Write(2));
  }
  CHECK(told.failed == std::vector<std::string>{"first", "second"});
  CHECK(told.saved == std::vector<std::uint64_t>{1});
}

// Guards against a stop that waits for a disk that stays full.
TEST_CASE("tally storage thread: it ends while the disk fails") {
  MockStore store;
  Told told;
  REQUIRE_CALL(store, Append(LogsOf({1}))).TIMES(AT_LEAST(1)).THROW(fleet::StorageError("disk full"));
  {
    TallyStorageThread thread(store, told.Handlers(), kForGood);
    thread.Write(Write(1));
    told.first_failure.Wait();
  }
  CHECK(told.saved.empty());
}

// Guards against a mark that outlasts a loss of power while adds before it do not.
TEST_CASE("tally storage thread: the mark is made after the adds before it, and again if it fails") {
  MockStore store;
  Told told;
  trompeloeil::sequence order;
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order).THROW(fleet::StorageError("full"));
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order);
  REQUIRE_CALL(store, MarkCaughtUp()).IN_SEQUENCE(order).THROW(fleet::StorageError("full"));
  REQUIRE_CALL(store, Append(LogsOf({1}))).IN_SEQUENCE(order);
  REQUIRE_CALL(store, MarkCaughtUp()).IN_SEQUENCE(order);
  {
    TallyStorageThread thread(store, told.Handlers(), kNoPause);
    TallyWrite write = Write(1);
    write.caught_up = true;
    thread.Write(std::move(write));
    told.first_saved.Wait();  // a thread that is to stop tries no more than once
  }
  CHECK(told.saved == std::vector<std::uint64_t>{1});
}

TEST_CASE("tally storage thread: a mark alone is made without an append") {
  MockStore store;
  Told told;
  REQUIRE_CALL(store, MarkCaughtUp());
  { TallyStorageThread(store, told.Handlers(), kNoPause).Write({1, {}, true}); }
  CHECK(told.saved == std::vector<std::uint64_t>{1});
}

}  // namespace bitternmux::control
