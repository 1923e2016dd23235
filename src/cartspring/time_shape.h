// The relation between a host's figure, its load by size and warmth, and the time of an attempt: a fit
// to outcomes.
#ifndef CARTSPRING_SRC_CARTSPRING_TIME_SHAPE_H_
#define CARTSPRING_SRC_CARTSPRING_TIME_SHAPE_H_

#include <algorithm>

#include "cartspring/decaying_line.h"

namespace cartspring {

constexpr double kInitialOffset = 4;  // initial figure at which a host takes twice its unloaded time
constexpr double kMinOffset = 0.5;    // bounds of the learned value
constexpr double kMaxOffset = 16;
constexpr double kShapeDecay = 0.98;  // each new outcome multiplies the weight of past ones by this
constexpr double kMinFigureVariation =
    0.01;  // least squared variation of the figures that determines a slope

// How the time of an attempt grows with its host's figure: in proportion to figure + offset, normalised to 1
// at the mean of the figures seen. The offset comes from a line fitted with decay to this instance's own
// outcomes. The level is kept elsewhere, per class and kind, so that outcomes of one class do not move the
// expected times of another; normalised at the mean, it stays valid when the offset moves.
class TimeShape {
 public:
  TimeShape() {
    constexpr double kMean = (1.0 + 5.0 + 20.0) / 3;
    for (const double figure : {1.0, 5.0, 20.0})
      Add(figure, (figure + kInitialOffset) / (kMean + kInitialOffset));
  }
  void Add(double figure, double time) {
    line_.Add(figure, time);
    if (!line_.HasSlope(kMinFigureVariation)) return;  // equal figures determine no slope, only noise
    offset_ = line_.Slope() > 0 ? std::clamp(line_.Offset(), kMinOffset, kMaxOffset) : kMaxOffset;
  }
  // `share`: the request's work relative to its class's mean, where clients hint at it.
  double At(double figure, double share) const { return (figure + offset_ * share) * Slope(); }
  double Offset() const { return offset_ * Slope(); }  // in units of time, not of the figure
  double Slope() const { return 1 / (line_.MeanX() + offset_); }

 private:
  DecayingLine line_{kShapeDecay};
  double offset_ = kInitialOffset;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_TIME_SHAPE_H_
