#include "core/retune.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bitternmux {
namespace {

using cartspring::RequestClass;

// The names in use, and behind them those that are new.
std::vector<std::string> Joined(std::vector<std::string> names, const std::vector<std::string>& next) {
  for (const std::string& name : next) {
    if (std::find(names.begin(), names.end(), name) == names.end()) names.push_back(name);
  }
  return names;
}

int RowNamed(const std::vector<RequestClass>& classes, const std::string& name) {
  const auto found = std::find_if(classes.begin(), classes.end(), [&](const RequestClass& klass) {
    return !klass.retired && klass.name == name;
  });
  return found == classes.end() ? -1 : static_cast<int>(found - classes.begin());
}

}  // namespace

Retuned Retune(const cartspring::Settings& now, cartspring::Settings next,
               const std::function<bool(int row)>& in_use) {
  Retuned out;
  std::vector<RequestClass> rows = now.classes;
  std::vector<bool> taken(rows.size(), false);
  for (RequestClass& row : rows) row.retired = true;
  std::vector<const RequestClass*> others;
  for (const RequestClass& klass : next.classes) {
    const int same = RowNamed(now.classes, klass.name);
    if (same < 0 || !(now.classes[static_cast<std::size_t>(same)] == klass)) {
      others.push_back(&klass);
      continue;
    }
    rows[static_cast<std::size_t>(same)].retired = false;
    taken[static_cast<std::size_t>(same)] = true;
  }
  out.like.resize(rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) out.like[i] = static_cast<int>(i);
  for (const RequestClass* klass : others) {
    std::size_t row = 0;
    while (row < rows.size() && (taken[row] || in_use(static_cast<int>(row)))) ++row;
    if (row == rows.size()) {
      rows.emplace_back();
      taken.push_back(false);
      out.like.push_back(-1);
    }
    rows[row] = *klass;
    taken[row] = true;
    out.like[row] = RowNamed(now.classes, klass->name);
  }
  next.classes = std::move(rows);
  const auto zones = Joined(now.zones, next.zones);
  if (const auto own = static_cast<std::size_t>(next.own_zone); own < next.zones.size()) {
    next.own_zone = static_cast<int>(std::find(zones.begin(), zones.end(), next.zones[own]) - zones.begin());
  }
  next.zones = zones;
  next.kinds = Joined(now.kinds, next.kinds);
  out.settings = std::move(next);
  return out;
}

}  // namespace bitternmux
