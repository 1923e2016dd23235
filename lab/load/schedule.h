// When each request of a load is due, and of which class it is: drawn ahead, whatever comes of the ones
// before.
#ifndef BITTERNMUX_LAB_LOAD_SCHEDULE_H_
#define BITTERNMUX_LAB_LOAD_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bitternmux::lab::load {

// A class of requests, as whoever is asked knows it.
struct Class {
  std::string name;
  bool safe = true;        // GET without a body, else POST
  double deadline_ms = 0;  // how long a request waits for its answer, from when it was due
  double share = 0;        // of the load; what counts is the ratio between them
};

// "name:GET:1500" or "name:POST:4000". Throws std::invalid_argument that quotes the text.
Class ParseClass(std::string_view text);
// Sets the shares by "name=3,other=1"; a class that is not named gets none. Throws std::invalid_argument that
// names the faulty part.
void ApplyMix(std::string_view mix, std::vector<Class>& classes);

// Requests a second, from one rate evenly to another over the time.
struct Shape {
  double from_rate = 0, to_rate = 0;
  double seconds = 0;
};
// "100" or "100:500". Throws std::invalid_argument that quotes the text.
Shape ParseRate(std::string_view text, double seconds);

class Schedule {
 public:
  static constexpr double kMostRequests = 10e6;
  static constexpr double kMostSeconds = 3600;

  // Throws std::invalid_argument for a shape over these bounds or without a request, and for shares that are
  // not above 0 in all.
  Schedule(const Shape& shape, const std::vector<Class>& classes, std::uint64_t seed);

  std::uint64_t count() const { return count_; }
  bool over() const { return next_ == count_; }
  // Of the next request, in milliseconds from the start. Only while not over.
  double due_ms() const { return due_ms_; }
  std::size_t klass() const { return klass_; }
  void Advance();

 private:
  void Draw();

  Shape shape_;
  std::vector<double> upto_;  // shares, added up to 1
  std::mt19937_64 random_;
  std::uint64_t count_ = 0, next_ = 0;
  double due_ms_ = 0;
  std::size_t klass_ = 0;
};

}  // namespace bitternmux::lab::load

#endif  // BITTERNMUX_LAB_LOAD_SCHEDULE_H_
