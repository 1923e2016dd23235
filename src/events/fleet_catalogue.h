// The events of the fleet's programs, by their stable names.
#ifndef BITTERNMUX_SRC_EVENTS_FLEET_CATALOGUE_H_
#define BITTERNMUX_SRC_EVENTS_FLEET_CATALOGUE_H_

#include "events/event.h"

namespace bitternmux::fleet_events {

// All programs.
inline constexpr EventKind kStarted{"process.started", Severity::kInfo};
inline constexpr EventKind kStopping{"process.stopping", Severity::kInfo};
inline constexpr EventKind kSettingsFaulty{"settings.faulty", Severity::kError};
inline constexpr EventKind kContractUnknown{"settings.contract_unknown", Severity::kWarning};
inline constexpr EventKind kProcessFailed{"process.failed", Severity::kError};
inline constexpr EventKind kClientsRelieved{"clients.gave_way", Severity::kWarning};
// Control machines.
inline constexpr EventKind kRoleChanged{"replica.role", Severity::kInfo};
inline constexpr EventKind kMembersChanged{"replica.members", Severity::kInfo};
inline constexpr EventKind kStorageOpened{"storage.opened", Severity::kInfo};
inline constexpr EventKind kSaveFailed{"storage.save_failed", Severity::kWarning};
inline constexpr EventKind kStorageUnavailable{"storage.unavailable", Severity::kWarning};
inline constexpr EventKind kStorageUnreadable{"storage.unreadable", Severity::kError};
inline constexpr EventKind kOrderDecided{"operator.order", Severity::kInfo};
inline constexpr EventKind kCallRefused{"operator.refused", Severity::kInfo};
inline constexpr EventKind kListRoleTaken{"platform_list.role_taken", Severity::kInfo};
inline constexpr EventKind kQuotaRoleTaken{"quota.role_taken", Severity::kInfo};
inline constexpr EventKind kQuotaRefusals{"quota.refusals", Severity::kInfo};
inline constexpr EventKind kListReadFailed{"platform_list.read_failed", Severity::kWarning};
inline constexpr EventKind kListEntriesUnusable{"platform_list.entries_unusable", Severity::kWarning};
inline constexpr EventKind kSubscriberAhead{"feed.subscriber_ahead", Severity::kWarning};
// Agents and routers.
inline constexpr EventKind kFeedConnected{"feed.connected", Severity::kInfo};
inline constexpr EventKind kFeedLost{"feed.lost", Severity::kInfo};
inline constexpr EventKind kSourceBehind{"feed.source_behind", Severity::kWarning};
inline constexpr EventKind kConfigurationInForce{"configuration.in_force", Severity::kInfo};
inline constexpr EventKind kConfigurationUnreadable{"configuration.unreadable", Severity::kError};
inline constexpr EventKind kReadinessChanged{"router.readiness", Severity::kInfo};
inline constexpr EventKind kAttemptTorn{"attempt.torn", Severity::kInfo};
inline constexpr EventKind kStreamNotContinued{"stream.not_continued", Severity::kWarning};
inline constexpr EventKind kServerTrouble{"server.trouble", Severity::kDebug};
inline constexpr EventKind kFirstEvent{"request.first_event", Severity::kDebug};
inline constexpr EventKind kRequestEnded{"request.ended", Severity::kDebug};

}  // namespace bitternmux::fleet_events

#endif  // BITTERNMUX_SRC_EVENTS_FLEET_CATALOGUE_H_
