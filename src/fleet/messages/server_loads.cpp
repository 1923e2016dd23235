#include "fleet/messages/server_loads.h"

#include <algorithm>
#include <bit>
#include <cereal/cereal.hpp>

namespace bitternmux::fleet {
namespace {

constexpr std::uint32_t kMoreFollows = 0x80, kSevenBits = 0x7f;
constexpr int kBitsOfByte = 7, kMostShift = 28;

void Append(std::string& out, std::uint32_t number) {
  while (number > kSevenBits) {
    out.push_back(static_cast<char>((number & kSevenBits) | kMoreFollows));
    number >>= kBitsOfByte;
  }
  out.push_back(static_cast<char>(number));
}

std::uint32_t Take(std::string_view& in) {
  std::uint32_t number = 0;
  for (int shift = 0; shift <= kMostShift; shift += kBitsOfByte) {
    if (in.empty()) throw cereal::Exception("the rows end too soon");
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    number |= static_cast<std::uint32_t>(byte & kSevenBits) << shift;
    if ((byte & kMoreFollows) == 0) return number;
  }
  throw cereal::Exception("a number is too long");
}

std::int32_t TakeCount(std::string_view& in) { return std::bit_cast<std::int32_t>(Take(in)); }

}  // namespace

std::string PackLoads(std::vector<ServerLoad> rows) {
  std::ranges::sort(rows, {}, &ServerLoad::server);
  std::string packed;
  std::uint32_t before = 0;
  for (const ServerLoad& row : rows) {
    Append(packed, row.server - before);
    Append(packed, std::bit_cast<std::uint32_t>(row.requests));
    Append(packed, std::bit_cast<std::uint32_t>(row.prefill_tokens));
    Append(packed, std::bit_cast<std::uint32_t>(row.set_aside));
    before = row.server;
  }
  return packed;
}

std::vector<ServerLoad> UnpackLoads(std::string_view packed) {
  std::vector<ServerLoad> rows;
  std::uint32_t before = 0;
  while (!packed.empty()) {
    ServerLoad row;
    row.server = before + Take(packed);
    row.requests = TakeCount(packed);
    row.prefill_tokens = TakeCount(packed);
    row.set_aside = TakeCount(packed);
    before = row.server;
    rows.push_back(row);
  }
  return rows;
}

}  // namespace bitternmux::fleet
