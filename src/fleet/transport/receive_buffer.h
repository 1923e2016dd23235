// The receive buffers of accepted connections: what the kernel may keep of a connection that nobody reads.
#ifndef BITTERNMUX_SRC_FLEET_TRANSPORT_RECEIVE_BUFFER_H_
#define BITTERNMUX_SRC_FLEET_TRANSPORT_RECEIVE_BUFFER_H_

#include <sys/socket.h>

#include "budget/client_budget.h"

namespace bitternmux::fleet {

// Connections have the buffer that their listener has as they come up. It is set anew where the budget wants
// another one by a factor of two.
class ReceiveBuffer {
 public:
  // Once before the socket listens, and at each connection. `listener`: its descriptor.
  void Adapt(int listener, const budget::ClientBudget& budget) {
    const int wanted_bytes = budget.ReceiveBufferBytes();
    if (wanted_bytes < 2 * bytes_ && 2 * wanted_bytes > bytes_) return;
    bytes_ = wanted_bytes;
    // Where it is refused, the kernel's own bound remains.
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &wanted_bytes, sizeof wanted_bytes);
  }

 private:
  int bytes_ = 0;  // as last set; 0: not yet
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_TRANSPORT_RECEIVE_BUFFER_H_
