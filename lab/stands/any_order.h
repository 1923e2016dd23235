// For stand-ins that a person talks to: any request with an id is served, with work by its class.
#ifndef BITTERNMUX_LAB_STANDS_ANY_ORDER_H_
#define BITTERNMUX_LAB_STANDS_ANY_ORDER_H_

#include <memory>
#include <string_view>

#include "lab/stands/quote_servers.h"

namespace bitternmux::lab {

// The class is the path's first part; a path that names none has the first class's work. `stage` must outlive
// it.
inline FindOrder AnyOrder(const Stage& stage) {
  return [&stage, draws = stage.seeds.For("wish.work"),
          count = std::make_shared<std::uint64_t>(0)](const http::Message& request) -> std::optional<Order> {
    std::string_view path = request.target;
    path.remove_prefix(1);
    const std::string_view part = path.substr(0, path.find_first_of("/?"));
    const model::ClassFigures* klass = &stage.figures.classes.front();
    for (const model::ClassFigures& one : stage.figures.classes) {
      if (one.name == part) klass = &one;
    }
    return Order{0, klass->work_ms * draws.At(++*count).LogNormal(klass->work_cv)};
  };
}

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_ANY_ORDER_H_
