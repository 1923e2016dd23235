#include "lab/stands/discovery_stand.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

#include "http/writer.h"

namespace bitternmux::lab {
namespace {

using boost::asio::ip::tcp;

constexpr unsigned kNet = 20;  // of 127.x
const std::string kPath = "/discovery/hosts";

std::uint64_t MessageKey(std::uint64_t link, std::uint64_t message) {
  // Links have numbers of their own here: they must not share keys with those to execute nodes.
  return ~link * 0x9e3779b97f4a7c15u + message;
}

std::string Chunk(const std::string& text) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// A watch's `since`; none for a call of the whole list. -1: no such path.
std::optional<std::int64_t> SinceOf(const std::string& target) {
  if (target == kPath) return std::nullopt;
  const std::string mark = kPath + "?follow=1&since=";
  std::int64_t since = -1;
  if (target.rfind(mark, 0) == 0) {
    std::from_chars(target.data() + mark.size(), target.data() + target.size(), since);
  }
  return since;
}

}  // namespace

DiscoveryStand::DiscoveryStand(Stage& stage, MachineAddress address_of, std::optional<tcp::endpoint> at)
    : stage_(stage), address_of_(std::move(address_of)), at_(std::move(at)) {
  for (std::size_t i = 0; i < stage.figures.sidecars.size(); ++i) told_.emplace_back(stage.discovery);
  Open();
  stage.on_told = [this](const model::DiscoveryAction& action) { Carry(action); };
  stage.on_discovery = [this](const model::Step& step) {
    if (step.what == model::Step::What::kDiscoveryMove) Open();
    SetDoors();
  };
}

DiscoveryStand::~DiscoveryStand() {
  for (const auto& [number, row] : rows_) row.link->Reset();
}

// The doors of the place that discovery is at now.
void DiscoveryStand::Open() {
  const int place = static_cast<int>(doors_.size());
  auto& doors = doors_.emplace_back();
  for (std::size_t i = 0; i < told_.size(); ++i) {
    const auto s = static_cast<unsigned>(i);
    doors.push_back(std::make_unique<Door>(
        stage_.io, at_.value_or(LoopbackAt(kNet, s / 250, 1 + s % 250)),
        [this, sidecar = static_cast<int>(i), place](tcp::socket socket) {
          Accept(sidecar, place, std::move(socket));
        },
        [this] { stage_.OutOfDescriptors(); }));
  }
}

void DiscoveryStand::Begin() {
  SetDoors();
  for (const model::LinkTrouble& trouble : stage_.figures.network.troubles) {
    if (!trouble.discovery) continue;
    stage_.pace.At(trouble.from_ms, [this] { SetDoors(); });
    stage_.pace.At(trouble.until_ms, [this, &trouble] {
      SetDoors();
      if (model::Cuts(trouble.fault)) EndCut(trouble);
    });
  }
}

// What stood through a cut has lost what it does not know of.
void DiscoveryStand::EndCut(const model::LinkTrouble& trouble) {
  std::vector<std::uint64_t> cut;
  for (const auto& [number, row] : rows_) {
    const auto& named = trouble.sidecars;
    const bool hit = named.empty() || std::find(named.begin(), named.end(), row.sidecar) != named.end();
    if (hit) cut.push_back(number);
  }
  for (const std::uint64_t number : cut) Break(number);
}

void DiscoveryStand::SetDoors() {
  const double now = stage_.pace.NowMs();
  for (std::size_t place = 0; place < doors_.size(); ++place) {
    const bool here = static_cast<int>(place) == stage_.discovery.place() && stage_.discovery.up();
    for (std::size_t i = 0; i < doors_[place].size(); ++i) {
      const bool cut =
          stage_.network.DialUp(now, static_cast<int>(i), model::Network::kDiscovery, 0) == model::kNever;
      doors_[place][i]->Set(cut ? Door::State::kSilent : here ? Door::State::kOpen : Door::State::kRefusing);
    }
  }
}

std::string DiscoveryStand::AddressOf(int sidecar) const {
  return doors_.back()[static_cast<std::size_t>(sidecar)]->text();
}

nlohmann::json DiscoveryStand::KnownTo(int sidecar) const {
  return JsonOf(sidecar, told_[static_cast<std::size_t>(sidecar)].Known());
}

nlohmann::json DiscoveryStand::JsonOf(int sidecar, const model::Listing& listing) const {
  nlohmann::json out;
  out["revision"] = listing.revision;
  out["complete"] = listing.complete;
  auto& members = out["members"] = nlohmann::json::array();
  for (const model::ListEntry& entry : listing.entries) {
    const model::MachineFigures& machine = stage_.figures.machines[static_cast<std::size_t>(entry.machine)];
    auto& member = members.emplace_back(nlohmann::json::object());
    member["id"] = machine.id;
    member["host_port"] = address_of_(sidecar, entry.machine);
    member["locality"] = stage_.figures.network.zones[static_cast<std::size_t>(machine.zone)];
    member["flavor"] = stage_.figures.kinds[static_cast<std::size_t>(machine.kind)];
    member["cell"] = machine.cell;
    member["phase"] = entry.phase == model::Phase::kServing    ? "SERVING"
                      : entry.phase == model::Phase::kDraining ? "DRAINING"
                                                               : "DELETED";
    member["size"] = machine.size;
    member["up_since_ms"] = entry.started_ms > 0 ? std::llround(stage_.pace.unix_ms() + entry.started_ms) : 0;
  }
  return out;
}

void DiscoveryStand::Accept(int sidecar, int place, tcp::socket socket) {
  const std::uint64_t number = ++last_link_;
  constexpr int kDiscovery = model::Network::kDiscovery;
  if (stage_.network.Dropped(stage_.pace.NowMs(), sidecar, kDiscovery, MessageKey(number, 0))) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    return;  // closes it with a reset
  }
  Row& row = rows_[number];
  row.sidecar = sidecar;
  row.place = place;
  row.link = std::make_shared<Link>(std::move(socket), static_cast<Link::Owner&>(*this), number,
                                    [this, sidecar, number](std::uint64_t message) {
                                      return stage_.network.Passes(stage_.pace.NowMs(), sidecar, kDiscovery,
                                                                   MessageKey(number, message));
                                    });
  row.link->Start();
}

void DiscoveryStand::Came(std::uint64_t link, const http::Message& request) {
  Row& row = rows_.at(link);
  const auto since = SinceOf(request.target);
  if (request.method != "GET" || since.value_or(0) < 0) {
    row.link->Write(http::WriteResponse(404, {}, "no such path\n", true));
    return row.link->Next();
  }
  const model::CallId call = ++last_call_;
  row.call = call;
  row.watch = since.has_value();
  links_[call] = link;
  stage_.Tell(&Observer::Asked, row.sidecar, row.watch, false);
  const double arrives =
      stage_.network.ToDiscovery(stage_.pace.NowMs(), row.sidecar, MessageKey(link, row.messages++));
  if (arrives == model::kNever) return;
  stage_.pace.At(arrives, [this, link, call, from = since.value_or(0)] { Ask(link, call, from); });
}

void DiscoveryStand::Ask(std::uint64_t link, model::CallId call, std::int64_t since) {
  const auto found = rows_.find(link);
  if (found == rows_.end() || found->second.call != call) return;
  if (found->second.place != stage_.discovery.place() || !stage_.discovery.up()) return Break(link);
  stage_.discovery.Ask(stage_.pace.NowMs(), call, found->second.watch, since, found->second.sidecar);
  stage_.pace.Arm();
}

void DiscoveryStand::Unreadable(std::uint64_t link) {
  rows_.at(link).link->Write(http::WriteResponse(400, {}, "the request cannot be read\n", false));
  rows_.at(link).link->Finish();
}

void DiscoveryStand::Left(std::uint64_t link) {
  const auto found = rows_.find(link);
  if (found == rows_.end()) return;
  const model::CallId call = found->second.call;
  if (found->second.link->cut()) {
    stage_.Tell(&Observer::Asked, found->second.sidecar, found->second.watch, true);
  }
  found->second.link->Close();
  rows_.erase(found);
  if (links_.erase(call) > 0) stage_.discovery.Leave(stage_.pace.NowMs(), call);
}

void DiscoveryStand::Carry(const model::DiscoveryAction& action) {
  const auto found = links_.find(action.call);
  if (found == links_.end()) return;
  const std::uint64_t link = found->second;
  Row& row = rows_.at(link);
  const double arrives =
      stage_.network.FromDiscovery(stage_.pace.NowMs(), row.sidecar, MessageKey(link, row.messages++));
  if (arrives == model::kNever) return;
  row.back = std::max(row.back, arrives);
  stage_.pace.At(row.back, [this, link, action] { Heard(link, action); });
}

// It is at the sidecar's end of the network now.
void DiscoveryStand::Heard(std::uint64_t link, const model::DiscoveryAction& action) {
  using What = model::DiscoveryAction::What;
  const auto found = rows_.find(link);
  if (found == rows_.end() || found->second.call != action.call) return;
  Row& row = found->second;
  switch (action.what) {
    case What::kTell: {
      const std::string list = JsonOf(row.sidecar, action.listing).dump();
      const auto passed = [this, sidecar = row.sidecar, listing = action.listing] {
        for (const auto& entry : told_[static_cast<std::size_t>(sidecar)].Hear(listing)) {
          stage_.Tell(&Observer::Told, sidecar, entry, listing.revision);
        }
      };
      if (row.watch) {
        if (!std::exchange(row.answered, true)) {
          row.link->Write(
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
        }
        return row.link->Write(Chunk(list + "\n"), passed);
      }
      links_.erase(std::exchange(row.call, 0));
      row.link->Write(http::WriteResponse(200, {{"Content-Type", "application/json"}}, list + "\n", true),
                      passed);
      return row.link->Next();
    }
    case What::kLine:
      return row.link->Write(Chunk("\n"));
    case What::kFail:
      stage_.Tell(&Observer::Asked, row.sidecar, row.watch, true);
      links_.erase(std::exchange(row.call, 0));
      row.link->Write(http::WriteResponse(503, {}, "too many calls\n", true));
      return row.link->Next();
    case What::kEnd:
      return Break(link);
    case What::kListed:
      return;
  }
}

void DiscoveryStand::Break(std::uint64_t link) {
  const auto found = rows_.find(link);
  stage_.Tell(&Observer::Asked, found->second.sidecar, found->second.watch, true);
  found->second.link->Reset();
  links_.erase(found->second.call);
  rows_.erase(found);
}

}  // namespace bitternmux::lab
