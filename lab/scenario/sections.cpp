#include "lab/scenario/sections.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bitternmux::lab::scenario {
namespace {

using model::Figures;
using model::Stream;

constexpr double kSecond = 1000;
constexpr Bounds kShare{0, 1};
constexpr Bounds kMs{0, 3.6e6};
constexpr Bounds kSomeMs{0.001, 3.6e6};
constexpr Bounds kS{0, 3600};
constexpr Bounds kSomeS{0.001, 3600};
constexpr Bounds kSpread{0, 5};
constexpr double kSettledMs = 200;  // from the last sidecar's start to the first arrival
constexpr int kMostServers = 10'000;
constexpr int kMostSidecars = 10'000;

void ReadSites(Reader sites, Figures& figures, double& traffic_skew, double& server_skew) {
  model::NetworkFigures& network = figures.network;
  network.zones = sites.Texts("names", {"here"});
  network.same_ms = sites.Number("same_ms", network.same_ms, kMs);
  network.cross_ms = sites.Number("cross_ms", network.cross_ms, kMs);
  network.client_ms = sites.Number("client_ms", network.client_ms, kMs);
  network.jitter = sites.Number("jitter", network.jitter, {0, 10});
  network.handshake_rtts = sites.Number("handshake_round_trips", network.handshake_rtts, {0.5, 10});
  traffic_skew = sites.Number("traffic_skew", 0, {0, 0.95});
  server_skew = sites.Number("server_skew", 0, {0, 0.95});
  sites.Finish();
}

// What of a whole falls to each zone: even but for a skew, which way is drawn.
std::vector<double> ZoneShares(const Figures& figures, double skew, std::string_view use) {
  const std::size_t zones = figures.network.zones.size();
  const std::size_t favoured = model::Seeds(figures.seed).Of(use).Below(zones);
  std::vector<double> shares(zones, (1 - skew) / static_cast<double>(zones));
  shares[favoured] += skew;
  return shares;
}

// So many of `count` for each share: the largest remainders are rounded up.
std::vector<int> Apportion(const std::vector<double>& shares, int count) {
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  std::vector<int> whole(shares.size());
  std::vector<std::pair<double, std::size_t>> rests;
  int given = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const double exact = sum > 0 ? shares[i] / sum * count : 0;
    whole[i] = static_cast<int>(std::floor(exact));
    given += whole[i];
    rests.emplace_back(whole[i] - exact, i);
  }
  std::sort(rests.begin(), rests.end());
  for (std::size_t k = 0; given < count; ++k, ++given) ++whole[rests[k % rests.size()].second];
  return whole;
}

// The places of those shares in drawn order.
std::vector<int> Dealt(const std::vector<double>& shares, int count, Stream stream) {
  const std::vector<int> counts = Apportion(shares, count);
  std::vector<int> dealt;
  for (std::size_t i = 0; i < counts.size(); ++i)
    dealt.insert(dealt.end(), static_cast<std::size_t>(counts[i]), static_cast<int>(i));
  for (std::size_t i = dealt.size(); i > 1; --i) std::swap(dealt[i - 1], dealt[stream.Below(i)]);
  return dealt;
}

// What all servers of the day have in common.
model::NodeFigures ReadServers(Reader& servers) {
  model::NodeFigures node;
  Reader connections = servers.Table("connections");
  node.connections = connections.Whole("per_core", node.connections, {1, 1e6});
  node.full_tax = connections.Number("full_tax", node.full_tax, {0, 0.99});
  node.handshake_work_ms = connections.Number("handshake_work_ms", node.handshake_work_ms, kMs);
  node.idle_ms = connections.Number("idle_s", node.idle_ms / kSecond, kSomeS) * kSecond;
  node.idle_end = static_cast<model::IdleEnd>(connections.Word("idle_end", {"close", "reset", "forget"}, 0));
  connections.Finish();
  Reader probes = servers.Table("probes");
  node.probe_work_ms = probes.Number("work_ms", node.probe_work_ms, kMs);
  node.probes_per_s = probes.Number("per_core_per_s", node.probes_per_s, {0.001, 1e9});
  node.deep_probes = probes.Flag("deep", node.deep_probes);
  probes.Finish();
  Reader reports = servers.Table("reports");
  node.reports = reports.Flag("on", node.reports);
  node.report_period_ms = reports.Number("period_ms", node.report_period_ms, {1, 3.6e6});
  node.report_delay_ms = reports.Number("delay_ms", node.report_delay_ms, kMs);
  node.report_noise = reports.Number("noise", node.report_noise, kSpread);
  reports.Finish();
  Reader crowd = servers.Table("crowd");
  node.tips = crowd.Flag("on", node.tips);
  node.crowd_at = crowd.Number("waiting_per_core", node.crowd_at, {0.1, 1e6});
  node.crowd_ms = crowd.Number("after_s", node.crowd_ms / kSecond, kSomeS) * kSecond;
  node.crowd_slower = crowd.Number("slower", node.crowd_slower, {1, 1000});
  node.rest_below = crowd.Number("rest_below", node.rest_below, kShare);
  node.rest_ms = crowd.Number("rest_s", node.rest_ms / kSecond, kSomeS) * kSecond;
  node.crowd_most_ms = crowd.Number("most_s", node.crowd_most_ms / kSecond, kSomeS) * kSecond;
  crowd.Finish();
  return node;
}

struct Kind {
  std::string name;
  double share = 1;
  double speed_spread = 0;
  model::NodeFigures node;
};

Kind ReadKind(Reader& kind, const model::NodeFigures& common, const model::RuleFigures& rules) {
  Kind out;
  out.node = common;
  model::NodeFigures& node = out.node;
  out.name = kind.Text("name", "");
  out.share = kind.Number("share", 1, {0, 1e6});
  out.speed_spread = kind.Number("speed_spread", 0, {0, 2});
  node.cores = kind.Whole("cores", 1, {1, 1024});
  node.speed = kind.Number("speed", 1, {0.001, 1000});
  node.slots =
      std::max(1, static_cast<int>(std::lround(kind.Number("slots_per_core", 4, {0.1, 1e4}) * node.cores)));
  node.room = static_cast<int>(std::lround(kind.Number("room_per_core", 20, {0, 1e5}) * node.cores));
  node.cold_from = kind.Number("cold_from", 0.25, {0.001, 1});
  node.warm_ms = kind.Number("warm_s", 15, kSomeS) * kSecond;
  node.warm_by = static_cast<model::WarmBy>(kind.Word("warm_by", {"time", "work"}, 1));
  node.thrash = kind.Number("thrash", 0, {0, 100});
  node.thrash_at = kind.Number("thrash_at", 10, {0, 1e6});
  node.error_rate = kind.Number("error_rate", 0, kShare);
  node.stops_on_close =
      static_cast<model::StopsOnClose>(kind.Word("stops_on_close", {"nothing", "waiting", "all"}, 2));
  node.drops_overdue = kind.Flag("drops_overdue", true);
  kind.Finish();
  node.connections *= static_cast<int>(node.cores);
  node.probes_per_s *= node.cores;
  node.warm_within_ms = rules.warm_within_ms;
  node.fall_multiple = rules.fall_multiple;
  node.fall_ms = rules.fall_ms;
  if (node.cold_from < rules.cold_from) kind.Fault("cold_from", "is below rules.cold_from");
  return out;
}

void ReadMachines(Reader& whole, double server_skew, Figures& figures) {
  Reader servers = whole.Table("servers");
  const int count = servers.Whole("count", 8, {1, kMostServers});
  const int cell_size = servers.Whole("cell_size", 6, {1, kMostServers});
  const model::NodeFigures common = ReadServers(servers);
  const bool sizes_told = servers.Flag("sizes_told", true);
  figures.rules.weights_known = sizes_told;
  servers.Finish();
  std::vector<Kind> kinds;
  for (Reader& table : whole.Tables("kind")) {
    kinds.push_back(ReadKind(table, common, figures.rules));
    if (kinds.back().name.empty()) table.Fault("name", "must be there");
  }
  if (kinds.empty()) {
    Reader absent(nullptr, "kind", whole.seeds(), whole.faults());
    Kind kind = ReadKind(absent, common, figures.rules);
    kind.name = "standard";
    kinds.push_back(kind);
  }
  std::vector<double> shares;
  for (const Kind& kind : kinds) {
    figures.kinds.push_back(kind.name);
    shares.push_back(kind.share);
  }
  const model::Seeds seeds(figures.seed);
  const std::vector<int> kind_of = Dealt(shares, count, seeds.Of("machine.kind"));
  const std::vector<int> zone_of =
      Dealt(ZoneShares(figures, server_skew, "machine.zone.favoured"), count, seeds.Of("machine.zone"));
  std::vector<int> in_zone(figures.network.zones.size());
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const Kind& kind = kinds[static_cast<std::size_t>(kind_of[index])];
    model::MachineFigures machine;
    machine.id = MachineId(figures.seed, i, 0);
    machine.place = i;
    machine.zone = zone_of[index];
    machine.kind = kind_of[index];
    const int cells = (count + cell_size - 1) / cell_size;
    machine.cell = machine.zone * cells + in_zone[static_cast<std::size_t>(machine.zone)]++ / cell_size;
    machine.node = kind.node;
    machine.node.speed *= seeds.Of("machine.speed", index).LogNormal(kind.speed_spread);
    // Rough: the list knows about how large a machine is.
    machine.size =
        machine.node.cores * machine.node.speed * seeds.Of("machine.size", index).Between(0.85, 1.15);
    figures.machines.push_back(machine);
  }
}

void ReadClasses(Reader& whole, Figures& figures) {
  for (Reader& table : whole.Tables("class")) {
    model::ClassFigures klass;
    klass.name = table.Text("name", "");
    if (klass.name.empty()) table.Fault("name", "must be there");
    klass.share = table.Number("share", 1, {0, 1e6});
    klass.repeat = static_cast<model::Repeat>(table.Word("repeat", {"safe", "never"}, 0));
    klass.work_ms = table.Number("work_ms", klass.work_ms, kSomeMs);
    klass.work_cv = table.Number("work_spread", klass.work_cv, kSpread);
    klass.attempt_cv = table.Number("attempt_spread", klass.attempt_cv, kSpread);
    klass.aim_ms = table.Number("aim_ms", klass.aim_ms, kSomeMs);
    klass.deadline_ms = table.Number("deadline_ms", klass.deadline_ms, {1, 3.6e6});
    klass.try_share = table.Number("try_share", klass.try_share, {0.01, 1});
    klass.worth = table.Number("worth", klass.worth, {0, 1e6});
    klass.late_worth = table.Number("late_worth", klass.late_worth, kShare);
    table.Finish();
    figures.classes.push_back(klass);
  }
  double shares = 0;
  for (const model::ClassFigures& klass : figures.classes) shares += klass.share;
  if (shares <= 0) whole.Fault("class", "there must be at least one with a share above 0");
}

void ReadSidecars(Reader sidecars, double traffic_skew, Figures& figures) {
  const int count = sidecars.Whole("count", 4, {1, kMostSidecars});
  const double spread_ms = sidecars.Number("start_spread_ms", 500, kMs);
  const double boot_ms = sidecars.Number("boot_ms", 60, kMs);
  const double share_spread = sidecars.Number("share_spread", 0, kSpread);
  figures.rules.memory_mb = sidecars.Whole("memory_mb", figures.rules.memory_mb, {16, 1e6});
  figures.rules.descriptors = sidecars.Whole("descriptors", figures.rules.descriptors, {32, 1e6});
  sidecars.Finish();
  const model::Seeds seeds(figures.seed);
  const std::vector<double> zone_shares = ZoneShares(figures, traffic_skew, "sidecar.zone.favoured");
  const std::size_t zones = figures.network.zones.size();
  std::vector<double> zone_sums(zones);
  for (int i = 0; i < count; ++i) {
    const auto index = static_cast<std::size_t>(i);
    model::SidecarFigures sidecar;
    sidecar.name = "n";
    sidecar.name += std::to_string(i);  // not in one: g++ 12 warns falsely of its own code
    sidecar.zone = static_cast<int>(index % zones);
    sidecar.share = seeds.Of("sidecar.share", index).LogNormal(share_spread);
    sidecar.start_ms = spread_ms * seeds.Of("sidecar.start", index).Unit();
    sidecar.boot_ms = boot_ms;
    zone_sums[index % zones] += sidecar.share;
    figures.sidecars.push_back(sidecar);
  }
  double sum = 0;
  for (model::SidecarFigures& sidecar : figures.sidecars) {
    const auto zone = static_cast<std::size_t>(sidecar.zone);
    sidecar.share *= zone_shares[zone] / zone_sums[zone];
    sum += sidecar.share;
  }
  for (model::SidecarFigures& sidecar : figures.sidecars) sidecar.share /= sum;
  // A whole second, so that a second of the scenario is one of the record.
  figures.first_ms = std::ceil((spread_ms + boot_ms + kSettledMs) / kSecond) * kSecond;
}

void ReadClients(Reader clients, Figures& figures) {
  model::ClientFigures& out = figures.clients;
  const bool by_load = clients.Has("load");
  if (by_load && clients.Has("rate")) {
    clients.Fault("load", "stands beside rate: only one of them can be");
  }
  out.rate = clients.Number("rate", out.rate, {0, 1e7});
  const double load = clients.Number("load", 0, {0, 100});
  if (by_load) {
    // A share of what the machines can do that are there from the start.
    double cores = 0, work = 0, shares = 0;
    for (const model::MachineFigures& machine : figures.machines)
      cores += machine.node.cores * machine.node.speed;
    for (const model::ClassFigures& klass : figures.classes) {
      work += klass.share * klass.work_ms;
      shares += klass.share;
    }
    out.rate = work > 0 ? load * cores * kSecond * shares / work : 0;
  }
  out.swing = clients.Number("swing", out.swing, {0, 0.99});
  out.wave_ms = clients.Number("wave_s", out.wave_ms / kSecond, kSomeS) * kSecond;
  out.wave_phase = model::Seeds(figures.seed).Of("clients.wave").Unit();
  out.retries = clients.Whole("retries", out.retries, {0, 100});
  out.backoff_ms = clients.Number("backoff_ms", out.backoff_ms, kMs);
  out.backoff_jitter = clients.Number("backoff_jitter", out.backoff_jitter, kShare);
  out.honour = clients.Number("honour", out.honour, kShare);
  out.impatient = clients.Number("impatient", out.impatient, kShare);
  out.marks_retry = clients.Flag("marks_retry", out.marks_retry);
  out.hints = clients.Flag("hints", out.hints);
  out.hint_cv = clients.Number("hint_spread", out.hint_cv, kSpread);
  clients.Finish();
}

void ReadDiscovery(Reader discovery, Figures& figures) {
  model::DiscoveryFigures& out = figures.discovery;
  out.notice_ms = discovery.Number("notice_s", out.notice_ms / kSecond, kS) * kSecond;
  out.silent_notice_ms = discovery.Number("silent_notice_s", out.silent_notice_ms / kSecond, kS) * kSecond;
  out.add_ms = discovery.Number("add_s", out.add_ms / kSecond, kS) * kSecond;
  out.period_ms = discovery.Number("period_ms", out.period_ms, {1, 3.6e6});
  out.spread_ms = discovery.Number("spread_ms", out.spread_ms, kMs);
  out.lines_per_s = discovery.Number("lines_per_s", out.lines_per_s, {0.1, 1e9});
  out.call_lines = discovery.Number("call_lines", out.call_lines, {0, 1e6});
  out.timeout_ms = discovery.Number("timeout_ms", out.timeout_ms, kSomeMs);
  out.history = discovery.Whole("history", out.history, {0, 1e6});
  out.told_within_ms = discovery.Number("told_within_s", out.told_within_ms / kSecond, kSomeS) * kSecond;
  out.old_open_ms = discovery.Number("old_open_ms", out.old_open_ms, kMs);
  discovery.Finish();
}

void ReadRules(Reader rules, Figures& figures) {
  model::RuleFigures& out = figures.rules;
  out.drain_grace_ms = rules.Number("drain_grace_ms", out.drain_grace_ms, kMs);
  out.answer_slack_ms = rules.Number("answer_slack_ms", out.answer_slack_ms, kMs);
  out.max_attempts = rules.Whole("max_attempts", out.max_attempts, {1, 100});
  out.may_cancel = rules.Flag("cancel", out.may_cancel);
  out.may_probe = rules.Flag("probes", out.may_probe);
  out.may_advise_retry = rules.Flag("retry_after", out.may_advise_retry);
  out.max_retry_after_ms = rules.Number("max_retry_after_ms", out.max_retry_after_ms, kMs);
  out.ask_within_ms = rules.Number("ask_within_s", out.ask_within_ms / kSecond, kSomeS) * kSecond;
  out.dial_timeout_ms = rules.Number("dial_timeout_ms", out.dial_timeout_ms, kSomeMs);
  out.idle_ms = rules.Number("idle_s", out.idle_ms / kSecond, kSomeS) * kSecond;
  out.cold_from = rules.Number("cold_from", out.cold_from, {0.001, 1});
  out.warm_within_ms = rules.Number("warm_within_s", out.warm_within_ms / kSecond, kSomeS) * kSecond;
  out.fall_multiple = rules.Number("fall_multiple", out.fall_multiple, {0.1, 1000});
  out.fall_ms = rules.Number("fall_s", out.fall_ms / kSecond, kSomeS) * kSecond;
  out.worth_by_work = rules.Flag("worth_by_work", out.worth_by_work);
  rules.Finish();
}

void ReadGoal(Reader goal, Figures& figures) {
  model::RuleFigures& out = figures.rules;
  out.goal_whole = goal.Number("whole", out.goal_whole, kShare);
  out.goal_worst_window = goal.Number("worst_window", out.goal_worst_window, kShare);
  out.goal_worst_class = goal.Number("worst_class", out.goal_worst_class, kShare);
  out.probe_price = goal.Number("probe_price", out.probe_price, kShare);
  out.cross_zone_price = goal.Number("cross_zone_price", out.cross_zone_price, kShare);
  out.handshake_price = goal.Number("handshake_price", out.handshake_price, kShare);
  out.connection_price = goal.Number("connection_price", out.connection_price, kShare);
  goal.Finish();
}

}  // namespace

std::string MachineId(std::uint64_t seed, int server, int process) {
  static constexpr char kDigits[] = "0123456789abcdef";
  const auto key = static_cast<std::uint64_t>(server) << 20 | static_cast<std::uint64_t>(process);
  std::uint64_t drawn = model::Seeds(seed).Of("machine.id", key).Next();
  std::string id = "s-";
  for (int i = 0; i < 10; ++i, drawn >>= 4) id += kDigits[drawn & 15];
  return id;
}

void ReadDay(Reader& whole, Figures& figures) {
  figures.length_ms = whole.Number("length_s", figures.length_ms / kSecond, {0.1, 86400}) * kSecond;
  ReadRules(whole.Table("rules"), figures);
  ReadGoal(whole.Table("goal"), figures);
  double traffic_skew = 0, server_skew = 0;
  ReadSites(whole.Table("sites"), figures, traffic_skew, server_skew);
  ReadMachines(whole, server_skew, figures);
  ReadClasses(whole, figures);
  ReadSidecars(whole.Table("sidecars"), traffic_skew, figures);
  ReadClients(whole.Table("clients"), figures);
  ReadDiscovery(whole.Table("discovery"), figures);
}

}  // namespace bitternmux::lab::scenario
