// How the time of an attempt grows with its host's figure, read from outcomes. A fit, it decides nothing.
#ifndef CARTSPRING_SRC_CARTSPRING_TIME_SHAPE_H_
#define CARTSPRING_SRC_CARTSPRING_TIME_SHAPE_H_

#include <algorithm>

#include "cartspring/fading_line.h"

namespace cartspring {

constexpr double kFirstOffset = 4;    // figure at which a host takes twice its unloaded time, at first
constexpr double kOffsetLeast = 0.5;  // and the bounds within which that is learned
constexpr double kOffsetMost = 16;
constexpr double kShapeFade = 0.98;    // what the time's shape keeps of its past at each new outcome
constexpr double kShapeSpread = 0.01;  // least squared variation of the figures seen that tells a slope

// How the time of an attempt grows with its host's figure: in proportion to figure + offset, and 1 at the
// mean of the figures seen. The offset is read from a fading straight-line fit over this instance's own
// outcomes; the level is kept apart, by class and kind, so that what one class meets does not move what is
// expected of another. Held at the mean, it stays true when the offset moves.
class TimeShape {
 public:
  TimeShape() {
    constexpr double kMean = (1.0 + 5.0 + 20.0) / 3;
    for (const double figure : {1.0, 5.0, 20.0})
      Add(figure, (figure + kFirstOffset) / (kMean + kFirstOffset));
  }
  void Add(double figure, double time) {
    line_.Add(figure, time);
    if (!line_.Sloped(kShapeSpread)) return;  // figures all alike tell no slope, only noise
    offset_ = line_.Slope() > 0 ? std::clamp(line_.Offset(), kOffsetLeast, kOffsetMost) : kOffsetMost;
  }
  // `share`: the request's own work against its class's mean, where clients hint at it.
  double At(double figure, double share) const { return (figure + offset_ * share) * Slope(); }
  double Offset() const { return offset_ * Slope(); }  // of the time, not of the figure
  double Slope() const { return 1 / (line_.MeanX() + offset_); }

 private:
  FadingLine line_{kShapeFade};
  double offset_ = kFirstOffset;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_TIME_SHAPE_H_
