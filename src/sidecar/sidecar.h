// The sidecar whole: all parts wired together, the wheel turned, signals minded.
#ifndef BITTERNMUX_SRC_SIDECAR_SIDECAR_H_
#define BITTERNMUX_SRC_SIDECAR_SIDECAR_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "config/config.h"
#include "core/machine_list.h"
#include "log/log.h"

namespace bitternmux {

// The clock of the whole program: monotonic.
double NowMs();

// What only the parts can judge of a configuration: the settings as the module takes them, and the list of
// execute nodes as last had, which it gives back. Throws ConfigError.
MachineUpdate Verify(const Config& config);

class Sidecar {
 public:
  // Of a configuration that was verified, with its list. `starts`: the folder in which its starts are kept,
  // empty for none. The context and the log have to outlive it.
  Sidecar(boost::asio::io_context& io, Config config, MachineUpdate known, log::Log& log,
          const std::string& starts);
  ~Sidecar();

  // Listens, and serves while the context runs, until a SIGTERM or SIGINT has been carried out, which stops
  // the context. SIGHUP reads the configuration again. Throws std::runtime_error, which names key and
  // address, where it cannot listen.
  void Start();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_SIDECAR_SIDECAR_H_
