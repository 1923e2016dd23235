// Figures: a plot made by gnuplot, with the numbers that it is made of beside it. Inside the package only.
#ifndef BITTERNMUX_LAB_REPORT_FIGURE_H_
#define BITTERNMUX_LAB_REPORT_FIGURE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bitternmux::lab::report {

// Columns of one length, of numbers, texts and nulls.
struct Table {
  std::vector<std::string> names;
  std::vector<nlohmann::ordered_json> columns;  // arrays

  Table& Add(const std::string& name, nlohmann::ordered_json column);
  std::size_t rows() const { return columns.empty() ? 0 : columns.front().size(); }
  // Is there anything to plot beside the first column?
  bool HasValues() const;
  // RFC 4180, with a line of names; a null is an empty field.
  std::string Csv() const;
};

struct Figure {
  std::string name;     // of its files
  std::string title;    // above it
  std::string caption;  // below it
  Table data;
  std::string commands;  // gnuplot's; `csv` in them is the file of the data
  int height = 190;      // of 960 wide
};

// A text in a gnuplot script, in which it does nothing but show.
std::string Quoted(const std::string& text);

// The line styles 1 to kStyles of every plot differ in dashes and points, not in colour alone.
constexpr int kStyles = 8;

// Writes NAME.csv, NAME.json and NAME.svg of each into the folder, and gives the SVGs as they can stand in
// one page together. Throws std::runtime_error if gnuplot cannot be run or does not understand.
std::vector<std::string> Draw(const std::string& folder, const std::vector<Figure>& figures);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_FIGURE_H_
