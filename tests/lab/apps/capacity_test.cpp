// bitternmux-lab capacity as it is called: what it writes and its exit codes, on a copy of the page.
#include <sys/wait.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>

namespace {

namespace fs = std::filesystem;

// A folder with copies of our page and rows, and no results; gone with it.
class Copy {
 public:
  Copy() {
    std::string name = (fs::temp_directory_path() / "capacity-XXXXXX").string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder_ = name;
    fs::create_directory(folder_ / "results");
    fs::copy_file(fs::path(BITTERNMUX_DOCS) / "CAPACITY.md", page());
    fs::copy_file(fs::path(BITTERNMUX_DOCS) / "capacity" / "rows.toml", folder_ / "rows.toml");
  }
  ~Copy() { fs::remove_all(folder_); }
  Copy(const Copy&) = delete;
  Copy& operator=(const Copy&) = delete;

  fs::path page() const { return folder_ / "CAPACITY.md"; }
  std::string Page() const {
    std::ifstream in(page());
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }
  void Write(const std::string& file, const std::string& text) const {
    std::ofstream(folder_ / file) << text;
  }

  // Its exit code, and its standard output and error.
  std::pair<int, std::string> Run(const std::string& arguments) const {
    const std::string command = std::string(BITTERNMUX_LAB_PROGRAM) + " capacity --rows " +
                                (folder_ / "rows.toml").string() + " --page " + page().string() + " " +
                                arguments + " 2>&1";
    FILE* const pipe = ::popen(command.c_str(), "r");
    std::string out;
    std::array<char, 4096> bytes;
    while (const auto count = std::fread(bytes.data(), 1, bytes.size(), pipe))
      out.append(bytes.data(), count);
    const int status = ::pclose(pipe);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
  }

 private:
  fs::path folder_;
};

std::string Result(const std::string& voided, const std::string& figure) {
  return R"({"format": 1, "command": "bitternmux-lab scale", "commit": "abc", "machine": {"cores": 8},)"
         R"( "void": )" +
         voided + R"(, "plays": [{"part": "scale", "at": {"size": 80}, "seed": 1, "figures": {")" + figure +
         R"(": 1}}]})";
}

bool Holds(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}  // namespace

TEST_CASE("capacity writes the tables, checks them, and names the line of a digit that was changed") {
  const Copy copy;
  REQUIRE(copy.Run("--write") == std::pair(0, std::string()));
  CHECK(copy.Run("--check") == std::pair(0, std::string()));
  const std::string page = copy.Page();
  std::string changed = page;
  const std::size_t at = changed.find("| 630 |");
  REQUIRE(at != std::string::npos);
  changed[at + 2] = '7';
  copy.Write("CAPACITY.md", changed);
  const auto [code, out] = copy.Run("--check");
  CHECK(code == 1);
  CHECK(Holds(out, "| 730 |"));
  CHECK(Holds(out, "should be \"| quote servers, each with a sidecar of its own | 630 |"));
  CHECK(copy.Page() == changed);
  CHECK(copy.Run("--write").first == 0);
  CHECK(copy.Page() == page);
}

TEST_CASE("capacity takes the results beside the rows, and refuses void ones and what it cannot read") {
  const Copy copy;
  copy.Write("results/one.json", Result("null", "figure.of_no_row"));
  const auto [code, out] = copy.Run("");
  CHECK(code == 0);
  CHECK(Holds(out, "`one.json`"));
  CHECK(Holds(out, "figure figure.of_no_row of part scale: no row\n"));
  copy.Write("results/one.json", Result("\"late by 40 ms\"", "f"));
  const auto [refused, why] = copy.Run("--write");
  CHECK(refused == 2);
  CHECK(Holds(why, "one.json: void: the run is void and gives no figures: late by 40 ms"));
  CHECK(copy.Run("/no/such/file.json").first == 2);
  CHECK(copy.Run("--write --check").first == 2);
  copy.Write("rows.toml", "[size]\n");
  CHECK(copy.Run("--check").first == 2);
}
