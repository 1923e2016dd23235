// Result files of the lab's measuring commands (`scale`, `depth`), which the page on capacity is made of:
//
//   {"format": 1, "command": "...", "commit": "...", "machine": {"cores": 8}, "void": null,
//    "plays": [{"part": "...", "at": {"size": 80, ...}, "seed": 1, "figures": {"idle.core_share": 0.015,
//    ...}}]}
//
// All of a file is kept in memory; files are small (a few hundred plays).
#ifndef BITTERNMUX_LAB_CAPACITY_RESULTS_H_
#define BITTERNMUX_LAB_CAPACITY_RESULTS_H_

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace bitternmux::lab::capacity {

constexpr int kResultsFormat = 1;

// 'file: key: what' of the first fault.
class ResultsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Play {
  std::size_t source = 0;  // of Results::sources
  std::string part;
  std::map<std::string, double> at;  // what was varied, by name
  std::uint64_t seed = 0;
  std::map<std::string, double> figures;
};

struct Source {
  std::string file;  // its name without folders
  std::string command, commit;
  int cores = 0;
  std::size_t plays = 0;
};

struct Results {
  std::vector<Source> sources;  // by name of file
  std::vector<Play> plays;

  // Adds a file's text. Throws ResultsError: no JSON, a key that is absent or of the wrong kind, another
  // format, a run that was void, a figure that is no number, the same play twice.
  void Add(const std::string& file, const std::string& text);
  // The plays of a part in which every variable of `where` has that value.
  std::vector<const Play*> Find(const std::string& part, const std::map<std::string, double>& where) const;
};

// Reads the files in the order of their names. Throws ResultsError.
Results ReadResults(std::vector<std::string> files);
// The result files of a folder, which may be absent.
std::vector<std::string> ResultFiles(const std::string& folder);

}  // namespace bitternmux::lab::capacity

#endif  // BITTERNMUX_LAB_CAPACITY_RESULTS_H_
