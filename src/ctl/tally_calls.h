// The form of the calls on tallies: paths, bodies and answers.
#ifndef BITTERNMUX_SRC_CTL_TALLY_CALLS_H_
#define BITTERNMUX_SRC_CTL_TALLY_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace bitternmux::ctl {

// The path of a tally, with its name escaped.
std::string TallyPath(const std::string& tally);
// The body of the call that adds. Throws std::invalid_argument if the id is no UTF-8.
std::string TallyAddBody(const std::string& id, std::int64_t amount);
// A whole number as it is written on a command line.
std::optional<std::int64_t> ReadAmount(const std::string& word);
// The sum in the answer to a read.
std::optional<std::int64_t> ReadTotal(const std::string& body);

}  // namespace bitternmux::ctl

#endif  // BITTERNMUX_SRC_CTL_TALLY_CALLS_H_
