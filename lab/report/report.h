// Reports: one page of HTML that needs no network and no script, with all its figures beside it.
//
// In the folder: report.html, and figures/ with a .svg, .csv and .json of each figure.
#ifndef BITTERNMUX_LAB_REPORT_REPORT_H_
#define BITTERNMUX_LAB_REPORT_REPORT_H_

#include <string>

namespace bitternmux::lab::report {

// Of one run, from its record; `calm`, which may be '', is the record of the same day without its troubles.
// Gives the page's file. Throws std::runtime_error, of which record::ReadError and std::system_error are
// kinds, where something cannot be read, written or plotted.
std::string ReportRecord(const std::string& record, const std::string& folder, const std::string& calm);

// Of the folder of a sweep, finished or not, into that folder: what was compared and by how much it differs,
// and the worst day of each. Throws as above.
std::string ReportSweep(const std::string& folder);

}  // namespace bitternmux::lab::report

#endif  // BITTERNMUX_LAB_REPORT_REPORT_H_
