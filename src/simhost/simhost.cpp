#include "simhost/simhost.h"

#include <exception>

namespace cartspring {

using wire::Kind;
using wire::ParseError;

int SimHost::Run(std::istream& in, std::ostream& out, std::ostream& errors) {
  std::string text;
  std::uint64_t number = 0;
  try {
    while (std::getline(in, text)) {
      ++number;
      if (!text.empty() && text.back() == '\r') text.pop_back();
      if (text.empty()) continue;
      if (in.eof()) throw ParseError("the input ends within a line");
      const wire::Line line(text);
      Handle(line, errors);
      if (line.kind() != Kind::kBatchClose) continue;
      out.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
      out.flush();
      reply_.clear();
    }
    if (in_batch_) throw ParseError("the input ends within a batch");
  } catch (const ParseError& error) {
    errors << "line " << number << ": " << error.what() << "\n";
    return 1;
  }
  return 0;
}

void SimHost::Handle(const wire::Line& line, std::ostream& errors) {
  if (rows_remaining_ > 0 && line.kind() != Kind::kListRow) throw ParseError("a list is short of rows");
  if (line.kind() == Kind::kBatchOpen) {
    if (in_batch_) throw ParseError("a batch opens within a batch");
    const wire::BatchOpen open = wire::ReadBatchOpen(line);
    in_batch_ = true;
    now_ms_ = open.now_ms;
    turn_ = open.turn;
    return;
  }
  if (!in_batch_) throw ParseError("outside a batch: " + std::string(line.name().substr(0, 80)));
  switch (line.kind()) {
    case Kind::kBatchClose:
      in_batch_ = false;
      wire::WriteEnd(turn_, &reply_);
      return;
    case Kind::kList: {
      const std::uint64_t number = wire::ReadListNumber(line);
      if (number >= lists_.size())
        throw ParseError("list number " + std::to_string(number) + " is too large");
      open_list_ = &lists_[number].emplace();
      rows_remaining_ = wire::ReadListRows(line);
      return;
    }
    case Kind::kListRow:
      if (rows_remaining_ == 0) throw ParseError("a row that belongs to no list");
      open_list_->push_back(wire::ReadHostEntry(line));
      --rows_remaining_;
      return;
    case Kind::kUnknown:
      return;
    default:
      HandleEvent(line, errors);
  }
}

void SimHost::HandleEvent(const wire::Line& line, std::ostream& errors) {
  const std::string name(wire::Instance(line));
  try {
    if (line.kind() == Kind::kStart) {
      const Settings settings = wire::ReadSettings(line);
      instances_[name] = std::make_unique<Instance>(name, settings, wire::ReadSeed(line), &reply_);
      return;
    }
    const auto found = instances_.find(name);
    if (found == instances_.end()) {
      errors << std::string(line.name()) << " for " << name << ", which is not alive: skipped\n";
    } else if (line.kind() == Kind::kStop) {
      instances_.erase(found);
    } else {
      Deliver(line, found->second->balancer);
    }
  } catch (const ParseError&) {
    throw;
  } catch (const std::exception& error) {
    wire::WriteBroken(name, error.what(), &reply_);
  }
}

void SimHost::Deliver(const wire::Line& line, Balancer& balancer) {
  switch (line.kind()) {
    case Kind::kHosts:
      return DeliverHosts(line, balancer);
    case Kind::kRequest:
      return balancer.OnRequest(now_ms_, wire::ReadRequest(line));
    case Kind::kStreamBegun: {
      const auto [id, attempt] = wire::ReadStreamBegun(line);
      return balancer.OnStreamBegun(now_ms_, id, attempt);
    }
    case Kind::kOutcome: {
      const wire::AttemptOutcome ended = wire::ReadOutcome(line);
      return balancer.OnOutcome(now_ms_, ended.id, ended.attempt, ended.outcome, ended.request_over,
                                ended.took_ms, ended.report ? &*ended.report : nullptr);
    }
    case Kind::kClientGone:
      return balancer.OnClientGone(now_ms_, wire::ReadClientGone(line));
    case Kind::kTimer:
      return balancer.OnTimer(now_ms_, wire::ReadTimer(line));
    case Kind::kProbeResult: {
      const wire::ProbeResult probed = wire::ReadProbeResult(line);
      return balancer.OnProbeResult(now_ms_, probed.host, probed.answered, probed.took_ms,
                                    probed.report ? &*probed.report : nullptr);
    }
    default:
      return;
  }
}

void SimHost::DeliverHosts(const wire::Line& line, Balancer& balancer) {
  const wire::Hosts hosts = wire::ReadHosts(line);
  if (hosts.scope == wire::Hosts::Scope::kRefused) return balancer.OnDiscoveryRefused(now_ms_);
  if (hosts.list >= lists_.size() || !lists_[hosts.list]) {
    throw ParseError("list number " + std::to_string(hosts.list) + " was never sent");
  }
  if (hosts.scope == wire::Hosts::Scope::kChanges)
    return balancer.OnHostChanges(now_ms_, *lists_[hosts.list]);
  balancer.OnHostList(now_ms_, *lists_[hosts.list], hosts.scope == wire::Hosts::Scope::kRemembered);
}

}  // namespace cartspring
