// Guards against malformed addresses that are accepted, and against addresses
// that change when they are formatted and parsed again.
#include "src/base/endpoint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marjoramhall {
namespace {

RC_GTEST_PROP(EndpointTest,
              RoundTripsThroughText,
              (uint32_t ip, uint16_t port)) {
  const Endpoint endpoint{IpAddress::FromV4(ip), port};
  RC_ASSERT(Endpoint::Parse(endpoint.ToString()) == endpoint);
  RC_ASSERT(endpoint.address.ToV4() == ip);
}

TEST(EndpointTest, RejectsMalformedText) {
  for (const char* it :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:80", "::1:80",
        "[::1]", "127.0.0.1:80x", ":80"}) {
    EXPECT_FALSE(Endpoint::Parse(it)) << it;
  }
  EXPECT_EQ(Endpoint::Parse("[::1]:80")->ToString(), "[::1]:80");
}

}  // namespace
}  // namespace marjoramhall
