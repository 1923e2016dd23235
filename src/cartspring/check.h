// Argument checks; a failed one throws std::invalid_argument, as include/cartspring/balancer.h specifies.
#ifndef CARTSPRING_SRC_CARTSPRING_CHECK_H_
#define CARTSPRING_SRC_CARTSPRING_CHECK_H_

#include "cartspring/balancer.h"

namespace cartspring {

void Check(bool ok, const char* message);      // throws with `message` unless `ok`
void CheckSettings(const Settings& settings);  // throws at the first invalid value

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_CHECK_H_
