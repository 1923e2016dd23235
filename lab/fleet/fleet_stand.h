// A small fleet on loopback: three control machines and one edge machine or more as processes of the built
// programs, between a platform, servers, an operator and clients of our own. Each machine has an address of
// 127.0.0.0/8.
#ifndef BITTERNMUX_LAB_FLEET_FLEET_STAND_H_
#define BITTERNMUX_LAB_FLEET_FLEET_STAND_H_

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/parser.h"
#include "lab/fleet/link_relay.h"
#include "lab/fleet/process.h"
#include "lab/fleet/scripted_server.h"

namespace bitternmux::lab::fleet {

struct Programs {
  std::string router, agent, control;
};

// An answer as a client or the operator got it.
struct Reply {
  int status = 0;  // 0: none came
  bool whole = false;
  http::Message message;
};

// A request of a client; what is empty is left out.
struct ClientRequest {
  std::string path, id, key, body;
  std::string token_count, prompt_prefix;
};

// A server that somebody else has started.
struct ListedServer {
  std::string id, service, address;
};

// The limits of one process, as its settings name them.
struct ProcessLimits {
  std::size_t memory_mb = 0, max_fds = 0;  // 0: not named
};

class FleetStand {
 public:
  static constexpr std::size_t kControls = 3;  // that the fleet starts with
  static constexpr std::size_t kSpares = 1;    // that may be started later
  static constexpr std::size_t kMostEdges = 40;
  static constexpr const char* kHost = "desk.example";
  static constexpr const char* kZone = "z";  // of all machines, and of servers that are not placed elsewhere
  static constexpr const char* kOtherZone = "other";

  // How machines reach the control machines' internal addresses.
  enum class Ways { kDirect, kRelayed };

  // Two servers of the service "model" and two of the service "sheets". At most kMostEdges edge machines.
  explicit FleetStand(Programs programs, Ways ways = Ways::kDirect, std::size_t edges = 1);
  ~FleetStand();

  // Of all processes that are started from now on. The kernel holds them to their descriptors too.
  void LimitProcesses(ProcessLimits limits) { limits_ = limits; }
  // The platform lists these in place of the stand's own servers.
  void ListOnly(std::vector<ListedServer> servers);
  // Starts all programs, and waits as BecomesReady does.
  bool Start();
  // Waits until all programs have started, has the first configuration taken, and waits until the routers are
  // ready. Its limits guard against hanging and are no bounds of a rule. False: `lacking` tells what did not
  // come, and of which program.
  bool BecomesReady();
  const std::string& lacking() const { return lacking_; }
  // A configuration of that version: /quote/ (streaming, resumable), /draft/ (streaming, once), /sheet/
  // (once) and /read/ (safe), keys "key-a" and "key-b".
  static std::string Configuration(std::uint64_t version, const std::string& more_routes = "");

  // The operator: to one control machine, and on to where it is sent.
  Reply Put(const std::string& body, std::uint64_t if_match, std::size_t control = 0);
  // The same, from one machine to the next until there is a clear answer.
  Reply PutAnywhere(const std::string& body, std::uint64_t if_match);
  Reply Get(const std::string& path, std::size_t control = 0);
  Reply Post(const std::string& path, const std::string& body, std::size_t control = 0);
  // The control machine that answers for the configuration; kControls if none does.
  std::size_t Owner();
  std::string ControlAddress(std::size_t i) const;
  // The address that others reach its links at: its name for the relay.
  std::string InternalAddress(std::size_t i) const;
  // Only where the ways are relayed.
  LinkRelay& relay() { return *relay_; }
  // Cuts it off from all other control machines, in both directions. Agents and operators reach it.
  void CutOff(std::size_t i);

  Reply Ask(const ClientRequest& request);
  std::string front(std::size_t edge = 0) const { return edges_[edge].front; }
  std::string readiness(std::size_t edge = 0) const { return edges_[edge].readiness; }
  // Where the agent listens for the router beside it.
  std::string AgentAddress(std::size_t edge = 0) const;

  // A server's usual script: checks what it is sent, runs it, and answers with a stamp.
  ScriptedServer::Script Usual(const std::string& id);
  ScriptedServer& server(const std::string& id) { return *servers_.at(id)->server; }
  // Requests that ran, by their ids.
  std::map<std::string, int> Runs();
  void CountRun(const std::string& request);
  // The platform's list shows it as draining.
  void Drain(const std::string& id);
  // The platform's list shows it in that zone, kZone or kOtherZone.
  void Place(const std::string& id, const std::string& zone);

  std::size_t edges() const { return edges_.size(); }
  Process& router(std::size_t edge = 0) { return *edges_[edge].router; }
  Process& agent(std::size_t edge = 0) { return *edges_[edge].agent; }
  Process& control(std::size_t i) { return *controls_[i]; }
  void StartRouter(std::size_t edge = 0);
  void StartAgent(std::size_t edge = 0);
  void StartControl(std::size_t i, bool bootstrap);
  void KillControl(std::size_t i);
  // The folder of its data, whether it runs or not.
  std::string DataFolder(std::size_t i) const;
  void KillRouter(std::size_t edge = 0);
  void KillAgent(std::size_t edge = 0);
  // The last lines of each program's log, those of processes that were killed or replaced too.
  std::string Logs();

 private:
  struct Server {
    std::string service;
    bool draining = false;
    std::string zone = kZone;
    std::unique_ptr<ScriptedServer> server;
  };
  std::string List();
  std::string WriteSettings(const std::string& name, const std::string& text);
  std::unique_ptr<Process> StartProgram(const std::string& program, const std::string& settings);
  std::string EdgeSettings(std::size_t edge);
  std::string ControlSettings(std::size_t i, bool bootstrap);
  std::string BackendAddress(std::size_t i) const;
  // The slot of a program takes the new process. The log of the one that it held is kept, and that ends.
  void Replace(const std::string& name, std::unique_ptr<Process>& slot, std::unique_ptr<Process> process);
  bool Awaits(const std::string& name, Process& process, const std::string& text);
  Reply Operate(const std::string& method, const std::string& address, const std::string& path,
                const std::string& body, std::uint64_t if_match);

  const Programs programs_;
  ProcessLimits limits_;
  std::string folder_;
  std::uint16_t port_ = 0;  // of all control interfaces; internal ones follow
  struct Edge {
    std::string front, readiness;
    std::unique_ptr<Process> router, agent;
  };
  std::vector<Edge> edges_;
  std::mutex mutex_;  // guards what the servers' threads share
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::vector<ListedServer> listed_only_;
  std::map<std::string, int> runs_;
  std::unique_ptr<ScriptedServer> platform_;
  std::unique_ptr<LinkRelay> relay_;  // null: the ways are direct
  std::array<std::unique_ptr<Process>, kControls + kSpares> controls_;
  std::map<std::string, std::string> ended_logs_;  // of processes that were killed or replaced, by program
  std::string lacking_;
};

// Sends bytes to an address and reads one answer to its end.
Reply RoundTrip(const std::string& address, const std::string& bytes);

}  // namespace bitternmux::lab::fleet

#endif  // BITTERNMUX_LAB_FLEET_FLEET_STAND_H_
