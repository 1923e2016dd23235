// Whatever bytes are taken for a record: the reader and the checker say what is wrong, or judge it, and
// nothing else happens.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "lab/rules/checker.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace bitternmux::lab;
  record::MemorySource source({reinterpret_cast<const char*>(data), size});
  const rules::Verdict verdict = rules::Check(source);
  for (const rules::Breach& breach : verdict.breaches) {
    if (rules::LineOf(breach).empty()) std::abort();
  }
  if (verdict.ExitCode() == 1 && verdict.breaches.empty()) std::abort();
  return 0;
}
