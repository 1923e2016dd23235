// Lines and curves that are known beforehand, with noise that is written down here.
#include "lab/capacity/fit.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace bitternmux::lab::capacity {
namespace {

// Noise whose sum is 0 and which leans on neither n nor its square.
constexpr double kNoise[] = {0.5, -0.5, -0.5, 0.5};

std::vector<Point> Noisy(double a, double b, double c, double noise) {
  std::vector<Point> points;
  for (const double n : {80.0, 160.0, 315.0, 630.0}) {
    for (const double off : kNoise) points.push_back({n, a + b * n + c * n * n + noise * off});
  }
  return points;
}

TEST_CASE("a line with noise: slope, intercept and residual are found again") {
  const Fit fit = FitOf(Noisy(3, 0.02, 0, 0.4));
  CHECK_FALSE(fit.curve);
  CHECK(fit.shown);
  CHECK(fit.intercept == Approx(3));
  CHECK(fit.slope == Approx(0.02));
  CHECK(fit.square == 0);
  CHECK(fit.residual == Approx(0.2));  // each is 0.4 * 0.5 off
  CHECK(fit.residual_share == Approx(0.2 / 15.6));
  CHECK(fit.f_square < fit.f_critical);
  CHECK(fit.r_squared > 0.99);
  CHECK(fit.r_squared < 1);
  CHECK(fit.At(1000) == Approx(23));
}

TEST_CASE("what grows with the square is told from a line, through the same noise") {
  const Fit fit = FitOf(Noisy(3, 0.02, 0.0001, 0.4));
  CHECK(fit.curve);
  CHECK(fit.f_square > fit.f_critical);
  CHECK(fit.intercept == Approx(3));
  CHECK(fit.slope == Approx(0.02));
  CHECK(fit.square == Approx(0.0001));
  CHECK(fit.residual == Approx(0.2));
}

TEST_CASE("a square that drowns in the noise stays a line, and one without any noise is seen") {
  CHECK_FALSE(FitOf(Noisy(3, 0.02, 1e-8, 0.4)).curve);
  const Fit exact = FitOf(Noisy(3, 0.02, 1e-8, 0));
  CHECK(exact.curve);
  CHECK(exact.f_square > 1000);
  const Fit straight = FitOf(Noisy(3, 0.02, 0, 0));
  CHECK_FALSE(straight.curve);
  CHECK(straight.residual == Approx(0).margin(1e-9));
  CHECK(straight.r_squared == Approx(1));
}

TEST_CASE("what rounding leaves of an exact fit is told as 0") {
  const Fit constant = FitOf({{80, 0.1}, {160, 0.1}, {315, 0.1}, {630, 0.1}});
  CHECK(constant.slope == 0);
  CHECK(constant.residual == 0);
  CHECK_FALSE(constant.curve);
  CHECK(constant.r_squared == 1);
  CHECK_FALSE(constant.rises);
  const Fit through_zero = FitOf({{80, 0.8}, {315, 3.15}, {630, 6.3}});
  CHECK(through_zero.intercept == 0);
  CHECK(through_zero.residual == 0);
}

TEST_CASE("a slope that noise made is kept and told as that") {
  // A slope of 0.0001 moves the figure by 0.055 from 80 to 630, where the noise is 0.2 each way.
  const Fit noise = FitOf(Noisy(3, 0.0001, 0, 0.4));
  CHECK(noise.slope == Approx(0.0001));
  CHECK_FALSE(noise.rises);
  CHECK(noise.f_slope < noise.f_slope_critical);
  CHECK(noise.f_slope_critical == 9.33);  // with 12 degrees, the nearest below 14
  CHECK(FitOf(Noisy(3, 0.02, 0, 0.4)).rises);
  CHECK(FitOf(Noisy(3, 0, 0.0001, 0.4)).rises);
  CHECK(FitOf(Noisy(3, 0.02, 0, 0)).rises);
}

TEST_CASE("two sizes, or three plays, show no line to be one") {
  const Fit two = FitOf({{80, 1}, {80, 1.2}, {160, 2}, {160, 2.2}});
  CHECK_FALSE(two.shown);
  CHECK(two.slope == Approx(0.0125));
  CHECK_FALSE(FitOf({{1, 1}, {2, 4}, {3, 9}}).shown);
}

TEST_CASE("plays and spread at each n") {
  const std::vector<Spread> spreads = SpreadsOf({{160, 5}, {80, 1}, {80, 2}, {80, 3}});
  REQUIRE(spreads.size() == 2);
  CHECK(spreads[0].n == 80);
  CHECK(spreads[0].plays == 3);
  CHECK(spreads[0].mean == Approx(2));
  CHECK(spreads[0].least == 1);
  CHECK(spreads[0].most == 3);
  CHECK(spreads[0].deviation == Approx(1));
  CHECK(spreads[1].plays == 1);
  CHECK(spreads[1].deviation == 0);
}

TEST_CASE("an extrapolation says how many times as far as the largest n it is") {
  const Fit fit = FitOf(Noisy(3, 0.02, 0, 0.4));
  CHECK(fit.largest == 630);
  CHECK(fit.Reach(630) == 1);
  CHECK(fit.Reach(100) == 1);
  CHECK(fit.Reach(6300) == Approx(10));
}

TEST_CASE("what cannot be fitted is an error and no figure") {
  CHECK_THROWS_WITH(FitOf({}), Catch::Contains("no play"));
  CHECK_THROWS_WITH(FitOf({{80, 1}, {80, 2}}), Catch::Contains("under two distinct n"));
  CHECK_THROWS_WITH(FitOf({{80, 1}, {160, NAN}}), Catch::Contains("no number"));
  CHECK_THROWS_WITH(FitOf({{80, 1}, {INFINITY, 2}}), Catch::Contains("no number"));
}

}  // namespace
}  // namespace bitternmux::lab::capacity
