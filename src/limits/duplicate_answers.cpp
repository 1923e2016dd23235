#include "limits/duplicate_answers.h"

#include <algorithm>

namespace bitternmux::limits {

// ---- Digest ----

void Digest::AddByte(unsigned char byte) { value_ = (value_ ^ byte) * 0x100000001b3u; }

Digest& Digest::Add(std::string_view part) {
  for (std::size_t size = part.size(), i = 0; i < sizeof size; ++i, size >>= 8) {
    AddByte(static_cast<unsigned char>(size & 0xff));
  }
  for (const char c : part) AddByte(static_cast<unsigned char>(c));
  return *this;
}

// ---- AnswersAlike ----

void AnswersAlike::Row::Seen(bool alike) {
  if (alike) {
    left = proof = std::min(2 * proof, kMostProof);
  } else if (left > 0) {
    --left;
  }
}

void AnswersAlike::Seen(const std::string& node, bool alike) {
  nodes_[node].Seen(alike);
  fleet_.Seen(alike);
}

void AnswersAlike::Doubt(const std::string& node) { ++nodes_[node].doubts; }

void AnswersAlike::Settle(const std::string& node, bool answered) {
  const auto found = nodes_.find(node);  // out of service meanwhile, and its doubts with it
  if (found != nodes_.end() && found->second.doubts > 0) --found->second.doubts;
  if (!answered) Seen(node, /*alike=*/true);
}

bool AnswersAlike::TellsApart(const std::string& node) const {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) return false;
  const Row& row = found->second;
  if (row.doubts > 0) return false;
  return row.left == 0 || (fleet_.left == 0 && !row.ever_alike() && row.left + kOwnProof <= row.proof);
}

void AnswersAlike::Serving(std::vector<std::string> nodes) {
  std::sort(nodes.begin(), nodes.end());
  std::erase_if(nodes_,
                [&](const auto& row) { return !std::binary_search(nodes.begin(), nodes.end(), row.first); });
}

std::string AnswersAlike::Describe() const {
  std::string out = "answers told apart: fleet in " + std::to_string(fleet_.left) + "\n";
  for (const auto& [name, row] : nodes_) {
    if (row.ever_alike()) out += name + ": answers told apart in " + std::to_string(row.left) + "\n";
  }
  return out;
}

// ---- RecentAnswers ----

double RecentAnswers::RestsUntilMs(bool tells_apart) const {
  if (!tells_apart) return ended_ms_ + kRestMs;
  const double until_ms = untold_ms_ + kRestMs;
  return kept_.size() < kMostKept ? until_ms : std::max(until_ms, kept_.front().ended_ms + kRestMs);
}

void RecentAnswers::Begun(double now_ms) {
  dropped_ = false;
  rested_ = now_ms >= ended_ms_ + kRestMs;
  const auto first = std::find_if(kept_.begin(), kept_.end(),
                                  [&](const Answer& answer) { return now_ms < answer.ended_ms + kRestMs; });
  suspects_ = static_cast<std::size_t>(kept_.end() - first);
  const std::size_t keep = std::max(suspects_, kCompared);
  if (kept_.size() > keep) kept_.erase(kept_.begin(), kept_.end() - static_cast<std::ptrdiff_t>(keep));
}

bool RecentAnswers::IsDuplicate(std::uint64_t digest) {
  const bool is = std::any_of(kept_.end() - static_cast<std::ptrdiff_t>(suspects_), kept_.end(),
                              [&](const Answer& answer) { return answer.digest == digest; });
  dropped_ = dropped_ || is;
  return is;
}

std::optional<bool> RecentAnswers::Answered(double now_ms, std::optional<std::uint64_t> digest) {
  suspects_ = 0;
  dropped_ = false;
  ended_ms_ = now_ms;
  if (!digest) {
    untold_ms_ = now_ms;
    return std::nullopt;
  }
  const bool alike =
      std::any_of(kept_.begin(), kept_.end(), [&](const Answer& answer) { return answer.digest == *digest; });
  const bool evidence = rested_ && !kept_.empty();
  if (kept_.size() >= kMostKept) kept_.erase(kept_.begin());
  kept_.push_back({now_ms, *digest});
  return evidence ? std::optional<bool>(alike) : std::nullopt;
}

}  // namespace bitternmux::limits
