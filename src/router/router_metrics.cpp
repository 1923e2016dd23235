#include "router/router_metrics.h"

#include <cmath>

namespace bitternmux::router {
namespace {

void AddCounter(std::string& text, std::string_view name, std::uint64_t value) {
  text.append("bitternmux_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

void RouterMetrics::RecordFirstEvent(double expected_ms, double observed_ms) {
  ++first_events_;
  expected_ms_ += expected_ms;
  observed_ms_ += observed_ms;
  error_ms_ += std::abs(observed_ms - expected_ms);
}

void RouterMetrics::CountTornAttempt(std::size_t bytes) {
  ++attempts_torn_;
  torn_bytes_ += bytes;
}

std::string RouterMetrics::Text(const Upstream::Figures& upstream,
                                const budget::ClientBudget::Relieved& relieved) const {
  std::string text;
  for (std::size_t reason = 0; reason < kEndReasons; ++reason) {
    const std::string name = "requests_ended_total{reason=\"" + std::string(kEndReasonNames[reason]) + "\"}";
    AddCounter(text, name, ended_[reason]);
  }
  AddCounter(text, "requests_late_total", late_);
  AddCounter(text, "attempts_torn_total", attempts_torn_);
  AddCounter(text, "attempts_torn_bytes_total", torn_bytes_);
  AddCounter(text, "streams_resumed_total", streams_resumed_);
  AddCounter(text, "streams_not_continued_total", streams_not_continued_);
  AddCounter(text, "first_events_total", first_events_);
  AddCounter(text, "first_event_expected_ms_total", static_cast<std::uint64_t>(expected_ms_));
  AddCounter(text, "first_event_came_ms_total", static_cast<std::uint64_t>(observed_ms_));
  AddCounter(text, "first_event_error_ms_total", static_cast<std::uint64_t>(error_ms_));
  AddCounter(text, "server_connections_opened_total", upstream.dialed);
  AddCounter(text, "surplus_answers_total", upstream.surplus_answers);
  AddCounter(text, "clients_gave_way_total{for=\"memory\"}", relieved.for_memory);
  AddCounter(text, "clients_gave_way_total{for=\"connections\"}", relieved.for_connections);
  AddCounter(text, "clients_turned_away_total", relieved.turned_away);
  AddCounter(text, "clients_refused_work_total", relieved.refused_work);
  return text;
}

}  // namespace bitternmux::router
