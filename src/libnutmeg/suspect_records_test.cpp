#include "nutmeghollow/suspect_records.h"

#include <gtest/gtest.h>

#include <array>

#include "flow_world.h"

namespace nutmeghollow {
namespace {

using Kind = AttemptEventKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCrashing = 13;
constexpr RequestDigest kDigest{kCrashing};

/// Instances that share the table service and exchange no gossip.
class SuspectRecordsTest : public ::testing::Test {
 protected:
  SuspectRecordsTest() {
    for (FlowWorld& flow : m_instances) {
      flow.m_store = m_store;
    }
  }

  /// Sends the crashing request to one instance and runs until it ends.
  /// @return number of crashes.
  int Send(FlowWorld& flow) {
    const RequestId id = flow.Submit(flow.Chat(kCrashing, false));
    int crashes = 0;
    for (int step = 0; step < 1000; ++step) {
      flow.Settle();
      if (flow.PhaseOf(id) == RequestPhase::kDone) {
        break;
      }
      if (flow.PhaseOf(id) == RequestPhase::kDispatched) {
        flow.Report(id, Kind::kBytesSent);
        flow.Report(id, Kind::kBroken);
        ++crashes;
      }
      AdvanceAll(milliseconds(10));
    }
    return crashes;
  }

  /// Starts the crashing request and leaves it running.
  RequestId StartRunning(FlowWorld& flow) {
    const RequestId id = flow.Submit(flow.Chat(kCrashing, false));
    flow.Settle();
    EXPECT_EQ(flow.PhaseOf(id), RequestPhase::kDispatched);
    flow.Report(id, Kind::kBytesSent);
    return id;
  }

  void AdvanceAll(Duration time) {
    for (FlowWorld& flow : m_instances) {
      flow.Advance(time);
    }
  }

  /// Makes the request a suspect on one instance, as after one crash.
  void MarkSuspect(FlowWorld& flow) {
    SuspectRow& row = flow.m_world.m_suspects[kDigest];
    row.m_digest = kDigest;
    row.m_crashed_upstreams = {UpstreamId("e9")};
    row.m_crashes = 1;
    row.m_expires_at =
        flow.m_now + flow.m_world.m_quarantine_parameters.m_expiry;
  }

  std::optional<SuspectRecord> Stored() {
    const auto row = m_store->m_rows.find(SuspectRowKey(kDigest));
    return row == m_store->m_rows.end() ? std::nullopt
                                        : ParseSuspect(row->second.m_value);
  }

  std::shared_ptr<InMemoryTableStore> m_store =
      std::make_shared<InMemoryTableStore>();
  std::array<FlowWorld, 3> m_instances{FlowWorld("i1", 1), FlowWorld("i2", 2),
                                       FlowWorld("i3", 3)};
};

TEST_F(SuspectRecordsTest, CrashesOnBothSidesOfAPartitionAddUp) {
  for (FlowWorld& flow : m_instances) {
    flow.m_world.m_request_flow_parameters.m_attempt_limit = 1;
  }
  int crashes = 0;
  for (int time = 0; time < 6; ++time) {
    crashes += Send(m_instances[time % 2]);
  }
  EXPECT_EQ(crashes, 2);
  for (int side = 0; side < 2; ++side) {
    const auto refusals = m_instances[side].Take<RefuseRequest>();
    ASSERT_FALSE(refusals.empty());
    EXPECT_EQ(refusals.back().m_status, 422);
  }
}

/// Three instances, each of which has lost the others.
TEST_F(SuspectRecordsTest, ARequestIsLookedUpWhilePeersAreLost) {
  for (FlowWorld& flow : m_instances) {
    flow.m_peers_silent = true;
    for (auto& [id, row] : flow.m_world.m_instances.m_rows) {
      if (id != flow.m_world.m_instances.m_self) {
        row.m_status = InstanceStatus::kDead;
        row.m_status_since = flow.m_now;
      }
    }
  }
  int crashes = 0;
  for (int time = 0; time < 9; ++time) {
    crashes += Send(m_instances[time % 3]);
  }
  EXPECT_GE(crashes, 1);
  EXPECT_LE(crashes, 2);
  EXPECT_EQ(m_instances[2].Take<RefuseRequest>().back().m_outcome,
            Outcome::kNotRun);
}

TEST_F(SuspectRecordsTest, LookUpsDelayRequestsForAShortTimeOnly) {
  FlowWorld& flow = m_instances[0];
  flow.m_store_silent = true;
  InstanceRow& peer = flow.m_world.m_instances.m_rows[InstanceId("i2")];
  peer.m_status = InstanceStatus::kDead;
  peer.m_status_since = flow.m_now;
  const RequestId id = flow.Submit(flow.Chat(5, false));
  flow.Settle();
  EXPECT_EQ(flow.PhaseOf(id), RequestPhase::kPlaced);
  flow.Advance(milliseconds(100));
  EXPECT_EQ(flow.PhaseOf(id), RequestPhase::kDispatched);
  // No look-ups after the look-up period.
  flow.Advance(seconds(60));
  const RequestId later = flow.Submit(flow.Chat(6, false));
  flow.Settle();
  EXPECT_EQ(flow.PhaseOf(later), RequestPhase::kDispatched);
}

/// An instance that does not know of the suspect runs it once. The other one
/// must not have run it twice before, or there would be a third crash.
TEST_F(SuspectRecordsTest, ARetryWaitsUntilAllPeersKnow) {
  for (FlowWorld& flow : m_instances) {
    flow.m_peers_silent = true;
  }
  int crashes = 0;
  for (int time = 0; time < 6; ++time) {
    crashes += Send(m_instances[time / 2 % 2]);
  }
  EXPECT_EQ(crashes, 2);
  EXPECT_EQ(m_instances[1].Take<RefuseRequest>().back().m_status, 422);
}

TEST_F(SuspectRecordsTest, AnUnreachablePeerBlocksASuspectForALimitedTime) {
  FlowWorld& flow = m_instances[0];
  flow.m_peers_silent = true;
  MarkSuspect(flow);
  const RequestId id = flow.Submit(flow.Chat(kCrashing, false));
  flow.Settle();
  flow.Advance(seconds(1));
  EXPECT_EQ(flow.PhaseOf(id), RequestPhase::kDone);
  EXPECT_EQ(flow.Take<RefuseRequest>().back().m_refusal,
            Refusal::kRunsElsewhere);
  flow.Advance(seconds(5));
  EXPECT_EQ(Stored()->m_holder, InstanceId());
  StartRunning(flow);
}

TEST_F(SuspectRecordsTest, CrashesOfOneInstanceCountOnAnother) {
  EXPECT_EQ(Send(m_instances[0]), 2);
  MarkSuspect(m_instances[1]);
  EXPECT_EQ(Send(m_instances[1]), 0);
}

TEST_F(SuspectRecordsTest, ASuspectRunsAtOneInstanceAtATime) {
  for (FlowWorld& flow : m_instances) {
    MarkSuspect(flow);
  }
  const RequestId first = StartRunning(m_instances[0]);
  EXPECT_EQ(Stored()->m_holder, InstanceId("i1"));
  const RequestId second =
      m_instances[1].Submit(m_instances[1].Chat(kCrashing, false));
  m_instances[1].Settle();
  EXPECT_EQ(m_instances[1].PhaseOf(second), RequestPhase::kDone);
  const auto refusals = m_instances[1].Take<RefuseRequest>();
  ASSERT_EQ(refusals.size(), 1U);
  EXPECT_EQ(refusals[0].m_refusal, Refusal::kRunsElsewhere);
  EXPECT_EQ(refusals[0].m_outcome, Outcome::kNotRun);
  EXPECT_GT(refusals[0].m_retry_after, Duration());
  m_instances[0].Report(first, Kind::kComplete);
  AdvanceAll(seconds(1));
  EXPECT_FALSE(Stored());
  StartRunning(m_instances[1]);
}

TEST_F(SuspectRecordsTest, APermitIsReleasedWhenTheAttemptFailsWithoutACrash) {
  for (FlowWorld& flow : m_instances) {
    MarkSuspect(flow);
    flow.m_world.m_request_flow_parameters.m_attempt_limit = 1;
  }
  const RequestId id = StartRunning(m_instances[0]);
  m_instances[0].Report(id, Kind::kRefused);
  AdvanceAll(seconds(1));
  EXPECT_EQ(Stored()->m_holder, InstanceId());
  StartRunning(m_instances[1]);
}

TEST_F(SuspectRecordsTest, APermitOfAFailedHolderExpires) {
  for (FlowWorld& flow : m_instances) {
    MarkSuspect(flow);
  }
  StartRunning(m_instances[0]);
  const Duration lifetime =
      m_instances[0].m_world.m_suspect_records.m_parameters.m_permit_lifetime;
  m_instances[1].Advance(lifetime);
  StartRunning(m_instances[1]);
}

TEST_F(SuspectRecordsTest, ARowIsDeletedOnceItExpired) {
  EXPECT_EQ(Send(m_instances[0]), 2);
  ASSERT_TRUE(Stored());
  AdvanceAll(m_instances[0].m_world.m_quarantine_parameters.m_expiry +
             seconds(2));
  AdvanceAll(seconds(2));
  EXPECT_TRUE(m_store->m_rows.empty());
  EXPECT_TRUE(m_instances[0].m_world.m_suspect_records.m_work.empty());
}

TEST_F(SuspectRecordsTest, AMalformedRowIsCountedAndReplaced) {
  m_store->m_rows[SuspectRowKey(kDigest)] = {SuspectRowKey(kDigest), "{",
                                             RowVersion(7)};
  MarkSuspect(m_instances[0]);
  StartRunning(m_instances[0]);
  EXPECT_EQ(m_instances[0].m_world.m_suspect_records.m_malformed, 1U);
  EXPECT_EQ(Stored()->m_holder, InstanceId("i1"));
}

struct StoreFailureCase {
  const char* m_name;
  std::optional<StoreStatus> m_failure;
  bool m_silent;
  bool m_peer_lost;
  bool m_runs;
};

class SuspectWithoutStore
    : public SuspectRecordsTest,
      public ::testing::WithParamInterface<StoreFailureCase> {};

TEST_P(SuspectWithoutStore, RunsOnlyWhileGossipReachesAll) {
  FlowWorld& flow = m_instances[0];
  flow.m_store_failure = GetParam().m_failure;
  flow.m_store_silent = GetParam().m_silent;
  MarkSuspect(flow);
  if (GetParam().m_peer_lost) {
    InstanceRow& peer = flow.m_world.m_instances.m_rows[InstanceId("i2")];
    peer.m_status = InstanceStatus::kDead;
    peer.m_status_since = flow.m_now;
  }
  const RequestId id = flow.Submit(flow.Chat(kCrashing, false));
  flow.Settle();
  EXPECT_EQ(flow.PhaseOf(id), RequestPhase::kPlaced);
  const Duration wait =
      flow.m_world.m_suspect_records.m_parameters.m_store_timeout;
  flow.Advance(wait);
  EXPECT_EQ(flow.PhaseOf(id), GetParam().m_runs ? RequestPhase::kDispatched
                                                : RequestPhase::kDone);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SuspectWithoutStore,
    ::testing::Values(
        StoreFailureCase{"Refuses", StoreStatus::kUnavailable, false, false,
                         true},
        StoreFailureCase{"RefusesInAPartition", StoreStatus::kUnavailable,
                         false, true, false},
        StoreFailureCase{"LosesAnswers", StoreStatus::kUnknown, false, false,
                         true},
        StoreFailureCase{"Silent", std::nullopt, true, false, true},
        StoreFailureCase{"SilentInAPartition", std::nullopt, true, true,
                         false}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow
