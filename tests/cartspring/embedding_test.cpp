// The embedding example (examples/embedding.cpp), which the README shows, compiles and works.
#include "embedding.cpp"

#include <gtest/gtest.h>

#include "cartspring/fixture.h"

namespace {

TEST(Embedding, TheExampleServesARequestAndEndsOneThatIsNotAnswered) {
  embedding::Proxy proxy(cartspring::TestSettings());
  proxy.HostsKnown(0, cartspring::TestHosts(3));
  cartspring::Request request;
  request.id = 1;
  request.give_up_ms = 900;
  proxy.ClientAsks(0, request);
  ASSERT_EQ(proxy.sent.size(), 1u);
  proxy.HostAnswers(30, 1, 0, 30, 2);
  request.id = 2;
  request.klass = cartspring::kUnsafeClass;
  proxy.ClientAsks(40, request);
  proxy.TimePasses(2000);
  EXPECT_EQ(proxy.answered, std::vector<cartspring::RequestId>{1});
  EXPECT_EQ(proxy.failed, std::vector<cartspring::RequestId>{2});
  EXPECT_EQ(proxy.cancelled.size(), 1u);
}

}  // namespace
