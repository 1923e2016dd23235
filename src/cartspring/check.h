// Bad use is answered with std::invalid_argument, as include/cartspring/balancer.h says.
#ifndef CARTSPRING_SRC_CARTSPRING_CHECK_H_
#define CARTSPRING_SRC_CARTSPRING_CHECK_H_

#include "cartspring/balancer.h"

namespace cartspring {

void Check(bool good, const char* message);    // throws with the message unless good
void CheckSettings(const Settings& settings);  // throws at the first that makes no sense

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_CHECK_H_
