// Random numbers of the model: a stream of its own for each use.
//
// What is drawn for one use, say the work of wish 17, comes from a stream that is named after the use and
// numbered by what it is for. A draw that is added in one place so moves nothing in any other, and the order
// in which streams are asked does not matter. The generator is SplitMix64 (Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", 2014): eight bytes, free to seed, and the same on every
// platform. The distributions are ours because those of the standard library differ between its makers.
#ifndef BITTERNMUX_LAB_MODEL_RANDOM_H_
#define BITTERNMUX_LAB_MODEL_RANDOM_H_

#include <cstdint>
#include <string_view>

namespace bitternmux::lab::model {

// One stream. Cheap to copy and to make; owns nothing.
class Stream {
 public:
  explicit Stream(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next();
  double Unit();                            // in [0, 1)
  double Between(double low, double high);  // uniform in [low, high); `low` if both are the same
  // A whole number in [0, n); n from 1 to 2^32.
  std::uint64_t Below(std::uint64_t n);
  bool Chance(double share) { return Unit() < share; }
  double Exponential(double mean);
  double Normal();  // mean 0, deviation 1, by Marsaglia's polar method
  // Of mean 1 and the coefficient of variation `cv`; always 1 for a cv of 0.
  double LogNormal(double cv);

 private:
  std::uint64_t state_;
};

// One use of random numbers, and with it a family of streams.
class Use {
 public:
  explicit Use(std::uint64_t base) : base_(base) {}
  Stream At(std::uint64_t index) const;
  Stream At(std::uint64_t index, std::uint64_t further) const;

 private:
  std::uint64_t base_;
};

// The seed of a run, and all uses under it.
class Seeds {
 public:
  explicit Seeds(std::uint64_t seed) : seed_(seed) {}
  Use For(std::string_view use) const;
  Stream Of(std::string_view use, std::uint64_t index = 0) const { return For(use).At(index); }

 private:
  std::uint64_t seed_;
};

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_RANDOM_H_
