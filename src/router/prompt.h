// What a request tells of its prompt in its headers.
#ifndef BITTERNMUX_SRC_ROUTER_PROMPT_H_
#define BITTERNMUX_SRC_ROUTER_PROMPT_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace bitternmux::router {

// One part of a prompt that may be shared with others. `chain` stands for it and for all parts before it: a
// server keeps a part only together with these.
struct PromptPart {
  std::uint64_t chain = 0;
  double tokens = 0;
};

struct Prompt {
  double tokens_in = 0, tokens_out = 0;  // the most to be generated
  std::vector<PromptPart> parts;

  double Total() const { return tokens_in + tokens_out; }
};

constexpr std::size_t kMaxPromptParts = 16;

// `token_count`: "in,out". None if it is not two numbers.
std::optional<Prompt> ReadTokenCount(std::string_view token_count);

// `prefix`: "ID:TOKENS,ID:TOKENS,...". What cannot be read ends the list.
std::vector<PromptPart> ReadPromptPrefix(std::string_view prefix);

}  // namespace bitternmux::router

#endif  // BITTERNMUX_SRC_ROUTER_PROMPT_H_
