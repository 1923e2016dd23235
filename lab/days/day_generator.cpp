#include "lab/days/day_generator.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <vector>

namespace bitternmux::lab::days {
namespace {

constexpr double kFirstTroubleS = 2.0, kLastTroubleS = 24.0;
constexpr double kClusterS = 3.0;  // within which troubles of one cluster begin

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed * 7919 + 1) {}
  double Between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  std::size_t Below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  bool Chance(double probability) { return Between(0, 1) < probability; }
  template <std::size_t kCount>
  std::string OneOf(const std::array<const char*, kCount>& words) {
    return words[Below(kCount)];
  }

 private:
  std::mt19937_64 random_;
};

// A number as the bench's files write it.
std::string Number(double number) {
  std::ostringstream out;
  out.precision(4);
  out << number;
  const std::string text = out.str();
  return text.find('.') == std::string::npos ? text + ".0" : text;
}

std::string Entry(double at_s, const std::string& kind, const std::string& more = "") {
  return "  { at = " + Number(at_s) + ", kind = \"" + kind + "\"" + (more.empty() ? "" : ", " + more) +
         " },\n";
}

std::string For(Draw& draw, double least_s, double most_s) {
  return "for_s = " + Number(draw.Between(least_s, most_s));
}

std::string How(const std::string& how) { return "how = \"" + how + "\""; }

constexpr std::array<const char*, 6> kWhom = {"leader", "reader", "seed", "turn", "", "oldest"};
constexpr std::array<const char*, 5> kMeets = {"", " meet", " race", " hard", " race drain hard"};
constexpr std::array<const char*, 14> kCuts = {"",        "behind", "split",  "all",           "near",
                                               "oldest",  "seeds",  "both",   "one_way",       "lure",
                                               "relieve", "leader", "reader", "leader one_way"};
constexpr std::array<const char*, 9> kChanges = {"route", "weights", "timeout", "tenant",    "quota",
                                                 "topup", "idle",    "route",   "quota down"};
constexpr std::array<const char*, 9> kBadConfigurations = {"cut_short",    "unknown_service", "same_place",
                                                           "no_weight",    "no_timeout",      "old_version",
                                                           "same_version", "stale_match",     "shared_key"};

// One trouble of the control side. `planned`: it is the operators' work.
std::string ControlTrouble(Draw& draw, double at_s, bool& planned) {
  planned = false;
  switch (draw.Below(20)) {
    case 0:
      return Entry(at_s, "node_kill",
                   "on = \"core\", count = 1, " + How(draw.OneOf(kWhom) + draw.OneOf(kMeets)));
    case 1:
      return Entry(at_s, "node_kill", "on = \"core\", count = 1, " + How("power") + ", " + For(draw, 0.5, 5));
    case 2:
      return Entry(at_s, "herd_kill",
                   "on = \"core\"" +
                       (draw.Chance(0.5) ? ", " + How("off") + ", " + For(draw, 0.4, 2) : std::string()));
    case 3:
      return Entry(at_s, "herd_kill", "on = \"core\", " + How(draw.Chance(0.5) ? "taken" : "taken all"));
    case 4:
      return Entry(at_s, "after_ack_kill",
                   For(draw, 0.3, 3) + ", " + How(draw.Chance(0.5) ? "timed" : "kill"));
    case 5:
    case 6:
      return Entry(at_s, "after_ack_wipe", For(draw, 0.3, 4) + ", " + How(draw.Chance(0.7) ? "" : "oldest"));
    case 7:
      return Entry(at_s, "disk_slow", "count = 1, " + For(draw, 1, 8));
    case 8:
      return Entry(at_s, "disk_stall", "count = 1, " + For(draw, 0.5, 6));
    case 9:
      return Entry(at_s, "disk_full", "count = 1, " + For(draw, 0.5, 8));
    case 10:
    case 11:
    case 12:
      return Entry(at_s, "core_cut",
                   "count = 1, " + For(draw, 0.5, 12) + ", " + How(draw.OneOf(kCuts) + draw.OneOf(kMeets)));
    case 13:
      return Entry(at_s, "node_freeze", "on = \"core\", count = 1, " + For(draw, 0.3, 6));
    case 14:
      return Entry(at_s, "node_slow", "on = \"core\", count = 1, x = 5.0, " + For(draw, 1, 6));
    case 15:
    case 16:
      planned = draw.Chance(0.5);
      return Entry(
          at_s, "replace_core",
          "x = " + Number(draw.Between(0.3, 2.5)) + ", " + How(planned ? "planned" : draw.OneOf(kWhom)));
    case 17:
      planned = true;
      return Entry(at_s, "seed_turnover");
    case 18:
      return Entry(at_s, "clock_step",
                   "share = 0.4, x = " + Number(draw.Between(500, 5000)) + ", " + For(draw, 1, 6) + ", " +
                       How(draw.Chance(0.5) ? "back" : "ahead"));
    default:
      planned = true;
      return Entry(at_s, "roll_term", "on = \"core\", share = 1.0, gap_s = " + Number(draw.Between(0.8, 2)));
  }
}

std::string OtherTrouble(Draw& draw, double at_s, bool& planned) {
  planned = true;
  switch (draw.Below(13)) {
    case 0:
    case 1:
      return Entry(at_s, "config_change", How(draw.OneOf(kChanges)));
    case 2:
      return Entry(at_s, "config_storm",
                   "gap_s = " + Number(draw.Between(0.06, 0.6)) + ", " + For(draw, 0.8, 5));
    case 3:
      return Entry(at_s, "config_race", "count = 3, gap_s = " + Number(draw.Between(0.3, 1)));
    case 4:
      return Entry(at_s, "bad_config", "count = 2, gap_s = 0.5, " + How(draw.OneOf(kBadConfigurations)));
    case 5:
      return Entry(at_s, "release", "share = 0.4, gap_s = " + Number(draw.Between(0.5, 1.2)));
    case 6:
      return Entry(at_s, "revoke", "count = 1, gap_s = 0.5");
    case 7:
      return Entry(at_s, "big_config", "count = 60");
    case 8:
      return Entry(at_s, "hup", "share = 0.5, gap_s = 0.5");
    case 9:
      planned = false;
      return Entry(at_s, "ack_lost", "x = 0.7, " + For(draw, 2, 10));
    case 10:
      planned = false;
      return Entry(at_s, "node_kill", "share = 0.2, " + For(draw, 0.3, 2));
    case 11:
      planned = false;
      return Entry(at_s, "node_cut", "share = 0.2, " + For(draw, 1, 6));
    default:
      planned = false;
      return Entry(at_s, "reset_conns", "share = 0.3, x = 0.5");
  }
}

std::string Closing(Draw& draw, std::uint64_t seed) {
  const std::string down = "down_s = " + Number(draw.Between(0.4, 1.6));
  switch (seed % 8) {
    case 0:
      return "closing = { kind = \"power_off_all\", " + down + " }\n";
    case 1:
      return "closing = { kind = \"kill_all\", " + down + " }\n";
    case 2:
      return "closing = { kind = \"wipe_after_ack\", " + down + " }\n";
    case 3:
      return "closing = { kind = \"wipe_after_ack\", " + down + ", how = \"timed\" }\n";
    case 4:
      return "closing = { kind = \"wipe_after_ack\", " + down + ", how = \"oldest\" }\n";
    case 5:
      return "closing = { kind = \"power_off_all\", " + down + ", how = \"timed\" }\n";
    case 6:
      return "closing = { kind = \"wipe_after_ack\", " + down + ", how = \"aimed\" }\n";
    default:
      return "";
  }
}

const toml::table& PickDay(const toml::table& site, Draw& draw) {
  const toml::array* const days = site["day"].as_array();
  if (days == nullptr || days->empty()) throw SiteError("the site has no day");
  const auto* const day = (*days)[draw.Below(days->size())].as_table();
  if (day == nullptr || !day->contains("traffic")) throw SiteError("the site's day has no traffic");
  return *day;
}

}  // namespace

std::string MakeDay(const std::string& site_path, std::uint64_t seed) {
  toml::table site;
  try {
    site = toml::parse_file(site_path);
  } catch (const toml::parse_error& error) {
    throw SiteError(site_path + ": " + std::string(error.description()));
  }
  Draw draw(seed);
  const toml::table& base = PickDay(site, draw);
  std::string plan, faults;
  double at_s = kFirstTroubleS;
  const std::size_t count = 6 + draw.Below(9);
  for (std::size_t i = 0; i < count; ++i) {
    if (i == 0 || draw.Chance(0.35)) at_s = draw.Between(kFirstTroubleS, kLastTroubleS);
    const double begins_s = std::min(kLastTroubleS, at_s + draw.Between(0, kClusterS));
    bool planned = false;
    const std::string entry =
        draw.Chance(0.62) ? ControlTrouble(draw, begins_s, planned) : OtherTrouble(draw, begins_s, planned);
    (planned ? plan : faults) += entry;
  }
  std::ostringstream traffic;
  traffic << toml::table{{"traffic", *base["traffic"].as_array()}};
  std::ostringstream out;
  out << "name = \"own-" << seed << "\"\nslot = \"trouble\"\nseed = " << 1'000'000 + seed << "\n"
      << Closing(draw, seed) << "one = 0.95\nzero = 0.6\nlabels = []\nwall = 2.5\n"
      << "plan = [\n"
      << plan << "]\nfaults = [\n"
      << faults << "]\n"
      << traffic.str() << "\n";
  return out.str();
}

}  // namespace bitternmux::lab::days
