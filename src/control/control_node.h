// A control machine: what decides (fleet/control/control_core.h) with its links, its disk, the operator's
// interface and the platform, wired together on one thread. Disk and platform have threads of their own, and
// so has the operator's interface; all of them hand over to this one.
//
// A store that cannot be read counts as a lost disk: it is set aside, and the machine joins the group anew,
// or fetches all tallies anew. A store that cannot be opened, as on a full disk, is tried again until it can.
#ifndef BITTERNMUX_SRC_CONTROL_CONTROL_NODE_H_
#define BITTERNMUX_SRC_CONTROL_CONTROL_NODE_H_

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "budget/client_budget.h"
#include "budget/relief_log.h"
#include "control/control_links.h"
#include "control/operator_api.h"
#include "control/operator_service.h"
#include "control/platform_list.h"
#include "control/storage_thread.h"
#include "control/tally_storage_thread.h"
#include "events/event.h"
#include "fleet/control/control_core.h"
#include "fleet/settings/node_settings.h"
#include "fleet/storage/sqlite_store.h"
#include "fleet/storage/sqlite_tally_store.h"

namespace bitternmux::control {

class ControlNode {
 public:
  ControlNode(boost::asio::io_context& io, fleet::NodeSettings settings, EventSink& events);
  ~ControlNode();

  // Throws if it cannot listen.
  void Start();
  // Hands over what it holds, then ends.
  void Stop();
  // The settings file may name other seeds.
  void Reseed(const fleet::NodeSettings& settings);

 private:
  double NowMs() const;
  // Tries again until the store can be opened.
  void OpenAndServe();
  // False: it cannot be opened now.
  bool OpenStore();
  bool OpenTallies();
  void StartSaving();
  void StartServing();
  void ScheduleTick();
  void ScheduleProbingTick();
  void Tick();
  void Drain();
  void End();
  void Tell(const fleet::ControlNotice& notice);
  void ListRead(std::optional<fleet::ServerMap> servers, const std::string& why);
  std::string Status() const;

  boost::asio::io_context& io_;
  const fleet::NodeSettings settings_;
  EventSink& events_;
  const fleet::Member self_;
  const std::uint64_t incarnation_;
  std::vector<fleet::Member> seeds_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer probing_tick_;
  bool probing_tick_scheduled_ = false;
  bool told_unavailable_ = false;
  bool stopping_ = false;

  std::unique_ptr<fleet::ReplicaStore> store_;
  std::optional<fleet::DurableState> loaded_;
  std::unique_ptr<fleet::TallyStore> tally_store_;
  std::vector<fleet::TallyAdds> loaded_tallies_;
  bool tallies_lost_ = false;                 // their store could not be read
  bool tallies_caught_up_ = false;            // their store was marked so, in this life or one before it
  std::unique_ptr<fleet::ControlCore> core_;  // null until the store is open
  const std::shared_ptr<budget::ClientBudget> budget_;
  budget::ReliefLog relief_log_;
  std::unique_ptr<ControlLinks> links_;
  std::unique_ptr<StorageThread> storage_;
  std::unique_ptr<TallyStorageThread> tally_storage_;
  std::unique_ptr<PlatformList> platform_;
  std::string list_fault_;  // entries that the last list left out, as they were logged; empty: none
  std::unique_ptr<OperatorService> operator_service_;
  std::unique_ptr<OperatorApi> api_;
};

}  // namespace bitternmux::control

#endif  // BITTERNMUX_SRC_CONTROL_CONTROL_NODE_H_
