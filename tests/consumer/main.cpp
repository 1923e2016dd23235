#include <cartspring/balancer.h>

#include <stdexcept>

namespace {
struct NoSink : cartspring::ActionSink {
  void Send(cartspring::RequestId, const std::string&, double, double) override {}
  void Cancel(cartspring::RequestId, int) override {}
  void Refuse(cartspring::RequestId, double) override {}
  void Fail(cartspring::RequestId) override {}
  void Probe(const std::string&) override {}
  void Subscribe() override {}
  void SetTimer(double, std::uint64_t) override {}
  void Log(const std::string&) override {}
};
}  // namespace

int main() {
  NoSink sink;
  try {
    cartspring::Balancer balancer({}, 1, sink);
  } catch (const std::invalid_argument&) {
    return 0;  // settings without classes are rejected
  }
  return 1;
}
