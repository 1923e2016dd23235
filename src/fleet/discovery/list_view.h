// The platform's list as a control machine knows it: a decider.
//
// The owner publishes a reading once a majority has confirmed, after the reading had ended, that it is still
// the owner. Whoever owns a later epoch was elected after that, and what is read under it began later:
// readings are as new as their positions say, whichever machines read and published them.
//
// A reading whose content is as before is told without it. A machine that has missed what came before does
// not take it, and waits for the next one that is whole.
#ifndef BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_VIEW_H_
#define BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_VIEW_H_

#include "fleet/feed/feed.h"
#include "fleet/messages/messages.h"

namespace bitternmux::fleet {

constexpr std::uint64_t kWholeEvery = 8;  // readings after which the whole list is told again

class ListView {
 public:
  // As the owner of that epoch. What to tell the other control machines.
  ListReading Publish(double now_ms, const Epoch& epoch, ServerMap servers);
  // Of the owner. False: it is not to be taken.
  bool Take(double now_ms, const ListReading& reading);
  // The newest reading, with its content.
  ListReading Whole() const;

  const ServerMap& servers() const { return servers_; }
  // The newest reading that is known here, and the one that showed its content first.
  const ListPosition& newest() const { return newest_; }
  const ListPosition& content() const { return content_; }
  double heard_ms() const { return heard_ms_; }

 private:
  ServerMap servers_;
  ListPosition newest_, content_;
  double heard_ms_ = kNeverMs;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_DISCOVERY_LIST_VIEW_H_
