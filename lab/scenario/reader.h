// Checked access to one table of a scenario: every key is asked for by name, type and bounds, and what is
// left over is a fault. For what is written like a scenario, such as an experiment, too.
#ifndef BITTERNMUX_LAB_SCENARIO_READER_H_
#define BITTERNMUX_LAB_SCENARIO_READER_H_

#include <toml++/toml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lab/model/random.h"

namespace bitternmux::lab::scenario {

// Faults as they are found, with their lines.
class Faults {
 public:
  explicit Faults(std::string file) : file_(std::move(file)) {}
  void Add(const toml::node* at, const std::string& key, const std::string& what);
  bool empty() const { return faults_.empty(); }
  std::vector<std::string> Lines() const;  // by line of the file

 private:
  const std::string file_;
  std::vector<std::pair<std::uint32_t, std::string>> faults_;
};

struct Bounds {
  double least = 0, most = 0;
};

class Reader {
 public:
  // `path` is the table's full key, '' for the file itself. A null table stands for one that is absent: all
  // its keys are, too. All of them must outlive the reader.
  Reader(const toml::table* table, std::string path, const model::Seeds& seeds, Faults& faults);

  bool Has(std::string_view key) const { return table_ != nullptr && table_->contains(key); }
  // An exact number or a range [low, high] to draw from; `absent` if it is not there.
  double Number(std::string_view key, double absent, Bounds bounds);
  int Whole(std::string_view key, int absent, Bounds bounds);
  // The lowest value that `key` may be drawn as.
  double Lowest(std::string_view key, double absent) const;
  bool Flag(std::string_view key, bool absent);
  std::string Text(std::string_view key, std::string_view absent);
  // A text out of `words`; gives its place among them.
  std::size_t Word(std::string_view key, const std::vector<std::string_view>& words, std::size_t absent);
  // A list of whole numbers from 0 to below `count`, each once.
  std::vector<int> Numbers(std::string_view key, int count, std::string_view of_what);
  std::vector<std::string> Texts(std::string_view key, std::vector<std::string> absent);
  // The values below the table `key`, whose names are free: dotted from that table on, in their order.
  std::vector<std::pair<std::string, const toml::node*>> Leaves(std::string_view key);
  Reader Table(std::string_view key);
  // A list of tables; each is named in keys by its `name` if it has one, else by its place.
  std::vector<Reader> Tables(std::string_view key);

  // The same table once more, with draws of its own; 0 is the table itself.
  Reader Again(int time) const;
  // These were asked for elsewhere.
  void Keep(std::initializer_list<std::string_view> keys) { asked_.insert(keys.begin(), keys.end()); }
  // To be called when all keys have been asked for.
  void Finish();
  void Fault(std::string_view key, const std::string& what);

  std::string Path(std::string_view key) const;
  const model::Seeds& seeds() const { return *seeds_; }
  Faults& faults() const { return *faults_; }

 private:
  const toml::node* Take(std::string_view key);
  // Finds [low, high]; false with a fault added if there is none.
  bool Range(const toml::node& node, std::string_view key, Bounds bounds, bool whole, double& low,
             double& high);

  const toml::table* table_;
  std::string path_;
  const model::Seeds* seeds_;
  Faults* faults_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace bitternmux::lab::scenario

#endif  // BITTERNMUX_LAB_SCENARIO_READER_H_
