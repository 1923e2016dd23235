#include "lab/virtual/recorder.h"

#include <algorithm>
#include <cmath>

namespace bitternmux::lab {
namespace {

// Two sockets that were ready together are read one after the other, in any order.
constexpr std::int64_t kOrderSlackUs = 10'000;

std::int64_t Us(double ms) { return std::llround(ms * 1000); }

record::MachineChanged::State StateOf(model::Phase phase) {
  return phase == model::Phase::kServing    ? record::MachineChanged::UP
         : phase == model::Phase::kDraining ? record::MachineChanged::DRAINING
                                            : record::MachineChanged::GONE;
}

record::MachineChanged::State StateOf(model::MachineState state) {
  switch (state) {
    case model::MachineState::kUp:
      return record::MachineChanged::UP;
    case model::MachineState::kDraining:
      return record::MachineChanged::DRAINING;
    case model::MachineState::kFell:
      return record::MachineChanged::FELL;
    default:
      return record::MachineChanged::GONE;
  }
}

}  // namespace

record::Header HeaderOf(const model::Figures& figures, const std::string& mode, const std::string& build,
                        const std::string& scenario_text) {
  record::Header header;
  header.set_scenario(figures.name);
  header.set_mode(mode);
  header.set_seed(figures.seed);
  header.set_build(build);
  header.set_scenario_text(scenario_text);
  header.set_length_us(static_cast<std::uint64_t>(Us(figures.first_ms + figures.length_ms)));
  for (const model::SidecarFigures& sidecar : figures.sidecars) header.add_sidecars(sidecar.name);
  for (const std::string& zone : figures.network.zones) header.add_zones(zone);
  for (const std::string& kind : figures.kinds) header.add_kinds(kind);
  for (const model::ClassFigures& klass : figures.classes) {
    record::Class& out = *header.add_classes();
    out.set_name(klass.name);
    out.set_repeat(klass.repeat == model::Repeat::kSafe ? record::Class::SAFE : record::Class::NEVER);
    out.set_aim_us(Us(klass.aim_ms));
    out.set_deadline_us(Us(klass.deadline_ms));
    out.set_worth(klass.worth);
    out.set_late_worth(klass.late_worth);
  }
  const model::RuleFigures& rules = figures.rules;
  record::Rules& out = *header.mutable_rules();
  out.set_drain_grace_us(Us(rules.drain_grace_ms));
  out.set_answer_slack_us(Us(rules.answer_slack_ms));
  out.set_max_attempts(static_cast<std::uint32_t>(rules.max_attempts));
  out.set_may_duplicate(rules.may_duplicate);
  out.set_fall_multiple(rules.fall_multiple);
  out.set_fall_us(Us(rules.fall_ms));
  out.set_cold_from(rules.cold_from);
  out.set_warm_within_us(Us(rules.warm_within_ms));
  out.set_descriptors(static_cast<std::uint32_t>(rules.descriptors));
  out.set_told_within_us(Us(figures.discovery.told_within_ms));
  out.set_worth_by_work(rules.worth_by_work);
  int connections = 0;
  for (const model::MachineFigures& machine : figures.machines) {
    connections = std::max(connections, machine.node.connections);
  }
  out.set_connections_per_node(static_cast<std::uint32_t>(connections));
  if (mode != "virtual") {
    out.set_memory_bytes(std::int64_t{rules.memory_mb} << 20);
    out.set_order_slack_us(kOrderSlackUs);
  }
  return header;
}

void Recorder::TrySent(std::int64_t at, const model::Try& attempt) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::TrySent& out = *entry.mutable_try_sent();
    out.set_try_id(attempt.id);
    out.set_first_id(attempt.first);
    out.set_sidecar(static_cast<std::uint32_t>(attempt.sidecar));
    out.set_class_(static_cast<std::uint32_t>(attempt.klass));
    out.set_give_up_us(at + Us(attempt.patience_ms));
    out.set_due_us(Us(attempt.due_ms));
    out.set_work_us(Us(attempt.work_ms));
    out.set_hint_us(Us(attempt.hint_ms));
  });
}

void Recorder::TryEnded(std::int64_t at, const model::Try& attempt, const TryOutcome& outcome) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::TryEnded& out = *entry.mutable_try_ended();
    out.set_try_id(attempt.id);
    out.set_how(outcome.how);
    out.set_status(static_cast<std::uint32_t>(outcome.status));
    out.set_claim_id(outcome.claim);
    out.set_retry_after_us(Us(outcome.retry_after_ms));
  });
}

void Recorder::ClaimSent(std::int64_t at, const ClaimStart& claim) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::ClaimBegun& out = *entry.mutable_claim_begun();
    out.set_claim_id(claim.claim);
    out.set_try_id(claim.attempt);
    out.set_sidecar(static_cast<std::uint32_t>(claim.sidecar));
    out.set_machine(static_cast<std::uint32_t>(claim.machine));
    out.set_wait_us(Us(claim.wait_ms));
  });
  writer_.Put(at, [&](record::Entry& entry) { entry.mutable_claim_whole()->set_claim_id(claim.claim); });
}

void Recorder::ClaimEnded(std::int64_t at, std::uint64_t claim, record::ClaimEnded::How how,
                          double worked_ms) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::ClaimEnded& out = *entry.mutable_claim_ended();
    out.set_claim_id(claim);
    out.set_how(how);
    out.set_worked_us(Us(worked_ms));
  });
}

void Recorder::Effect(std::int64_t at, std::uint64_t claim) {
  writer_.Put(at, [&](record::Entry& entry) { entry.mutable_effect()->set_claim_id(claim); });
}

void Recorder::Probed(std::int64_t at, int sidecar, int machine) {
  writer_.Put(at, [&](record::Entry& entry) {
    entry.mutable_probed()->set_sidecar(static_cast<std::uint32_t>(sidecar));
    entry.mutable_probed()->set_machine(static_cast<std::uint32_t>(machine));
  });
}

void Recorder::Connection(std::int64_t at, const ConnectionChange& change) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Connection& out = *entry.mutable_connection();
    out.set_sidecar(static_cast<std::uint32_t>(change.sidecar));
    out.set_machine(static_cast<std::uint32_t>(change.machine));
    out.set_opened(change.opened);
    out.set_by_node(change.by_node);
    out.set_turned_away(change.turned_away);
    out.set_try_id(change.turned_away ? change.attempt : 0);
  });
}

void Recorder::DialFailed(std::int64_t at, int sidecar, model::TryId attempt) {
  writer_.Put(at, [&](record::Entry& entry) {
    entry.mutable_dial_failed()->set_sidecar(static_cast<std::uint32_t>(sidecar));
    entry.mutable_dial_failed()->set_try_id(attempt);
  });
}

void Recorder::MachineChanged(std::int64_t at, int machine, model::MachineState state, double started_ms) {
  const model::MachineFigures& figures = figures_.machines[static_cast<std::size_t>(machine)];
  writer_.Put(at, [&](record::Entry& entry) {
    record::MachineChanged& out = *entry.mutable_machine_changed();
    out.set_machine(static_cast<std::uint32_t>(machine));
    out.set_id(figures.id);
    out.set_address(std::to_string(figures.place));
    out.set_zone(static_cast<std::uint32_t>(figures.zone));
    out.set_kind(static_cast<std::uint32_t>(figures.kind));
    out.set_state(StateOf(state));
    out.set_started_us(started_ms > 0 ? Us(started_ms) : 0);
    out.set_capacity(figures.node.cores * figures.node.speed);
  });
}

void Recorder::Warmed(std::int64_t at, int machine, double share) {
  writer_.Put(at, [&](record::Entry& entry) {
    entry.mutable_warmed()->set_machine(static_cast<std::uint32_t>(machine));
    entry.mutable_warmed()->set_share(share);
  });
}

void Recorder::Listed(std::int64_t at, const model::ListEntry& listed, std::int64_t revision) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Listed& out = *entry.mutable_listed();
    out.set_machine(static_cast<std::uint32_t>(listed.machine));
    out.set_state(StateOf(listed.phase));
    out.set_revision(revision);
  });
}

void Recorder::Told(std::int64_t at, int sidecar, const model::ListEntry& told, std::int64_t revision) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Told& out = *entry.mutable_told();
    out.set_sidecar(static_cast<std::uint32_t>(sidecar));
    out.set_machine(static_cast<std::uint32_t>(told.machine));
    out.set_state(StateOf(told.phase));
    out.set_revision(revision);
  });
}

void Recorder::Asked(std::int64_t at, int sidecar, bool watch, bool failed) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Asked& out = *entry.mutable_asked();
    out.set_sidecar(static_cast<std::uint32_t>(sidecar));
    out.set_watch(watch);
    out.set_failed(failed);
  });
}

void Recorder::SidecarChanged(std::int64_t at, int sidecar, record::Sidecar::What what) {
  writer_.Put(at, [&](record::Entry& entry) {
    entry.mutable_sidecar()->set_sidecar(static_cast<std::uint32_t>(sidecar));
    entry.mutable_sidecar()->set_what(what);
  });
}

void Recorder::Sampled(std::int64_t at, int sidecar, std::size_t held, std::size_t connections) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Sample& out = *entry.mutable_sample();
    out.set_sidecar(static_cast<std::uint32_t>(sidecar));
    out.set_descriptors(static_cast<std::uint32_t>(connections));
    out.set_held(static_cast<std::uint32_t>(held));
  });
}

void Recorder::SidecarEnded(std::int64_t at, int sidecar, record::Sidecar::What what, int code) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Sidecar& out = *entry.mutable_sidecar();
    out.set_sidecar(static_cast<std::uint32_t>(sidecar));
    out.set_what(what);
    out.set_code(code);
  });
}

void Recorder::Measured(std::int64_t at, int sidecar, const Measure& measure) {
  writer_.Put(at, [&](record::Entry& entry) {
    record::Sample& out = *entry.mutable_sample();
    out.set_sidecar(static_cast<std::uint32_t>(sidecar));
    out.set_memory_bytes(measure.memory_bytes);
    out.set_descriptors(static_cast<std::uint32_t>(measure.descriptors));
    out.set_cpu_us(measure.cpu_us);
  });
}

void Recorder::Late(std::int64_t at, std::int64_t by_us) {
  writer_.Put(at, [&](record::Entry& entry) { entry.mutable_late()->set_by_us(by_us); });
}

void Recorder::Void(std::int64_t, const std::string& reason) { writer_.Void(reason); }

void Recorder::Trouble(std::int64_t at, int trouble, bool begins) {
  const model::TroubleFigures& figures = figures_.troubles[static_cast<std::size_t>(trouble)];
  writer_.Put(at, [&](record::Entry& entry) {
    record::Trouble& out = *entry.mutable_trouble();
    out.set_name(figures.name);
    out.set_begins(begins);
    out.set_detail(figures.detail);
    out.set_of_load(figures.of_load);
    out.set_hides_list(figures.hides_list);
    for (const int machine : figures.machines) out.add_machines(static_cast<std::uint32_t>(machine));
    for (const int sidecar : figures.sidecars) out.add_on_sidecars(static_cast<std::uint32_t>(sidecar));
  });
}

void Recorder::Over(std::int64_t) { writer_.Close(); }

}  // namespace bitternmux::lab
