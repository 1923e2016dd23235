// The ways between clients, sidecars, execute nodes and discovery: how long a message takes and what becomes
// of it.
//
// What goes wrong on the network is known when the day is drawn, so that this holds no state but the list of
// it: each question has one answer, whoever asks first. Messages are told apart by a key of the caller's; the
// same key gives the same delay. That the messages of one connection do not overtake each other is the
// caller's to see to.
#ifndef BITTERNMUX_LAB_MODEL_NETWORK_H_
#define BITTERNMUX_LAB_MODEL_NETWORK_H_

#include <cstdint>

#include "lab/model/figures.h"
#include "lab/model/random.h"

namespace bitternmux::lab::model {

// How a message to a sidecar passes on a connection.
struct Passing {
  double bytes_per_s = 0;  // 0: at once
  double cut_after = -1;   // so many bytes pass, and the connection ends; below 0: all
  bool twice = false;
  bool lost = false;
};

class Network {
 public:
  static constexpr int kDiscovery = -1;  // stands for a machine

  // `figures` must outlive it.
  Network(const Figures& figures, const Seeds& seeds);

  // When a message that is sent at `now` arrives; kNever if it is lost in a cut.
  double ToNode(double now, int sidecar, int machine, std::uint64_t key) const;
  double FromNode(double now, int sidecar, int machine, std::uint64_t key) const;
  double ToDiscovery(double now, int sidecar, std::uint64_t key) const;
  double FromDiscovery(double now, int sidecar, std::uint64_t key) const;
  // How long a way between a client and its sidecar takes: the two share a host, and nothing comes between
  // them.
  double Local(std::uint64_t key) const;

  // Until when what the sidecar sends is lost; `now` if it is not.
  double CutUntil(double now, int sidecar, int machine) const;
  // When a dial begun at `now` has its connection, the handshake's round trips included but not the node's
  // work for it; kNever if it never comes up.
  double DialUp(double now, int sidecar, int machine, std::uint64_t key) const;
  // Is a connection that comes up at `now` reset at once?
  bool Dropped(double now, int sidecar, int machine, std::uint64_t key) const;
  // On sockets: how the bytes of a message pass at `now` that are on their way to the sidecar.
  Passing Passes(double now, int sidecar, int machine, std::uint64_t key) const;

 private:
  enum class Way { kThere, kBack };
  double Delay(double one_way, std::uint64_t key) const;
  double OneWay(int sidecar, int machine) const;
  double Arrives(double now, double delay, Way way, int sidecar, int machine, std::uint64_t key) const;
  bool Hits(const LinkTrouble& trouble, int sidecar, int machine) const;

  const Figures& figures_;
  const Use jitter_, delays_, drops_, passings_;
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_NETWORK_H_
