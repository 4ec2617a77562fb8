#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

const ServiceId kService("service");
const TimePoint kNow = TimePoint(std::chrono::seconds(100));

UpstreamQuery Query() {
  UpstreamQuery upstream_query;
  upstream_query.m_service = kService;
  return upstream_query;
}

/// @return the pool of an instance that knows a queue at u0 and has seen
/// requests of a mean duration.
UpstreamPool MakePool(std::uint64_t seed, bool interpret, Duration mean) {
  UpstreamPool pool;
  pool.SetSeed(seed);
  pool.SetInterpretLoads(interpret);
  pool.SetLoadAge(milliseconds(600));
  std::vector<ActiveRequests> others;
  for (const char* id : {"u0", "u1", "u2"}) {
    RegisteredUpstream row;
    row.m_id = UpstreamId(id);
    row.m_service = kService;
    row.m_endpoint = Endpoint("10.0.0.1:80");
    row.m_slots = 6;
    pool.Put(row, kNow);
    pool.NoteSent(row.m_id, nullptr, kNow);
    pool.NoteEnd(row.m_id, AttemptHealth::kServed, mean, nullptr, true, kNow);
    others.push_back({HashOf(row.m_id), row.m_id == UpstreamId("u0") ? 24 : 3});
  }
  std::sort(others.begin(), others.end());
  pool.SetPeerActive(InstanceId("others"), others);
  return pool;
}

struct InterpretCase {
  std::string m_name;
  bool m_interpret;
  Duration m_mean;
  bool m_used;
};

class Interpreting : public testing::TestWithParam<InterpretCase> {};

/// Guards against a queue that grows because instances do not know it, and
/// against all instances leaving one upstream at once for another.
TEST_P(Interpreting, SendsFewerToAQueueAndSpreadsTheOthers) {
  std::map<std::string, int> sent;
  for (std::uint64_t instance = 0; instance < 300; ++instance) {
    UpstreamPool pool =
        MakePool(instance, GetParam().m_interpret, GetParam().m_mean);
    const auto choice = pool.Choose(Query(), kNow);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->m_interpreted, GetParam().m_used);
    EXPECT_GE(choice->m_estimate, 0);
    EXPECT_EQ(pool.Statistics().m_interpreted_share > 0, GetParam().m_used);
    ++sent[choice->m_id.str()];
  }
  EXPECT_LT(sent["u1"], 180);
  EXPECT_LT(sent["u2"], 180);
  EXPECT_EQ(sent["u0"] < 60, GetParam().m_used);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Interpreting,
    testing::Values(
        InterpretCase{"LargeFleet", true, milliseconds(150), true},
        InterpretCase{"SmallFleet", false, milliseconds(150), false},
        InterpretCase{"RequestsFarShorterThanTheAge", true, milliseconds(15),
                      false},
        InterpretCase{"UnknownDuration", true, milliseconds(0), false}),
    [](const auto& info) { return info.param.m_name; });

/// Guards against loads that take precedence over a stated rate.
TEST(UpstreamInterpretation, PermitsTakePrecedence) {
  UpstreamPool pool = MakePool(1, true, milliseconds(150));
  pool.Limits().NoteResponse({HashOf(UpstreamId("u1")), 0}, 5.0, kNow, kNow);
  const auto choice = pool.Choose(Query(), kNow);
  ASSERT_TRUE(choice);
  EXPECT_FALSE(choice->m_interpreted);
  EXPECT_NE(choice->m_id, UpstreamId("u1"));
}

/// Guards against drawing an upstream that backs off.
TEST(UpstreamInterpretation, BackoffTakesPrecedence) {
  for (std::uint64_t instance = 0; instance < 50; ++instance) {
    UpstreamPool pool = MakePool(instance, true, milliseconds(150));
    pool.NoteSent(UpstreamId("u1"), nullptr, kNow);
    pool.NoteEnd(UpstreamId("u1"), AttemptHealth::kUnreachable, {}, nullptr,
                 false, kNow);
    EXPECT_NE(pool.Choose(Query(), kNow)->m_id, UpstreamId("u1"));
  }
}

}  // namespace
}  // namespace nutmeghollow
