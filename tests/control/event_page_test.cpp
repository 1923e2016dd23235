// The operators' page names every event of the fleet's programs.
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace {

std::string Text(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

TEST_CASE("fleet events: each has a line on the operators' page") {
  const std::string catalogue = Text(BITTERNMUX_SOURCE "/src/events/fleet_catalogue.h");
  const std::string page = Text(BITTERNMUX_SOURCE "/docs/operators/fleet.md");
  std::size_t events = 0;
  for (std::size_t at = catalogue.find("EventKind k"); at != std::string::npos;
       at = catalogue.find("EventKind k", at + 1)) {
    const std::size_t begin = catalogue.find('"', at) + 1;
    const std::string name = catalogue.substr(begin, catalogue.find('"', begin) - begin);
    INFO(name);
    CHECK(page.find("`" + name + "`") != std::string::npos);
    ++events;
  }
  CHECK(events > 10);
}
