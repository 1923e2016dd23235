// A page of HTML that stands by itself. All text that is put into it is escaped. Inside the package only.
#ifndef BITTERNMUX_LAB_REPORT_PAGE_H_
#define BITTERNMUX_LAB_REPORT_PAGE_H_

#include <string>
#include <vector>

#include "lab/report/figure.h"

namespace bitternmux::lab::report {

std::string Escaped(const std::string& text);

class Page {
 public:
  explicit Page(const std::string& title);

  void Heading(int level, const std::string& text);
  void Paragraph(const std::string& text);
  // A cell that begins with a digit or a sign stands to the right. An empty table is left out.
  void Rows(const std::vector<std::string>& head, const std::vector<std::vector<std::string>>& rows,
            const std::string& caption = "");
  // Here it is to stand, with links to its files. One without any value is left out.
  void Plot(Figure figure);

  // Draws the figures into a folder `figures` beside it and writes the page to `file`. Throws as Draw and
  // WriteFile do.
  void Write(const std::string& file) const;

 private:
  std::string title_;
  std::vector<std::string> parts_;  // between the figures
  std::vector<Figure> figures_;
};

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_PAGE_H_
