// `bitternmux check`: says what is wrong with the configuration and the operator file, or what would be used.
#ifndef BITTERNMUX_SRC_SIDECAR_CHECK_H_
#define BITTERNMUX_SRC_SIDECAR_CHECK_H_

#include <ostream>

#include "config/config.h"
#include "config/operator_file.h"

namespace bitternmux {

// Every fault as a line on `faults`; every value that would be used, with where it came from, on `out`. True
// if there is no fault.
bool Check(const Environment& environment, const std::string& operator_path, const OperatorFile& file,
           std::ostream& out, std::ostream& faults);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_SIDECAR_CHECK_H_
