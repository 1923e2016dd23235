// bitternmux-lab check as it is called: its lines, its JSON and its exit codes.
#include <sys/wait.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "support/lab_story.h"

using namespace bitternmux::lab::story;

namespace {

// Its exit code and standard output, with the record on standard input.
std::pair<int, std::string> Check(const std::string& arguments, const std::string& record) {
  FILE* const file = std::tmpfile();
  std::fwrite(record.data(), 1, record.size(), file);
  std::rewind(file);
  const std::string command = std::string(BITTERNMUX_LAB_PROGRAM) + " check " + arguments +
                              " 2>/dev/null <&" + std::to_string(::fileno(file));
  FILE* const pipe = ::popen(command.c_str(), "r");
  std::string out;
  std::array<char, 4096> bytes;
  while (const auto count = std::fread(bytes.data(), 1, bytes.size(), pipe)) out.append(bytes.data(), count);
  const int status = ::pclose(pipe);
  std::fclose(file);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

}  // namespace

TEST_CASE("check prints a line for each breach, and exits 0, 1 or 2") {
  Story good;
  good.At(10).Sent(1).Claim(1, 1, ClaimEnded::SERVED).Ends(1, TryEnded::SERVED, 1);
  Story bad = good;
  bad.At(20).Sent(2).Claim(2, 2, ClaimEnded::ERROR).Ends(2, TryEnded::SERVED, 2);
  bad.Sent(3).Ends(3, TryEnded::LOST).Process(0, bitternmux::lab::record::Sidecar::CRASHED);
  CHECK(Check("-", good.Bytes()) == std::pair(0, std::string()));
  CHECK(Check("-", bad.Bytes()) ==
        std::pair(
            1, std::string("answer-lost\t0.020000\t3\t-\tn0: no whole answer 0.000000 s after it was sent, "
                           "with 1.000000 s to wait; no claim was begun\n"
                           "answer-unmade\t0.020000\t2\ts-0\tn0 served it with claim 2 at s-0 (ERROR), "
                           "which gave no answer\n"
                           "crash\t0.020000\t-\t-\tn0 was ended by signal 0\n")));
  CHECK(Check("-", "noise") == std::pair(2, std::string()));
  CHECK(Check("/no/such/record", "").first == 2);
  CHECK(Check("--nonsense -", good.Bytes()).first == 2);

  const auto [code, text] = Check("--json -", bad.Bytes());
  const auto json = nlohmann::json::parse(text);
  CHECK(code == 1);
  CHECK(json["exit"] == 1);
  CHECK(json["counts"]["answer-lost"] == 1);
  CHECK(json["breaches"][1]["rule"] == "answer-unmade");
  CHECK(json["breaches"][1]["server"] == "s-0");
  CHECK_FALSE(json["breaches"][2].contains("job"));
  CHECK(nlohmann::json::parse(Check("--json -", good.Bytes(-1, "late")).second)["unreadable"] ==
        "the run is void: late");
}
