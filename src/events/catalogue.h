// Every event of the service, by its stable name. docs/operators/logging.md tells what each means and what to
// do about it; a test holds the two together.
#ifndef BITTERNMUX_SRC_EVENTS_CATALOGUE_H_
#define BITTERNMUX_SRC_EVENTS_CATALOGUE_H_

#include "events/event.h"

namespace bitternmux::events {

// The program's own life.
inline constexpr EventKind kServing{"serving", Severity::kInfo};
inline constexpr EventKind kDoorOpen{"door.open", Severity::kInfo};
inline constexpr EventKind kStopping{"stopping", Severity::kInfo};
inline constexpr EventKind kStopped{"stopped", Severity::kInfo};
inline constexpr EventKind kStoodStill{"stood.still", Severity::kWarning};
inline constexpr EventKind kComebackState{"comeback.state", Severity::kInfo};
inline constexpr EventKind kComebackHeld{"comeback.held", Severity::kWarning};
inline constexpr EventKind kComebackStarts{"comeback.starts", Severity::kWarning};
inline constexpr EventKind kFailed{"failed", Severity::kError};
// Configuration.
inline constexpr EventKind kConfigFaulty{"config.faulty", Severity::kError};
inline constexpr EventKind kConfigReloaded{"config.reloaded", Severity::kInfo};
inline constexpr EventKind kConfigRefused{"config.refused", Severity::kWarning};
// Outside parties.
inline constexpr EventKind kAcceptFailed{"accept.failed", Severity::kWarning};
inline constexpr EventKind kDiscoveryBroken{"discovery.broken", Severity::kWarning};
inline constexpr EventKind kNodeConnections{"nodes.connections", Severity::kDebug};
inline constexpr EventKind kPlacesShort{"submitters.short", Severity::kWarning};
// The decision module's own lines.
inline constexpr EventKind kModuleNote{"module.note", Severity::kInfo};
// The log itself.
inline constexpr EventKind kLogLimited{"log.limited", Severity::kWarning};
inline constexpr EventKind kLogDropped{"log.dropped", Severity::kWarning};

inline constexpr const EventKind* kAll[] = {
    &kStoodStill,      &kServing,         &kDoorOpen,       &kStopping,       &kStopped,
    &kFailed,          &kConfigFaulty,    &kConfigReloaded, &kConfigRefused,  &kAcceptFailed,
    &kDiscoveryBroken, &kNodeConnections, &kPlacesShort,    &kModuleNote,     &kLogLimited,
    &kLogDropped,      &kComebackState,   &kComebackHeld,   &kComebackStarts,
};

}  // namespace bitternmux::events

#endif  // BITTERNMUX_SRC_EVENTS_CATALOGUE_H_
