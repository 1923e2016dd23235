// How a table of the operator file is declared, read and shown. The tables themselves stand in
// operator_file.cpp, in one list for all subsystems.
//
// A subsystem has a plain struct of settings whose members hold their defaults. A table binds the names of
// keys to these members, with bounds, unit and purpose; whoever uses the settings has the struct and never
// looks a key up by its name:
//
//   struct Limits { int most = 8; };                       // in the subsystem's header
//   std::optional<limits::Limits> limits;                  // in OperatorSettings
//   TableOf("limits", settings.limits, "how much is taken on",
//           {Whole("most", &limits::Limits::most, 1, 64, "requests", "open at once")})
//
// An optional struct is a subsystem that is off while its table is absent; one that is not is always on. A
// key whose default does not keep its own bounds has to be given wherever its table is.
#ifndef BITTERNMUX_SRC_CONFIG_OPERATOR_SCHEMA_H_
#define BITTERNMUX_SRC_CONFIG_OPERATOR_SCHEMA_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bitternmux::schema {

// A value as it stands in the file. Lists, tables and dates are none that any key takes.
using Value = std::variant<std::monostate, bool, std::int64_t, double, std::string>;

// One key, bound to the place that holds its value.
struct Key {
  std::string name;
  std::string form;  // what its value must be, in words: "a whole number from 1 to 64"
  std::string unit;  // empty: none
  std::string purpose;
  std::function<bool(const Value&)> set;  // false: the value has not the form, and nothing is set
  std::function<bool()> good;             // does the value that it has keep the bounds?
  std::function<std::string()> show;
};

struct Table {
  std::string name, purpose;
  std::vector<Key> keys;  // to be looked at while it is on only
  std::function<bool()> is_on;
  std::function<void()> turn_on;
};

// ---- Declaring ----

// One key of whatever `Owner` its table will be bound to.
template <class Owner>
using KeyOf = std::function<Key(std::function<Owner&()>)>;

std::string ShowNumber(double value);
// "a", "a or b", "a, b or c"
std::string Listed(const std::vector<std::string>& words);

// What all kinds share. `read` gives the member's new value, or nothing where the value is of another kind.
template <class Owner, class Member, class Reading, class Good, class Showing>
KeyOf<Owner> MakeKey(Key key, Member Owner::*member, Reading read, Good good, Showing show) {
  return [=](std::function<Owner&()> owner) {
    Key out = key;
    out.set = [=](const Value& value) {
      std::optional<Member> given = read(value);
      if (!given || !good(*given)) return false;
      owner().*member = std::move(*given);
      return true;
    };
    out.good = [=] { return good(owner().*member); };
    out.show = [=] { return std::string(show(owner().*member)); };
    return out;
  };
}

template <class Member>
std::optional<Member> ReadAs(const Value& value) {
  const auto* given = std::get_if<Member>(&value);
  return given ? std::optional<Member>(*given) : std::nullopt;
}
std::optional<int> ReadWhole(const Value& value);
std::optional<double> ReadNumber(const Value& value);  // with or without a fraction

template <class Owner>
KeyOf<Owner> Flag(std::string name, bool Owner::*member, std::string purpose) {
  return MakeKey<Owner>(
      {std::move(name), "true or false", "", std::move(purpose), {}, {}, {}}, member, ReadAs<bool>,
      [](bool) { return true; }, [](bool flag) { return flag ? "true" : "false"; });
}

// `least` to `most`, both included.
template <class Owner>
KeyOf<Owner> Whole(std::string name, int Owner::*member, int least, int most, std::string unit,
                   std::string purpose) {
  const std::string form = "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
  return MakeKey<Owner>(
      {std::move(name), form, std::move(unit), std::move(purpose), {}, {}, {}}, member, ReadWhole,
      [=](int whole) { return whole >= least && whole <= most; },
      [](int whole) { return std::to_string(whole); });
}

template <class Owner>
KeyOf<Owner> Number(std::string name, double Owner::*member, double least, double most, std::string unit,
                    std::string purpose) {
  const std::string form = "a number from " + ShowNumber(least) + " to " + ShowNumber(most);
  return MakeKey<Owner>(
      {std::move(name), form, std::move(unit), std::move(purpose), {}, {}, {}}, member, ReadNumber,
      [=](double number) { return number >= least && number <= most; }, ShowNumber);
}

// Of one byte or more; an empty default is thus one that has to be given.
template <class Owner>
KeyOf<Owner> Text(std::string name, std::string Owner::*member, std::string purpose) {
  return MakeKey<Owner>(
      {std::move(name), "a text that is not empty", "", std::move(purpose), {}, {}, {}}, member,
      ReadAs<std::string>, [](const std::string& text) { return !text.empty(); },
      [](const std::string& text) { return text; });
}

template <class Owner, class Choice>
KeyOf<Owner> OneOf(std::string name, Choice Owner::*member,
                   std::vector<std::pair<std::string, Choice>> choices, std::string purpose) {
  std::vector<std::string> words;
  for (const auto& choice : choices) words.push_back(choice.first);
  return MakeKey<Owner>(
      {std::move(name), Listed(words), "", std::move(purpose), {}, {}, {}}, member,
      [choices](const Value& value) -> std::optional<Choice> {
        for (const auto& [word, choice] : choices) {
          if (value == Value(word)) return choice;
        }
        return std::nullopt;
      },
      [](const Choice&) { return true; },
      [choices](const Choice& held) {
        for (const auto& [word, choice] : choices) {
          if (choice == held) return word;
        }
        return std::string();
      });
}

template <class Owner>
Table BindTable(std::string name, std::string purpose, const std::vector<KeyOf<Owner>>& keys,
                std::function<Owner&()> owner) {
  Table table{std::move(name), std::move(purpose), {}, [] { return true; }, [] {}};
  for (const auto& key : keys) table.keys.push_back(key(owner));
  return table;
}

// Always on. The settings have to outlive the table, here and below.
template <class Owner>
Table TableOf(std::string name, Owner& settings, std::string purpose, std::vector<KeyOf<Owner>> keys) {
  return BindTable<Owner>(std::move(name), std::move(purpose), keys, [&]() -> Owner& { return settings; });
}

// Off while it is absent.
template <class Owner>
Table TableOf(std::string name, std::optional<Owner>& settings, std::string purpose,
              std::vector<KeyOf<Owner>> keys) {
  auto table =
      BindTable<Owner>(std::move(name), std::move(purpose), keys, [&]() -> Owner& { return *settings; });
  table.is_on = [&] { return settings.has_value(); };
  table.turn_on = [&] { settings.emplace(); };
  return table;
}

// ---- Reading ----

// A value from outside the file, such as an option of the command line, which goes before the file's. Its key
// is a text or one of several words, in a table that is always on.
struct Override {
  std::string table, key, value;
  std::string origin;  // "option --log-level"
};

// One value as it will be used.
struct Shown {
  std::string key;  // with its table: "log.level"
  std::string value, unit;
  std::string origin;  // "line 3", "default", or that of its override
  std::string form, purpose;
};

struct Result {
  std::vector<Shown> shown;      // of the tables that are on
  std::vector<std::string> off;  // the names of the others
  std::vector<std::string>
      faults;  // "file:3:7: log.level: must be …"; the settings count where there are none
};

// Sets what the file at `path` (empty: no file) and the overrides give.
Result Read(const std::vector<Table>& tables, const std::string& path,
            const std::vector<Override>& overrides);

}  // namespace bitternmux::schema

#endif  // BITTERNMUX_SRC_CONFIG_OPERATOR_SCHEMA_H_
