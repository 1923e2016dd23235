// What the stand-ins of one run share: the figures, the clock, the model, and who is told of what happens.
//
// Whatever calls the fleet calls Carry after it, which hands out what is to be done to those who do it. They
// set the functions below before the run begins.
#ifndef BITTERNMUX_LAB_STANDS_STAGE_H_
#define BITTERNMUX_LAB_STANDS_STAGE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

#include "lab/model/discovery.h"
#include "lab/model/figures.h"
#include "lab/model/fleet.h"
#include "lab/model/network.h"
#include "lab/model/random.h"
#include "lab/stands/pace.h"
#include "lab/virtual/observer.h"

namespace bitternmux::lab {

class Stage {
 public:
  // All must outlive it.
  Stage(boost::asio::io_context& io, const model::Figures& figures, std::vector<Observer*> observers);
  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;

  // The run's first moment: from here on the script is carried out.
  void Begin();
  void Carry();
  // Nothing may be concluded from the run; the first reason counts.
  void Void(const std::string& reason);
  void OutOfDescriptors();
  const std::string& void_reason() const { return void_reason_; }

  template <class Method, class... Arguments>
  void Tell(Method method, const Arguments&... arguments) {
    const std::int64_t now = pace.NowUs();
    for (Observer* observer : observers_) (observer->*method)(now, arguments...);
  }

  boost::asio::io_context& io;
  const model::Figures& figures;
  const model::Seeds seeds;
  Pace pace;
  model::Discovery discovery;
  const model::Network network;
  model::Fleet fleet;
  model::FleetActions actions;  // for each call of the fleet

  std::function<void(int machine, const model::NodeAction&)> on_node;
  std::function<void(int machine)> on_machine;  // its state has changed
  std::function<void(const model::DiscoveryAction&)> on_told;
  std::function<void(const model::Step&)> on_discovery;
  std::function<void(const model::Step&)> on_sidecar;

 private:
  void TellWarmth(int machine);

  const std::vector<Observer*> observers_;
  std::string void_reason_;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_STAGE_H_
