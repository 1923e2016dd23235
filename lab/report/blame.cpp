#include "lab/report/blame.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace bitternmux::lab::report {
namespace {

using nlohmann::ordered_json;

// A server is blamed for a second in which at least this share of its claims that ended did so badly, and for
// a span of such seconds, with gaps of no more than kBlameGapS, that has this many of them.
constexpr double kBlameShare = 0.25;
constexpr int kBlameCount = 3;
constexpr std::size_t kBlameGapS = 2;
// The sidecars have turned away from a server when it gets less than this share of what it got before.
constexpr double kTurnedAway = 0.1;
constexpr std::size_t kBeforeS = 5;

// Seconds [from, until).
struct Span {
  std::size_t from = 0, until = 0;
};

bool IsBad(const ServerRecord& server, const Column& bad, std::size_t second) {
  return bad.Get(second) > 0 && bad.Get(second) >= kBlameShare * server.ended.Get(second);
}

// The next span of bad seconds that begins at `from` or later.
std::optional<Span> NextSpan(const ServerRecord& server, const Column& bad, std::size_t from,
                             std::size_t length) {
  while (from < length && !IsBad(server, bad, from)) ++from;
  if (from >= length) return std::nullopt;
  Span span{from, from + 1};
  for (std::size_t next = span.until; next < length && next <= span.until + kBlameGapS; ++next) {
    if (IsBad(server, bad, next)) span.until = next + 1;
  }
  return span;
}

double SumOver(const Column& column, Span span) {
  double sum = 0;
  for (std::size_t second = span.from; second < span.until; ++second) sum += column.Get(second);
  return sum;
}

// The first second with less than kTurnedAway of what came before; null if there is none.
ordered_json TurnedAwayAt(const Column& claims, Span span, double before, std::size_t length) {
  if (before <= 0) return nullptr;
  const std::size_t end = std::min(length, span.until + kBeforeS);
  for (std::size_t second = span.from; second < end; ++second) {
    if (claims.Get(second) < kTurnedAway * before) return second;
  }
  return nullptr;
}

// The names of the troubles that the server had in the span or in the second before it.
ordered_json TroublesOf(std::uint32_t number, Span span, const std::vector<TroubleSpan>& troubles,
                        std::size_t length) {
  ordered_json names = ordered_json::array();
  for (const TroubleSpan& trouble : troubles) {
    const double end = std::isfinite(trouble.until_s) ? trouble.until_s : static_cast<double>(length);
    const bool overlaps =
        trouble.from_s < static_cast<double>(span.until) && end + 1 > static_cast<double>(span.from);
    const bool has_it =
        std::find(trouble.machines.begin(), trouble.machines.end(), number) != trouble.machines.end();
    if (overlaps && has_it) names.push_back(trouble.name);
  }
  return names;
}

void BlameServer(std::uint32_t number, const ServerRecord& server, const Column& bad, const char* what,
                 const std::vector<TroubleSpan>& troubles, std::size_t length, ordered_json& out) {
  std::size_t from = 0;
  while (const std::optional<Span> span = NextSpan(server, bad, from, length)) {
    from = span->until + 1;
    const double count = SumOver(bad, *span);
    if (count < kBlameCount) continue;
    const double before = server.claims.Mean(span->from > kBeforeS ? span->from - kBeforeS : 0, span->from);
    out.push_back({{"machine", number},
                   {"id", server.id},
                   {"what", what},
                   {"from_s", span->from},
                   {"until_s", span->until},
                   {"claims", Number(count)},
                   {"of_ended", Number(SumOver(server.ended, *span))},
                   {"claims_a_second_before", Number(before)},
                   {"claims_a_second_in_it", Number(server.claims.Mean(span->from, span->until))},
                   {"turned_away_at_s", TurnedAwayAt(server.claims, *span, before, length)},
                   {"scripted", TroublesOf(number, *span, troubles, length)}});
  }
}

}  // namespace

ordered_json BlameServers(const std::map<std::uint32_t, ServerRecord>& servers,
                          const std::vector<TroubleSpan>& troubles, std::size_t length) {
  ordered_json out = ordered_json::array();
  for (const auto& [number, server] : servers) {
    BlameServer(number, server, server.failed, "failed", troubles, length, out);
    BlameServer(number, server, server.silent, "silent", troubles, length, out);
  }
  std::stable_sort(out.begin(), out.end(), [](const ordered_json& one, const ordered_json& other) {
    return one["from_s"].get<std::size_t>() < other["from_s"].get<std::size_t>();
  });
  return out;
}

}  // namespace bitternmux::lab::report
