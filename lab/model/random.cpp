#include "lab/model/random.h"

#include <cmath>

namespace bitternmux::lab::model {
namespace {

// The output function of SplitMix64: every bit of the result hangs on every bit of `z`.
std::uint64_t Mix(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

constexpr std::uint64_t kStep = 0x9e3779b97f4a7c15u;

}  // namespace

std::uint64_t Stream::Next() { return Mix(state_ += kStep); }

double Stream::Unit() { return static_cast<double>(Next() >> 11) * 0x1p-53; }

double Stream::Between(double low, double high) { return low + (high - low) * Unit(); }

std::uint64_t Stream::Below(std::uint64_t n) {
  // By the high half of a product and not by a remainder, which would favour the low numbers.
  return ((Next() >> 32) * n) >> 32;
}

double Stream::Exponential(double mean) { return -mean * std::log(1 - Unit()); }

double Stream::Normal() {
  for (;;) {
    const double x = Between(-1, 1), y = Between(-1, 1), square = x * x + y * y;
    if (square > 0 && square < 1) return x * std::sqrt(-2 * std::log(square) / square);
  }
}

double Stream::LogNormal(double cv) {
  if (cv <= 0) return 1;
  const double variance = std::log1p(cv * cv);
  return std::exp(std::sqrt(variance) * Normal() - variance / 2);
}

Stream Use::At(std::uint64_t index) const { return Stream(Mix(base_ ^ Mix(index + kStep))); }

Stream Use::At(std::uint64_t index, std::uint64_t further) const {
  return Stream(Mix(Mix(base_ ^ Mix(index + kStep)) ^ Mix(further + 2 * kStep)));
}

Use Seeds::For(std::string_view use) const {
  std::uint64_t hash = 0xcbf29ce484222325u;  // FNV-1a
  for (const char letter : use) hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3u;
  return Use(Mix(hash ^ Mix(seed_ + kStep)));
}

}  // namespace bitternmux::lab::model
