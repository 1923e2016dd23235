#include "lab/scale/plan.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <random>
#include <stdexcept>

namespace bitternmux::lab::scale {
namespace {

constexpr int kMostProcesses = 200;
constexpr std::size_t kOwnDescriptors = 640;  // the lab's own, the loads' connections among them
constexpr double kNodeShare = 0.4;            // of a sidecar's descriptors, for connections to servers
constexpr int kHollowIdle = 16;               // connections of a hollow sidecar with a thin load, at most
constexpr const char* kKinds[] = {"m1", "m2", "m3"};

// Standard distributions differ from one library to another; this does not.
std::size_t Below(std::mt19937_64& random, std::size_t bound) { return random() % bound; }

std::string Hex(std::uint64_t value) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

Plan MakePlan(const Scenario& scenario, int size, std::uint64_t seed) {
  Plan plan;
  plan.size = plan.instances = size;
  plan.seed = seed;
  plan.real = std::min(scenario.real, size);
  plan.hollow = std::min(scenario.most_hollow, size - plan.real);
  const int largest = *std::max_element(scenario.sizes.begin(), scenario.sizes.end());
  plan.services =
      std::clamp(scenario.services_most * size / largest, scenario.services_least, scenario.services_most);
  std::mt19937_64 random(seed * 1'000'003 + static_cast<std::uint64_t>(size));
  for (int zone = 0; zone < scenario.zones; ++zone) plan.zones.push_back("z" + std::to_string(zone + 1));
  for (int i = 0; i < size; ++i) {
    const int zone = i % scenario.zones;
    char id[16];
    std::snprintf(id, sizeof id, "s-%08llx", static_cast<unsigned long long>(random() & 0xffffffff));
    plan.servers.push_back({id, plan.zones[static_cast<std::size_t>(zone)], kKinds[Below(random, 3)],
                            zone % scenario.regions, i / 10});
  }
  plan.changed.resize(static_cast<std::size_t>(size));
  std::iota(plan.changed.begin(), plan.changed.end(), 0);
  for (std::size_t i = plan.changed.size(); i > 1; --i) {
    std::swap(plan.changed[i - 1], plan.changed[Below(random, i)]);
  }
  for (int i = 0; i < plan.real + plan.hollow; ++i) plan.sidecar_zones.push_back(i % scenario.zones);
  return plan;
}

nlohmann::json SettingsOf(const Plan& plan, int sidecar) {
  nlohmann::json services = nlohmann::json::array();
  for (int i = 0; i < plan.services; ++i) {
    const bool safe = i % 2 == 0;
    services.push_back({{"name", "quote-" + std::to_string(i + 1)},
                        {"promiseMs", 500},
                        {"deadlineMs", 3000},
                        {"worth", safe ? 2 : 8},
                        {"lateWorth", 0.5},
                        {"effect", safe ? "free" : "single_shot"},
                        {"group", "all"},
                        {"windowMs", 3000},
                        {"streaming", false}});
  }
  return {{"az", plan.sidecar_zones[static_cast<std::size_t>(sidecar)]},
          {"balancers", plan.instances},
          {"rank", sidecar},
          {"tickMs", 5},
          {"services", services},
          {"tenants", nlohmann::json::array()},
          {"zones", plan.zones},
          {"models", kKinds},
          {"weights", "rough"},
          {"worthBy", "request"},
          {"discovery", "subscribe"},
          {"feedback", {{"via", "none"}, {"columns", nlohmann::json::array()}}},
          {"bounds",
           {{"probes", true},
            {"mayCancel", true},
            {"mayDuplicate", false},
            {"retryAfter", true},
            {"sendCap", 3},
            {"maxRetryAfterMs", 2000},
            {"connIdleMs", 60000},
            {"dialTimeoutMs", 1000}}},
          {"contract",
           {{"askWithinMs", 6000},
            {"drainGraceMs", 1500},
            {"coldFrom", 0.3},
            {"warmWithinMs", 20000},
            {"fallMultiple", 2.5},
            {"fallMs", 3000}}},
          {"prices", {{"probe", 0.01}, {"crossZone", 0.05}, {"handshake", 0.05}, {"connection", 0.0}}}};
}

nlohmann::json ConfigOf(const Scenario& scenario, const Plan& plan, int sidecar, const std::string& listen,
                        const std::string& discovery, const std::string& door) {
  nlohmann::json out = {
      {"name", (sidecar < plan.real ? "real-" : "hollow-") + std::to_string(sidecar + 1)},
      {"listen", listen},
      {"discovery", discovery},
      {"seed", Hex(plan.seed * 4096 + static_cast<std::uint64_t>(sidecar))},
      {"limits", {{"memory_mb", scenario.memory_mb}, {"sockets", scenario.sockets}}},
      {"known", {{"revision", 0}, {"complete", true}, {"members", nlohmann::json::array()}}},
      {"settings", SettingsOf(plan, sidecar)}};
  if (!door.empty()) out["operator"] = door;
  return out;
}

std::size_t DescriptorsFor(const Scenario& scenario, const Plan& plan) {
  const auto servers = static_cast<std::size_t>(plan.size), real = static_cast<std::size_t>(plan.real),
             hollow = static_cast<std::size_t>(plan.hollow);
  const auto real_nodes = static_cast<std::size_t>(kNodeShare * scenario.sockets);
  const std::size_t hollow_nodes = scenario.hollow_calls_per_s > 0 ? kHollowIdle : 0;
  // A listener for each server and what real ones open to them, one more among these; both ends of each
  // hollow one's watch and connections. A watch that follows another one is open beside it for a moment.
  return kOwnDescriptors + servers + (real + 1) * (real_nodes + 2) + hollow * 2 * (hollow_nodes + 2);
}

void CheckLimits(const Scenario& scenario, const Plan& plan, std::size_t descriptors) {
  const std::size_t needed = DescriptorsFor(scenario, plan);
  if (needed > descriptors) {
    throw std::runtime_error("size " + std::to_string(plan.size) + " may take " + std::to_string(needed) +
                             " descriptors, and the limit of open files (RLIMIT_NOFILE, ulimit -n) is " +
                             std::to_string(descriptors));
  }
  if (plan.real + 2 > kMostProcesses) {
    throw std::runtime_error("real: " + std::to_string(plan.real) +
                             " processes, one more and the lab are more than " +
                             std::to_string(kMostProcesses));
  }
}

}  // namespace bitternmux::lab::scale
