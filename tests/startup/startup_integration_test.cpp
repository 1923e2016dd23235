// Runs the built program through the start-up states, as the operator API and the log report them, and in a
// crash loop.
#include <catch2/catch.hpp>

#include "support/peers.h"

namespace bitternmux::peers {
namespace {

std::string CallOperatorApi(int door, const std::string& path) {
  Peer caller = Dial(door);
  caller.Send("GET " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
  return caller.Read();
}

std::string StateOf(Program& program) {
  const std::string answer = CallOperatorApi(program.door(), "/admin/stats");
  const auto figures = nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n")));
  CHECK(figures["state_ms"].get<int>() >= 0);
  return figures["state"];
}

struct StateFolder {
  StateFolder() {
    std::string made = (std::filesystem::temp_directory_path() / "comeback-XXXXXX").string();
    if (::mkdtemp(made.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path = made;
    std::ofstream(path / "operator.toml") << "[comeback]\nfolder = '" << made << "'\n";
  }
  ~StateFolder() { std::filesystem::remove_all(path); }
  std::vector<std::string> Arguments() const { return {"--operator", (path / "operator.toml").string()}; }
  std::filesystem::path path;
};

}  // namespace

TEST_CASE(
    "from a partly outdated list and a silent discovery to full: operator API and log report each state") {
  Listener discovery, node, gone;
  const auto all = nlohmann::json::array({Machine("s-0", node.address()), Machine("s-1", gone.address())});
  gone.Close();
  auto config = ConfigOf(discovery.address(), 64, List(41, true, all));
  config["operator"] = "127.0.0.1:0";
  Program program(config);
  Peer submitter = Dial(program.port()), watch = discovery.Accept(), carrier(-1);
  watch.Read();  // discovery accepts the watch but sends nothing
  bool dialed = false;
  const auto ask = [&](const std::string& request) {
    submitter.Send(request);
    if (!std::exchange(dialed, true)) carrier = node.Accept();
    carrier.Read();
    carrier.Send(Served("ok"));
    CHECK(submitter.Read().starts_with("HTTP/1.1 200 "));
  };
  for (int i = 0; i < 12; ++i) ask(i % 2 == 0 ? Get("early") : Post("early"));
  CHECK(StateOf(program) == "remembering");
  const std::string list =
      List(42, true, nlohmann::json::array({Machine("s-0", node.address())})).dump() + "\n";
  watch.Send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + list);
  program.AwaitLog("comeback.state state=listed");
  CHECK(StateOf(program) == "listed");
  ask(Get("first"));
  program.AwaitLog("comeback.state state=learning");
  CHECK(StateOf(program) == "learning");
  for (int i = 0; i < 8; ++i) ask(Post("later"));
  const std::string log = program.AwaitLog("comeback.state state=full");
  CHECK(StateOf(program) == "full");
  std::size_t state_changes = 0;
  for (auto at = log.find("comeback.state"); at != log.npos; at = log.find("comeback.state", at + 1))
    ++state_changes;
  CHECK(state_changes == 4);
}

TEST_CASE(
    "a program killed repeatedly before it is full starts late, answers 503 and stops at once on request") {
  Listener discovery;
  const StateFolder folder;
  auto config = ConfigOf(discovery.address(), 64, nullptr);
  config["operator"] = "127.0.0.1:0";
  for (int i = 0; i < 7; ++i) {
    Program program(config, folder.Arguments());
    program.door();
    program.Kill();
    program.Exit();
  }
  while (discovery.Waiting()) discovery.Accept();
  {
    Program waiting(config, folder.Arguments());
    waiting.AwaitLog("comeback.held ms=8000 failed=7");
    CHECK(CallOperatorApi(waiting.door(), "/admin/health").starts_with("HTTP/1.1 503 "));
    CHECK(StateOf(waiting) == "held");
    CHECK_FALSE(discovery.Waiting());
    waiting.Terminate();
    CHECK(waiting.Exit() == 0);
    CHECK(waiting.AwaitLog("stopped").find(" serving ") == std::string::npos);
  }
  // A truncated file counts as no earlier start, and the log says so.
  std::ofstream(folder.path / "bitternmux-127.0.0.1-0.starts") << "bitternmux starts 1\n17960";
  Program free(config, folder.Arguments());
  free.port();
  CHECK(free.AwaitLog("serving").find("comeback.starts why=\"torn, or not ours\"") != std::string::npos);
}

}  // namespace bitternmux::peers
