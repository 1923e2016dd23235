#include "lab/scale/scenario.h"

#include <toml++/toml.h>

#include <cmath>
#include <functional>
#include <map>
#include <stdexcept>

namespace bitternmux::lab::scale {
namespace {

using Take = std::function<void(const std::string& key, const toml::node& node)>;

[[noreturn]] void Fault(const std::string& key, const std::string& text) {
  throw std::invalid_argument(key + ": " + text);
}

double NumberOf(const std::string& key, const toml::node& node, double least, double most) {
  const auto value = node.value<double>();
  if (!node.is_number() || !value || !std::isfinite(*value) || *value < least || *value > most) {
    Fault(key, "must be a number from " + std::to_string(std::lround(least)) + " to " +
                   std::to_string(std::lround(most)));
  }
  return *value;
}

Take Number(double& into, double least, double most) {
  return [&into, least, most](const std::string& key, const toml::node& node) {
    into = NumberOf(key, node, least, most);
  };
}

template <class Whole>
Take WholeNumber(Whole& into, double least, double most) {
  return [&into, least, most](const std::string& key, const toml::node& node) {
    const double value = NumberOf(key, node, least, most);
    if (value != std::floor(value)) Fault(key, "must be a whole number");
    into = static_cast<Whole>(value);
  };
}

template <class Value>
Take List(std::vector<Value>& into, double least, double most) {
  return [&into, least, most](const std::string& key, const toml::node& node) {
    if (!node.is_array()) Fault(key, "must be a list of numbers");
    into.clear();
    for (const toml::node& item : *node.as_array()) {
      into.push_back(static_cast<Value>(NumberOf(key, item, least, most)));
    }
  };
}

}  // namespace

Scenario ReadScenario(const std::string& path) {
  toml::table root;
  try {
    root = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    Fault(path, std::string(error.description()));
  }
  Scenario out;
  const std::map<std::string, Take, std::less<>> keys = {
      {"seed", WholeNumber(out.seed, 0, 1e9)},
      {"sizes", List(out.sizes, 1, 2000)},
      {"real", WholeNumber(out.real, 1, 30)},
      {"most_hollow", WholeNumber(out.most_hollow, 0, 2000)},
      {"zones", WholeNumber(out.zones, 1, 20)},
      {"regions", WholeNumber(out.regions, 1, 20)},
      {"services_least", WholeNumber(out.services_least, 1, 200)},
      {"services_most", WholeNumber(out.services_most, 1, 200)},
      {"memory_mb", WholeNumber(out.memory_mb, 16, 1024)},
      {"sockets", WholeNumber(out.sockets, 64, 10000)},
      {"hollow_turn_ms", WholeNumber(out.hollow_turn_ms, 1, 1000)},
      {"hollow_calls_per_s", Number(out.hollow_calls_per_s, 0, 50)},
      {"tries", WholeNumber(out.tries, 1, 10)},
      {"slack_ms", Number(out.slack_ms, 1, 10000)},
      {"idle_s", Number(out.idle_s, 0, 600)},
      {"load_s", Number(out.load_s, 0, 600)},
      {"changes_s", Number(out.changes_s, 0, 600)},
      {"calls_per_s", List(out.calls_per_s, 1, 5000)},
      {"most_calls_per_s", Number(out.most_calls_per_s, 1, 20000)},
      {"changes_per_s", List(out.changes_per_s, 1, 200)},
      {"connections", List(out.connections, 1, 400)},
      {"lists", WholeNumber(out.lists, 0, 100)},
      {"in_force", WholeNumber(out.in_force, 0, 1000)},
  };
  for (const auto& [word, node] : root) {
    const std::string key(word.str());
    if (key == "name" || key == "about") {
      if (!node.is_string()) Fault(key, "must be a text");
      if (key == "name") out.name = node.value<std::string>().value();
      continue;
    }
    const auto found = keys.find(key);
    if (found == keys.end()) Fault(key, "is not known");
    found->second(key, node);
  }
  if (out.sizes.empty()) Fault("sizes", "must not be empty");
  if (out.regions > out.zones) Fault("regions", "must not be more than zones");
  if (out.services_least > out.services_most) Fault("services_least", "must not be more than services_most");
  return out;
}

}  // namespace bitternmux::lab::scale
