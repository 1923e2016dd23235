// New settings laid over those in use, so that requests under way keep their class.
#ifndef BITTERNMUX_SRC_CORE_RETUNE_H_
#define BITTERNMUX_SRC_CORE_RETUNE_H_

#include <functional>
#include <vector>

#include "cartspring/balancer.h"

namespace bitternmux {

struct Retuned {
  cartspring::Settings settings;
  // For each of its classes the row that it goes on from: its own, that of the same name, or -1 for none.
  std::vector<int> like;
};

// `next` as it was read. A class that is the same keeps its row; one that is new or changed gets another; the
// rows of the rest are retired, and used again once `in_use` says that no request is in them. Zones and kinds
// keep their indexes too: new ones come behind.
Retuned Retune(const cartspring::Settings& now, cartspring::Settings next,
               const std::function<bool(int row)>& in_use);

}  // namespace bitternmux

#endif  // BITTERNMUX_SRC_CORE_RETUNE_H_
