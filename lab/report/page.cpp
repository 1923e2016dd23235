#include "lab/report/page.h"

#include <filesystem>

#include "lab/report/files.h"

namespace bitternmux::lab::report {
namespace {

constexpr const char* kFigures = "figures";  // the folder of the figures, beside the page

// Black on white, and a page break only where a figure or a table ends.
constexpr const char* kStyle = R"(
body { font: 15px/1.45 sans-serif; color: #000; background: #fff; max-width: 1000px; margin: 1.5em auto;
  padding: 0 1em }
h1 { font-size: 1.6em }
h2 { font-size: 1.3em; margin-top: 2em; border-bottom: 1px solid #888 }
h3 { font-size: 1.05em; margin-top: 1.6em }
table { border-collapse: collapse; margin: .6em 0 1em; font-size: .85em; font-variant-numeric: tabular-nums }
caption { text-align: left; padding: .2em 0; color: #333 }
th { text-align: left; border-bottom: 1px solid #000; padding: .15em .7em .15em 0; vertical-align: bottom }
td { border-bottom: 1px solid #ccc; padding: .15em .7em .15em 0; vertical-align: top;
  overflow-wrap: anywhere }
td.n { text-align: right; white-space: nowrap }
figure { margin: .4em 0 1em }
figure svg { width: 100%; height: auto; display: block }
figcaption { font-size: .82em; color: #333 }
@media print {
  body { max-width: none; margin: 0; font-size: 10.5pt }
  figure, tr { break-inside: avoid }
  h2, h3 { break-after: avoid }
  a { color: #000 }
}
)";

}  // namespace

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : Clean(text)) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      case '\'':
        out += "&#39;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

Page::Page(const std::string& title) : title_(title), parts_(1) { Heading(1, title); }

void Page::Heading(int level, const std::string& text) {
  const std::string tag = "h" + std::to_string(level);
  parts_.back() += "<" + tag + ">" + Escaped(text) + "</" + tag + ">\n";
}

void Page::Paragraph(const std::string& text) { parts_.back() += "<p>" + Escaped(text) + "</p>\n"; }

void Page::Rows(const std::vector<std::string>& head, const std::vector<std::vector<std::string>>& rows,
                const std::string& caption) {
  if (rows.empty()) return;
  parts_.back() += "<table>";
  if (!caption.empty()) parts_.back() += "<caption>" + Escaped(caption) + "</caption>";
  parts_.back() += "<thead><tr>";
  for (const std::string& cell : head) parts_.back() += "<th>" + Escaped(cell) + "</th>";
  parts_.back() += "</tr></thead><tbody>\n";
  for (const auto& row : rows) {
    parts_.back() += "<tr>";
    for (const std::string& cell : row) {
      const bool number = cell.find_first_of("0123456789+-") == 0;
      parts_.back() += (number ? "<td class=\"n\">" : "<td>") + Escaped(cell) + "</td>";
    }
    parts_.back() += "</tr>\n";
  }
  parts_.back() += "</tbody></table>\n";
}

void Page::Plot(Figure figure) {
  if (!figure.data.HasValues()) return;
  const std::string file = std::string(kFigures) + "/" + figure.name;
  parts_.back() += "<figure role=\"img\" aria-label=\"" + Escaped(figure.title) + "\">\n";
  parts_.emplace_back("<figcaption><b>" + Escaped(figure.title) + ".</b> " + Escaped(figure.caption));
  for (const char* kind : {"csv", "json", "svg"}) {
    parts_.back() += " <a href=\"" + Escaped(file + "." + kind) + "\">" + kind + "</a>";
  }
  parts_.back() += "</figcaption>\n</figure>\n";
  figures_.push_back(std::move(figure));
}

void Page::Write(const std::string& file) const {
  const auto folder = std::filesystem::path(file).parent_path() / kFigures;
  const std::vector<std::string> svgs = Draw(folder.string(), figures_);
  std::string html =
      "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
      "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n<title>" +
      Escaped(title_) + "</title>\n<style>" + kStyle + "</style>\n</head>\n<body>\n" + parts_.front();
  for (std::size_t i = 0; i < svgs.size(); ++i) html += svgs[i] + parts_[i + 1];
  WriteFile(file, html + "</body>\n</html>\n");
}

}  // namespace bitternmux::lab::report
