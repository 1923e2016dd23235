#include "config/config.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <random>
#include <set>

#include "cartspring/settings.h"
#include "config/operator_schema.h"
#include "config/text_file.h"

namespace bitternmux {
namespace {

constexpr int kFewestSockets = 32;
constexpr int kLeastMemoryMb = 16;
constexpr double kToldWithinMs = 6000;  // after which what discovery has to tell counts as told, asked or not

std::string Joined(const std::vector<std::string>& faults) {
  std::string out;
  for (const std::string& fault : faults) out.append(out.empty() ? "" : "; ").append(fault);
  return out;
}

// Settings that keep note of which fields were asked for, and of what stood in for those that were absent.
class NotedFields : public cartspring::Fields {
 public:
  NotedFields(const JsonFields& fields, ConfigReport& report) : fields_(fields), report_(report) {}

  std::optional<std::string_view> Find(std::string_view field) const override {
    const auto value = fields_.Find(field);
    if (value) Note(field, std::string(*value), "file");
    return value;
  }
  bool WasRead(const std::string& field) const { return read_.count(field) > 0; }

 private:
  void OnDefaultUsed(std::string_view field, std::string_view value) const override {
    Note(field, std::string(value), "default");
  }
  void OnDefaultUsed(std::string_view field, double value) const override {
    Note(field, schema::ShowNumber(value), "default");
  }
  void Note(std::string_view field, std::string value, const char* origin) const {
    if (!read_.insert(std::string(field)).second) return;
    report_.values.push_back({"settings." + std::string(field), std::move(value), origin});
  }

  const JsonFields& fields_;
  ConfigReport& report_;
  mutable std::set<std::string> read_;
};

// The paths of plain values and of lists of such, with how they stand in the settings' flat fields.
void Leaves(const std::string& path, const nlohmann::json& value, std::vector<std::string>& out) {
  const bool holds_objects = value.is_array() && !value.empty() && value.front().is_structured();
  if (!value.is_object() && !holds_objects) return out.push_back(path);
  std::size_t at = 0;
  for (const auto& item : value.items()) {
    const std::string key = value.is_array() ? std::to_string(at++) : item.key();
    Leaves(path.empty() ? key : path + "." + key, item.value(), out);
  }
}

class Reader {
 public:
  Reader(const nlohmann::json& json, const Environment& environment, ConfigReport& report)
      : json_(json), environment_(environment), report_(report) {}

  // Every fault is looked for, so that whoever mends the file need not start the program once for each.
  Config Read() {
    Config config;
    Try([&] { config.name = TextOf("name", "RELAY_NAME"); });
    Try([&] { config.listen = AddressOf("listen", "RELAY_LISTEN"); });
    Try([&] { config.discovery = AddressOf("discovery", "RELAY_DISCOVERY"); });
    if (Given("operator", "RELAY_OPERATOR"))
      Try([&] { config.door = AddressOf("operator", "RELAY_OPERATOR"); });
    Try([&] { config.seed = SeedOf(); });
    Try([&] { config.sockets = LimitOf("sockets", kFewestSockets, config.sockets); });
    Try([&] { config.memory_mb = LimitOf("memory_mb", kLeastMemoryMb, config.memory_mb); });
    Try([&] { config.settings = SettingsOf(); });
    config.known = json_.value("known", nlohmann::json());
    config.shape = json_;
    if (config.shape.contains("known")) config.shape["known"] = nullptr;
    if (!faults_.empty()) throw ConfigError(faults_);
    NoteUnread(json_, "", {"name", "listen", "discovery", "operator", "seed", "limits", "settings", "known"});
    NoteUnread(json_.value("limits", nlohmann::json::object()), "limits.", {"sockets", "memory_mb"});
    return config;
  }

 private:
  template <class Part>
  void Try(Part part) {
    try {
      part();
    } catch (const ConfigError& error) {
      faults_.insert(faults_.end(), error.faults().begin(), error.faults().end());
    }
  }

  void Note(const std::string& key, std::string value, std::string origin) {
    report_.values.push_back({key, std::move(value), std::move(origin)});
  }

  void NoteUnread(const nlohmann::json& object, const std::string& at, const std::set<std::string>& read) {
    for (const auto& item : object.items()) {
      if (read.count(item.key()) == 0) report_.unread.push_back(at + item.key());
    }
  }

  bool Given(const char* key, const char* variable) const {
    const char* given = environment_(variable);
    return (given != nullptr && *given != '\0') || json_.contains(key);
  }

  std::string TextOf(const char* key, const char* variable) {
    const char* given = environment_(variable);
    if (given != nullptr && *given != '\0') {
      Note(key, given, std::string("variable ") + variable);
      return given;
    }
    const auto found = json_.find(key);
    if (found == json_.end()) {
      throw ConfigError(std::string(key) + ": missing, and " + variable + " is not set");
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
      throw ConfigError(std::string(key) + ": must be a text");
    }
    Note(key, *found, "file");
    return *found;
  }

  std::string AddressOf(const char* key, const char* variable) {
    const std::string text = TextOf(key, variable);
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

  std::uint64_t SeedOf() {
    const auto found = json_.find("seed");
    if (found == json_.end()) {
      Note("seed", "random at each start", "default");
      return std::random_device()();
    }
    if (found->is_string()) {
      const auto& text = found->get_ref<const std::string&>();
      std::uint64_t seed = 0;
      const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
      if (error == std::errc() && end == text.data() + text.size()) {
        Note("seed", text, "file");
        return seed;
      }
    }
    throw ConfigError("seed: must be a text of up to 16 hexadecimal digits");
  }

  int LimitOf(const std::string& key, int fewest, int absent) {
    const nlohmann::json limits = json_.value("limits", nlohmann::json::object());
    if (!limits.is_object()) throw ConfigError("limits: must be an object");
    const auto found = limits.find(key);
    if (found == limits.end()) {
      Note("limits." + key, std::to_string(absent), "default");
      return absent;
    }
    if (!found->is_number_integer() || *found < fewest || *found > 1'000'000) {
      throw ConfigError("limits." + key + ": must be a whole number from " + std::to_string(fewest) +
                        " to 1000000");
    }
    Note("limits." + key, found->dump(), "file");
    return *found;
  }

  // The flat fields take a text for a number, and the module would be told of an infinite one. What bounds
  // each request has to be a number as it stands.
  static void CheckNumbers(const nlohmann::json& settings) {
    std::vector<std::string> faults;
    const auto above_0 = [&](const nlohmann::json& object, const char* key, const std::string& at) {
      const auto found = object.is_object() ? object.find(key) : object.end();
      if (!object.is_object() || found == object.end()) return;  // told of where the fields are read
      if (!found->is_number() || !std::isfinite(found->get<double>()) || found->get<double>() <= 0)
        faults.push_back(at + key + ": must be a number above 0");
    };
    const auto services = settings.find("services");
    for (std::size_t i = 0; services != settings.end() && services->is_array() && i < services->size(); ++i) {
      for (const char* key : {"deadlineMs", "promiseMs"})
        above_0((*services)[i], key, "settings.services." + std::to_string(i) + ".");
    }
    const auto bounds = settings.find("bounds");
    if (bounds != settings.end()) above_0(*bounds, "sendCap", "settings.bounds.");
    if (!faults.empty()) throw ConfigError(faults);
  }

  cartspring::Settings SettingsOf() {
    const auto found = json_.find("settings");
    if (found == json_.end()) throw ConfigError("settings: missing");
    if (!found->is_object()) throw ConfigError("settings: must be an object");
    CheckNumbers(*found);
    const JsonFields fields(*found);
    const NotedFields noted(fields, report_);
    cartspring::Settings settings;
    try {
      settings = cartspring::ReadSettings(noted);
    } catch (const cartspring::ParseError& error) {
      throw ConfigError(std::string("settings: ") + error.what());
    }
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      const std::string& name = settings.classes[i].name;
      const std::string at = "settings.services." + std::to_string(i) + ".name: ";
      if (name.empty()) throw ConfigError(at + "missing");
      for (std::size_t j = 0; j < i; ++j) {
        if (settings.classes[j].name == name) throw ConfigError(at + "'" + name + "' is there twice");
      }
    }
    // On sockets discovery never speaks unasked, whatever it does in the simulator.
    if (!settings.must_subscribe && settings.ask_within_ms <= 0) settings.ask_within_ms = kToldWithinMs;
    settings.must_subscribe = true;
    std::vector<std::string> leaves;
    Leaves("", *found, leaves);
    for (const std::string& leaf : leaves) {
      // An empty list of objects is read by its length only.
      if (!noted.WasRead(leaf) && !noted.WasRead(leaf + ".count"))
        report_.unread.push_back("settings." + leaf);
    }
    return settings;
  }

  const nlohmann::json& json_;
  const Environment& environment_;
  ConfigReport& report_;
  std::vector<std::string> faults_;
};

std::string PathOf(const Environment& environment) {
  const char* path = environment("RELAY_CONFIG");
  if (path == nullptr || *path == '\0') throw ConfigError("RELAY_CONFIG: not set");
  return path;
}

nlohmann::json FileOf(const std::string& path) {
  const auto text = ReadTextFile(path);
  if (!text) throw ConfigError("RELAY_CONFIG: cannot read '" + path + "'");
  try {
    return nlohmann::json::parse(*text);
  } catch (const nlohmann::json::parse_error& error) {
    const auto end = text->begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text->size()));
    throw ConfigError("RELAY_CONFIG: no JSON in '" + path + "', line " +
                      std::to_string(1 + std::count(text->begin(), end, '\n')));
  } catch (const nlohmann::json::exception& error) {  // a number that no double holds
    throw ConfigError("RELAY_CONFIG: '" + path + "': " + error.what());
  }
}

// The keys that all objects of a list have, with the first one's values.
nlohmann::json Common(const nlohmann::json& list) {
  nlohmann::json out = list.empty() ? nlohmann::json() : list.front();
  if (!out.is_object()) return nlohmann::json();
  for (const auto& object : list) {
    for (auto at = out.begin(); at != out.end();)
      at = object.is_object() && object.contains(at.key()) ? std::next(at) : out.erase(at);
  }
  return out;
}

void Lacking(const nlohmann::json& in_use, const nlohmann::json& next, const std::string& at,
             std::vector<std::string>& faults) {
  if (in_use.is_object() && next.is_object()) {
    for (const auto& [key, value] : in_use.items()) {
      const std::string path = at.empty() ? key : at + "." + key;
      next.contains(key) ? Lacking(value, next[key], path, faults)
                         : faults.push_back(path + ": missing, and the file in use has it");
    }
  } else if (in_use.is_array() && next.is_array()) {
    const nlohmann::json common = Common(in_use);
    for (std::size_t i = 0; i < next.size(); ++i)
      Lacking(common, next[i], at + "." + std::to_string(i), faults);
  }
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

ConfigError::ConfigError(std::vector<std::string> faults)
    : std::runtime_error(Joined(faults)), faults_(std::move(faults)) {}

Config ReadConfig(const nlohmann::json& json, const Environment& environment, ConfigReport* report) {
  if (!json.is_object()) throw ConfigError("RELAY_CONFIG: must hold an object");
  ConfigReport unwanted;
  return Reader(json, environment, report != nullptr ? *report : unwanted).Read();
}

Config ReadConfig(const Environment& environment, ConfigReport* report) {
  const std::string path = PathOf(environment);
  if (report != nullptr) report->path = path;
  return ReadConfig(FileOf(path), environment, report);
}

Config RereadConfig(const Environment& environment, const Config& in_use) {
  const nlohmann::json json = FileOf(PathOf(environment));
  std::vector<std::string> faults;
  Lacking(in_use.shape, json, "", faults);
  if (!faults.empty()) throw ConfigError(faults);
  const bool named = json.is_object() && json.contains("discovery");
  return ReadConfig(json, [&](const char* name) {
    return named && std::string_view(name) == "RELAY_DISCOVERY" ? nullptr : environment(name);
  });
}

}  // namespace bitternmux
