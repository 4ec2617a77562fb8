// Rates of cold upstreams, and how they end.
#include "nutmeghollow/cold_rate.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 11;
const ServiceId kService("service");
const UpstreamId kFirst("u0");

TimePoint At(Duration since_start) {
  return TimePoint(seconds(100)) + since_start;
}

struct RateCase {
  const char* m_name;
  Duration m_at;
  std::optional<double> m_rate;
};
class RateOfAColdUpstream : public testing::TestWithParam<RateCase> {};

// Guards against a step at the end of the cold state, when all requests that
// were kept away would arrive at once.
TEST_P(RateOfAColdUpstream, GrowsInStepsAfterItsEnd) {
  ColdRate cold;
  EXPECT_FALSE(cold.RateAt(At({})));
  EXPECT_TRUE(cold.Extend(kRate, seconds(3), At({})));
  EXPECT_EQ(cold.RateAt(At(GetParam().m_at)), GetParam().m_rate);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RateOfAColdUpstream,
    testing::Values(RateCase{"Begin", milliseconds(0), kRate},
                    RateCase{"Cold", milliseconds(2999), kRate},
                    RateCase{"FirstStep", milliseconds(3000), 2 * kRate},
                    RateCase{"SecondStep", milliseconds(3300), 4 * kRate},
                    RateCase{"LastStep", milliseconds(3899), 8 * kRate},
                    RateCase{"Warm", milliseconds(3900), std::nullopt}),
    [](const auto& info) { return info.param.m_name; });

TEST(ColdRate, KeepsTheLatestEndAndIgnoresImplausibleTimes) {
  ColdRate cold;
  EXPECT_TRUE(cold.Extend(kRate, seconds(3), At({})));
  EXPECT_TRUE(cold.Extend(kRate, seconds(0), At(seconds(1))));
  EXPECT_EQ(cold.Until(), At(seconds(3)));
  EXPECT_FALSE(cold.Extend(kRate, std::chrono::hours(24 * 400), At({})));
  EXPECT_EQ(cold.Until(), At(seconds(3)));
}

RegisteredUpstream Registration(const UpstreamId& id,
                                std::optional<Duration> cold,
                                std::int64_t start_time_ms = 0) {
  RegisteredUpstream upstream;
  upstream.m_id = id;
  upstream.m_service = kService;
  upstream.m_slots = 16;
  upstream.m_cold = cold;
  upstream.m_start_time_ms = start_time_ms;
  return upstream;
}

std::map<ServiceId, ColdPolicy> Policies() {
  return {{kService, {kRate, seconds(3)}}};
}

struct SignalCase {
  const char* m_name;
  std::function<void(UpstreamPool&)> m_signal;
  bool m_is_limited_after_a_second;
};
class ColdSignal : public testing::TestWithParam<SignalCase> {};

TEST_P(ColdSignal, LimitsTheProcess) {
  UpstreamPool pool;
  pool.SetColdPolicies(Policies(), At({}));
  GetParam().m_signal(pool);
  pool.UpdateLimits(At(seconds(1)));
  UpstreamQuery query;
  query.m_service = kService;
  EXPECT_EQ(pool.Choose(query, At(seconds(1))).has_value(),
            !GetParam().m_is_limited_after_a_second);
  EXPECT_EQ(pool.PermitsWanted(query, At(seconds(1))).size(),
            GetParam().m_is_limited_after_a_second ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ColdSignal,
    testing::Values(
        SignalCase{"Warm",
                   [](UpstreamPool& pool) {
                     pool.Put(Registration(kFirst, seconds(0)), At({}));
                   },
                   false},
        SignalCase{"Registration",
                   [](UpstreamPool& pool) {
                     pool.Put(Registration(kFirst, seconds(3)), At({}));
                   },
                   true},
        SignalCase{"RegistrationBeforeTheConfiguration",
                   [](UpstreamPool& pool) {
                     pool.SetColdPolicies({}, At({}));
                     pool.Put(Registration(kFirst, seconds(3)), At({}));
                     pool.SetColdPolicies(Policies(), At({}));
                   },
                   true},
        SignalCase{"NotStated",
                   [](UpstreamPool& pool) {
                     pool.Put(Registration(kFirst, std::nullopt), At({}));
                   },
                   true},
        SignalCase{"Response",
                   [](UpstreamPool& pool) {
                     pool.Put(Registration(kFirst, seconds(0)), At({}));
                     pool.NoteCold(kFirst, 0, seconds(3), At({}));
                   },
                   true},
        SignalCase{"ResponseOfTheProcessBefore",
                   [](UpstreamPool& pool) {
                     pool.Put(Registration(kFirst, seconds(0), 7), At({}));
                     pool.NoteCold(kFirst, 0, seconds(3), At({}));
                   },
                   false},
        SignalCase{"RegistrationDoesNotEndWhatAResponseStated",
                   [](UpstreamPool& pool) {
                     pool.Put(Registration(kFirst, seconds(0)), At({}));
                     pool.NoteCold(kFirst, 0, seconds(3), At({}));
                     pool.Put(Registration(kFirst, seconds(0)), At({}));
                   },
                   true},
        SignalCase{"Years",
                   [](UpstreamPool& pool) {
                     pool.Put(
                         Registration(kFirst, std::chrono::hours(24 * 400)),
                         At({}));
                   },
                   false},
        SignalCase{"NoPolicy",
                   [](UpstreamPool& pool) {
                     pool.SetColdPolicies({}, At({}));
                     pool.Put(Registration(kFirst, seconds(3)), At({}));
                   },
                   false}),
    [](const auto& info) { return info.param.m_name; });

TEST(ColdUpstreams, HaveTheLowerOfTheirRates) {
  RateLimits limits;
  const UpstreamProcess process{HashOf(kFirst), 0};
  limits.NoteResponse(process, 4.0, At({}), At({}));
  limits.NoteCold(process, kRate, seconds(3), At({}));
  EXPECT_EQ(limits.RateOf(process), 4.0);
  limits.NoteResponse(process, std::nullopt, At(seconds(1)), At(seconds(1)));
  EXPECT_EQ(limits.RateOf(process), kRate);
  limits.Update(At(seconds(4)));
  EXPECT_FALSE(limits.IsLimited(process));
}

TEST(ColdUpstreams, VoidUnusedPermitsBeforeTheNextSecond) {
  RateLimits limits;
  const UpstreamProcess process{HashOf(kFirst), 0};
  limits.NoteCold(process, kRate, seconds(3), At({}));
  limits.AddPermit(process, At({}));
  EXPECT_TRUE(limits.MaySend(process, At(milliseconds(99))));
  EXPECT_FALSE(limits.MaySend(process, At(milliseconds(100))));
}

TEST(ColdUpstreams, AreReportedWhenTheyBecomeColdAndWarm) {
  UpstreamPool pool;
  std::vector<bool> changes;
  pool.OnColdChange([&](const UpstreamPool::ColdChange& change) {
    changes.push_back(change.m_is_cold);
  });
  pool.SetColdPolicies(Policies(), At({}));
  pool.Put(Registration(kFirst, seconds(3)), At({}));
  pool.Put(Registration(kFirst, seconds(2)), At(seconds(1)));
  pool.UpdateLimits(At(seconds(2)));
  EXPECT_EQ(changes, std::vector<bool>{true});
  EXPECT_EQ(pool.Limits().ColdProcesses(At(seconds(2))), 1U);
  pool.UpdateLimits(At(seconds(3)));
  EXPECT_EQ(changes, (std::vector<bool>{true, false}));
  EXPECT_EQ(pool.Limits().ColdProcesses(At(seconds(3))), 0U);
}

}  // namespace
}  // namespace nutmeghollow
