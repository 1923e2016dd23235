// Named values from any source: a line of the simulator's protocol or a JSON object. All readers of settings
// and events use this, so that there is one list of names and one wording of each error.
#ifndef CARTSPRING_SRC_CARTSPRING_FIELDS_H_
#define CARTSPRING_SRC_CARTSPRING_FIELDS_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cartspring {

class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string Quoted(std::string_view text);
double ToNumber(std::string_view text, std::string_view field);
std::uint64_t ToUnsigned(std::string_view text, std::string_view field);
int ToIndex(std::uint64_t value, std::string_view field);
bool ToFlag(std::string_view text, std::string_view field);

template <typename Table>
auto Lookup(const Table& table, std::string_view word, std::string_view what) {
  for (const auto& [name, value] : table) {
    if (name == word) return value;
  }
  throw ParseError("unknown " + std::string(what) + " " + Quoted(word));
}

class Fields {
 public:
  virtual ~Fields() = default;
  virtual std::optional<std::string_view> Find(std::string_view field) const = 0;

  std::string_view Text(std::string_view field) const;  // throws ParseError if absent
  std::string_view Text(std::string_view field, std::string_view default_value) const;
  double Number(std::string_view field) const;
  double Number(std::string_view field, double default_value) const;
  std::uint64_t Whole(std::string_view field) const;
  std::uint64_t Whole(std::string_view field, std::uint64_t default_value) const;
  bool Flag(std::string_view field) const;  // absent: false

 protected:
  // Called with the default used for an absent field, so that a reader can report which values are defaults.
  virtual void OnDefaultUsed(std::string_view /*field*/, std::string_view /*value*/) const {}
  virtual void OnDefaultUsed(std::string_view /*field*/, double /*value*/) const {}
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_FIELDS_H_
