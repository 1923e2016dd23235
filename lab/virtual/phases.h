// What the clients got before, during and after a day's troubles, by class: the short answer for people.
//
// "During" is from the first trouble's beginning to the last one's end; a day without any has one phase. A
// wish belongs to the phase in which it was first due.
#ifndef BITTERNMUX_LAB_VIRTUAL_PHASES_H_
#define BITTERNMUX_LAB_VIRTUAL_PHASES_H_

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/model/figures.h"
#include "lab/virtual/observer.h"

namespace bitternmux::lab {

class Phases : public Observer {
 public:
  // `figures` must outlive it.
  explicit Phases(const model::Figures& figures);

  void TrySent(std::int64_t at, const model::Try& attempt) override;
  void TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) override;

  // Once the run is over.
  std::string Text() const;

 private:
  enum Got { kInTime, kLate, kRefused, kFailed, kGots };
  struct Wish {
    std::size_t phase = 0;
    std::size_t klass = 0;
    Got got = kFailed;  // as long as it has no answer
  };

  const model::Figures& figures_;
  double from_ms_ = model::kNever, until_ms_ = model::kNever;
  std::unordered_map<model::TryId, Wish> wishes_;  // by the first try; counted, never walked for an order
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_PHASES_H_
