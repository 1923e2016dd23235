#include "lab/scale/play.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <future>
#include <memory>
#include <mutex>
#include <numeric>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include "lab/load/generator.h"
#include "lab/scale/discovery.h"
#include "lab/scale/hollow_sidecar.h"
#include "lab/scale/quote_servers.h"
#include "lab/scale/real_sidecars.h"

namespace bitternmux::lab::scale {
namespace {

constexpr double kSettleMs = 500;     // of calm, between two phases
constexpr double kReadyMs = 60'000;   // for all sidecars to have the list
constexpr double kReachMs = 15'000;   // for one change to be in force everywhere
constexpr double kLookMs = 2;         // between two looks at what is waited for
constexpr double kSilentShare = 0.1;  // of the watches, where some fall silent
constexpr double kRestartMs = 520;    // from SIGTERM to a change, while sidecars end and start
constexpr double kBurstMs = 150;      // in which a sidecar has taken one line in
constexpr int kBurstLines = 4;        // of each length but the longest, which keeps the hollow ones busy
constexpr double kOpenS = 0.6;        // of calls that open connections
constexpr int kTries = 3;             // of these
constexpr int kHoldMs = 300;          // of an answer, meanwhile
constexpr std::size_t kLoadConnections = 16;

void Sleep(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

// The value that so many of them do not exceed; 0 if there are none.
double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::min(values.size(), std::max<std::size_t>(1, rank)) - 1];
}

// The most of these times that fall in any window so long.
double MostIn(std::vector<double> times_ms, double window_ms) {
  std::sort(times_ms.begin(), times_ms.end());
  std::size_t most = 0, first = 0;
  for (std::size_t i = 0; i < times_ms.size(); ++i) {
    while (times_ms[i] - times_ms[first] >= window_ms) ++first;
    most = std::max(most, i - first + 1);
  }
  return static_cast<double>(most);
}

class Play {
 public:
  Play(const Scenario& scenario, const Plan& plan, const std::string& program,
       const std::function<void(const std::string&)>& tell)
      : scenario_(scenario),
        plan_(plan),
        program_(program),
        tell_(tell),
        servers_(plan.size),
        discovery_(plan, servers_.Addresses()),
        hollow_(scenario, plan, discovery_.AddressOf(kHollow)),
        real_(scenario, plan, program, discovery_.AddressOf(kReal)) {}

  Played Run() {
    AwaitReady();
    Phase("idle", &Play::Idle);
    Phase("changes", &Play::Changes);
    Phase("entries", &Play::Entries);
    Phase("lists", &Play::Lists);
    Phase("broken watches", &Play::Broken);
    Phase("in force", &Play::InForce);
    Phase("connections", &Play::Connections);
    Phase("calls", &Play::Calls);
    At({})["call.connections"] = Each(kReal, static_cast<double>(servers_.Count().open_in_all()));
    Phase("in force under calls", &Play::InForceUnderCalls);
    Phase("reload", &Play::Reload);
    Phase("silent watches", &Play::Silent);
    Phase("restart", &Play::Restart);
    return std::move(played_);
  }

 private:
  using Figures = std::map<std::string, double>;

  // What all there is to count was before and after some time.
  struct Reading {
    double at_ms;
    std::vector<Usage> real;
    Counts counts;
    double discovery_cpu_ms, hollow_cpu_ms;
  };

  void Phase(const std::string& name, void (Play::*phase)()) {
    tell_(name);
    Sleep(kSettleMs);
    discovery_.thread().TakeWorstLateMs();
    servers_.thread().TakeWorstLateMs();
    (this->*phase)();
    const double discovery_ms = discovery_.thread().TakeWorstLateMs(),
                 servers_ms = servers_.thread().TakeWorstLateMs();
    At({})["own.late_ms"] = std::max({At({})["own.late_ms"], discovery_ms, servers_ms});
    if (discovery_ms > scenario_.slack_ms) Void(name, "discovery", discovery_ms);
    if (servers_ms > scenario_.slack_ms) Void(name, "quote servers", servers_ms);
    if (!real_.AllRun()) throw std::runtime_error("a sidecar ended by itself during phase " + name);
  }

  void Void(const std::string& phase, const std::string& what, double late_ms) {
    if (!played_.void_reason.empty()) return;
    played_.void_reason = "phase " + phase + ": what stands in for " + what + " was " +
                          std::to_string(std::lround(late_ms)) + " ms late by itself";
  }

  // The figures at that point, so far.
  Figures& At(const std::map<std::string, double>& sweep) {
    for (Entry& entry : played_.entries) {
      if (entry.sweep == sweep) return entry.figures;
    }
    played_.entries.push_back({sweep, {}});
    return played_.entries.back().figures;
  }

  Reading Read() {
    return {NowMs(), real_.UseAll(), discovery_.Count(), discovery_.thread().CpuMs(), hollow_.CpuMs()};
  }

  // Of a real sidecar, in the mean.
  double CpuMs(const Reading& from, const Reading& to) const {
    double sum = 0;
    for (std::size_t i = 0; i < to.real.size(); ++i) sum += to.real[i].cpu_ms - from.real[i].cpu_ms;
    return sum / static_cast<double>(to.real.size());
  }
  double CoreShare(const Reading& from, const Reading& to) const {
    return CpuMs(from, to) / (to.at_ms - from.at_ms);
  }
  double MeanMb(const Reading& reading, double Usage::*of) const {
    double sum = 0;
    for (const Usage& usage : reading.real) sum += usage.*of;
    return sum / static_cast<double>(reading.real.size());
  }
  // Of one sidecar of a group, in the mean.
  double Each(Group group, double sum) const {
    const int count = group == kReal ? plan_.real : plan_.hollow;
    return count == 0 ? 0 : sum / count;
  }
  double Bytes(Group group, const Reading& from, const Reading& to) const {
    const DiscoveryCounts &a = from.counts[group], &b = to.counts[group];
    return Each(group, static_cast<double>(b.bytes_in + b.bytes_out - a.bytes_in - a.bytes_out));
  }
  double Of(Group group, std::uint64_t DiscoveryCounts::*what, const Reading& from, const Reading& to) const {
    return Each(group, static_cast<double>(to.counts[group].*what - from.counts[group].*what));
  }

  std::uint64_t Watches() {
    const Counts counts = discovery_.Count();
    return counts[kReal].watches + counts[kHollow].watches;
  }

  bool AllWatch() { return Watches() == static_cast<std::uint64_t>(plan_.real + plan_.hollow); }

  void AwaitReady() {
    tell_("start");
    const double from_ms = NowMs();
    while (true) {
      bool ready = AllWatch() && hollow_.ReachedMs(1).size() == static_cast<std::size_t>(plan_.hollow);
      for (std::size_t i = 0; ready && i < real_.count(); ++i) {
        ready = real_.Figure(i, "discovered") == plan_.size;
      }
      if (ready) break;
      if (NowMs() > from_ms + kReadyMs) throw std::runtime_error("not all sidecars had the list in time");
      Sleep(20);
    }
    At({})["start.ready_ms"] = NowMs() - from_ms;
  }

  // ---- Calm, and what is in proportion to how often something happens ----

  // Real and hollow side by side.
  void Fairness(Figures& figures, const std::string& name, const Reading& from, const Reading& to) const {
    const double seconds = (to.at_ms - from.at_ms) / 1000;
    for (const Group group : {kReal, kHollow}) {
      if (group == kHollow && plan_.hollow == 0) continue;
      const std::string at = name + (group == kReal ? ".real_" : ".hollow_");
      figures[at + "calls_per_s"] = Of(group, &DiscoveryCounts::calls, from, to) / seconds;
      figures[at + "messages_per_s"] = Of(group, &DiscoveryCounts::messages, from, to) / seconds;
      figures[at + "blanks_per_s"] = Of(group, &DiscoveryCounts::blanks, from, to) / seconds;
      figures[at + "bytes_per_s"] = Bytes(group, from, to) / seconds;
    }
  }

  void Idle() {
    const Reading from = Read();
    Sleep(scenario_.idle_s * 1000);
    const Reading to = Read();
    Figures& figures = At({});
    const double seconds = (to.at_ms - from.at_ms) / 1000;
    figures["idle.core_share"] = idle_share_ = CoreShare(from, to);
    double most = 0, wakeups = 0;
    for (std::size_t i = 0; i < real_.count(); ++i) {
      most = std::max(most, (to.real[i].cpu_ms - from.real[i].cpu_ms) / (to.at_ms - from.at_ms));
      wakeups += static_cast<double>(to.real[i].wakeups - from.real[i].wakeups);
    }
    figures["idle.most_core_share"] = most;
    figures["idle.wakeups_per_s"] = wakeups / static_cast<double>(real_.count()) / seconds;
    figures["idle.hollow_core_share"] =
        Each(kHollow, (to.hollow_cpu_ms - from.hollow_cpu_ms)) / seconds / 1e3;
    figures["idle.discovery_core_share"] = (to.discovery_cpu_ms - from.discovery_cpu_ms) / seconds / 1e3;
    figures["memory.resident_mb"] = MeanMb(to, &Usage::resident_mb);
    figures["memory.proportional_mb"] = MeanMb(to, &Usage::proportional_mb);
    figures["calm.list_bytes"] = static_cast<double>(discovery_.ListBytes());
    Fairness(figures, "calm", from, to);
  }

  // Single servers, drained and put back, at a steady rate.
  void Changes() {
    for (const double rate : scenario_.changes_per_s) {
      const auto count = static_cast<int>(rate * scenario_.changes_s) / 2 * 2;
      if (count == 0) continue;
      const Reading from = Read();
      for (int i = 0; i < count; ++i) {
        const double due_ms = from.at_ms + i * 1000 / rate;
        Sleep(std::max(0.0, due_ms - NowMs()));
        discovery_.Change({Changed(i / 2)}, i % 2 == 0 ? "DRAINING" : "SERVING");
      }
      Sleep(std::max(0.0, from.at_ms + count * 1000 / rate - NowMs()));
      const Reading to = Read();
      Figures& figures = At({{"changes_per_s", rate}});
      const double ms = to.at_ms - from.at_ms;
      figures["change.core_share"] = CoreShare(from, to);
      figures["change.cpu_us"] = (CpuMs(from, to) - idle_share_ * ms) * 1000 / count;
      figures["change.discovery_core_share"] = (to.discovery_cpu_ms - from.discovery_cpu_ms) / ms;
      figures["change.messages"] = Of(kReal, &DiscoveryCounts::messages, from, to) / count;
      figures["change.bytes"] = (Bytes(kReal, from, to)) / count;
      Fairness(figures, "change", from, to);
    }
  }

  int Changed(int turn) const { return plan_.changed[static_cast<std::size_t>(turn) % plan_.changed.size()]; }

  // ---- Many at once ----

  // One line that tells of so many: a server, a tenth of a zone, a zone, all.
  void Entries() {
    const int zone = plan_.size / static_cast<int>(plan_.zones.size());
    for (const int entries : std::set<int>{1, std::max(1, zone / 10), std::max(1, zone), plan_.size}) {
      std::vector<int> servers;
      for (int i = 0; i < plan_.size && static_cast<int>(servers.size()) < entries; ++i) {
        // A zone's servers are every so many; all of them take every zone's.
        const int of = entries == plan_.size ? i : i * static_cast<int>(plan_.zones.size());
        if (of < plan_.size) servers.push_back(of);
      }
      const bool all = entries == plan_.size;
      const int lines = all ? 1 : kBurstLines;
      Figures& figures = At({{"entries", static_cast<double>(servers.size())}});
      for (int line = 0; line < lines; ++line) {
        Sleep(kBurstMs);
        const Reading from = Read();
        const double had_ms = discovery_.Change(servers, all || line % 2 == 1 ? "SERVING" : "DRAINING");
        Sleep(kBurstMs);
        const Reading to = Read();
        const std::vector<double> reached = AwaitHollow(discovery_.Revision(), had_ms);
        const auto add = [&](const char* name, double sum) { figures[name] += sum / lines; };
        add("burst.cpu_ms", CpuMs(from, to) - idle_share_ * (to.at_ms - from.at_ms));
        add("burst.messages", Of(kReal, &DiscoveryCounts::messages, from, to));
        add("burst.bytes", Bytes(kReal, from, to));
        add("burst.discovery_cpu_ms", to.discovery_cpu_ms - from.discovery_cpu_ms);
        if (plan_.hollow == 0) continue;
        double& last = figures["burst.hollow_last_ms"];
        last = std::max(last, Percentile(reached, 1));
      }
    }
  }

  // The whole list after a break, again and again: of the real ones alone, since the hollow ones share their
  // threads and would be busy with it for long.
  void Lists() {
    if (scenario_.lists == 0) return;
    discovery_.AlwaysWhole(true);
    const Reading from = Read();
    for (int i = 0; i < scenario_.lists; ++i) {
      discovery_.BreakAll(kReal);
      AwaitAllWatch();
      Sleep(kSettleMs);
    }
    const Reading to = Read();
    discovery_.AlwaysWhole(false);
    Figures& figures = At({});
    const double lists = Of(kReal, &DiscoveryCounts::whole_lists, from, to);
    if (lists == 0) return;
    figures["list.cpu_ms"] = (CpuMs(from, to) - idle_share_ * (to.at_ms - from.at_ms)) / lists;
    figures["list.bytes"] = Bytes(kReal, from, to) / lists;
    figures["list.discovery_cpu_ms"] = (to.discovery_cpu_ms - from.discovery_cpu_ms) / lists / plan_.real;
    figures["list.resident_mb"] = MeanMb(to, &Usage::resident_mb);
  }

  void AwaitAllWatch() {
    const double until_ms = NowMs() + kReachMs;
    while (!AllWatch()) {
      if (NowMs() > until_ms) throw std::runtime_error("not all watches were open again in time");
      Sleep(kLookMs);
    }
  }

  // All watches end at once: who asks again when.
  void Broken() {
    const Reading from = Read();
    discovery_.BreakAll(kReal);
    discovery_.BreakAll(kHollow);
    const double broke_ms = NowMs();
    AwaitAllWatch();
    const double open_ms = NowMs() - broke_ms;
    Sleep(kSettleMs);
    const Reading to = Read();
    std::vector<double> times;
    for (const Group group : {kReal, kHollow}) {
      const auto& all = to.counts[group].call_times_ms;
      times.insert(times.end(),
                   all.begin() + static_cast<std::ptrdiff_t>(from.counts[group].call_times_ms.size()),
                   all.end());
    }
    Figures& figures = At({});
    figures["broken.all_open_ms"] = open_ms;
    figures["broken.worst_100ms_calls"] = MostIn(times, 100);
    figures["broken.worst_1s_calls"] = MostIn(times, 1000);
    figures["broken.calls"] = static_cast<double>(times.size());
    figures["broken.real_calls"] = Of(kReal, &DiscoveryCounts::calls, from, to);
    figures["broken.hollow_calls"] = Of(kHollow, &DiscoveryCounts::calls, from, to);
    figures["broken.bytes"] = Bytes(kReal, from, to);
    figures["broken.discovery_cpu_ms"] = to.discovery_cpu_ms - from.discovery_cpu_ms;
  }

  // ---- In force everywhere ----

  // How long after discovery had it each hollow sidecar went by that version.
  std::vector<double> AwaitHollow(std::int64_t revision, double had_ms) {
    std::vector<double> reached;
    while ((reached = hollow_.ReachedMs(revision)).size() < static_cast<std::size_t>(plan_.hollow)) {
      if (NowMs() > had_ms + kReachMs)
        throw std::runtime_error("a change was not in force everywhere in time");
      Sleep(kLookMs);
    }
    for (double& ms : reached) ms = std::max(0.0, ms - had_ms);
    return reached;
  }

  // The same of the real ones, by what their doors tell: a look at each in turn, so that a time is too long
  // by a look at all of them, at most.
  std::vector<double> AwaitReal(std::int64_t discovered, double had_ms) {
    std::vector<double> reached(real_.count(), -1);
    for (bool all = false; !all;) {
      all = true;
      for (std::size_t i = 0; i < real_.count(); ++i) {
        if (reached[i] >= 0) continue;
        if (real_.Figure(i, "discovered") == discovered) {
          reached[i] = NowMs() - had_ms;
        } else {
          all = false;
        }
      }
      if (NowMs() > had_ms + kReachMs)
        throw std::runtime_error("a change was not in force everywhere in time");
    }
    return reached;
  }

  struct Reached {
    std::vector<double> hollow, real;
  };

  // One server leaves the list.
  Reached Leave(int server) {
    Reached out;
    const double had_ms = discovery_.Change({server}, "DELETED");
    const std::int64_t revision = discovery_.Revision();
    out.real = AwaitReal(plan_.size - 1, had_ms);
    out.hollow = AwaitHollow(revision, had_ms);
    return out;
  }
  void Return(int server) {
    const double had_ms = discovery_.Change({server}, "SERVING");
    AwaitReal(plan_.size, had_ms);
    AwaitHollow(discovery_.Revision(), had_ms);
  }

  void TellReached(const std::string& name, const Reached& reached) {
    Figures& figures = At({});
    for (const auto& [who, times] :
         {std::pair("hollow", &reached.hollow), std::pair("real", &reached.real)}) {
      if (times->empty()) continue;
      const std::string at = "force." + name + "." + who;
      figures[at + "_p50_ms"] = Percentile(*times, 0.5);
      figures[at + "_p99_ms"] = Percentile(*times, 0.99);
      figures[at + "_last_ms"] = Percentile(*times, 1);
    }
  }

  void TimeChanges(const std::string& name, int changes) {
    Reached all;
    for (int i = 0; i < changes; ++i) {
      const Reached one = Leave(Changed(i));
      all.hollow.insert(all.hollow.end(), one.hollow.begin(), one.hollow.end());
      all.real.insert(all.real.end(), one.real.begin(), one.real.end());
      Return(Changed(i));
    }
    TellReached(name, all);
  }

  void InForce() { TimeChanges("calm", scenario_.in_force); }

  void InForceUnderCalls() {
    if (scenario_.load_s <= 0 || scenario_.calls_per_s.empty() || scenario_.in_force == 0) return;
    auto load = std::async(std::launch::async, [this] {
      return LoadSome(real_.count(), scenario_.calls_per_s.front(), scenario_.load_s);
    });
    Sleep(300);
    TimeChanges("calls", std::max(1, scenario_.in_force / 2));
    load.get();
  }

  void Silent() {
    if (scenario_.in_force == 0) return;
    discovery_.Silence(static_cast<int>(1 / kSilentShare));
    TellReached("silent", Leave(Changed(0)));
    Return(Changed(0));
  }

  void Restart() {
    if (scenario_.in_force == 0) return;
    auto change = std::async(std::launch::async, [this] {
      Sleep(kRestartMs);
      const double had_ms = discovery_.Change({Changed(1)}, "DELETED");
      return std::pair(had_ms, AwaitHollow(discovery_.Revision(), had_ms));
    });
    // Not in another thread: with its end they would end.
    const std::vector<double> away_ms = real_.Restart();
    const auto [had_ms, hollow] = change.get();
    TellReached("restart", {hollow, AwaitReal(plan_.size - 1, had_ms)});
    At({})["restart.up_last_ms"] = Percentile(away_ms, 1);
    Return(Changed(1));
  }

  // A file and SIGHUP: each has it in force as its door counts it.
  void Reload() {
    if (scenario_.in_force == 0) return;
    const std::int64_t before = real_.Figure(0, "sighup_applied");
    const double had_ms = NowMs();
    real_.Reload(0.25);
    std::vector<double> reached;
    for (std::size_t i = 0; i < real_.count(); ++i) {
      while (real_.Figure(i, "sighup_applied") != before + 1) {
        if (NowMs() > had_ms + kReachMs) throw std::runtime_error("SIGHUP was not in force in time");
      }
      reached.push_back(NowMs() - had_ms);
    }
    Figures& figures = At({});
    figures["force.file.real_p50_ms"] = Percentile(reached, 0.5);
    figures["force.file.real_last_ms"] = Percentile(reached, 1);
  }

  // ---- Calls ----

  load::Plan LoadOf(const std::string& to, int services, double rate, double seconds) {
    load::Plan load;
    load.to = to;
    for (int i = 0; i < services; ++i) {
      load.classes.push_back({"quote-" + std::to_string(i + 1), i % 2 == 0, 3000, 1});
    }
    load.shape = {rate, rate, seconds};
    load.connections = kLoadConnections;
    load.seed = plan_.seed + load_++;
    return load;
  }

  static double Served(const load::Result& result) {
    return static_cast<double>(result.tally.Count(load::Outcome::kServed));
  }

  // So many calls a second at each of the first real sidecars; the share that was served.
  double LoadSome(std::size_t some, double rate, double seconds) {
    std::vector<std::string> to;
    for (std::size_t i = 0; i < some; ++i) to.push_back(real_.address(i));
    return Load(to, rate, seconds);
  }

  double Load(const std::vector<std::string>& addresses, double rate, double seconds,
              std::size_t connections = kLoadConnections) {
    std::vector<std::future<load::Result>> running;
    std::vector<load::Plan> loads;
    for (const std::string& to : addresses) {
      loads.push_back(LoadOf(to, plan_.services, rate, seconds));
      loads.back().connections = connections;
    }
    for (const load::Plan& load : loads) {
      running.push_back(std::async(std::launch::async, [&load] { return load::RunLoad(load); }));
    }
    double served = 0, due = 0;
    for (auto& one : running) {
      const load::Result result = one.get();
      if (result.interrupted) throw std::runtime_error("interrupted");
      served += Served(result);
      due += static_cast<double>(result.due);
      VoidIfLate(result);
    }
    return served / due;
  }

  void VoidIfLate(const load::Result& result) {
    const std::lock_guard lock(mutex_);
    if (result.Void()) Void("calls", "clients", result.worst_late_ms);
  }

  void Calls() {
    if (scenario_.load_s <= 0) return;
    for (const double rate : scenario_.calls_per_s) {
      const auto some = std::clamp<std::size_t>(static_cast<std::size_t>(scenario_.most_calls_per_s / rate),
                                                1, real_.count());
      const Reading from = Read();
      const double served = LoadSome(some, rate, scenario_.load_s);
      const Reading to = Read();
      Figures& figures = At({{"calls_per_s", rate}});
      const double ms = to.at_ms - from.at_ms, calls = rate * scenario_.load_s;
      double cpu_ms = 0;
      for (std::size_t i = 0; i < some; ++i) cpu_ms += to.real[i].cpu_ms - from.real[i].cpu_ms;
      cpu_ms /= static_cast<double>(some);
      figures["call.sidecars"] = static_cast<double>(some);
      figures["call.core_share"] = cpu_ms / ms;
      figures["call.cpu_us"] = (cpu_ms - idle_share_ * ms) * 1000 / calls;
      figures["call.served_share"] = served;
      Added(figures, rate);
    }
  }

  // One server straight, then one sidecar, with calls of one class that may be repeated.
  void Added(Figures& figures, double rate) {
    const load::Plan straight_to = LoadOf(servers_.Addresses().front(), 1, rate, scenario_.load_s);
    const load::Plan through_to = LoadOf(real_.address(0), 1, rate, scenario_.load_s);
    const load::Result straight = load::RunLoad(straight_to), through = load::RunLoad(through_to);
    if (straight.interrupted || through.interrupted) throw std::runtime_error("interrupted");
    VoidIfLate(straight);
    VoidIfLate(through);
    for (const auto& [name, share] :
         {std::pair("p50", 0.5), std::pair("p99", 0.99), std::pair("p999", 0.999)}) {
      const auto &before = straight.tally.Of(0, load::Outcome::kServed),
                 &after = through.tally.Of(0, load::Outcome::kServed);
      // No such share of fewer: it would be the longest under another name.
      if (static_cast<double>(std::min(before.count(), after.count())) * (1 - share) < 0.99) continue;
      figures[std::string("straight.") + name + "_ms"] = before.Percentile(share);
      figures[std::string("through.") + name + "_ms"] = after.Percentile(share);
      figures[std::string("added.") + name + "_ms"] = after.Percentile(share) - before.Percentile(share);
    }
  }

  // What idle connections cost. In a large tier each sidecar has connections to few servers only, so that one
  // more is started that takes itself for a tier of one and goes to all of them.
  void Connections() {
    if (scenario_.connections.empty()) return;
    Plan alone = plan_;
    alone.instances = alone.real = 1;
    RealSidecars one(scenario_, alone, program_, discovery_.AddressOf(kReal));
    const auto all = servers_.Count().open_in_all();
    const auto open = [&] { return static_cast<double>(servers_.Count().open_in_all() - all); };
    std::vector<int> steps = {0};
    steps.insert(steps.end(), scenario_.connections.begin(), scenario_.connections.end());
    for (const int wanted : steps) {
      if (wanted > plan_.size) continue;
      // Calls that are out at the same time need a connection each, and it keeps them.
      servers_.Hold(kHoldMs);
      for (int tries = 0; tries < kTries && wanted - open() >= 1; ++tries) {
        Load({one.address(0)}, wanted * 1000.0 / kHoldMs, kOpenS, static_cast<std::size_t>(wanted));
      }
      servers_.Hold(0);
      Sleep(kSettleMs);
      const double held = open(), from_ms = NowMs();
      const Usage from = one.Use(0);
      Sleep(scenario_.idle_s * 500);
      const Usage to = one.Use(0);
      Figures& figures = At({{"connections", held}});
      figures["connections.core_share"] = (to.cpu_ms - from.cpu_ms) / (NowMs() - from_ms);
      figures["connections.resident_mb"] = to.resident_mb;
      figures["connections.left_over"] = open();
    }
  }

  const Scenario& scenario_;
  const Plan& plan_;
  const std::string program_;
  const std::function<void(const std::string&)>& tell_;
  QuoteServers servers_;
  Discovery discovery_;
  HollowFleet hollow_;
  RealSidecars real_;
  Played played_;
  std::mutex mutex_;  // of what is written while loads run
  double idle_share_ = 0;
  std::uint64_t load_ = 0;
};

}  // namespace

Played RunPlay(const Scenario& scenario, const Plan& plan, const std::string& program,
               const std::function<void(const std::string& phase)>& tell) {
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  CheckLimits(scenario, plan, static_cast<std::size_t>(descriptors.rlim_cur));
  return Play(scenario, plan, program, tell).Run();
}

nlohmann::ordered_json JsonOf(const Plan& plan, const Played& played) {
  auto out = nlohmann::ordered_json::array();
  for (const Entry& entry : played.entries) {
    nlohmann::ordered_json at = {
        {"size", plan.size}, {"services", plan.services}, {"real", plan.real}, {"hollow", plan.hollow}};
    for (const auto& [name, value] : entry.sweep) at[name] = value;
    nlohmann::ordered_json figures = nlohmann::ordered_json::object();
    for (const auto& [name, value] : entry.figures) figures[name] = value;
    out.push_back({{"part", "scale"}, {"at", at}, {"seed", plan.seed}, {"figures", figures}});
  }
  return out;
}

}  // namespace bitternmux::lab::scale
