// Runs an io_context in a test until something holds, without sleeping.
#ifndef BITTERNMUX_TESTS_SUPPORT_RUN_UNTIL_H_
#define BITTERNMUX_TESTS_SUPPORT_RUN_UNTIL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace bitternmux::support {

// False: it did not come to hold within ten seconds.
template <class Holds>
bool RunUntil(boost::asio::io_context& io, const Holds& holds) {
  constexpr auto kPatience = std::chrono::seconds(10);
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.restart();
    io.run_one_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace bitternmux::support

#endif  // BITTERNMUX_TESTS_SUPPORT_RUN_UNTIL_H_
