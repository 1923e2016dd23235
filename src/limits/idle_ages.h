// What is known of connections by how long they have idled: how likely a request written to one of that age
// finds that the other side has dropped it, and whether the other side closes them at that age.
//
// A dropped connection shows in either of two ways. It breaks at once; or it stays silent, which an answer
// that takes its time does, too: so only what the silences of an age have over those of the youngest counts.
//
// Ages fall into bins, each 1.4 times as wide as the one before it. A use is a draw: the connection held or
// was dropped. Whoever drops a connection at one age has dropped it at every later one, so that the
// likelihood never falls with the age: neighbours that say otherwise are pooled (isotonic regression; Ayer et
// al., "An empirical distribution function for sampling with incomplete information", 1955). What was seen of
// one server stands on what was seen of its kind, that on the whole fleet, and that on what the settings
// promise: the wider view counts as a few draws.
//
// It changes its mind. A drop wears off what held at that age and at greater ones, and a connection that held
// wears off what is believed bad up to its age: either came after what it contradicts. And all fades with
// time, so that a belief that nothing tests ends.
//
// State: fixed, 0.9 KB. Not thread-safe. Times and ages in milliseconds.
#ifndef BITTERNMUX_SRC_LIMITS_IDLE_AGES_H_
#define BITTERNMUX_SRC_LIMITS_IDLE_AGES_H_

#include <array>
#include <cstddef>

namespace bitternmux::limits {

constexpr std::size_t kAgeBins = 34;  // the last one begins at 65 s and has no end

std::size_t AgeBin(double age_ms);
// Where the bin ends and the next begins; infinity for the last.
double AgeBinEnd(std::size_t bin);

// Likelihoods, by bin of age.
struct AgeView {
  // A request written then breaks it at once, or gets no answer; neither falls with the age.
  std::array<double, kAgeBins> breaks{}, silences{};
  // One that comes to this age is closed by the other side within it.
  std::array<double, kAgeBins> closes{};
  double fresh = 0;  // as `breaks`, for a connection's first request

  // A request that is written then is lost by it.
  double Drops(std::size_t bin) const { return breaks[bin] + silences[bin] - silences[0]; }
};

class IdleAges {
 public:
  // `memory`: how many draws a bin goes by; 8 or more.
  explicit IdleAges(double memory) : memory_(memory) {}

  // What became of a request on a connection.
  enum class Use { kHeld, kBroke, kSilent };

  // The connection had idled so long before.
  void Used(double now_ms, double age_ms, Use use);
  // The connection was new; it broke or held.
  void UsedFresh(double now_ms, bool broke);
  // A connection idled so long and was then used or closed by us, or closed by the other side.
  void Idled(double now_ms, double age_ms, bool closed_by_other);

  // What is to be believed, given the wider view.
  AgeView View(const AgeView& wider) const;

 private:
  struct Draws {
    float all = 0, bad = 0;
    bool IsBad() const;
    double Believed(double wider, double wider_draws) const;
    void Add(bool is_bad, double memory);
    void Scale(double by);
  };
  using Curve = std::array<Draws, kAgeBins>;

  static void Draw(Curve& curve, std::size_t bin, bool is_bad, double memory);
  static std::array<double, kAgeBins> Pooled(const Curve& curve, const std::array<double, kAgeBins>& wider);
  void Fade(double now_ms);

  const double memory_;
  double faded_ms_ = 0;
  Curve breaks_, silences_, closes_;
  Draws fresh_;
};

}  // namespace bitternmux::limits

#endif  // BITTERNMUX_SRC_LIMITS_IDLE_AGES_H_
