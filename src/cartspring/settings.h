// Reads settings, under the key names that the simulator's first message and a sidecar's configuration share.
#ifndef CARTSPRING_SRC_CARTSPRING_SETTINGS_H_
#define CARTSPRING_SRC_CARTSPRING_SETTINGS_H_

#include "cartspring/balancer.h"
#include "cartspring/fields.h"

namespace cartspring {

Settings ReadSettings(const Fields& fields);  // throws ParseError, which names the invalid key

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_SETTINGS_H_
