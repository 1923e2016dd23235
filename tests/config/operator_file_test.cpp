// The operator file: what is read, and that each fault names its place and its key.
#include "config/operator_file.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace bitternmux::schema {
namespace {

enum class Mode { kFew, kMany };

// One key of each kind, in a subsystem that is on and one that may be off.
struct Parts {
  struct Always {
    Mode mode = Mode::kFew;
    bool quick = false;
  } always;
  struct Gateway {
    std::string site;
    int most = 8;
    double share = 0.25;
  };
  std::optional<Gateway> gateway;

  std::vector<Table> Tables() {
    return {TableOf("always", always, "is on",
                    {OneOf("mode", &Always::mode, {{"few", Mode::kFew}, {"many", Mode::kMany}}, "how many"),
                     Flag("quick", &Always::quick, "in haste")}),
            TableOf("gateway", gateway, "may be off",
                    {Text("site", &Gateway::site, "where to"),
                     Whole("most", &Gateway::most, 1, 64, "requests", "open at once"),
                     Number("share", &Gateway::share, 0, 1, "", "of the load")})};
  }
};

struct File {
  explicit File(const std::string& text) { std::ofstream(path) << text; }
  ~File() { std::filesystem::remove(path); }
  const std::string path =
      (std::filesystem::temp_directory_path() / ("operator-" + std::to_string(::getpid()) + ".toml"))
          .string();
};

}  // namespace

TEST_CASE("each fault of the operator file names file, line, column and key") {
  const std::string gateway = "[gateway]\nsite = 'x'\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"[alwyas]\n", ":1:2: alwyas: unknown table, did you mean 'always'?"},
      {"[nowhere]\n", ":1:2: nowhere: unknown table"},
      {"always = 3\n", ":1:1: always: must be a table, [always]"},
      {"[[always]]\n", ":1:3: always: must be a table, [always]"},
      {"[always]\n\n  mdoe = 'few'\n", ":3:3: always.mdoe: unknown key, did you mean 'mode'?"},
      {"[always]\nmode = 'some'\n", ":2:8: always.mode: must be few or many, not 'some'"},
      {"[always]\nquick = 1\n", ":2:9: always.quick: must be true or false, not 1"},
      {"[gateway]\n", ":1:2: gateway.site: missing, must be a text that is not empty"},
      {"[gateway]\nsite = ''\n", ":2:8: gateway.site: must be a text that is not empty, not ''"},
      {gateway + "most = 65\n", ":3:8: gateway.most: must be a whole number from 1 to 64, not 65"},
      {gateway + "most = 4294967297\n", ":3:8: gateway.most: must be a whole number"},
      {gateway + "most = 2.5\n", ":3:8: gateway.most: must be a whole number from 1 to 64, not 2.5"},
      {gateway + "most = [2]\n", ":3:8: gateway.most: must be a whole number from 1 to 64, not a list"},
      {gateway + "share = nan\n", ":3:9: gateway.share: must be a number from 0 to 1, not nan"},
      {gateway + "share = '1'\n", ":3:9: gateway.share: must be a number from 0 to 1, not '1'"},
      {gateway + "site = 'y'\n", ":3:"},  // twice
      {"[always\n", ":1:8: "},
  };
  for (const auto& [text, fault] : cases) {
    INFO(text);
    const File file(text);
    Parts parts;
    const Result result = Read(parts.Tables(), file.path, {});
    REQUIRE(result.faults.size() == 1);
    CHECK_THAT(result.faults[0], Catch::StartsWith(file.path + fault));
  }
}

TEST_CASE("all faults are told, in the order of the file, and a file that cannot be read is one") {
  const File file("[gateway]\nmost = 0\nsite = 1\n[always]\nmode = 2\n");
  Parts parts;
  const auto faults = Read(parts.Tables(), file.path, {{"always", "mode", "x", "option --mode"}}).faults;
  REQUIRE(faults.size() == 4);
  CHECK_THAT(faults[0], Catch::Contains(":2:8: gateway.most"));
  CHECK_THAT(faults[1], Catch::Contains(":3:8: gateway.site"));
  CHECK_THAT(faults[2], Catch::Contains(":5:8: always.mode"));
  CHECK(faults[3] == "option --mode: must be few or many, not 'x'");
  const std::string folder = std::filesystem::temp_directory_path().string();
  CHECK(Read(parts.Tables(), folder, {}).faults == std::vector<std::string>{folder + ": cannot be read"});
}

TEST_CASE("values come from the file, an option or their defaults, and say so") {
  const std::string text = GENERATE(std::string(), std::string("[gateway]\nshare = 1\nsite = 'x'\n"));
  const File file("[always]\nquick = true\n" + text);
  Parts parts;
  const Result result = Read(parts.Tables(), file.path, {{"always", "mode", "many", "option --mode"}});
  CHECK(result.faults.empty());
  CHECK(parts.always.mode == Mode::kMany);
  CHECK(parts.always.quick);
  std::string shown;
  for (const Shown& one : result.shown) {
    shown += one.key + "=" + one.value + one.unit + " (" + one.origin + ") ";
  }
  if (text.empty()) {
    CHECK_FALSE(parts.gateway);
    CHECK(result.off == std::vector<std::string>{"gateway"});
    CHECK(shown == "always.mode=many (option --mode) always.quick=true (line 2) ");
  } else {
    CHECK(parts.gateway->share == 1);
    CHECK_THAT(shown, Catch::EndsWith("gateway.site=x (line 5) gateway.most=8requests (default) "
                                      "gateway.share=1 (line 4) "));
  }
}

}  // namespace bitternmux::schema
