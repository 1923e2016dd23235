// The checks that a configuration passes before it is taken: its JSON schema, and all that ReadConfiguration
// checks. Apart from the reading, since only control machines validate: routers need neither the validator
// nor its memory.
#ifndef BITTERNMUX_SRC_FLEET_VALIDATION_VALIDATION_H_
#define BITTERNMUX_SRC_FLEET_VALIDATION_VALIDATION_H_

#include <string_view>

#include "fleet/configuration/configuration.h"

namespace bitternmux::fleet {

// Throws ConfigurationError.
Configuration ValidateConfiguration(std::string_view text);

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_VALIDATION_VALIDATION_H_
