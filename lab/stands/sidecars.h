// The built program, one process for each sidecar: started, signalled, measured and ended as the scenario
// says.
//
// Each has a folder of its own under a temporary one, with its configuration and its log, and an address on
// loopback that stays its own while it is down. A process ends with this object, and with the lab's own
// process, however that ends, stopped or not; only processes that were started here are ever signalled.
#ifndef BITTERNMUX_LAB_STANDS_SIDECARS_H_
#define BITTERNMUX_LAB_STANDS_SIDECARS_H_

#include <sys/types.h>

#include <boost/asio/signal_set.hpp>
#include <deque>
#include <filesystem>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/stands/discovery_stand.h"
#include "lab/stands/door.h"
#include "lab/stands/stage.h"

namespace bitternmux::lab {

class Sidecars {
 public:
  // `program` is the built bitternmux. Both others must outlive it. Throws std::runtime_error if the program
  // cannot be run or a folder not be made.
  Sidecars(Stage& stage, const DiscoveryStand& discovery, std::string program);
  ~Sidecars();
  Sidecars(const Sidecars&) = delete;
  Sidecars& operator=(const Sidecars&) = delete;

  // Starts each at its time.
  void Begin();
  const boost::asio::ip::tcp::endpoint& address(int sidecar) const;
  bool ready(int sidecar) const { return rows_[static_cast<std::size_t>(sidecar)].phase == Phase::kReady; }
  bool all_ready() const;
  // When it was last killed by the script; below 0: never.
  double killed_ms(int sidecar) const { return rows_[static_cast<std::size_t>(sidecar)].killed_ms; }
  // For good: SIGTERM, and SIGKILL when the rules allow it.
  void StopAll();
  bool all_ended() const;

 private:
  class UpCall;
  enum class Phase { kDown, kStarting, kReady };
  struct Row {
    std::unique_ptr<Door> address;  // holds it, and refuses while nobody listens there
    std::filesystem::path folder;
    Phase phase = Phase::kDown;
    pid_t pid = -1;
    int life = 0;
    bool stopping = false;  // it was told to end, or killed
    bool killed = false;
    double down_ms = 0;  // from its end to its next start; below 0: it stays down
    double killed_ms = -1;
    std::deque<double> alive_ms;  // of its next processes, which are to be killed
    std::set<int> held_by;        // what keeps the process stopped
  };

  Row& At(int sidecar) { return rows_[static_cast<std::size_t>(sidecar)]; }
  void Configure(int sidecar);
  void StartInTurn(int sidecar);
  void StartNext();
  void Start(int sidecar);
  void AskUp(int sidecar, int life);
  void Carry(const model::Step& step);
  void Freeze(int sidecar, int holder);
  void LetGo(int sidecar, int holder);
  void Limit(int sidecar, int descriptors);
  void Terminate(int sidecar);
  void Kill(int sidecar);
  void AwaitEnds();
  void Reap();
  void Ended(int sidecar, int status);
  void Sample();

  Stage& stage_;
  const DiscoveryStand& discovery_;
  const std::string program_;
  std::filesystem::path folder_;
  std::vector<Row> rows_;
  std::deque<int> starting_;  // due to start, the one that was started last in front
  boost::asio::signal_set children_;
  bool over_ = false;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_SIDECARS_H_
