#include "router/first_event_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bitternmux::router {
namespace {

// Answers that make up the prior: a short prompt, a long prompt, and a busy server.
constexpr std::array<WorkAhead, 4> kPriorAnswers = {{{0, 0}, {500, 2}, {4000, 4}, {1000, 20}}};
constexpr double kMinPivot = 1e-9;

}  // namespace

FirstEventModel::FirstEventModel() {
  const double weight = kPriorWeight / static_cast<double>(kPriorAnswers.size());
  for (const WorkAhead& work : kPriorAnswers)
    Add(TermsOf(work), Expected(work), weight * WeightAt(Expected(work)));
}

double FirstEventModel::Expected(const WorkAhead& work) const {
  return coefficients_[0] + coefficients_[1] * work.tokens + coefficients_[2] * work.requests;
}

void FirstEventModel::Add(const Terms& terms, double observed_ms, double weight) {
  for (std::size_t row = 0; row < kTerms; ++row) {
    term_observed_sums_[row] += weight * terms[row] * observed_ms;
    for (std::size_t column = 0; column < kTerms; ++column)
      term_product_sums_[row][column] += weight * terms[row] * terms[column];
  }
}

// Slower answers have less weight, so that the relative error is minimised and not the absolute one.
double FirstEventModel::WeightAt(double expected_ms) {
  return std::min(1.0, kPriorBaseMs / std::max(expected_ms, 1.0));
}

void FirstEventModel::Learn(const WorkAhead& work, double observed_ms) {
  constexpr double kRetained = 1 - 1 / kMemoryAnswers;
  for (Terms& row : term_product_sums_) {
    for (double& product : row) product *= kRetained;
  }
  for (double& moment : term_observed_sums_) moment *= kRetained;
  const double expected_ms = std::max(Expected(work), 1.0);
  // Limits the influence of an answer that hung.
  const double limited_ms = std::min(observed_ms, 4 * expected_ms + 100);
  Add(TermsOf(work), limited_ms, WeightAt(expected_ms));
  Solve();
}

// Gaussian elimination. The matrix is symmetric and, because of the prior, not singular.
void FirstEventModel::Solve() {
  std::array<Terms, kTerms> matrix = term_product_sums_;
  Terms right = term_observed_sums_;
  for (std::size_t pivot = 0; pivot < kTerms; ++pivot) {
    if (std::abs(matrix[pivot][pivot]) < kMinPivot) return;
    for (std::size_t row = pivot + 1; row < kTerms; ++row) {
      const double factor = matrix[row][pivot] / matrix[pivot][pivot];
      for (std::size_t column = pivot; column < kTerms; ++column)
        matrix[row][column] -= factor * matrix[pivot][column];
      right[row] -= factor * right[pivot];
    }
  }
  for (std::size_t row = kTerms; row-- > 0;) {
    double value = right[row];
    for (std::size_t column = row + 1; column < kTerms; ++column)
      value -= matrix[row][column] * coefficients_[column];
    coefficients_[row] = std::max(0.0, value / matrix[row][row]);
  }
}

double PaceFactor::At(double now_ms) const {
  const double remaining_share = std::exp(-std::max(0.0, now_ms - updated_ms_) / kDecayMs);
  const double factor =
      (remaining_share * observed_ms_ + kPriorMs) / (remaining_share * expected_ms_ + kPriorMs);
  return std::clamp(factor, kMinFactor, kMaxFactor);
}

void PaceFactor::Learn(double now_ms, double expected_ms, double observed_ms) {
  const double remaining_share = std::exp(-std::max(0.0, now_ms - updated_ms_) / kDecayMs);
  expected_ms_ = remaining_share * expected_ms_ + expected_ms;
  observed_ms_ = remaining_share * observed_ms_ + std::min(observed_ms, kMaxFactor * expected_ms);
  updated_ms_ = std::max(updated_ms_, now_ms);
}

}  // namespace bitternmux::router
