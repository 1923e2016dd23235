// Experiments and reports: what is read, played, compared and shown.
#include "lab/report/report.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <thread>

#include "lab/report/analysis.h"
#include "lab/report/compare.h"
#include "lab/report/experiment.h"
#include "lab/scenario/scenario.h"
#include "support/lab_story.h"

namespace fs = std::filesystem;
using namespace bitternmux::lab::report;
using namespace bitternmux::lab::story;
using bitternmux::lab::scenario::ScenarioError;
using nlohmann::ordered_json;

namespace {

// A folder of the test's own.
struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "bitternmux-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    path = name;
  }
  ~Folder() { fs::remove_all(path); }
  fs::path path;

  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(path / name, std::ios::binary) << text;
    return (path / name).string();
  }
  std::string Read(const std::string& name) const {
    std::ostringstream text;
    text << std::ifstream(path / name, std::ios::binary).rdbuf();
    return text.str();
  }
  std::map<std::string, std::string> Results(const std::string& out) const {
    std::map<std::string, std::string> files;
    if (!fs::exists(path / out / "runs")) return files;
    for (const auto& entry : fs::directory_iterator(path / out / "runs")) {
      if (entry.path().extension() != ".json") continue;
      files[entry.path().filename()] = Read(out + "/runs/" + entry.path().filename().string());
    }
    return files;
  }
};

// Exit code and both outputs of the program.
std::pair<int, std::string> Lab(const std::string& arguments) {
  FILE* const pipe = ::popen((std::string(BITTERNMUX_LAB_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  std::string out;
  std::array<char, 4096> bytes;
  while (const auto count = std::fread(bytes.data(), 1, bytes.size(), pipe)) out.append(bytes.data(), count);
  const int status = ::pclose(pipe);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

const std::string kDay = R"(name = "short"
length_s = 3
[servers]
count = 3
[sidecars]
count = 2
[clients]
rate = 60
[[class]]
name = "rate-check"
work_ms = 5
[[trouble]]
name = "silence"
kind = "hang"
machines = [0]
at_s = 1
len_s = 1
)";

const std::string kExperiment = R"(name = "trial"
about = "A trial."
scenarios = ["short.toml"]
seeds = 3

[[setting]]
name = "plain"

[[setting]]
name = "longer"
set.trouble.silence.len_s = 1.5
set.settings.bounds.sendCap = 1
)";

std::vector<std::string> FaultsOf(const Folder& folder, const std::string& experiment) {
  try {
    Experiment::Read(folder.Write("experiment.toml", experiment), BITTERNMUX_LAB_PROGRAM);
  } catch (const ScenarioError& error) {
    std::vector<std::string> faults = error.faults();
    for (std::string& fault : faults) fault.erase(0, fault.find("experiment.toml:"));
    return faults;
  }
  return {};
}

}  // namespace

TEST_CASE("an experiment's faults name file, line and key") {
  const Folder folder;
  folder.Write("short.toml", kDay);
  CHECK(FaultsOf(folder, kExperiment).empty());
  CHECK(FaultsOf(folder, "name = \"a b\"\nseeds = [1, 3]\nfoo = 1\n") ==
        std::vector<std::string>{"experiment.toml:1: name: must be there, of letters, digits, - and _",
                                 "experiment.toml:1: scenarios: must be there",
                                 "experiment.toml:2: seeds: must be a whole number",
                                 "experiment.toml:3: foo: is not known"});
  const std::string head = "name = \"a\"\nscenarios = [\"short.toml\"]\n";
  CHECK(FaultsOf(folder, head + "[[build]]\nname = \"x\"\npath = \"none\"\n")
            .at(0)
            .find("build.x.path: no program") != std::string::npos);
  CHECK(FaultsOf(folder, head + "[[setting]]\nname = \"x\"\n[[setting]]\nname = \"x\"\n") ==
        std::vector<std::string>{"experiment.toml:6: setting.x.name: is there twice"});
  // What is set is checked with each scenario, and told with the experiment's own line.
  const auto set = [&](const std::string& what) {
    return FaultsOf(folder, head + "[[setting]]\nname = \"x\"\nset." + what + "\n");
  };
  CHECK(set("clients.rat = 3") == std::vector<std::string>{"experiment.toml:5: clients.rat: is not known"});
  CHECK(set("trouble.noise.len_s = 3") ==
        std::vector<std::string>{"experiment.toml:5: trouble.noise: there is no such entry"});
  CHECK(set("settings.bounds.sendCaps = 3") ==
        std::vector<std::string>{"experiment.toml:5: settings.bounds.sendCaps: is not known"});
  CHECK(set("settings.tickMs = \"5\"") ==
        std::vector<std::string>{"experiment.toml:5: settings.tickMs: must be like 5"});
}

TEST_CASE("a setting changes what the scenario says and what the sidecars are told") {
  const Folder folder;
  folder.Write("short.toml", kDay);
  folder.Write("loaded.toml", "name = \"loaded\"\nextends = \"short.toml\"\n[clients]\nload = 0.5\n");
  const auto experiment =
      Experiment::Read(folder.Write("experiment.toml", kExperiment), BITTERNMUX_LAB_PROGRAM);
  REQUIRE(experiment.variants.size() == 2);
  const auto plain = bitternmux::lab::scenario::Scenario(experiment.variants[0].text, "plain").Draw();
  const auto longer = bitternmux::lab::scenario::Scenario(experiment.variants[1].text, "longer").Draw();
  CHECK(plain.troubles[0].until_ms - plain.troubles[0].from_ms == 1000);
  CHECK(longer.troubles[0].until_ms - longer.troubles[0].from_ms == 1500);
  CHECK(longer.troubles[0].machines == std::vector<int>{0});
  REQUIRE(longer.settings.size() == 1);
  CHECK(longer.settings[0].name == "bounds.sendCap");
  // A load gives way to a rate and the other way round: the text that comes of it stands by itself.
  const auto loaded = bitternmux::lab::scenario::Scenario::Read((folder.path / "loaded.toml").string());
  CHECK(bitternmux::lab::scenario::Scenario(loaded.text(), "again").Draw().clients.rate ==
        loaded.Draw().clients.rate);
}

TEST_CASE(
    "a sweep that was stopped goes on, plays no run twice, and gives the same with any number of jobs") {
  const Folder folder;
  folder.Write("short.toml", kDay);
  // A build that writes down what it is asked to play, and plays its third run only once it may.
  const std::string build =
      folder.Write("build.sh", "#!/bin/sh\ncd '" + folder.path.string() + "'\necho \"$2 $4\" >>played\n" +
                                   "[ $(wc -l <played) -lt 3 ] || [ -e go ] || exec sleep 60\nexec '" +
                                   BITTERNMUX_LAB_PROGRAM + "' \"$@\"\n");
  fs::permissions(build, fs::perms::owner_all);
  const std::string file = folder.Write(
      "experiment.toml", kExperiment + "\n[[build]]\nname = \"scripted\"\npath = \"build.sh\"\n");
  const auto sweep = [&](const std::string& out, int jobs) {
    return "sweep " + file + " --out " + (folder.path / out).string() + " --jobs " + std::to_string(jobs);
  };

  const pid_t child = ::fork();
  if (child == 0) {
    ::setpgid(0, 0);
    const std::string out = (folder.path / "one").string();
    ::execl(BITTERNMUX_LAB_PROGRAM, BITTERNMUX_LAB_PROGRAM, "sweep", file.c_str(), "--out", out.c_str(),
            "--jobs", "1", nullptr);
    ::_exit(127);
  }
  const auto played = [&] {
    const std::string text = folder.Read("played");
    return std::count(text.begin(), text.end(), '\n');
  };
  while (played() < 3) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  ::kill(child, SIGINT);
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  CHECK(WEXITSTATUS(status) == 130);
  CHECK(folder.Results("one").size() == 2);

  folder.Write("go", "");
  CHECK(Lab(sweep("one", 1)).first == 0);
  CHECK(folder.Results("one").size() == 6);
  CHECK(played() == 7);  // the six, and the one that was cut short
  const auto [code, text] = Lab(sweep("one", 1));
  CHECK(code == 0);
  CHECK(text.find("6 were there, 0 played") != std::string::npos);

  CHECK(Lab(sweep("four", 4)).first == 0);
  CHECK(folder.Results("four") == folder.Results("one"));

  // Another build, or another scenario, makes other runs of them.
  folder.Write("short.toml", kDay + "[goal]\nwhole = 1\n");
  CHECK(Lab(sweep("one", 4)).second.find("0 were there, 6 played") != std::string::npos);
}

TEST_CASE("a run that cannot be played is told, and tried again") {
  const Folder folder;
  folder.Write("short.toml", kDay);
  const std::string build = folder.Write("build.sh", "#!/bin/sh\necho 'no such luck'\nexit 3\n");
  fs::permissions(build, fs::perms::owner_all);
  const std::string file =
      folder.Write("experiment.toml",
                   "name = \"a\"\nscenarios = [\"short.toml\"]\n[[build]]\nname = \"bad\"\npath = "
                   "\"build.sh\"\n");
  for (int time = 0; time < 2; ++time) {
    const auto [code, text] = Lab("sweep " + file + " --out " + (folder.path / "out").string());
    CHECK(code == 2);
    CHECK(text.find("failed: short.as-is.bad.1: exit 3: no such luck\n") != std::string::npos);
  }
}

TEST_CASE("the sign test is the exact binomial one, and a comparison counts pair by pair") {
  CHECK(SignTest(0, 0) == 1);
  CHECK(SignTest(5, 5) == 1);
  CHECK(SignTest(10, 0) == Approx(2.0 / 1024));
  CHECK(SignTest(1, 9) == Approx(22.0 / 1024));
  CHECK(SignTest(12, 3) == Approx(0.03515625));
  const Comparison compared = Compare({1, 2, 3, 4}, {2, 2, 5, 3});
  CHECK(compared.more == 2);
  CHECK(compared.less == 1);
  CHECK(compared.same == 1);
  CHECK(compared.p == 1);
  CHECK(compared.difference.mean == Approx(0.5));
  CHECK(compared.difference.median == Approx(0.5));
  CHECK(compared.difference.deviation == Approx(std::sqrt(5.0 / 3)));
  CHECK(compared.difference.upper == Approx(1.25));
}

TEST_CASE("a result counts what its record holds, and blames who failed") {
  Story story;
  for (std::uint64_t id = 1; id <= 40; ++id) {
    story.At(100.0 * static_cast<double>(id)).Sent(id);
    // The second machine fails from 2 s on; its tries are answered by the first.
    if (id >= 20 && id < 30) story.Claim(100 + id, id, ClaimEnded::ERROR, 1);
    if (id == 40) {
      story.Ends(id, TryEnded::REFUSED);
    } else {
      story.Claim(id, id, ClaimEnded::SERVED).Ends(id, TryEnded::SERVED, id);
    }
  }
  story.header.mutable_classes(0)->set_worth(2);
  story.header.mutable_classes(0)->set_aim_us(100'000);
  const std::string bytes = story.Bytes();
  bitternmux::lab::record::MemorySource source(bytes);
  const ordered_json result = Analyse(source);
  CHECK(result["outcomes"]["in_time"] == 39);
  CHECK(result["outcomes"]["refused"] == 1);
  CHECK(result["figures"]["worth"] == 0.975);
  CHECK(result["figures"]["claims"] == 1.225);
  CHECK(result["seconds"]["worth"][4] == 0);
  CHECK(result["seconds"]["claims"][2] == 20);
  REQUIRE(result["blame"].size() == 1);
  CHECK(result["blame"][0]["id"] == "s-1");
  CHECK(result["blame"][0]["what"] == "failed");
  CHECK(result["blame"][0]["from_s"] == 2);
  CHECK(result["blame"][0]["until_s"] == 3);
  CHECK(result["blame"][0]["claims"] == 10);
}

TEST_CASE("a report shows a breach, and what a record says does nothing in it but show") {
  const Folder folder;
  Story story;
  story.header.set_scenario("<script>alert('`x`')</script>");
  story.At(10).Sent(1).Claim(1, 1, ClaimEnded::ERROR).Ends(1, TryEnded::SERVED, 1);
  auto& trouble = *story.Add().mutable_trouble();
  trouble.set_name("<b>'; system \"touch /tmp/x\" '&");
  trouble.set_begins(true);
  const std::string record = folder.Write("day.record", story.Bytes());
  const auto [code, text] = Lab("report " + record);
  INFO(text);
  REQUIRE(code == 0);
  const std::string page = folder.Read("day.record.report/report.html");
  CHECK(page.find("<td>answer-unmade</td>") != std::string::npos);
  CHECK(page.find("n0 served it with claim 1 at s-0 (ERROR)") != std::string::npos);
  CHECK(page.find("&lt;script&gt;") != std::string::npos);
  CHECK(page.find("<script") == std::string::npos);
  CHECK(page.find("<b>'") == std::string::npos);
  CHECK(page.find("src=\"") == std::string::npos);  // it stands by itself
  CHECK(page.find("</svg>") != std::string::npos);
  CHECK(fs::exists(folder.path / "day.record.report/figures/day-latency.csv"));
  CHECK(Lab("report " + folder.Write("noise", "noise")).first == 2);
}

TEST_CASE("a sweep's report holds the settings against each other") {
  const Folder folder;
  folder.Write("short.toml", kDay);
  const std::string out = (folder.path / "out").string();
  CHECK(Lab("sweep " + folder.Write("experiment.toml", kExperiment) + " --out " + out).first == 0);
  CHECK(Lab("report " + out) == std::pair(0, out + "/report.html\n"));
  const auto comparisons = ordered_json::parse(folder.Read("out/comparisons.json"));
  const auto worth = std::find_if(comparisons.begin(), comparisons.end(),
                                  [](const ordered_json& one) { return one["measure"] == "worth"; });
  REQUIRE(worth != comparisons.end());
  CHECK((*worth)["with"] == "plain");
  CHECK((*worth)["this"] == "longer");
  CHECK((*worth)["pairs"] == 3);
  const auto result = [&](const std::string& setting, int seed) {
    return ordered_json::parse(folder.Read("out/runs/short." + setting + ".this." + std::to_string(seed) +
                                           ".json"))["result"]["figures"]["worth"]
        .get<double>();
  };
  double difference = 0;
  for (int seed = 1; seed <= 3; ++seed) difference += result("longer", seed) - result("plain", seed);
  CHECK((*worth)["difference_mean"].get<double>() == Approx(difference / 3));
  CHECK(folder.Read("out/report.html").find("sign test p") != std::string::npos);
}

TEST_CASE("a record and that of the calm day tell the way back as the run does, and a sweep plays the pair") {
  const Folder folder;
  const std::string day =
      folder.Write("short.toml", std::string(kDay).replace(kDay.find("length_s = 3"), 12, "length_s = 12"));
  const std::string at = (folder.path / "day").string();
  REQUIRE(Lab("run " + day + " --back --record " + at + ".record --json " + at + ".json").first == 0);
  REQUIRE(Lab("report " + at + ".record --calm " + at + ".record.calm").first == 0);
  const auto run = ordered_json::parse(folder.Read("day.json"))["back"];
  CHECK(ordered_json::parse(folder.Read("day.record.report/result.json"))["back"] == run);
  CHECK(fs::exists(folder.path / "day.record.report/figures/day-back.csv"));
  REQUIRE(Lab("run " + day + " --seed 99 --record " + at + ".other").first == 0);
  CHECK(Lab("report " + at + ".record --calm " + at + ".other").first == 2);  // of another day

  const std::string out = (folder.path / "out").string();
  CHECK(Lab("sweep " + folder.Write("experiment.toml", "back = true\n" + kExperiment) + " --out " + out)
            .first == 0);
  CHECK(Lab("report " + out).first == 0);
  const auto comparisons = ordered_json::parse(folder.Read("out/comparisons.json"));
  const auto full = std::find_if(comparisons.begin(), comparisons.end(),
                                 [](const ordered_json& one) { return one["measure"] == "full_service_s"; });
  REQUIRE(full != comparisons.end());
  CHECK((*full)["pairs"] == 3);
}
