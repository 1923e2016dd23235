#include "fleet/load/load_board.h"

#include <vector>

namespace bitternmux::fleet {

std::uint32_t LoadKey(std::string_view server_id) {
  std::uint32_t value = 0x811c9dc5u;
  for (const char byte : server_id) value = (value ^ static_cast<unsigned char>(byte)) * 0x01000193u;
  return value;
}

void LoadBoard::Change(std::uint32_t server, const ServerLoad& from, const ServerLoad& to) {
  ServerLoad& sum = sums_[server];
  sum.server = server;
  sum.requests += to.requests - from.requests;
  sum.prefill_tokens += to.prefill_tokens - from.prefill_tokens;
  sum.set_aside += to.set_aside - from.set_aside;
  changed_.insert(server);
}

void LoadBoard::Set(const std::string& source, const ServerLoads& loads) {
  if (loads.whole) Drop(source);
  Rows& rows = sources_[source];
  for (const ServerLoad& row : loads.rows) {
    const auto found = rows.find(row.server);
    if (found == rows.end() && rows.size() >= kMaxRows) continue;
    Change(row.server, found == rows.end() ? ServerLoad{} : found->second, row);
    if (row.IsNothing()) {
      rows.erase(row.server);
    } else {
      rows[row.server] = row;
    }
  }
}

void LoadBoard::Drop(const std::string& source) {
  const auto found = sources_.find(source);
  if (found == sources_.end()) return;
  for (const auto& [server, row] : found->second) Change(server, row, ServerLoad{});
  sources_.erase(found);
}

ServerLoads LoadBoard::TakeChanges() {
  ServerLoads changes;
  for (const std::uint32_t server : changed_) {
    const auto sum = sums_.find(server);
    changes.rows.push_back(sum->second);
    if (sum->second.IsNothing()) sums_.erase(sum);
  }
  changed_.clear();
  return changes;
}

ServerLoads LoadBoard::All() const {
  ServerLoads all;
  all.whole = true;
  for (const auto& [server, sum] : sums_) all.rows.push_back(sum);
  return all;
}

}  // namespace bitternmux::fleet
