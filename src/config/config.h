// The one place where configuration is read, checked and given defaults.
#ifndef BITTERNMUX_SRC_CONFIG_CONFIG_H_
#define BITTERNMUX_SRC_CONFIG_CONFIG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cartspring/balancer.h"
#include "cartspring/fields.h"

namespace bitternmux {

// Each fault names its key first.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& fault) : ConfigError(std::vector{fault}) {}
  explicit ConfigError(std::vector<std::string> faults);

  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

// A JSON object seen as the flat fields that the settings are read from: 'a.b' for nested values, 'a.count'
// and 'a.0.b' for a list of objects, and a list of plain values joined with commas.
class JsonFields : public cartspring::Fields {
 public:
  explicit JsonFields(const nlohmann::json& object) { Flatten("", object); }
  std::optional<std::string_view> Find(std::string_view field) const override;

 private:
  void Flatten(const std::string& path, const nlohmann::json& value);
  std::map<std::string, std::string, std::less<>> values_;
};

struct Config {
  std::string name;
  std::string listen, discovery;  // ip:port
  std::string door;               // ip:port for operators; empty: none
  std::uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 128;
  nlohmann::json shape;  // the file less `known`: which keys it had
  nlohmann::json known;  // the remembered list in discovery's form; null if there is none
  cartspring::Settings settings;
};

using Environment = std::function<const char*(const char* name)>;

// Where each value came from, for people.
struct ConfigReport {
  struct Value {
    std::string key, value;
    std::string origin;  // "file", "default" or "variable NAME"
  };
  std::string path;
  std::vector<Value> values;
  std::vector<std::string> unread;  // keys of the file that nothing reads
};

// From the variables and the file that they name; throws ConfigError with every fault.
Config ReadConfig(const Environment& environment, ConfigReport* report = nullptr);
// The same while the program runs: the file may have been replaced since the variables were set, so that its
// `discovery` goes before theirs. Of a file that was cut short some keys may be left: it may lack none of
// those that the file `in_use` has.
Config RereadConfig(const Environment& environment, const Config& in_use);
Config ReadConfig(const nlohmann::json& json, const Environment& environment, ConfigReport* report = nullptr);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CONFIG_CONFIG_H_
