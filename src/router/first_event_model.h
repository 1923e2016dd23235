// Estimates the time to the first event of a server, learned from its answers; pure decision logic without
// I/O.
//
// For each service one linear model is fitted to this router's own answers,
//
//   first event = base + per token x (tokens to be prefilled there) + per request x (requests in work there)
//
// by least squares with exponential forgetting (kMemoryAnswers answers), from a prior that counts as
// kPriorWeight answers. In addition each server has a factor: the time that its answers took divided by the
// model's estimate, over the last seconds. Thus a server that is three times as slow or as fast as the others
// is judged by its own answers, and one that changes its speed is judged anew. The factor of a server without
// answers returns to 1.
//
// Bounds: three coefficients for each service, none below 0; factors between kMinFactor and kMaxFactor.
// Times in milliseconds. Not thread-safe.
#ifndef BITTERNMUX_SRC_ROUTER_FIRST_EVENT_MODEL_H_
#define BITTERNMUX_SRC_ROUTER_FIRST_EVENT_MODEL_H_

#include <array>

namespace bitternmux::router {

// Work that a server has to do before the first event of a request.
struct WorkAhead {
  double tokens = 0;    // to be prefilled: those of the request and of requests that have not begun
  double requests = 0;  // other requests in work
};

class FirstEventModel {
 public:
  static constexpr double kPriorBaseMs = 10, kPriorMsPerToken = 0.025, kPriorMsPerRequest = 2;

  FirstEventModel();

  double Expected(const WorkAhead& work) const;
  double MsPerToken() const { return coefficients_[1]; }
  double MsPerRequest() const { return coefficients_[2]; }
  void Learn(const WorkAhead& work, double observed_ms);

 private:
  static constexpr std::size_t kTerms = 3;
  static constexpr double kMemoryAnswers = 400, kPriorWeight = 12;
  using Terms = std::array<double, kTerms>;

  static Terms TermsOf(const WorkAhead& work) { return {1, work.tokens, work.requests}; }
  static double WeightAt(double expected_ms);
  void Add(const Terms& terms, double observed_ms, double weight);
  void Solve();

  std::array<Terms, kTerms> term_product_sums_{};  // weighted sums of the products of the terms
  Terms term_observed_sums_{};                     // weighted sums of the products of the terms and the times
  Terms coefficients_ = {kPriorBaseMs, kPriorMsPerToken, kPriorMsPerRequest};
};

// The pace of one server relative to the model of its service: above 1 if it is slower.
class PaceFactor {
 public:
  static constexpr double kMinFactor = 0.2, kMaxFactor = 8;

  double At(double now_ms) const;
  void Learn(double now_ms, double expected_ms, double observed_ms);

 private:
  static constexpr double kDecayMs = 6000;
  static constexpr double kPriorMs = 1500;  // expected time that the prior (factor 1) counts as

  double expected_ms_ = 0, observed_ms_ = 0, updated_ms_ = 0;
};

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_FIRST_EVENT_MODEL_H_
