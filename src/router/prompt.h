// Parses the description of its prompt that a request carries in its headers.
#ifndef BITTERNMUX_SRC_ROUTER_PROMPT_H_
#define BITTERNMUX_SRC_ROUTER_PROMPT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bitternmux::router {

// A part of a prompt that other prompts may share. `prefix_hash` identifies this part together
// with all parts before it: a server caches a part only together with these.
struct PromptPart {
  std::uint64_t prefix_hash = 0;
  double tokens = 0;
};

struct Prompt {
  double tokens_in = 0, tokens_out = 0;  // tokens_out: maximum to be generated
  std::vector<PromptPart> parts;

  double Total() const { return tokens_in + tokens_out; }
};

constexpr std::size_t kMaxPromptParts = 16;

// `token_count` has the form "in,out". Returns nothing if it is not two numbers.
std::optional<Prompt> ParseTokenCount(std::string_view token_count);

// `prefix` has the form "ID:TOKENS,ID:TOKENS,...", with hexadecimal ids. The list ends before the first
// entry that cannot be parsed.
std::vector<PromptPart> ParsePromptPrefix(std::string_view prefix);

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_PROMPT_H_
