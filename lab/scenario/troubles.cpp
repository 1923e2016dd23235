// Troubles: each is read, its figures are drawn, and it is written down as elementary steps of servers. A
// last pass in the order of time turns servers into the numbers of the processes that stand for them at that
// moment.
#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <sstream>

#include "lab/scenario/sections.h"

namespace bitternmux::lab::scenario {
namespace {

using model::DiscoveryFault;
using model::Figures;
using model::LinkFault;
using What = model::Step::What;

constexpr double kSecond = 1000;
constexpr Bounds kS{0, 86400};
constexpr Bounds kShare{0, 1};
constexpr Bounds kAliveMs{0, 60'000};
constexpr int kDeepest = 4;              // chains within chains
constexpr double kMostSlices = 200'000;  // of a trouble that starves, over all its sidecars
constexpr double kLeastKillAfterMs = 3000, kKillMarginMs = 700;

enum class Kind {
  kSlow,
  kHang,
  kMute,
  kFastErrors,
  kResets,
  kSpoilt,
  kShortIdle,
  kKill,
  kVanish,
  kRestart,
  kReplace,
  kDrain,
  kAdd,
  kCut,
  kCutTo,
  kCutFrom,
  kStallTo,
  kStallFrom,
  kNoDial,
  kDelay,
  kDrop,
  kSlowBytes,
  kCutShort,
  kDouble,
  kDiscoveryCut,
  kDiscoveryDown,
  kDiscoveryRefuses,
  kDiscoveryIgnores,
  kDiscoveryForgets,
  kDiscoveryStale,
  kDiscoveryDoubles,
  kDiscoveryReorders,
  kReload,
  kRestartSidecars,
  kFreeze,
  kStarve,
  kBurst,
};
const std::vector<std::string_view> kKinds = {"slow",
                                              "hang",
                                              "mute",
                                              "fast_errors",
                                              "resets",
                                              "spoilt",
                                              "short_idle",
                                              "kill",
                                              "vanish",
                                              "restart",
                                              "replace",
                                              "drain",
                                              "add",
                                              "cut",
                                              "cut_to",
                                              "cut_from",
                                              "stall_to",
                                              "stall_from",
                                              "no_dial",
                                              "delay",
                                              "drop",
                                              "slow_bytes",
                                              "cut_short",
                                              "double",
                                              "discovery_cut",
                                              "discovery_down",
                                              "discovery_refuses",
                                              "discovery_ignores",
                                              "discovery_forgets",
                                              "discovery_stale",
                                              "discovery_doubles",
                                              "discovery_reorders",
                                              "reload",
                                              "restart_sidecars",
                                              "freeze",
                                              "starve",
                                              "burst"};

std::string Said(std::string_view name, double figure) {
  std::ostringstream out;
  out << name << " " << std::round(figure * 1000) / 1000;
  return out.str();
}

// A step of a server, before it is known which process that is.
struct ServerStep {
  double at_ms = 0;
  What what = What::kStart;
  int server = -1;  // or the target itself where that is no machine
  double amount = 0;
  bool new_machine = false;  // kStart: with a new id
  bool new_place = false;    // and at a new address
};

class Troubles {
 public:
  Troubles(const Sure& sure, Figures& figures)
      : sure_(sure), figures_(figures), servers_(static_cast<int>(figures.machines.size())) {
    for (int i = 0; i < servers_; ++i) server_of_.push_back(i);
  }

  void Read(Reader& whole) {
    for (Reader& table : whole.Tables("trouble")) {
      if (!table.Has("at_s")) table.Fault("at_s", "must be there");
      ReadTimes(table, figures_.first_ms + table.Number("at_s", 0, kS) * kSecond, nullptr, nullptr, 0);
    }
  }

  void Finish() {
    std::stable_sort(steps_.begin(), steps_.end(),
                     [](const ServerStep& a, const ServerStep& b) { return a.at_ms < b.at_ms; });
    AssignProcesses();
    // A trouble of a link goes on when the machine at its end is another.
    for (model::LinkTrouble& trouble : figures_.network.troubles) {
      if (trouble.machines.empty()) continue;
      const std::vector<int> servers = std::exchange(trouble.machines, {});
      for (std::size_t i = 0; i < figures_.machines.size(); ++i) {
        if (std::find(servers.begin(), servers.end(), server_of_[i]) != servers.end()) {
          trouble.machines.push_back(static_cast<int>(i));
        }
      }
    }
  }

 private:
  struct Frame {
    // The servers and the sidecars of the trouble that this one follows.
    const std::vector<int>*same = nullptr, *same_sidecars = nullptr;
    int index = 0;  // of this one
    std::vector<int> servers;
    double from = 0, until = 0;
    std::string detail;
    std::vector<int> sidecars;
    bool hides_list = false, sockets_only = false;
  };

  // The trouble as often as it is said to come.
  void ReadTimes(Reader& table, double at, const std::vector<int>* same,
                 const std::vector<int>* same_sidecars, int depth) {
    const int times = table.Whole("times", 1, {1, 1000});
    double next = at;
    for (int k = 0; k < times; ++k) {
      Reader again = table.Again(k);
      const double every = again.Number("again_s", 0, kS) * kSecond;
      if (times > 1 && !table.Has("again_s")) table.Fault("again_s", "must be there where times is above 1");
      ReadOne(again, next, same, same_sidecars, depth);
      next += every;
    }
  }

  void ReadOne(Reader& table, double at, const std::vector<int>* same, const std::vector<int>* same_sidecars,
               int depth) {
    if (!table.Has("kind")) table.Fault("kind", "must be there");
    const auto kind = static_cast<Kind>(table.Word("kind", kKinds, 0));
    const std::string name = table.Text("name", kKinds[static_cast<std::size_t>(kind)]);
    const auto index = figures_.troubles.size();
    figures_.troubles.emplace_back();
    Frame frame;
    frame.same = same;
    frame.same_sidecars = same_sidecars;
    frame.index = static_cast<int>(index);
    frame.from = frame.until = at;
    steps_.push_back({at, What::kTroubleBegins, static_cast<int>(index)});
    ReadKind(table, kind, frame);
    steps_.push_back({frame.until, What::kTroubleEnds, static_cast<int>(index)});
    figures_.troubles[index] = {
        name,         frame.from,           frame.until,      frame.servers,     frame.sidecars,
        frame.detail, kind == Kind::kBurst, frame.hides_list, frame.sockets_only};
    for (Reader& then : table.Tables("then")) {
      if (depth >= kDeepest) {
        then.Fault("", "chains go too deep");
        return;
      }
      const std::size_t from = then.Word("from", {"end", "begin"}, 0);
      const double after = then.Number("after_s", 0, kS) * kSecond;
      ReadTimes(then, (from == 0 ? frame.until : frame.from) + after, &frame.servers, &frame.sidecars,
                depth + 1);
    }
    table.Keep({"at_s", "times", "again_s", "from", "after_s"});
    table.Finish();
  }

  void ReadKind(Reader& table, Kind kind, Frame& frame) {
    switch (kind) {
      case Kind::kSlow:
        return Lasting(table, frame, What::kSlow, "factor", {1, 1000}, 1);
      case Kind::kHang:
        return Lasting(table, frame, What::kHang, nullptr, {}, 0);
      case Kind::kMute:
        return Lasting(table, frame, What::kMute, nullptr, {}, 0);
      case Kind::kFastErrors:
        return Lasting(table, frame, What::kFail, "share", kShare, 0);
      case Kind::kResets:
        return Lasting(table, frame, What::kReset, "share", kShare, 0);
      case Kind::kSpoilt:
        return Lasting(table, frame, What::kSpoil, "share", kShare, 0);
      case Kind::kShortIdle:
        return Lasting(table, frame, What::kIdleKeep, "keep_ms", {1, 3.6e6}, 0);
      case Kind::kKill:
        return Death(table, frame, What::kKill);
      case Kind::kVanish:
        return Death(table, frame, What::kVanish);
      case Kind::kRestart:
      case Kind::kReplace:
      case Kind::kDrain:
        return Planned(table, frame, kind);
      case Kind::kAdd:
        return Add(table, frame);
      case Kind::kCut:
        return Link(table, frame, LinkFault::kCut);
      case Kind::kCutTo:
        return Link(table, frame, LinkFault::kCutTo);
      case Kind::kCutFrom:
        return Link(table, frame, LinkFault::kCutFrom);
      case Kind::kStallTo:
        return Link(table, frame, LinkFault::kStallTo);
      case Kind::kStallFrom:
        return Link(table, frame, LinkFault::kStallFrom);
      case Kind::kNoDial:
        return Link(table, frame, LinkFault::kNoDial);
      case Kind::kDelay:
        return Link(table, frame, LinkFault::kDelay, Must(table, frame, "ms", {0, 60'000}),
                    table.Number("spread", 0, {0, 10}));
      case Kind::kDrop:
        return Link(table, frame, LinkFault::kDrop, 0, Must(table, frame, "share", kShare));
      case Kind::kSlowBytes:
        return Link(table, frame, LinkFault::kSlowBytes, Must(table, frame, "bytes_per_s", {1, 1e9}));
      case Kind::kCutShort:
        return Link(table, frame, LinkFault::kCutShort, table.Number("after_bytes", 20, {0, 1e9}),
                    Must(table, frame, "share", kShare));
      case Kind::kDouble:
        return Link(table, frame, LinkFault::kDouble, 0, Must(table, frame, "share", kShare));
      case Kind::kDiscoveryCut:
        Length(table, frame);
        return Links(table, frame, {frame.from, frame.until, LinkFault::kCut, {}, {}, true});
      case Kind::kDiscoveryRefuses:
        return Lie(table, frame, DiscoveryFault::kRefuses, Must(table, frame, "share", kShare));
      case Kind::kDiscoveryIgnores:
        return Lie(table, frame, DiscoveryFault::kIgnores, table.Number("share", 1, kShare));
      case Kind::kDiscoveryForgets:
        return Lie(table, frame, DiscoveryFault::kForgets, table.Number("keeps", 1, kShare), 0,
                   table.Whole("revision", 1, {1, 1e9}));
      case Kind::kDiscoveryStale:
        return Lie(table, frame, DiscoveryFault::kStale, 1, Must(table, frame, "age_s", kS) * kSecond);
      case Kind::kDiscoveryDoubles:
        return Lie(table, frame, DiscoveryFault::kDoubles);
      case Kind::kDiscoveryReorders:
        return Lie(table, frame, DiscoveryFault::kReorders);
      case Kind::kDiscoveryDown:
        frame.hides_list = true;
        Length(table, frame);
        steps_.push_back({frame.from, What::kDiscoveryDown});
        steps_.push_back({frame.until, What::kDiscoveryUp});
        return;
      case Kind::kReload:
        return Reload(table, frame);
      case Kind::kRestartSidecars:
        return RestartSidecars(table, frame);
      case Kind::kFreeze:
        return Freeze(table, frame);
      case Kind::kStarve:
        return Starve(table, frame);
      case Kind::kBurst:
        return BurstOf(table, frame);
    }
  }

  void Length(Reader& table, Frame& frame) {
    if (!table.Has("len_s")) table.Fault("len_s", "must be there");
    frame.until = frame.from + table.Number("len_s", 0, kS) * kSecond;
  }

  // Which servers: by number, a share of them, those of a site, those of the trouble before; all if none is
  // said.
  void Servers(Reader& table, Frame& frame) {
    const std::array<const char*, 4> ways = {"machines", "part", "site", "same_machines"};
    int said = 0;
    for (const char* way : ways) said += table.Has(way) ? 1 : 0;
    if (said > 1) table.Fault("", "only one of machines, part, site and same_machines can be there");
    frame.servers.clear();
    if (table.Has("machines")) {
      frame.servers = table.Numbers("machines", sure_.servers, "machine");
    } else if (table.Has("part")) {
      std::vector<int> all(static_cast<std::size_t>(servers_));
      std::iota(all.begin(), all.end(), 0);
      const double part = table.Number("part", 0, kShare);
      Shuffle(all, table);
      const auto count = static_cast<std::size_t>(std::max(1L, std::lround(part * servers_)));
      frame.servers.assign(all.begin(),
                           all.begin() + static_cast<std::ptrdiff_t>(std::min(count, all.size())));
      std::sort(frame.servers.begin(), frame.servers.end());
    } else if (table.Has("site")) {
      const int zone = Zone(table, "site");
      for (int i = 0; i < servers_; ++i) {
        if (figures_.machines[static_cast<std::size_t>(i)].zone == zone) frame.servers.push_back(i);
      }
    } else if (table.Flag("same_machines", false)) {
      if (frame.same == nullptr) {
        table.Fault("same_machines", "no trouble stands before this one");
      } else {
        frame.servers = *frame.same;
      }
    } else {
      frame.servers.resize(static_cast<std::size_t>(servers_));
      std::iota(frame.servers.begin(), frame.servers.end(), 0);
    }
  }

  int Zone(Reader& table, std::string_view key) {
    const auto& zones = figures_.network.zones;
    return static_cast<int>(table.Word(key, {zones.begin(), zones.end()}, 0));
  }

  // Which sidecars: by number, those of the trouble before or all others, all if none is said; and of these
  // all or a drawn share.
  void Sidecars(Reader& table, Frame& frame) {
    const bool same = table.Flag("same_sidecars", false), others = table.Flag("other_sidecars", false);
    if ((table.Has("sidecars") ? 1 : 0) + (same ? 1 : 0) + (others ? 1 : 0) > 1) {
      table.Fault("", "only one of sidecars, same_sidecars and other_sidecars can be there");
    }
    const std::vector<int>* before = frame.same_sidecars;
    if ((same || others) && (before == nullptr || before->empty())) {
      table.Fault(same ? "same_sidecars" : "other_sidecars", "no trouble of sidecars stands before this one");
      return;
    }
    frame.sidecars = table.Numbers("sidecars", sure_.sidecars, "sidecar");
    if (same) frame.sidecars = *before;
    if (!same && !table.Has("sidecars")) {
      for (int i = 0; i < static_cast<int>(figures_.sidecars.size()); ++i) {
        const bool named = others && std::find(before->begin(), before->end(), i) != before->end();
        if (!named) frame.sidecars.push_back(i);
      }
    }
    if (!table.Has("sidecar_part")) return;
    const double part = table.Number("sidecar_part", 0, kShare);
    const auto all = static_cast<long>(frame.sidecars.size());
    Shuffle(frame.sidecars, table, "sidecar_order");
    frame.sidecars.resize(
        static_cast<std::size_t>(std::min(all, std::max(1L, std::lround(part * static_cast<double>(all))))));
    std::sort(frame.sidecars.begin(), frame.sidecars.end());
  }

  // When it befalls each of them: all at once, one every `every_s`, or so many parts of them, drawn.
  std::vector<std::pair<double, int>> Waves(Reader& table, const Frame& frame) {
    const double every = table.Number("every_s", 0, kS) * kSecond;
    const int waves = table.Whole("waves", 0, {1, 10'000});
    std::vector<int> order = frame.sidecars;
    if (waves > 0) Shuffle(order, table, "sidecar_waves");
    std::vector<std::pair<double, int>> times;
    for (std::size_t i = 0; i < order.size(); ++i) {
      const auto wave = waves > 0 ? i * static_cast<std::size_t>(waves) / order.size() : i;
      times.emplace_back(frame.from + static_cast<double>(wave) * every, order[i]);
    }
    return times;
  }

  static void Shuffle(std::vector<int>& list, const Reader& table, std::string_view key = "order") {
    model::Stream stream = table.seeds().Of("scenario." + table.Path(key));
    for (std::size_t i = list.size(); i > 1; --i) std::swap(list[i - 1], list[stream.Below(i)]);
  }

  void Lasting(Reader& table, Frame& frame, What what, const char* key, Bounds bounds, double ended) {
    Servers(table, frame);
    Length(table, frame);
    double amount = 1;
    if (key != nullptr) {
      if (!table.Has(key)) table.Fault(key, "must be there");
      amount = table.Number(key, ended, bounds);
      frame.detail = Said(key, amount);
    }
    for (const int server : frame.servers) {
      steps_.push_back({frame.from, what, server, amount});
      steps_.push_back({frame.until, what, server, ended});
    }
  }

  void Death(Reader& table, Frame& frame, What what) {
    Servers(table, frame);
    const double back = table.Number("back_s", 0, kS) * kSecond;
    for (const int server : frame.servers) {
      steps_.push_back({frame.from, what, server});
      if (table.Has("back_s")) steps_.push_back({frame.from + back, What::kStart, server});
    }
    frame.until = frame.from + back;
  }

  // Drained, stopped, and up again: the same machine or another in its stead.
  void Planned(Reader& table, Frame& frame, Kind kind) {
    Servers(table, frame);
    const double drain = table.Number("drain_s", 2, kS) * kSecond;
    const double every = table.Number("every_s", 0, kS) * kSecond;
    const bool back = kind != Kind::kDrain, replaced = kind == Kind::kReplace;
    const double down = back ? table.Number("down_s", 1, kS) * kSecond : 0;
    const bool same_address = replaced && table.Flag("same_address", false);
    std::vector<int> order = frame.servers;
    if (every > 0) Shuffle(order, table);
    double at = frame.from;
    for (const int server : order) {
      steps_.push_back({at, What::kDrain, server});
      steps_.push_back({at + drain, What::kStop, server});
      if (back) {
        steps_.push_back({at + drain + down, What::kStart, server, 0, replaced, replaced && !same_address});
      }
      frame.until = at + drain + down;
      at += every;
    }
  }

  // Further servers, cold, each like one that is drawn from those there.
  void Add(Reader& table, Frame& frame) {
    const int count = table.Whole("count", 1, {1, 10'000});
    const double every = table.Number("every_s", 0, kS) * kSecond;
    model::Stream stream = table.seeds().Of("scenario." + table.Path("like"));
    for (int k = 0; k < count; ++k) {
      const int server = servers_ + static_cast<int>(likes_.size());
      likes_.push_back(static_cast<int>(stream.Below(static_cast<std::uint64_t>(servers_))));
      frame.until = frame.from + k * every;
      steps_.push_back({frame.until, What::kStart, server, 0, true, true});
    }
  }

  double Must(Reader& table, Frame& frame, const char* key, Bounds bounds) {
    if (!table.Has(key)) table.Fault(key, "must be there");
    const double amount = table.Number(key, bounds.least, bounds);
    frame.detail = Said(key, amount);
    return amount;
  }

  void Lie(Reader& table, Frame& frame, DiscoveryFault fault, double share = 1, double age_ms = 0,
           std::int64_t revision = 1) {
    Length(table, frame);
    Sidecars(table, frame);
    if (frame.sidecars.empty()) return;  // would mean all
    frame.hides_list = fault == DiscoveryFault::kRefuses || fault == DiscoveryFault::kIgnores ||
                       fault == DiscoveryFault::kStale;
    figures_.discovery.troubles.push_back(
        {frame.from, frame.until, fault, frame.sidecars, share, age_ms, revision});
  }

  // Between some sidecars and discovery.
  void Links(Reader& table, Frame& frame, model::LinkTrouble trouble) {
    Sidecars(table, frame);
    if (frame.sidecars.empty()) return;  // would mean all
    frame.hides_list = true;
    trouble.sidecars = frame.sidecars;
    figures_.network.troubles.push_back(trouble);
  }

  void Link(Reader& table, Frame& frame, LinkFault fault, double amount = 0, double share = 1) {
    Length(table, frame);
    frame.sockets_only = fault >= LinkFault::kSlowBytes;
    if (table.Word("between", {"servers", "discovery"}, 0) == 1) {
      return Links(table, frame, {frame.from, frame.until, fault, {}, {}, true, amount, share});
    }
    if (table.Has("sites")) {
      if (table.Texts("sites", {}).size() != 2) table.Fault("sites", "must name two sites");
      const std::vector<std::string> sites = table.Texts("sites", {"", ""});
      std::array<int, 2> zones{};
      for (std::size_t k = 0; k < 2 && k < sites.size(); ++k) {
        const auto& known = figures_.network.zones;
        const auto found = std::find(known.begin(), known.end(), sites[k]);
        if (found == known.end()) table.Fault("sites", "there is no site '" + sites[k] + "'");
        zones[k] = static_cast<int>(found - known.begin());
      }
      for (const auto& [own, other] : {std::pair(zones[0], zones[1]), std::pair(zones[1], zones[0])}) {
        model::LinkTrouble trouble{frame.from, frame.until, fault, {}, {}, false, amount, share};
        for (std::size_t i = 0; i < figures_.sidecars.size(); ++i) {
          if (figures_.sidecars[i].zone == own) trouble.sidecars.push_back(static_cast<int>(i));
        }
        for (int i = 0; i < servers_; ++i) {
          if (figures_.machines[static_cast<std::size_t>(i)].zone == other) trouble.machines.push_back(i);
        }
        // A site without sidecars or machines has nothing to cut; an empty list would mean all.
        if (!trouble.sidecars.empty() && !trouble.machines.empty())
          figures_.network.troubles.push_back(trouble);
      }
      return;
    }
    Servers(table, frame);
    Sidecars(table, frame);
    if (frame.servers.empty() || frame.sidecars.empty()) return;
    figures_.network.troubles.push_back(
        {frame.from, frame.until, fault, frame.sidecars, frame.servers, false, amount, share});
  }

  void Reload(Reader& table, Frame& frame) {
    const double spread = table.Number("spread_s", 0.2, kS) * kSecond;
    frame.until = frame.from + spread;
    steps_.push_back({frame.from, What::kDiscoveryMove});
    model::Stream stream = table.seeds().Of("scenario." + table.Path("spread"));
    for (std::size_t i = 0; i < figures_.sidecars.size(); ++i) {
      steps_.push_back({frame.from + spread * stream.Unit(), What::kHup, static_cast<int>(i)});
    }
  }

  void RestartSidecars(Reader& table, Frame& frame) {
    Sidecars(table, frame);
    const bool kill = table.Word("signal", {"term", "kill"}, 0) == 1;
    const double down = table.Number("down_s", 0.3, kS) * kSecond;
    const int killed = table.Whole("starts_killed", 0, {0, 1000});
    if (killed > 0) {
      if (!table.Has("alive_ms")) table.Fault("alive_ms", "must be there where starts_killed is");
      table.Number("alive_ms", 0, kAliveMs);
      if (!table.faults().empty()) return;  // else it would be told again for each life
    }
    for (const auto& [at, sidecar] : Waves(table, frame)) {
      double until = at + down;
      for (int k = 0; k < killed; ++k) {
        // A draw for each life.
        Reader life = table.Again(1 + sidecar * killed + k);
        const double alive = life.Number("alive_ms", 0, kAliveMs);
        steps_.push_back({at, What::kShortLife, sidecar, alive});
        until += alive + down;
      }
      steps_.push_back({at, kill ? What::kSidecarKill : What::kTerm, sidecar, down});
      frame.until = std::max(frame.until, until);
    }
  }

  void Freeze(Reader& table, Frame& frame) {
    Sidecars(table, frame);
    Length(table, frame);
    const double length = frame.until - frame.from;
    for (const auto& [at, sidecar] : Waves(table, frame)) {
      Hold(at, at + length, sidecar, frame);
      frame.until = std::max(frame.until, at + length);
    }
  }

  // Short of processor time: it stands still for the rest of each slice. Slices of sidecars are not in step.
  // Short of descriptors: it may hold fewer.
  void Starve(Reader& table, Frame& frame) {
    Sidecars(table, frame);
    Length(table, frame);
    if (!table.Has("share") && !table.Has("descriptors")) {
      table.Fault("", "share or descriptors must be there");
    }
    const double length = frame.until - frame.from;
    const double slice = table.Number("slice_ms", 100, {10, 10'000});
    const double share = table.Has("share") ? table.Number("share", 1, {0.01, 1}) : 1;
    const int descriptors = table.Has("descriptors") ? table.Whole("descriptors", 0, {16, 1'000'000}) : 0;
    if (length / slice * static_cast<double>(frame.sidecars.size()) > kMostSlices) {
      table.Fault("slice_ms", "makes more than 200000 slices over all sidecars");
      return;
    }
    model::Stream stream = table.seeds().Of("scenario." + table.Path("slices"));
    for (const auto& [from, sidecar] : Waves(table, frame)) {
      const double until = from + length;
      const double first = from + slice * stream.Unit();
      for (double at = first; share < 1 && at < until; at += slice) {
        Hold(at, std::min(until, at + (1 - share) * slice), sidecar, frame);
      }
      if (descriptors > 0) {
        steps_.push_back({from, What::kDescriptors, sidecar, static_cast<double>(descriptors)});
        steps_.push_back({until, What::kDescriptors, sidecar, 0});
      }
      frame.until = std::max(frame.until, until);
    }
    if (share < 1) frame.detail = Said("share", share);
    if (descriptors > 0) {
      frame.detail += (frame.detail.empty() ? "" : ", ") + Said("descriptors", descriptors);
    }
  }

  void Hold(double from, double until, int sidecar, const Frame& frame) {
    steps_.push_back({from, What::kFreeze, sidecar, static_cast<double>(frame.index)});
    steps_.push_back({until, What::kLetGo, sidecar, static_cast<double>(frame.index)});
  }

  void BurstOf(Reader& table, Frame& frame) {
    Length(table, frame);
    if (!table.Has("factor")) table.Fault("factor", "must be there");
    model::Burst burst{frame.from, frame.until, table.Number("factor", 1, {0, 100}), 0, 0};
    burst.rise_ms = table.Number("rise_s", 0, kS) * kSecond;
    burst.fall_ms = table.Number("fall_s", 0, kS) * kSecond;
    figures_.clients.bursts.push_back(burst);
    frame.detail = Said("factor", burst.factor);
  }

  // ---- From servers to processes ----

  struct Slot {
    int process = -1;  // the last one
    bool up = false;
    bool draining = false;
    int machines = 0;  // that have followed one another
  };

  void AssignProcesses() {
    std::vector<Slot> slots(static_cast<std::size_t>(servers_) + likes_.size());
    for (int i = 0; i < servers_; ++i) slots[static_cast<std::size_t>(i)] = {i, true, false, 0};
    int places = servers_;
    for (const ServerStep& step : steps_) {
      model::Step out{step.at_ms, step.what, step.server, step.amount};
      if (step.what == What::kTroubleBegins) {
        std::vector<int>& machines = figures_.troubles[static_cast<std::size_t>(step.server)].machines;
        for (int& machine : machines) machine = slots[static_cast<std::size_t>(machine)].process;
      } else if (step.what <= What::kIdleKeep) {
        Slot& slot = slots[static_cast<std::size_t>(step.server)];
        if (step.what == What::kStart) {
          if (slot.up) continue;
          Start(step, slot, places);
        } else {
          // Two troubles may want the same server: what has ended cannot end again.
          if (!slot.up || (step.what == What::kDrain && slot.draining)) continue;
          slot.draining |= step.what == What::kDrain;
          slot.up = step.what != What::kStop && step.what != What::kKill && step.what != What::kVanish;
        }
        out.target = slot.process;
      }
      figures_.steps.push_back(out);
    }
  }

  void Start(const ServerStep& step, Slot& slot, int& places) {
    const bool added = slot.process < 0;
    const int like = added ? likes_[static_cast<std::size_t>(step.server - servers_)] : slot.process;
    model::MachineFigures machine = figures_.machines[static_cast<std::size_t>(like)];
    machine.from_start = false;
    if (step.new_machine) machine.id = MachineId(figures_.seed, step.server, ++slot.machines);
    if (step.new_place) machine.place = places++;
    slot.process = static_cast<int>(figures_.machines.size());
    slot.up = true;
    slot.draining = false;
    figures_.machines.push_back(machine);
    server_of_.push_back(step.server);
  }

  const Sure sure_;
  Figures& figures_;
  const int servers_;
  std::vector<int> likes_;      // of added servers: which of the first ones each is like
  std::vector<int> server_of_;  // by process
  std::vector<ServerStep> steps_;
};

}  // namespace

void ReadTroubles(Reader& whole, const Sure& sure, Figures& figures) {
  Troubles troubles(sure, figures);
  troubles.Read(whole);
  troubles.Finish();
  double longest = 0;
  for (const model::ClassFigures& klass : figures.classes) longest = std::max(longest, klass.deadline_ms);
  figures.rules.kill_after_ms = std::max(kLeastKillAfterMs, longest) + kKillMarginMs;
}

}  // namespace bitternmux::lab::scenario
