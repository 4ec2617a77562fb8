#include "nutmeghollow/configuration_freshness.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

struct LimitCase {
  const char* m_name;
  Duration m_revocation_limit;
  bool m_store_fails;
  Duration m_limit;
};

class KeyedRequests : public testing::TestWithParam<LimitCase> {};

// Failure: a removed key was accepted for 3.04 and 3.11 s by instances that had
// a path to the store, since requests were sent by proofs of up to 4.8 s; 3 s
// are allowed there.
TEST_P(KeyedRequests, AreSentByAProofWithinTheLimit) {
  EXPECT_EQ(KeyedRequestLimit(GetParam().m_revocation_limit,
                              GetParam().m_store_fails),
            GetParam().m_limit);
}

INSTANTIATE_TEST_SUITE_P(
    Limits,
    KeyedRequests,
    testing::Values(
        LimitCase{"InTouch", milliseconds(5000), false, milliseconds(2800)},
        LimitCase{"StoreFails", milliseconds(5000), true, milliseconds(4800)},
        LimitCase{"LowLimit", milliseconds(2000), false, milliseconds(1800)},
        LimitCase{"LowLimitStoreFails", milliseconds(2000), true,
                  milliseconds(1800)}),
    [](const auto& info) { return std::string(info.param.m_name); });

}  // namespace
}  // namespace nutmeghollow
