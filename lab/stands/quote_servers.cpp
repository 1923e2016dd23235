#include "lab/stands/quote_servers.h"

#include <algorithm>
#include <utility>

#include "http/writer.h"
#include "lab/stands/answer.h"

namespace bitternmux::lab {
namespace {

using boost::asio::ip::tcp;
using record::ClaimEnded;

constexpr unsigned kFirstNet = 30;  // of 127.x: below it are the lab's other addresses
constexpr double kLingerMs = 5000;  // that a sidecar may leave a connection open that its node has closed

ClaimEnded::How HowOf(model::ClaimEnd end) {
  switch (end) {
    case model::ClaimEnd::kServed:
      return ClaimEnded::SERVED;
    case model::ClaimEnd::kError:
      return ClaimEnded::ERROR;
    case model::ClaimEnd::kDeclined:
      return ClaimEnded::DECLINED;
    case model::ClaimEnd::kSpoilt:
      return ClaimEnded::SPOILT;
    default:
      return ClaimEnded::RESET;
  }
}

std::uint64_t MessageKey(std::uint64_t connection, std::uint64_t message) {
  return connection * 0x9e3779b97f4a7c15u + message;
}

bool Named(const std::vector<int>& list, int number) {
  return list.empty() || std::find(list.begin(), list.end(), number) != list.end();
}

}  // namespace

QuoteServers::QuoteServers(Stage& stage, FindOrder find_order, std::optional<tcp::endpoint> at)
    : stage_(stage), find_order_(std::move(find_order)) {
  int places = 0;
  for (const model::MachineFigures& machine : stage.figures.machines)
    places = std::max(places, machine.place + 1);
  doors_.resize(stage.figures.sidecars.size());
  for (std::size_t i = 0; i < doors_.size(); ++i) {
    const int sidecar = static_cast<int>(i);
    for (int place = 0; place < places; ++place) {
      const auto p = static_cast<unsigned>(place);
      const auto own = LoopbackAt(kFirstNet + p / 250, p % 250, 1 + static_cast<unsigned>(sidecar) % 250);
      doors_[i].push_back(std::make_unique<Door>(
          stage.io, at.value_or(own),
          [this, sidecar, place](tcp::socket socket) { Accept(sidecar, place, std::move(socket)); },
          [&stage] { stage.OutOfDescriptors(); }));
    }
  }
  stage.on_node = [this](int machine, const model::NodeAction& action) { Carry(machine, action); };
  stage.on_machine = [this](int machine) {
    SetDoors();
    if (stage_.fleet.state(machine) != model::MachineState::kUp) return;
    // What stood to a machine that vanished from this place is reset now that something answers there again.
    const int place = stage_.figures.machines[static_cast<std::size_t>(machine)].place;
    std::vector<model::ConnectionId> old;
    for (const auto& [id, row] : rows_) {
      const bool here = stage_.figures.machines[static_cast<std::size_t>(row.machine)].place == place;
      if (here && row.machine != machine) old.push_back(id);
    }
    for (const model::ConnectionId id : old) Reset(rows_.find(id));
  };
}

QuoteServers::~QuoteServers() {
  for (const auto& [id, row] : rows_) row.link->Reset();
}

void QuoteServers::Begin() {
  SetDoors();
  for (const model::LinkTrouble& trouble : stage_.figures.network.troubles) {
    if (trouble.discovery) continue;
    stage_.pace.At(trouble.from_ms, [this] { SetDoors(); });
    stage_.pace.At(trouble.until_ms, [this, &trouble] {
      SetDoors();
      if (model::Cuts(trouble.fault)) EndCut(trouble);
    });
  }
}

void QuoteServers::SetDoors() {
  const double now = stage_.pace.NowMs();
  for (std::size_t i = 0; i < doors_.size(); ++i) {
    for (std::size_t place = 0; place < doors_[i].size(); ++place) {
      const int machine = stage_.fleet.At(static_cast<int>(place));
      Door::State state = Door::State::kRefusing;
      if (machine >= 0) {
        const auto reach = stage_.fleet.Reach(machine);
        const bool up = stage_.network.DialUp(now, static_cast<int>(i), machine, 0) < model::kNever;
        state = reach == model::ExecuteNode::Reach::kSilent || !up ? Door::State::kSilent
                : reach == model::ExecuteNode::Reach::kListens     ? Door::State::kOpen
                                                                   : Door::State::kRefusing;
      }
      doors_[i][place]->Set(state);
    }
  }
}

std::string QuoteServers::AddressOf(int sidecar, int machine) const {
  const int place = stage_.figures.machines[static_cast<std::size_t>(machine)].place;
  return doors_[static_cast<std::size_t>(sidecar)][static_cast<std::size_t>(place)]->text();
}

void QuoteServers::Accept(int sidecar, int place, tcp::socket socket) {
  const int machine = stage_.fleet.At(place);
  if (stage_.fleet.Reach(machine) != model::ExecuteNode::Reach::kListens) return;
  const model::ConnectionId id = ++last_connection_;
  if (stage_.network.Dropped(stage_.pace.NowMs(), sidecar, machine, id)) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    return;  // closes it with a reset
  }
  Row& row = rows_[id];
  row.sidecar = sidecar;
  row.machine = machine;
  row.link = std::make_shared<Link>(std::move(socket), static_cast<Link::Owner&>(*this), id,
                                    [this, sidecar, machine, id](std::uint64_t message) {
                                      return stage_.network.Passes(stage_.pace.NowMs(), sidecar, machine,
                                                                   MessageKey(id, message));
                                    });
  const double now = stage_.pace.NowMs();
  row.there = stage_.network.DialUp(now, sidecar, machine, MessageKey(id, row.messages++));
  if (row.there == model::kNever) row.there = now;
  row.turned_away = !stage_.fleet.Connect(now, machine, id, stage_.actions);
  row.node_closed = row.turned_away;
  stage_.Tell(&Observer::Connection, ConnectionChange{sidecar, machine, true, false, row.turned_away});
  row.link->Start();
  stage_.Carry();
}

double QuoteServers::There(Row& row, model::ConnectionId id) {
  const double arrives =
      stage_.network.ToNode(stage_.pace.NowMs(), row.sidecar, row.machine, MessageKey(id, row.messages++));
  if (arrives == model::kNever) return arrives;
  return row.there = std::max(row.there, arrives);
}

void QuoteServers::Came(std::uint64_t id, const http::Message& request) {
  const auto found = rows_.find(id);
  Row& row = found->second;
  const bool probe = request.target == "/alive" || request.target == "/metrics/load";
  if (probe && stage_.figures.rules.may_probe) return Probe(found, request);
  const auto request_id = request.Find("req-id");
  if (probe || !request_id) {
    row.link->Write(http::WriteResponse(404, {}, "no such path, or no Req-Id\n", true));
    return row.link->Next();
  }
  const std::optional<Order> order = find_order_(request);
  if (!order) {
    stage_.Void("an execute node was sent a request that no client had sent: " + std::string(*request_id));
    row.link->Write(http::WriteResponse(400, {}, "no client sent this\n", true));
    return row.link->Next();
  }
  row.request_id = *request_id;
  Claim(found, request, *order);
}

void QuoteServers::Probe(Rows::iterator found, const http::Message&) {
  const model::ConnectionId id = found->first;
  Row& row = found->second;
  stage_.Tell(&Observer::Probed, row.sidecar, row.machine);
  if (row.turned_away) {
    row.link->Write(http::WriteResponse(503, {}, {}, false));
    return row.link->Finish();
  }
  const double arrives = There(row, id);
  if (arrives == model::kNever) return;
  stage_.pace.At(arrives, [this, id, machine = row.machine] {
    stage_.fleet.Probe(stage_.pace.NowMs(), machine, id, stage_.actions);
    stage_.Carry();
  });
}

void QuoteServers::Claim(Rows::iterator found, const http::Message& request, const Order& order) {
  const model::ConnectionId id = found->first;
  Row& row = found->second;
  model::Offered offered;
  offered.claim = ++last_claim_;
  offered.connection = id;
  offered.work_ms = order.work_ms;
  if (const auto wait = request.Find("req-deadline-ms")) {
    offered.wait_ms = static_cast<double>(http::WholeNumber(*wait).value_or(0));
  }
  // Guards the record: one that sends on though an answer was not whole has given that one up.
  EndClaim(row, ClaimEnded::CANCELLED, 0);
  row.claim = offered.claim;
  ++claims_out_;
  stage_.Tell(&Observer::ClaimSent,
              ClaimStart{offered.claim, order.attempt, row.sidecar, row.machine, offered.wait_ms});
  if (row.turned_away) {
    EndClaim(row, ClaimEnded::DECLINED, 0);
    row.link->Write(http::WriteResponse(503, {{"Srv-Declined", "1"}}, "too many connections\n", false));
    return row.link->Finish();
  }
  if (row.spent) return Reset(found);
  const double arrives = There(row, id);
  if (arrives == model::kNever) return;
  stage_.pace.At(arrives, [this, offered, machine = row.machine] {
    stage_.fleet.Offer(stage_.pace.NowMs(), machine, offered, stage_.actions);
    stage_.Carry();
  });
}

void QuoteServers::Unreadable(std::uint64_t id) {
  Row& row = rows_.at(id);
  row.link->Write(http::WriteResponse(400, {}, "the request cannot be read\n", false));
  row.link->Finish();
}

void QuoteServers::EndClaim(Row& row, ClaimEnded::How how, double worked_ms) {
  if (row.claim == 0) return;
  --claims_out_;
  stage_.Tell(&Observer::ClaimEnded, std::exchange(row.claim, 0), how, worked_ms);
}

void QuoteServers::NodeCloses(Row& row) {
  if (std::exchange(row.node_closed, true)) return;
  stage_.Tell(&Observer::Connection, ConnectionChange{row.sidecar, row.machine, false, true, false});
}

void QuoteServers::Left(std::uint64_t id) {
  const auto found = rows_.find(id);
  if (found == rows_.end()) return;
  Row row = found->second;
  rows_.erase(found);
  row.link->Close();
  const bool cut = row.link->cut();
  EndClaim(row, cut ? ClaimEnded::RESET : ClaimEnded::CANCELLED, 0);
  if (!row.node_closed) {
    stage_.Tell(&Observer::Connection, ConnectionChange{row.sidecar, row.machine, false, cut, false});
  }
  if (row.turned_away) return;
  double arrives = There(row, id);
  // In a cut the node learns of it when the cut ends.
  if (arrives == model::kNever) {
    arrives = stage_.network.CutUntil(stage_.pace.NowMs(), row.sidecar, row.machine);
  }
  stage_.pace.At(arrives, [this, id, machine = row.machine] {
    stage_.fleet.Disconnect(stage_.pace.NowMs(), machine, id, stage_.actions);
    stage_.Carry();
  });
}

void QuoteServers::Reset(Rows::iterator found) {
  const model::ConnectionId id = found->first;
  Row row = found->second;
  rows_.erase(found);
  NodeCloses(row);
  EndClaim(row, ClaimEnded::RESET, 0);
  row.link->Reset();
  stage_.fleet.Disconnect(stage_.pace.NowMs(), row.machine, id, stage_.actions);
  stage_.Carry();
}

void QuoteServers::Carry(int machine, const model::NodeAction& action) {
  using What = model::NodeAction::What;
  if (action.what == What::kEffect) return stage_.Tell(&Observer::Effect, action.claim);
  // How a claim has ended shows in what its sidecar gets to see, or does.
  if (action.what == What::kEnded || action.what == What::kFell) return;
  const auto found = rows_.find(action.connection);
  if (found == rows_.end()) return;
  Row& row = found->second;
  if (action.what != What::kAnswer && action.what != What::kProbeAnswer) NodeCloses(row);
  if (action.what == What::kForgot) return;
  const double arrives = stage_.network.FromNode(stage_.pace.NowMs(), row.sidecar, machine,
                                                 MessageKey(action.connection, row.messages++));
  if (arrives == model::kNever) return;
  row.back = std::max(row.back, arrives);
  stage_.pace.At(row.back, [this, action] { Heard(action.connection, action); });
}

// It is at the sidecar's end of the network now.
void QuoteServers::Heard(model::ConnectionId id, const model::NodeAction& action) {
  using What = model::NodeAction::What;
  const auto found = rows_.find(id);
  if (found == rows_.end()) return;
  Row& row = found->second;
  switch (action.what) {
    case What::kAnswer: {
      if (row.claim != action.claim) return;
      const std::string& server = stage_.figures.machines[static_cast<std::size_t>(row.machine)].id;
      const std::string body = BodyOf({action.claim, row.request_id}, server);
      // The sidecar cannot know that the rest never comes: the claim is out until it closes.
      const bool waited_for = action.spoil == model::Spoil::kTooShort;
      std::function<void()> passed;
      if (!waited_for) {
        passed = [this, id, how = HowOf(action.end), worked = action.worked_ms] {
          EndClaim(rows_.at(id), how, worked);
        };
      }
      row.spent = action.spoil != model::Spoil::kNone && action.spoil != model::Spoil::kBadReport &&
                  action.spoil != model::Spoil::kInterim;
      row.link->Write(WriteAnswer(action, body), std::move(passed));
      return row.link->Next();
    }
    case What::kProbeAnswer:
      row.link->Write(WriteProbeAnswer(action));
      return row.link->Next();
    case What::kClose:
      // A request may cross it: what comes now is read, counts as sent, and is reset.
      row.link->Finish();
      stage_.pace.At(stage_.pace.NowMs() + kLingerMs, [this, id] {
        const auto left = rows_.find(id);
        if (left != rows_.end()) Reset(left);
      });
      return;
    case What::kReset:
      return Reset(found);
    default:
      return;
  }
}

// What stood through a cut is reset at both ends.
void QuoteServers::EndCut(const model::LinkTrouble& trouble) {
  std::vector<model::ConnectionId> cut;
  for (const auto& [id, row] : rows_) {
    if (Named(trouble.sidecars, row.sidecar) && Named(trouble.machines, row.machine)) cut.push_back(id);
  }
  for (const model::ConnectionId id : cut) {
    const auto found = rows_.find(id);
    if (found != rows_.end()) Reset(found);
  }
}

void QuoteServers::End() {
  for (auto& [id, row] : rows_) EndClaim(row, ClaimEnded::SILENT, 0);
}

}  // namespace bitternmux::lab
