// A least-squares line with exponential forgetting: older points count less.
#ifndef CARTSPRING_SRC_CARTSPRING_DECAYING_LINE_H_
#define CARTSPRING_SRC_CARTSPRING_DECAYING_LINE_H_

namespace cartspring {

class DecayingLine {
 public:
  // `decay`: the factor applied to the sums at each new point.
  explicit DecayingLine(double decay) : decay_(decay) {}

  void Add(double x, double y) {
    for (double* sum : {&n_, &x_, &y_, &xx_, &xy_}) *sum *= decay_;
    n_ += 1;
    x_ += x;
    y_ += y;
    xx_ += x * x;
    xy_ += x * y;
  }
  // Is the variance of x, relative to the squared mean, large enough to determine a slope?
  bool HasSlope(double least) const { return Spread() >= least * x_ * x_; }
  double Slope() const { return (n_ * xy_ - x_ * y_) / Spread(); }
  // The distance left of 0 at which the line meets the x axis; the slope must not be 0.
  double Offset() const { return (y_ / Slope() - x_) / n_; }
  double MeanX() const { return x_ / n_; }

 private:
  double Spread() const { return n_ * xx_ - x_ * x_; }

  double decay_;
  double n_ = 0, x_ = 0, y_ = 0, xx_ = 0, xy_ = 0;
};

}  // namespace cartspring

#endif  // CARTSPRING_SRC_CARTSPRING_DECAYING_LINE_H_
