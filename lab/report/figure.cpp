#include "lab/report/figure.h"

#include <algorithm>
#include <filesystem>
#include <stdexcept>
#include <system_error>

#include "lab/report/children.h"
#include "lab/report/files.h"

namespace bitternmux::lab::report {
namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;

// Dashes and points first: a page may be printed in grey. Colours are dark enough for that, and told apart by
// people who see no red or green.
constexpr const char* kPreamble = R"(reset
set datafile separator comma
set datafile columnheaders
set encoding utf8
set style line 1 lc rgb '#000000' lw 1.6 dt 1 pt 7 ps 0.45
set style line 2 lc rgb '#0072b2' lw 1.6 dt (9,4) pt 4 ps 0.5
set style line 3 lc rgb '#b5460f' lw 1.6 dt (2,3) pt 8 ps 0.55
set style line 4 lc rgb '#4d4d4d' lw 1.6 dt (9,3,2,3) pt 2 ps 0.5
set style line 5 lc rgb '#00785a' lw 1.6 dt (14,5) pt 6 ps 0.5
set style line 6 lc rgb '#8a4a7d' lw 1.6 dt (5,2,2,2,2,2) pt 1 ps 0.5
set style line 7 lc rgb '#7a6a00' lw 1.6 dt (4,8) pt 10 ps 0.55
set style line 8 lc rgb '#808080' lw 2.4 dt 1 pt 12 ps 0.55
set border 3 lc rgb '#404040'
set tics nomirror out scale 0.5
set grid ytics lc rgb '#cccccc' lw 0.5 dt 1
set key at screen 0.855,graph 1 left top Left reverse samplen 3 noenhanced
set offsets 0,0,graph 0.05,0
set lmargin at screen 0.115
set rmargin at screen 0.845
set tmargin 0.6
set bmargin 2.2
)";

std::string CsvField(const ordered_json& value) {
  if (value.is_null()) return "";
  if (!value.is_string()) return value.dump();
  std::string text = Clean(value.get<std::string>());
  if (text.find_first_of(",\"") == std::string::npos) return text;
  for (std::size_t at = text.find('"'); at != std::string::npos; at = text.find('"', at + 2)) {
    text.insert(at, 1, '"');
  }
  return "\"" + text + "\"";
}

void ReplaceAll(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Without what only a file of its own may have, and with ids that no other figure has.
std::string ForPage(std::string svg, const std::string& name) {
  svg.erase(0, std::min(svg.size(), svg.find("<svg")));
  ReplaceAll(svg, "id=\"", "id=\"" + name + "-");
  ReplaceAll(svg, "id='", "id='" + name + "-");
  ReplaceAll(svg, "href=\"#", "href=\"#" + name + "-");
  ReplaceAll(svg, "href='#", "href='#" + name + "-");
  ReplaceAll(svg, "url(#", "url(#" + name + "-");
  return svg;
}

}  // namespace

Table& Table::Add(const std::string& name, ordered_json column) {
  names.push_back(name);
  columns.push_back(std::move(column));
  return *this;
}

bool Table::HasValues() const {
  return std::any_of(columns.begin() + 1, columns.end(), [](const ordered_json& column) {
    return std::any_of(column.begin(), column.end(),
                       [](const ordered_json& value) { return !value.is_null(); });
  });
}

std::string Table::Csv() const {
  std::string text;
  for (std::size_t c = 0; c < names.size(); ++c) text += (c == 0 ? "" : ",") + CsvField(names[c]);
  text += "\n";
  for (std::size_t row = 0; row < rows(); ++row) {
    for (std::size_t c = 0; c < columns.size(); ++c) text += (c == 0 ? "" : ",") + CsvField(columns[c][row]);
    text += "\n";
  }
  return text;
}

std::string Quoted(const std::string& text) {
  std::string quoted = "'";
  for (const char c : Clean(text)) quoted.append(c == '\'' ? 2 : 1, c);
  return quoted + "'";
}

std::vector<std::string> Draw(const std::string& folder, const std::vector<Figure>& figures) {
  const fs::path path = fs::absolute(folder);
  fs::create_directories(path);
  std::string script;
  for (const Figure& figure : figures) {
    const std::string file = (path / figure.name).string();
    WriteFile(file + ".csv", figure.data.Csv());
    ordered_json data{{"title", figure.title}, {"caption", figure.caption}};
    data["columns"] = ordered_json::object();
    for (std::size_t c = 0; c < figure.data.names.size(); ++c) {
      data["columns"][figure.data.names[c]] = figure.data.columns[c];
    }
    WriteFile(file + ".json", data.dump(1, ' ', false, ordered_json::error_handler_t::replace) + "\n");
    fs::remove(file + ".svg");
    script += kPreamble;
    script += "set terminal svg size 960," + std::to_string(figure.height) +
              " dynamic noenhanced font 'sans-serif,12' background rgb 'white'\n";
    script += "csv = " + Quoted(file + ".csv") + "\nset output " + Quoted(file + ".svg") + "\n";
    script += figure.commands + "\nset output\n";
  }
  const std::string plots = (path / "plots.gp").string(), log = (path / "plots.log").string();
  WriteFile(plots, script);
  Children children;
  int status = 0;
  try {
    status = children.Run({"gnuplot", plots}, log);
  } catch (const std::system_error& error) {
    throw std::runtime_error(std::string("gnuplot cannot be run (Debian's package is gnuplot-nox): ") +
                             error.what());
  }
  if (status != 0) throw std::runtime_error("gnuplot: " + ReadFile(log));
  fs::remove(log);
  std::vector<std::string> svgs;
  for (const Figure& figure : figures) {
    svgs.push_back(ForPage(ReadFile((path / (figure.name + ".svg")).string()), figure.name));
  }
  return svgs;
}

}  // namespace bitternmux::lab::report
