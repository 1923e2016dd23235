// The project's three programs, started as the deploy file says, between stand-ins of platform and servers.
#ifndef BITTERNMUX_REVIEW_FLEET_H_
#define BITTERNMUX_REVIEW_FLEET_H_

#include "stand.h"

namespace stand {

class Fleet {
 public:
  static constexpr int kControls = 3;
  struct Edge {
    std::string name, front, readiness, settings;
    std::unique_ptr<Process> router, agent;
  };
  struct Control {
    std::string name, address, data;
    std::unique_ptr<Process> process;
  };

  Fleet(const std::string& root, const std::string& platform, int edges)
      : root_(root), platform_(platform), folder_(TemporaryFolder()), port_(FreePort()) {
    for (int i = 0; i < kControls; ++i) {
      Control control;
      control.name = std::string("core-") + kZones[i] + "-1";
      control.address = Ip(1 + i) + ":" + std::to_string(port_ + 20);
      control.data = folder_ + "/" + control.name;
      seeds_.push_back(control.address);
      controls.push_back(std::move(control));
    }
    for (int i = 0; i < edges; ++i) {
      Edge edge;
      edge.name = std::string("edge-") + kZones[i % 4] + "-" + std::to_string(1 + i / 4);
      edge.front = Ip(100 + i) + ":" + std::to_string(port_ + 21);
      edge.readiness = Ip(100 + i) + ":" + std::to_string(port_ + 22);
      edge.settings = folder_ + "/" + edge.name + ".yaml";
      std::ofstream(edge.settings)
          << "node_name: \"" << edge.name
          << "\"\nrole: \"edge\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\nip: \"" << Ip(100 + i)
          << "\"\nzone: \"" << kZones[i % 4] << "\"\nlisten:\n  front: \"" << edge.front
          << "\"\n  readiness: \"" << edge.readiness << "\"\nbootstrap: true\ncounts_for_quorum: false\n"
          << "limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: "
             "1000.0\n"
          << "  disk_mb: 0\ndata_dir: null\nbitternmux:\n  agent_listen: \"" << Ip(100 + i) << ":"
          << port_ + 23 << "\"\n"
          << CommonSettings(platform_, seeds_, port_);
      this->edges.push_back(std::move(edge));
    }
  }
  ~Fleet() {
    for (Edge& edge : edges) {
      edge.router.reset();
      edge.agent.reset();
    }
    for (Control& control : controls) control.process.reset();
    std::filesystem::remove_all(folder_);
  }

  void StartControl(int i, bool first) {
    Control& control = controls[i];
    std::filesystem::create_directories(control.data);
    const std::string settings = folder_ + "/" + control.name + ".yaml";
    std::ofstream(settings)
        << "node_name: \"" << control.name << "\"\nrole: \"control\"\nmachine_class: \"core\"\nserves:\n"
        << "  - \"control_plane\"\nip: \"" << Ip(1 + i) << "\"\nzone: \"" << kZones[i]
        << "\"\nlisten:\n  control: \"" << control.address << "\"\nbootstrap: " << (first ? "true" : "false")
        << "\ncounts_for_quorum: true\n"
        << "limits:\n  cpu_share: 0.6\n  cores: 1\n  memory_mb: 256\n  max_fds: 4096\n  link_mbps: 1000.0\n"
        << "  disk_mb: 128\ndata_dir: \"" << control.data << "\"\n"
        << CommonSettings(platform_, seeds_, port_);
    control.process = std::make_unique<Process>(root_, "target/bitternmux-control", settings,
                                                folder_ + "/" + control.name + ".log");
  }
  void StartRouter(Edge& edge) {
    edge.router = std::make_unique<Process>(root_, "target/bitternmux-router", edge.settings,
                                            folder_ + "/" + edge.name + "-router.log");
  }
  void StartAgent(Edge& edge) {
    edge.agent = std::make_unique<Process>(root_, "target/bitternmux-agent", edge.settings,
                                           folder_ + "/" + edge.name + "-agent.log");
  }
  void StartAll() {
    for (int i = 0; i < kControls; ++i) StartControl(i, true);
    for (Edge& edge : edges) {
      StartAgent(edge);
      StartRouter(edge);
    }
  }
  // A call of the operator, as PROTOCOL.md says. 0: no clear answer in that time.
  Reply Operator(const std::string& method, const std::string& body, int builds_on, double for_ms,
                 int first = 0) {
    const double until_ms = NowMs() + for_ms;
    double pause_ms = 100;
    int at = first, redirects = 0;
    Reply reply;
    while (NowMs() < until_ms) {
      const std::string headers = method == "PUT" ? "If-Match: " + std::to_string(builds_on) +
                                                        "\r\nContent-Type: application/json\r\n"
                                                  : "";
      reply = Call(controls[at].address, method, "/config", headers, body, 1000);
      if (reply.status == 200 ||
          (reply.status / 100 == 4 && reply.status != 408 && reply.status != 429 && reply.status != 404))
        return reply;
      if (reply.status == 307 && redirects < 2) {
        ++redirects;
        for (int i = 0; i < kControls; ++i)
          if (reply.Header("Location").find(controls[i].address) != std::string::npos) at = i;
        continue;
      }
      redirects = 0;
      SleepMs(pause_ms);
      pause_ms = std::min(1000.0, 1.5 * pause_ms);
      at = (at + 1) % kControls;
    }
    reply.status = 0;
    return reply;
  }
  bool Ready(const Edge& edge) { return Call(edge.readiness, "GET", "/readyz", "", "", 1000).status == 200; }
  bool AwaitReady(double for_ms) {
    const double until_ms = NowMs() + for_ms;
    for (Edge& edge : edges)
      while (!Ready(edge)) {
        if (NowMs() > until_ms) return false;
        SleepMs(50);
      }
    return true;
  }

  std::vector<Edge> edges;
  std::vector<Control> controls;
  static constexpr const char* kZones[4] = {"matosinhos", "maia", "braga", "valenca"};

 private:
  const std::string root_;
  const std::string platform_, folder_;
  const int port_;
  std::vector<std::string> seeds_;
};

}  // namespace stand

#endif  // BITTERNMUX_REVIEW_FLEET_H_
