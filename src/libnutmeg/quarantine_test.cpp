#include "nutmeghollow/quarantine.h"

#include <gtest/gtest.h>

#include <set>

#include "flow_world.h"

namespace nutmeghollow {
namespace {

using Kind = AttemptEventKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCrashing = 13;

class QuarantineTest : public ::testing::Test {
 protected:
  RequestId Start(FlowWorld& flow, std::uint64_t digest, bool streamed = true) {
    const RequestId id = flow.Submit(flow.Chat(digest, streamed));
    flow.Settle();
    if (flow.PhaseOf(id) == RequestPhase::kDispatched) {
      flow.Report(id, Kind::kBytesSent);
    }
    return id;
  }

  static UpstreamId UpstreamOf(FlowWorld& flow, RequestId id) {
    return flow.m_world.m_requests.Find(id)->m_upstream;
  }

  /// Crashes the upstream of a request with all requests that run there.
  void Crash(FlowWorld& flow, RequestId id) {
    const UpstreamId upstream = UpstreamOf(flow, id);
    const auto found = flow.m_world.m_request_flow.m_in_flight.find(upstream);
    ASSERT_NE(found, flow.m_world.m_request_flow.m_in_flight.end());
    const std::set<RequestId> running = found->second;
    for (RequestId other : running) {
      const RequestRow* row = flow.m_world.m_requests.Find(other);
      AttemptEvent event{other, row->m_attempt, Kind::kBroken};
      flow.m_world.m_request_inbox.m_attempts.push_back(event);
    }
    flow.m_world.m_upstreams.Find(upstream)->m_status =
        UpstreamStatus::kEjected;
    flow.Settle();
  }

  /// Runs all attempts: the crashing request crashes its upstream, resumes fail
  /// to connect, all other requests complete.
  /// @return number of crashes.
  int RunAll(FlowWorld& flow, Duration time) {
    int crashes = 0;
    const TimePoint end = flow.m_now + time;
    while (flow.m_now < end) {
      const auto rows = flow.m_world.m_requests.Rows();
      for (const auto& [id, copy] : rows) {
        const RequestRow* row = flow.m_world.m_requests.Find(id);
        if (row == nullptr || row->m_attempt == AttemptId()) {
          continue;
        }
        if (row->m_resumes > 0 && row->m_phase == RequestPhase::kSent) {
          flow.Report(id, Kind::kConnectFailed);
        } else if (row->m_phase == RequestPhase::kDispatched) {
          flow.Report(id, Kind::kBytesSent);
        } else if (row->m_phase == RequestPhase::kSent &&
                   row->m_request.m_digest.value() == kCrashing) {
          ++crashes;
          Crash(flow, id);
        } else if (row->m_phase == RequestPhase::kSent) {
          flow.Report(id, Kind::kComplete);
        }
      }
      flow.Advance(milliseconds(10));
    }
    return crashes;
  }
};

TEST_F(QuarantineTest, ACrashingRequestCrashesAtMostTwoUpstreams) {
  for (const bool streamed : {true, false}) {
    FlowWorld flow;
    int crashes = 0;
    for (int run = 0; run < 5; ++run) {
      Start(flow, kCrashing, streamed);
      crashes += RunAll(flow, seconds(3));
    }
    EXPECT_EQ(crashes, 2);
    const auto refusals = flow.Take<RefuseRequest>();
    ASSERT_EQ(refusals.size(), 5U);
    EXPECT_EQ(refusals.back().m_status, 422);
    EXPECT_EQ(refusals.back().m_outcome, Outcome::kNotRun);
    EXPECT_EQ(refusals.back().m_retry_after, Duration());
  }
}

TEST_F(QuarantineTest, ConcurrentCopiesCrashAtMostTwoUpstreams) {
  FlowWorld flow;
  for (int copy = 0; copy < 6; ++copy) {
    Start(flow, kCrashing);
  }
  EXPECT_LE(RunAll(flow, seconds(10)), 2);
  EXPECT_EQ(flow.m_world.m_requests.size(), 0U);
}

TEST_F(QuarantineTest, OtherRequestsOfACrashedUpstreamAreCleared) {
  FlowWorld flow;
  const RequestId crashing = Start(flow, kCrashing);
  std::vector<RequestId> others;
  for (std::uint64_t digest = 100; digest < 130; ++digest) {
    const RequestId id = Start(flow, digest);
    if (UpstreamOf(flow, id) == UpstreamOf(flow, crashing)) {
      others.push_back(id);
    }
  }
  ASSERT_GT(others.size(), 3U);
  EXPECT_LE(RunAll(flow, seconds(10)), 2);
  for (const RefuseRequest& refusal : flow.Take<RefuseRequest>()) {
    EXPECT_EQ(refusal.m_request, crashing);
  }
  EXPECT_EQ(flow.m_world.m_requests.size(), 0U);
  for (const auto& [digest, row] : flow.m_world.m_suspects) {
    EXPECT_EQ(digest, RequestDigest(kCrashing));
  }
}

TEST_F(QuarantineTest, SuspectsOfOneUpstreamWaitForEachOther) {
  FlowWorld flow;
  std::vector<RequestId> ids;
  for (std::uint64_t digest = 1; digest <= 9; ++digest) {
    ids.push_back(Start(flow, digest, false));
  }
  Crash(flow, ids[0]);
  flow.Advance(seconds(1));
  std::map<UpstreamId, int> suspects_running;
  for (const auto& [upstream, running] :
       flow.m_world.m_request_flow.m_in_flight) {
    for (RequestId id : running) {
      const RequestRow* row = flow.m_world.m_requests.Find(id);
      if (IsSuspect(flow.m_world, row->m_request.m_digest, flow.m_now)) {
        ++suspects_running[upstream];
      }
    }
  }
  EXPECT_FALSE(suspects_running.empty());
  for (const auto& [upstream, count] : suspects_running) {
    EXPECT_EQ(count, 1);
  }
}

struct OpenConnections {
  bool m_receiving = false;
  std::uint64_t m_crashes = 0;
};

class QuarantineVerdicts
    : public QuarantineTest,
      public ::testing::WithParamInterface<OpenConnections> {};

/// One connection breaks while others stay open, with or without data.
TEST_P(QuarantineVerdicts, FollowFromOtherConnections) {
  FlowWorld flow;
  flow.m_world.m_hooks.m_last_received = [&flow](RequestId) {
    return GetParam().m_receiving ? flow.m_now : TimePoint();
  };
  const RequestId first = Start(flow, 1, false);
  for (std::uint64_t digest = 2; digest < 20; ++digest) {
    Start(flow, digest, false);
  }
  flow.Report(first, Kind::kBroken);
  flow.Advance(seconds(1));
  EXPECT_EQ(flow.m_world.m_suspects.size(), GetParam().m_crashes);
  EXPECT_EQ(flow.m_world.m_quarantine.m_crashes, GetParam().m_crashes);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         QuarantineVerdicts,
                         ::testing::Values(OpenConnections{true, 0},
                                           OpenConnections{false, 1}));

TEST_F(QuarantineTest, AResumedStreamIsNoCrash) {
  FlowWorld flow;
  const RequestId id = Start(flow, 1);
  flow.Report(id, Kind::kBroken);
  flow.Report(id, Kind::kBytesSent);
  flow.Report(id, Kind::kHeaders);
  flow.Advance(seconds(1));
  EXPECT_TRUE(flow.m_world.m_suspects.empty());
}

TEST_F(QuarantineTest, FailuresOfSuspectsAreReportedAfterPropagation) {
  FlowWorld flow;
  flow.m_world.m_request_flow_parameters.m_attempt_limit = 1;
  const RequestId id = Start(flow, kCrashing, false);
  Crash(flow, id);
  const QuarantineParameters& parameters = flow.m_world.m_quarantine_parameters;
  flow.Advance(parameters.m_verdict_delay);
  EXPECT_EQ(flow.m_world.m_suspects.size(), 1U);
  EXPECT_TRUE(flow.Take<RefuseRequest>().empty());
  flow.Advance(parameters.m_propagation_delay);
  EXPECT_EQ(flow.Take<RefuseRequest>().size(), 1U);
}

TEST_F(QuarantineTest, AnnouncesRecentCrashesAgain) {
  FlowWorld flow;
  Crash(flow, Start(flow, kCrashing, false));
  flow.Advance(milliseconds(300));
  auto& known = flow.m_world.m_gossip.m_known_suspects;
  known[RequestDigest(kCrashing)] = {1, false};
  flow.Advance(flow.m_world.m_quarantine_parameters.m_announce_period);
  EXPECT_TRUE(known.empty());
  flow.Advance(seconds(1));
  EXPECT_FALSE(known.empty());
}

TEST_F(QuarantineTest, AppliesAnnouncementsOfOthers) {
  FlowWorld flow;
  SuspectRow row;
  row.m_digest = RequestDigest(kCrashing);
  row.m_crashed_upstreams = {UpstreamId("e1"), UpstreamId("e2")};
  row.m_expires_at = flow.m_now + seconds(60);
  flow.m_world.m_suspects[row.m_digest] = row;
  Start(flow, kCrashing);
  const auto refusals = flow.Take<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_status, 422);
  flow.Advance(seconds(61));
  Start(flow, kCrashing);
  EXPECT_EQ(flow.Take<RefuseRequest>().size(), 0U);
}

TEST_F(QuarantineTest, CountsACrashOnceThatAnotherInstanceAlsoDetected) {
  FlowWorld flow;
  const RequestId id = Start(flow, kCrashing, false);
  SuspectRow row;
  row.m_digest = RequestDigest(kCrashing);
  row.m_crashed_upstreams = {UpstreamOf(flow, id)};
  row.m_expires_at = flow.m_now + flow.m_world.m_quarantine_parameters.m_expiry;
  Crash(flow, id);
  flow.m_world.m_suspects[row.m_digest] = row;
  flow.Advance(seconds(1));
  EXPECT_FALSE(IsQuarantined(flow.m_world, row.m_digest, flow.m_now));
}

}  // namespace
}  // namespace nutmeghollow
