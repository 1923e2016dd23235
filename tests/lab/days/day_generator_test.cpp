#include "lab/days/day_generator.h"

#include <toml++/toml.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>

namespace bitternmux::lab::days {
namespace {

// A site file of this process's own: tests run beside each other.
class Site {
 public:
  Site() : path_(std::filesystem::temp_directory_path() / ("site-" + std::to_string(getpid()) + ".toml")) {
    std::ofstream(path_) << "[[day]]\nname = \"quiet\"\ntraffic = [ { zone = \"z\", per_s = 3.0 } ]\n";
  }
  ~Site() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  const std::filesystem::path path_;
};

}  // namespace

TEST_CASE("day generator: a day is TOML with the site's traffic, the same for the same seed") {
  const Site site;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const std::string text = MakeDay(site.path(), seed);
    CHECK(text == MakeDay(site.path(), seed));
    const toml::table day = toml::parse(text);
    CHECK(day["traffic"].as_array()->size() == 1);
    CHECK(day["plan"].as_array()->size() + day["faults"].as_array()->size() >= 6);
    for (const char* part : {"plan", "faults"}) {
      for (const toml::node& node : *day[part].as_array()) {
        const toml::table& entry = *node.as_table();
        CHECK(entry["at"].value<double>().value_or(-1) >= 2);
        CHECK(entry["kind"].is_string());
      }
    }
  }
}

TEST_CASE("day generator: over some days each kind and each form of the closing fault comes") {
  const Site site;
  std::set<std::string> kinds, closings;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const toml::table day = toml::parse(MakeDay(site.path(), seed));
    for (const char* part : {"plan", "faults"}) {
      for (const toml::node& node : *day[part].as_array())
        kinds.insert((*node.as_table())["kind"].value_or(std::string()));
    }
    closings.insert(day["closing"]["kind"].value_or(std::string("none")) + " " +
                    day["closing"]["how"].value_or(std::string()));
  }
  for (const char* kind :
       {"core_cut", "herd_kill", "node_freeze", "replace_core", "seed_turnover", "disk_full", "disk_stall",
        "clock_step", "after_ack_wipe", "release", "config_race"}) {
    INFO(kind);
    CHECK(kinds.contains(kind));
  }
  CHECK(closings.size() == 8);
}

TEST_CASE("day generator: a site that is none is told") {
  CHECK_THROWS_AS(MakeDay("/nonexistent.toml", 1), SiteError);
}

}  // namespace bitternmux::lab::days
