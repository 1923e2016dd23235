#include "config/config.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <random>

#include "cartspring/settings.h"

namespace bitternmux {
namespace {

constexpr int kFewestSockets = 32;
constexpr int kLeastMemoryMb = 16;

std::string TextOf(const nlohmann::json& json, const char* key, const char* variable,
                   const Environment& environment) {
  const char* given = environment(variable);
  if (given != nullptr && *given != '\0') return given;
  const auto found = json.find(key);
  if (found == json.end()) throw ConfigError(std::string(key) + ": missing, and " + variable + " is not set");
  if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
    throw ConfigError(std::string(key) + ": must be a text");
  }
  return *found;
}

std::string AddressOf(const nlohmann::json& json, const char* key, const char* variable,
                      const Environment& environment) {
  const std::string text = TextOf(json, key, variable, environment);
  const auto colon = text.rfind(':');
  boost::system::error_code error;
  std::uint16_t port = 0;
  if (colon != text.npos) {
    boost::asio::ip::make_address(text.substr(0, colon), error);
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end) return text;
  }
  throw ConfigError(std::string(key) + ": no address of the form ip:port: '" + text + "'");
}

std::uint64_t SeedOf(const nlohmann::json& json) {
  const auto found = json.find("seed");
  if (found == json.end()) return std::random_device()();
  if (found->is_string()) {
    const auto& text = found->get_ref<const std::string&>();
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error == std::errc() && end == text.data() + text.size()) return seed;
  }
  throw ConfigError("seed: must be a text of up to 16 hexadecimal digits");
}

int LimitOf(const nlohmann::json& json, const char* key, int fewest, int absent) {
  const auto limits = json.find("limits");
  if (limits == json.end()) return absent;
  if (!limits->is_object()) throw ConfigError("limits: must be an object");
  const auto found = limits->find(key);
  if (found == limits->end()) return absent;
  if (!found->is_number_integer() || *found < fewest || *found > 1'000'000) {
    throw ConfigError(std::string("limits.") + key + ": must be a whole number from " +
                      std::to_string(fewest) + " to 1000000");
  }
  return *found;
}

nlohmann::json FileOf(const Environment& environment) {
  const char* path = environment("RELAY_CONFIG");
  if (path == nullptr || *path == '\0') throw ConfigError("RELAY_CONFIG: not set");
  std::ifstream file(path);
  if (!file) throw ConfigError(std::string("RELAY_CONFIG: cannot open '") + path + "'");
  auto json = nlohmann::json::parse(file, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) throw ConfigError(std::string("RELAY_CONFIG: no JSON in '") + path + "'");
  return json;
}

cartspring::Settings SettingsOf(const nlohmann::json& json) {
  const auto found = json.find("settings");
  if (found == json.end()) throw ConfigError("settings: missing");
  if (!found->is_object()) throw ConfigError("settings: must be an object");
  cartspring::Settings settings;
  try {
    settings = cartspring::ReadSettings(JsonFields(*found));
  } catch (const cartspring::ParseError& error) {
    throw ConfigError(std::string("settings: ") + error.what());
  }
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    if (settings.classes[i].name.empty()) {
      throw ConfigError("settings.services." + std::to_string(i) + ".name: missing");
    }
  }
  return settings;
}

}  // namespace

std::optional<std::string_view> JsonFields::Find(std::string_view field) const {
  const auto found = values_.find(field);
  if (found == values_.end()) return std::nullopt;
  return found->second;
}

void JsonFields::Flatten(const std::string& path, const nlohmann::json& value) {
  const std::string at = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items()) Flatten(at + key, inner);
  } else if (value.is_array()) {
    values_[at + "count"] = std::to_string(value.size());
    std::string joined;
    for (std::size_t i = 0; i < value.size(); ++i) {
      Flatten(at + std::to_string(i), value[i]);
      if (value[i].is_string())
        joined.append(i > 0 ? "," : "").append(value[i].get_ref<const std::string&>());
    }
    values_[path] = joined;
  } else if (value.is_string()) {
    values_[path] = value.get<std::string>();
  } else if (!value.is_null()) {
    values_[path] = value.dump();
  }
}

Config ReadConfig(const nlohmann::json& json, const Environment& environment) {
  if (!json.is_object()) throw ConfigError("RELAY_CONFIG: must hold an object");
  Config config;
  config.name = TextOf(json, "name", "RELAY_NAME", environment);
  config.listen = AddressOf(json, "listen", "RELAY_LISTEN", environment);
  config.discovery = AddressOf(json, "discovery", "RELAY_DISCOVERY", environment);
  config.seed = SeedOf(json);
  config.sockets = LimitOf(json, "sockets", kFewestSockets, config.sockets);
  config.memory_mb = LimitOf(json, "memory_mb", kLeastMemoryMb, config.memory_mb);
  config.settings = SettingsOf(json);
  config.known = json.value("known", nlohmann::json());
  return config;
}

Config ReadConfig(const Environment& environment) { return ReadConfig(FileOf(environment), environment); }

Config RereadConfig(const Environment& environment) {
  const nlohmann::json json = FileOf(environment);
  const bool named = json.is_object() && json.contains("discovery");
  return ReadConfig(json, [&](const char* name) {
    return named && std::string_view(name) == "RELAY_DISCOVERY" ? nullptr : environment(name);
  });
}

}  // namespace bitternmux
