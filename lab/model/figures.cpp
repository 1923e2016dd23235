#include "lab/model/figures.h"

namespace bitternmux::lab::model {

Figures WithoutTroubles(Figures figures) {
  figures.troubles.clear();
  figures.network.troubles.clear();
  figures.discovery.troubles.clear();
  figures.steps.clear();
  return figures;
}

}  // namespace bitternmux::lab::model
