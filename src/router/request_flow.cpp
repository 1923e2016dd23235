#include "router/request_flow.h"

#include <chrono>

namespace bitternmux::router {
double SteadyNowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

std::shared_ptr<RequestFlow> RequestFlow::Begin(RouterState& state, http::Message message,
                                                const std::shared_ptr<Responder>& responder) {
  const auto flow = std::make_shared<RequestFlow>(state, std::move(message), responder);
  flow->Admit();
  return flow;
}

RequestFlow::RequestFlow(RouterState& state, http::Message message,
                         const std::shared_ptr<Responder>& responder)
    : state_(state),
      table_(state.table),
      message_(std::move(message)),
      responder_(responder),
      request_number_(++state.last_request_number),
      started_ms_(SteadyNowMs()),
      timer_(state.io) {}
}  // namespace bitternmux::router
