#include "nutmeghollow/limits.h"

#include <gtest/gtest.h>

#include "libnutmeg/placement_fixture.h"

namespace nutmeghollow {
namespace {

/// Demand of each instance for a customer with a fleet-wide limit.
struct ShareCase {
  const char* m_name;
  int m_limit;
  std::vector<int> m_demands;
};

class ConcurrencyShares : public testing::TestWithParam<ShareCase> {};

/// @return the share of one instance, given the demands of all.
int ShareOf(const ShareCase& test, int self) {
  const int instances = static_cast<int>(test.m_demands.size());
  PlacementFixture fixture(1, instances);
  fixture.m_world.m_instances.m_self =
      InstanceId(fmt::format("instance-{:03}", self));
  CustomerRow& customer = fixture.Customer();
  customer.m_concurrency_limit = test.m_limit;
  customer.m_queued = test.m_demands[self];
  for (int other = 0; other < instances; ++other) {
    if (other != self && test.m_demands[other] > 0) {
      fixture.m_world.m_peers.m_demands[customer.m_id][InstanceId(
          fmt::format("instance-{:03}", other))] = {
          .m_queued = test.m_demands[other], .m_received_at = fixture.m_now};
    }
  }
  return ConcurrencyShare(fixture.m_world, customer, fixture.m_now);
}

TEST_P(ConcurrencyShares, AddUpToTheLimit) {
  int total = 0;
  for (int self = 0; self < static_cast<int>(GetParam().m_demands.size());
       ++self) {
    if (GetParam().m_demands[self] > 0) {
      total += ShareOf(GetParam(), self);
    }
  }
  EXPECT_EQ(total, GetParam().m_limit);
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    ConcurrencyShares,
    testing::Values(ShareCase{"Even", 14, {3, 3, 3, 3, 3, 3, 3}},
                    ShareCase{"Remainder", 10, {3, 3, 3, 3, 3, 3, 3}},
                    ShareCase{"FewerThanInstances", 2, {9, 9, 9, 9, 9}},
                    ShareCase{"Uneven", 20, {100, 1, 5, 0, 30}},
                    ShareCase{"Alone", 5, {0, 8, 0}}),
    [](const auto& info) { return std::string(info.param.m_name); });

TEST(Limits, IgnoreOldDemandOfOthers) {
  PlacementFixture fixture(1, 2);
  CustomerRow& customer = fixture.Customer();
  customer.m_concurrency_limit = 10;
  customer.m_running = 10;
  auto& demands = fixture.m_world.m_peers.m_demands[customer.m_id];
  demands[InstanceId("instance-001")] = {.m_running = 10,
                                         .m_received_at = fixture.m_now};
  EXPECT_EQ(ConcurrencyShare(fixture.m_world, customer, fixture.m_now), 5);
  EXPECT_EQ(ConcurrencyShare(fixture.m_world, customer,
                             fixture.m_now + std::chrono::seconds(11)),
            10);
}

TEST(Limits, RateIsEnforcedOverTime) {
  PlacementFixture fixture(1);
  CustomerRow& customer = fixture.Customer();
  customer.m_rate_limit = 20.0;
  int granted = 0;
  for (int index = 0; index < 1000; ++index) {
    fixture.m_now += std::chrono::milliseconds(10);
    CountArrival(fixture.m_world, customer, fixture.m_now);
    const Duration wait =
        TakeRateToken(fixture.m_world, customer, fixture.m_now);
    granted += wait == Duration::zero() ? 1 : 0;
  }
  // Ten seconds at 20 requests per second, and a burst of one second.
  EXPECT_NEAR(granted, 220, 2);
  EXPECT_NEAR(ObservedRate(fixture.m_world, customer, fixture.m_now), 100, 20);
}

TEST(Limits, RetriesStayWithinTheBudget) {
  PlacementFixture fixture(12);
  int retries = 0;
  for (std::uint64_t chat = 1; chat <= 1000; ++chat) {
    fixture.End(fixture.Send(chat));
    retries += TakeRetryToken(fixture.m_world, RouteId("model"), fixture.m_now)
                   ? 1
                   : 0;
  }
  EXPECT_LE(retries, 111);
  EXPECT_GE(retries, 109);
}

}  // namespace
}  // namespace nutmeghollow
