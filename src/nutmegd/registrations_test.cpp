#include "nutmegd/registrations.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

boost::leaf::result<RegisteredUpstream> ParseRow(const std::string& key,
                                                 const std::string& /*value*/) {
  RegisteredUpstream upstream;
  upstream.m_id = UpstreamId(key);
  return upstream;
}

struct OutageCase {
  const char* m_name;
  Duration m_outage;
  /// Whether the upstream of a row that is removed after the outage stays in
  /// the pool for a while.
  bool m_retained;
};

class AfterAnOutage : public testing::TestWithParam<OutageCase> {};

TEST_P(AfterAnOutage, RetainsOnlyUpstreamsThatMayHaveExpiredInIt) {
  struct ev_loop* loop = ev_loop_new(0);
  UpstreamPool pool;
  const UpstreamId id("u");
  {
    Registrations registrations(loop, &pool, ParseRow);
    registrations.HandleRow({id.str(), "", net::FeedVersion(1), false});
    ASSERT_NE(pool.Find(id), nullptr);
    registrations.HandleRegained(GetParam().m_outage);
    // Other instances are not given such removals meanwhile.
    EXPECT_EQ(registrations.AwaitsRegistrations(net::BootTime()),
              GetParam().m_retained);
    registrations.HandleRow({id.str(), "", net::FeedVersion(2), true});
    EXPECT_EQ(pool.Find(id) != nullptr, GetParam().m_retained);
  }
  ev_loop_destroy(loop);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AfterAnOutage,
    testing::Values(OutageCase{"OneQuestionLost", milliseconds(400), false},
                    OutageCase{"AReaderAndAQuestionLost", milliseconds(1030),
                               false},
                    OutageCase{"TooShortToExpire", milliseconds(1900), false},
                    OutageCase{"LongEnough", milliseconds(2500), true},
                    OutageCase{"Long", milliseconds(10000), true}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow
