#include "nutmeghollow/loads.h"

#include <gtest/gtest.h>

#include "libnutmeg/placement_fixture.h"

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Report and announcement about an engine at which this instance had two
/// requests running two seconds ago and has five now.
struct RemoteCase {
  const char* m_name;
  std::optional<int> m_reported;  ///< Requests in the report.
  Duration m_report_age{};
  std::optional<int> m_announced;  ///< Requests announced by a peer.
  Duration m_peer_age{};
  int m_remote;
};

class RemoteLoad : public testing::TestWithParam<RemoteCase> {};

TEST_P(RemoteLoad, CountsRequestsOfOtherInstances) {
  const RemoteCase& test = GetParam();
  PlacementFixture fixture(1, 2);
  UpstreamRow& engine = fixture.Engine(0);
  ChangeRunning(fixture.m_world, engine, 2, fixture.m_now);
  fixture.m_now += milliseconds(2500);
  ChangeRunning(fixture.m_world, engine, 3, fixture.m_now);
  fixture.m_now += milliseconds(500);
  if (test.m_reported) {
    engine.m_report =
        ProbedLoad{.m_running = *test.m_reported - 1,
                   .m_queued = 1,
                   .m_taken_at = fixture.m_now - test.m_report_age,
                   .m_received_at = fixture.m_now};
  }
  if (test.m_announced) {
    fixture.m_world.m_peers.m_loads[engine.m_id][InstanceId("instance-001")] = {
        .m_running = *test.m_announced,
        .m_received_at = fixture.m_now - test.m_peer_age};
  }
  const UpstreamLoad& load = fixture.m_world.m_loads.m_upstreams[engine.m_id];
  EXPECT_EQ(EstimateRemote(fixture.m_world, engine, &load, fixture.m_now),
            test.m_remote);
}

INSTANTIATE_TEST_SUITE_P(
    Tables,
    RemoteLoad,
    testing::Values(
        RemoteCase{"Nothing", {}, {}, {}, {}, 0},
        RemoteCase{"FreshReport", 9, milliseconds(100), {}, {}, 4},
        RemoteCase{"LaggingReport", 9, seconds(2), {}, {}, 7},
        RemoteCase{"StaleReport", 9, seconds(6), {}, {}, 0},
        RemoteCase{"ReportBelowOwn", 1, milliseconds(100), {}, {}, 0},
        RemoteCase{"Announcement", {}, {}, 3, seconds(1), 3},
        RemoteCase{"StaleAnnouncement", {}, {}, 3, seconds(6), 0},
        RemoteCase{"HigherCounts", 9, milliseconds(100), 6, seconds(1), 6}),
    [](const auto& info) { return std::string(info.param.m_name); });

TEST(Loads, GrantsCountUntilAReportIncludesThem) {
  PlacementFixture fixture(1);
  UpstreamRow& engine = fixture.Engine(0);
  RecordGrant(fixture.m_world, engine.m_id, fixture.m_now);
  const UpstreamLoad& load = fixture.m_world.m_loads.m_upstreams[engine.m_id];
  const auto remote = [&] {
    return EstimateRemote(fixture.m_world, engine, &load, fixture.m_now);
  };
  EXPECT_EQ(remote(), 1);
  fixture.m_now += seconds(1);
  engine.m_report = ProbedLoad{.m_running = 1, .m_taken_at = fixture.m_now};
  EXPECT_EQ(remote(), 1) << "the report includes the granted request";
  engine.m_report.reset();
  fixture.m_now += seconds(3);
  EXPECT_EQ(remote(), 0) << "the grant expired";
}

TEST(Loads, NeverFallBelowZero) {
  PlacementFixture fixture(1);
  EXPECT_DEATH(
      ChangeRunning(fixture.m_world, fixture.Engine(0), -1, fixture.m_now),
      "never below zero");
}

}  // namespace
}  // namespace nutmeghollow
