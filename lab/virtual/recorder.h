// Makes the entries of a run's record, of either mode.
#ifndef BITTERNMUX_LAB_VIRTUAL_RECORDER_H_
#define BITTERNMUX_LAB_VIRTUAL_RECORDER_H_

#include <string>

#include "lab/model/figures.h"
#include "lab/record/writer.h"
#include "lab/virtual/observer.h"

namespace bitternmux::lab {

// What both modes write at the head of a record.
record::Header HeaderOf(const model::Figures& figures, const std::string& mode, const std::string& build,
                        const std::string& scenario_text);

class Recorder : public Observer {
 public:
  // Both must outlive it. `to` is closed when the run is over.
  Recorder(const model::Figures& figures, record::Entries& to) : figures_(figures), writer_(to) {}

  void TrySent(std::int64_t at, const model::Try& attempt) override;
  void TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) override;
  void ClaimSent(std::int64_t at, const ClaimStart& claim) override;
  void ClaimEnded(std::int64_t at, std::uint64_t claim, record::ClaimEnded::How how,
                  double worked_ms) override;
  void Effect(std::int64_t at, std::uint64_t claim) override;
  void Probed(std::int64_t at, int sidecar, int machine) override;
  void Connection(std::int64_t at, const ConnectionChange& change) override;
  void DialFailed(std::int64_t at, int sidecar, model::TryId attempt) override;
  void MachineChanged(std::int64_t at, int machine, model::MachineState state, double started_ms) override;
  void Warmed(std::int64_t at, int machine, double share) override;
  void Listed(std::int64_t at, const model::ListEntry& entry, std::int64_t revision) override;
  void Told(std::int64_t at, int sidecar, const model::ListEntry& entry, std::int64_t revision) override;
  void Asked(std::int64_t at, int sidecar, bool watch, bool failed) override;
  void SidecarChanged(std::int64_t at, int sidecar, record::Sidecar::What what) override;
  void Sampled(std::int64_t at, int sidecar, std::size_t held, std::size_t connections) override;
  void SidecarEnded(std::int64_t at, int sidecar, record::Sidecar::What what, int code) override;
  void Measured(std::int64_t at, int sidecar, const Measure& measure) override;
  void Late(std::int64_t at, std::int64_t by_us) override;
  void Void(std::int64_t at, const std::string& reason) override;
  void Trouble(std::int64_t at, int trouble, bool begins) override;
  void Over(std::int64_t at) override;

 private:
  const model::Figures& figures_;
  record::Entries& writer_;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_VIRTUAL_RECORDER_H_
