// The log: what is told, what is left out, and that no reader makes it wait.
#include "log/log.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <termios.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/operator_file.h"
#include "config/text_file.h"
#include "events/catalogue.h"
#include "log/flood_gate.h"
#include "log/line_writer.h"
#include "support/peers.h"

namespace bitternmux::log {
namespace {

constexpr EventKind kEvent{"peer.odd", Severity::kWarning};

// A write to a named pipe cannot be told not to wait, as none to a pipe can on kernels before 6.4.
enum class Kind { kPipe, kNamedPipe, kSocket, kTerminal };

// Two ends of something a program may have as its standard error.
struct Ends {
  explicit Ends(Kind kind) {
    int ends[2] = {-1, -1};
    if (kind == Kind::kPipe) REQUIRE(::pipe(ends) == 0);
    if (kind == Kind::kNamedPipe) {
      const std::string path =
          (std::filesystem::temp_directory_path() / ("log-" + std::to_string(::getpid()))).string();
      REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
      ends[0] = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
      ends[1] = ::open(path.c_str(), O_WRONLY);
      ::unlink(path.c_str());
    }
    if (kind == Kind::kSocket) {  // one that takes lines in parts
      peers::Listener listener;
      const sockaddr_in at = peers::Loopback(listener.port());
      ends[1] = ::socket(AF_INET, SOCK_STREAM, 0);
      REQUIRE(::connect(ends[1], reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
      ends[0] = listener.AcceptDescriptor();
    }
    if (kind == Kind::kTerminal) {
      ends[0] = ::posix_openpt(O_RDWR | O_NOCTTY);
      REQUIRE((::grantpt(ends[0]) == 0 && ::unlockpt(ends[0]) == 0));
      ends[1] = ::open(::ptsname(ends[0]), O_RDWR | O_NOCTTY);
      termios raw{};
      ::tcgetattr(ends[1], &raw);
      ::cfmakeraw(&raw);
      ::tcsetattr(ends[1], TCSANOW, &raw);
    }
    read = ends[0];
    write = ends[1];
    ::fcntl(read, F_SETFL, ::fcntl(read, F_GETFL) | O_NONBLOCK);
  }
  ~Ends() {
    if (read >= 0) ::close(read);
    ::close(write);
  }
  std::string Take() const {
    std::string out;
    char bytes[65536];
    for (ssize_t count; (count = ::read(read, bytes, sizeof bytes)) > 0;) {
      out.append(bytes, static_cast<std::size_t>(count));
    }
    return out;
  }

  int read = -1, write = -1;
};

// A line that shows where it begins and ends.
std::string Whole(int number) {
  return std::to_string(number) + std::string(3000, '.') + std::to_string(number);
}

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) out.push_back(line);
  return out;
}

}  // namespace

TEST_CASE("a reader that stops is never waited for, and is told in its place what it missed") {
  const Ends ends(GENERATE(Kind::kPipe, Kind::kNamedPipe, Kind::kSocket, Kind::kTerminal));
  LineWriter writer(ends.write, [](std::uint64_t count) { return "missed " + std::to_string(count) + "\n"; });
  constexpr int kLines = 5000;  // more than what any of them holds; a write that waits would wait for ever
  for (int i = 0; i < kLines; ++i) writer.Put(Whole(i) + "\n");
  std::string text = ends.Take();
  for (int i = 0; !writer.idle(); ++i) {
    REQUIRE(i < 1000);
    writer.Flush();
    text += ends.Take();
  }
  int next = 0, missed = 0;
  for (const std::string& line : Lines(text)) {
    if (line.starts_with("missed ")) {
      const int here = std::stoi(line.substr(7));
      missed += here;
      next += here;
    } else {
      REQUIRE(line == Whole(next++));
    }
  }
  CHECK(missed > 0);
  CHECK(next == kLines);
}

TEST_CASE("a reader that is gone costs its lines and nothing else") {
  Ends ends(Kind::kPipe);
  ::close(std::exchange(ends.read, -1));
  const auto former = ::signal(SIGPIPE, SIG_IGN);
  LineWriter writer(ends.write, [](std::uint64_t) { return "\n"; });
  for (int i = 0; i < 100; ++i) writer.Put(std::string(LineWriter::kLongestLine, 'x'));
  writer.Drain(1000);
  CHECK_FALSE(writer.idle());  // it still owes the number
  ::signal(SIGPIPE, former);
}

TEST_CASE("an event told without end is limited, and what was left out is counted") {
  FloodGate gate;
  int told = 0;
  std::uint64_t counted = 0;
  constexpr int kEvents = 1000;
  for (int i = 0; i < kEvents; ++i) {
    const auto left_out = gate.Pass("flood", i * 100.0);  // for 100 s
    told += left_out.has_value();
    counted += left_out.value_or(0);
    CHECK_FALSE(gate.Settle(i * 100.0));
  }
  CHECK(told == static_cast<int>(FloodGate::kBurst) + 9);
  CHECK(gate.Pass("other", 0) == 0);
  const auto settled = gate.Settle(200'000);
  REQUIRE(settled);
  CHECK(settled->first == "flood");
  CHECK(counted + settled->second + static_cast<std::uint64_t>(told) == kEvents);
  CHECK_FALSE(gate.Settle(300'000));
}

TEST_CASE(
    "whatever a peer sends, an event is one line: JSON that parses, or text without control characters") {
  const bool json = GENERATE(true, false);
  const Ends ends(Kind::kPipe);
  double now = 0;
  std::string odd = "line\nbreak \x1b[2J \"quoted\" \\ \xff\xfe caf\xc3\xa9 =";
  {
    Log log(
        ends.write, [&] { return now; }, "n 0");
    log.Use({json ? Format::kJson : Format::kText, Severity::kInfo});
    log.Write(kEvent, {{"why", odd}, {"count", 7}, {"share", 0.5}, {"last", true}, {"nan", std::nan("")}});
    log.Write(kEvent, {{"why", std::string(1'000'000, '\1')}, {"also", std::string(5000, '\2')}});
    log.Write({"peer.quiet", Severity::kDebug}, {});
    for (int i = 0; i < 20; ++i) log.Write(kEvent, {});
    now = 60'000;
    log.Turn();
  }
  const std::string text = ends.Take();
  for (const char c : text) CHECK((c == '\n' || (c >= ' ' && c < 0x7f)));
  const auto lines = Lines(text);
  REQUIRE(lines.size() == static_cast<std::size_t>(FloodGate::kBurst) + 1);
  for (const std::string& line : lines) CHECK(line.size() < LineWriter::kLongestLine);
  if (json) {
    std::vector<nlohmann::json> events;
    for (const std::string& line : lines) events.push_back(nlohmann::json::parse(line));
    CHECK(events[0]["event"] == "peer.odd");
    CHECK(events[0]["name"] == "n 0");
    CHECK(events[0]["level"] == "warning");
    CHECK(events[0]["why"] == "line\nbreak \x1b[2J \"quoted\" \\ \xef\xbf\xbd\xef\xbf\xbd caf\xc3\xa9 =");
    CHECK(events[0]["count"] == 7);
    CHECK(events[0]["share"] == 0.5);
    CHECK(events[0]["last"] == true);
    CHECK(events[0]["nan"].is_null());
    CHECK(events[1]["why"].get<std::string>().ends_with("\1..."));
    CHECK(events.back()["event"] == "log.limited");
    CHECK(events.back()["left_out"] == 12);
  } else {
    CHECK_THAT(lines[0], Catch::Contains(" warning \"n 0\" peer.odd why=\"line\\nbreak \\u001b[2J "));
    CHECK_THAT(lines[0], Catch::EndsWith(" count=7 share=0.5 last=true nan=null"));
    CHECK_THAT(lines.back(), Catch::EndsWith(" log.limited of=peer.odd left_out=12"));
  }
}

TEST_CASE("the operators' pages name every event and every key of the operator file") {
  const auto page = [](const std::string& name) {
    return ReadTextFile(BITTERNMUX_DOCS "/operators/" + name).value_or("");
  };
  for (const EventKind* event : events::kAll) {
    CHECK_THAT(page("logging.md"), Catch::Contains("\n| `" + std::string(event->name) + "` |"));
  }
  for (const auto& shown : ReadOperatorFile("", {}).read.shown) {
    CHECK_THAT(page("command-line.md"), Catch::Contains("\n| `" + shown.key + "` |"));
  }
}

}  // namespace bitternmux::log
