#include "lab/depth/plays.h"

#include <algorithm>
#include <iomanip>

#include "lab/depth/socket_chain.h"

namespace bitternmux::lab::depth {
namespace {

constexpr double kQuickWorkMs = 1;
// Longer ones of which every call fails would load the machine with some hundred attempts a call.
constexpr int kMostFailingSockets = 5;

std::string NameOf(RefusalBecomes refusal) {
  return refusal == RefusalBecomes::kError ? "error" : "declined";
}
std::string NameOf(Leaving leaving) {
  return leaving == Leaving::kNone ? "none" : leaving == Leaving::kCloses ? "closes" : "deadline";
}

VirtualPlay Base(const Wanted& wanted, int hops, double failing) {
  VirtualPlay play;
  play.seed = wanted.seed;
  play.chain.hops = hops;
  play.chain.failing = failing;
  play.chain.failing_hop = wanted.failing_hop;
  play.chain.servers = wanted.servers;
  play.calls.rate = wanted.rate;
  play.calls.count = std::max(1, static_cast<int>(wanted.rate * wanted.seconds));
  return play;
}

void Add(std::vector<VirtualPlay>& plays, VirtualPlay play, const char* load) {
  const Chain& chain = play.chain;
  play.at = {{"load", load},
             {"hops", chain.hops},
             {"failing", chain.failing},
             {"failing_hop", chain.FailingHop()},
             {"work_ms", play.times.work_ms},
             {"servers", chain.servers},
             {"sidecars", chain.own_sidecars ? "own" : "shared"},
             {"refusal", NameOf(chain.refusal)},
             {"cancel", chain.may_cancel},
             {"client_tries", play.calls.client_tries},
             {"leaving", NameOf(play.calls.leaving)}};
  plays.push_back(std::move(play));
}

}  // namespace

std::vector<VirtualPlay> VirtualPlays(const Wanted& wanted) {
  std::vector<VirtualPlay> plays;
  for (const auto refusal : {RefusalBecomes::kError, RefusalBecomes::kDeclined}) {
    for (const double failing : wanted.failing) {
      for (const int hops : wanted.hops) {
        VirtualPlay play = Base(wanted, hops, failing);
        play.chain.refusal = refusal;
        Add(plays, play, "steady");
        play.calls.count = 1;
        play.chains = wanted.cold_chains;
        Add(plays, play, "cold");
      }
    }
  }
  for (const int hops : wanted.hops) {
    VirtualPlay quick = Base(wanted, hops, 0);
    quick.times.work_ms = kQuickWorkMs;
    Add(plays, quick, "steady");
    VirtualPlay shared = Base(wanted, hops, 1);
    shared.chain.own_sidecars = false;
    Add(plays, shared, "steady");
    VirtualPlay again = Base(wanted, hops, 1);
    again.calls.client_tries = 3;
    Add(plays, again, "steady");
  }
  for (const auto leaving : {Leaving::kCloses, Leaving::kDeadline}) {
    for (const bool cancel : {true, false}) {
      for (const double failing : {0.0, 0.5}) {
        for (const int hops : wanted.hops) {
          VirtualPlay play = Base(wanted, hops, failing);
          play.chain.may_cancel = cancel;
          play.calls.leaving = leaving;
          Add(plays, play, "steady");
        }
      }
    }
  }
  return plays;
}

std::vector<SocketPlay> SocketPlays(const Wanted& wanted) {
  std::vector<SocketPlay> plays;
  for (const double failing : {0.0, 1.0}) {
    for (const int hops : wanted.hops) {
      if (failing > 0 && hops > kMostFailingSockets) continue;
      const VirtualPlay like = Base(wanted, hops, failing);
      SocketPlay& play = plays.emplace_back();
      play.chain = like.chain;
      play.chain.own_sidecars = false;
      play.calls = like.calls;
      play.seed = wanted.seed;
      play.at = {{"hops", hops},
                 {"failing", failing},
                 {"failing_hop", play.chain.FailingHop()},
                 {"servers", play.chain.servers},
                 {"sidecars", "shared"},
                 {"refusal", NameOf(play.chain.refusal)},
                 {"rate", play.calls.rate}};
    }
  }
  return plays;
}

nlohmann::json Carry(const SocketPlay& play, const std::string& program) {
  return {{"part", "depth"},
          {"at", play.at},
          {"seed", play.seed},
          {"figures", PlaySockets(play.chain, play.calls, program, play.seed)}};
}

nlohmann::json Carry(const VirtualPlay& play) {
  VirtualResult all = PlayVirtual(play.chain, play.calls, play.times, play.seed);
  for (int i = 1; i < play.chains; ++i) {
    const VirtualResult one =
        PlayVirtual(play.chain, play.calls, play.times, play.seed + (static_cast<std::uint64_t>(i) << 32));
    all.calls.insert(all.calls.end(), one.calls.begin(), one.calls.end());
    for (std::size_t hop = 0; hop < all.attempts.size(); ++hop) {
      all.attempts[hop] += one.attempts[hop];
      all.further[hop] += one.further[hop];
    }
  }
  return {{"part", "depth.virtual"},
          {"at", play.at},
          {"seed", play.seed},
          {"figures", FiguresOf(play.chain, all)}};
}

void PrintPlays(const nlohmann::json& plays, std::ostream& out) {
  out << std::fixed;
  for (const nlohmann::json& play : plays) {
    const nlohmann::json &at = play["at"], &figures = play["figures"];
    out << play["part"].get<std::string>();
    for (const auto& [key, value] : at.items())
      out << " " << key << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
    out << "\n   ";
    for (const auto& [key, value] : figures.items()) {
      if (value.is_number() && value.get<double>() != 0)
        out << " " << key << " " << std::setprecision(3) << value.get<double>();
    }
    out << "\n";
  }
}

}  // namespace bitternmux::lab::depth
