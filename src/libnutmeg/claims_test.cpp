#include "nutmeghollow/claims.h"

#include <gtest/gtest.h>

#include "flow_world.h"
#include "table_store.h"

namespace nutmeghollow {
namespace {

using Kind = AttemptEventKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kRowKey = "claim/customer/orders/key";

/// Two instances that share one table service.
class ClaimsTest : public ::testing::Test {
 protected:
  ClaimsTest() : m_first("i1", 1), m_second("i2", 2) {}

  /// Runs an instance and its store actions until it has none left.
  void RunStore(FlowWorld& flow) {
    for (bool more = true; more;) {
      flow.Settle();
      more = m_store.CarryOut(flow);
    }
  }
  void Advance(Duration duration) {
    for (FlowWorld* flow : {&m_first, &m_second}) {
      flow->Advance(duration);
      RunStore(*flow);
    }
  }

  RequestId Post(FlowWorld& flow, std::uint64_t digest = 1) {
    const RequestId id = flow.Submit(flow.Order("POST", "key", digest));
    RunStore(flow);
    return id;
  }

  void Run(FlowWorld& flow, RequestId id, Kind end) {
    flow.Report(id, Kind::kBytesSent);
    AttemptEvent event;
    event.m_kind = end;
    event.m_status = 201;
    event.m_content_type = "text/plain";
    event.m_body = "booked";
    event.m_buffered_bytes = 6;
    flow.Report(id, event);
    RunStore(flow);
  }

  static int Dispatches(FlowWorld& flow) {
    return static_cast<int>(flow.Take<DispatchAttempt>().size());
  }

  /// @return the refusal of the only request that was refused since the last
  /// call.
  static RefuseRequest TakeRefusal(FlowWorld& flow) {
    const auto refusals = flow.Take<RefuseRequest>();
    EXPECT_EQ(refusals.size(), 1U);
    return refusals.empty() ? RefuseRequest() : refusals[0];
  }

  static void ExpectReplay(FlowWorld& flow) {
    const auto replays = flow.Take<ReplayAnswer>();
    ASSERT_EQ(replays.size(), 1U);
    EXPECT_EQ(replays[0].m_status, 201);
    EXPECT_EQ(replays[0].m_content_type, "text/plain");
    EXPECT_EQ(replays[0].m_body, "booked");
  }

  std::optional<ClaimRecord> ReadRow() {
    return m_store.m_rows.contains(kRowKey)
               ? ParseClaim(m_store.m_rows[kRowKey].m_value)
               : std::nullopt;
  }

  /// Delivers claim queries of the second instance to the first.
  /// @param claimer_alive false when the first instance is unreachable.
  void AnswerClaimQueries(bool claimer_alive) {
    for (const QueryClaimer& ask : m_second.Take<QueryClaimer>()) {
      EXPECT_EQ(ask.m_claimer, InstanceId("i1"));
      const ClaimQueryStatus status =
          claimer_alive ? HandleClaimQuery(m_first.m_world, ask.m_claim_key,
                                           ask.m_claim_token)
                        : ClaimQueryStatus::kUnreachable;
      m_second.m_world.m_claim_inbox.m_claimers.push_back(
          {ask.m_request, status});
    }
    RunStore(m_second);
  }

  void AnswerKeyStatusQueries(ServiceKeyState state) {
    for (const QueryKeyStatus& ask : m_second.Take<QueryKeyStatus>()) {
      EXPECT_EQ(ask.m_path, "/status/key");
      m_second.m_world.m_claim_inbox.m_services.push_back(
          {ask.m_request, state, 201, "text/plain", "booked"});
    }
    RunStore(m_second);
  }

  TableStore m_store;
  FlowWorld m_first;
  FlowWorld m_second;
};

TEST_F(ClaimsTest, AreInsertedBeforeTheDispatchAndRecordedBeforeTheResponse) {
  const RequestId id = m_first.Submit(m_first.Order("POST", "key"));
  m_first.Settle();
  EXPECT_EQ(Dispatches(m_first), 0);
  RunStore(m_first);
  EXPECT_EQ(Dispatches(m_first), 1);
  ASSERT_TRUE(ReadRow());
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kOpen);
  m_first.Report(id, Kind::kBytesSent);
  m_first.Report(id, Kind::kComplete);
  EXPECT_TRUE(m_first.Take<FinishRelay>().empty());
  RunStore(m_first);
  EXPECT_EQ(m_first.Take<FinishRelay>().size(), 1U);
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
  const ClaimCounters& counters = m_first.m_world.m_claims.m_counters;
  EXPECT_EQ(counters.m_writes, 2U);
  EXPECT_EQ(counters.m_reads, 1U);
}

TEST_F(ClaimsTest, ReplayTheResponseOnEveryInstance) {
  Run(m_first, Post(m_first), Kind::kComplete);
  for (FlowWorld* flow : {&m_first, &m_second}) {
    Dispatches(*flow);
    Post(*flow);
    ExpectReplay(*flow);
    EXPECT_EQ(Dispatches(*flow), 0);
  }
}

TEST_F(ClaimsTest, RefuseTheKeyForAnotherRequest) {
  Run(m_first, Post(m_first), Kind::kComplete);
  for (FlowWorld* flow : {&m_first, &m_second}) {
    Post(*flow, 2);
    const RefuseRequest refusal = TakeRefusal(*flow);
    EXPECT_EQ(refusal.m_status, 422);
    EXPECT_EQ(refusal.m_outcome, Outcome::kNotRun);
  }
}

TEST_F(ClaimsTest, AllowOneOfTwoConcurrentInstancesToDispatch) {
  m_first.Submit(m_first.Order("POST", "key"));
  m_second.Submit(m_second.Order("POST", "key"));
  m_first.Settle();
  m_second.Settle();
  RunStore(m_second);
  RunStore(m_first);
  EXPECT_EQ(Dispatches(m_first) + Dispatches(m_second), 1);
}

TEST_F(ClaimsTest, ReportThatTheFirstRequestIsInProgress) {
  const RequestId id = Post(m_first);
  m_first.Report(id, Kind::kBytesSent);
  Post(m_second);
  AnswerClaimQueries(true);
  Post(m_first);
  for (FlowWorld* flow : {&m_first, &m_second}) {
    const RefuseRequest refusal = TakeRefusal(*flow);
    EXPECT_EQ(refusal.m_status, 409);
    EXPECT_EQ(refusal.m_outcome, Outcome::kUnknown);
    EXPECT_GT(refusal.m_retry_after, Duration());
  }
}

struct StoreFault {
  const char* m_name;
  StoreStatus m_status;
  bool m_took_effect;
};

class ClaimInserts : public ClaimsTest,
                     public ::testing::WithParamInterface<StoreFault> {};

/// The table service fails once, at the insert.
TEST_P(ClaimInserts, SurviveStoreFaults) {
  m_store.m_fault =
      TableStore::Fault{GetParam().m_status, GetParam().m_took_effect};
  const RequestId id = Post(m_first);
  if (GetParam().m_status == StoreStatus::kUnavailable) {
    const RefuseRequest refusal = TakeRefusal(m_first);
    EXPECT_EQ(refusal.m_status, 503);
    EXPECT_EQ(refusal.m_outcome, Outcome::kNotRun);
    EXPECT_GT(refusal.m_retry_after, Duration());
    EXPECT_EQ(Dispatches(m_first), 0);
    EXPECT_FALSE(ReadRow());
    return;
  }
  EXPECT_EQ(Dispatches(m_first), 1);
  Run(m_first, id, Kind::kComplete);
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    ClaimInserts,
    ::testing::Values(StoreFault{"Down", StoreStatus::kUnavailable, false},
                      StoreFault{"ResponseLost", StoreStatus::kUnknown, true},
                      StoreFault{"RequestLost", StoreStatus::kUnknown, false}),
    [](const auto& info) { return info.param.m_name; });

TEST_F(ClaimsTest, AreAbandonedWhenTheStoreDoesNotRespond) {
  m_first.Submit(m_first.Order("POST", "key"));
  m_first.Settle();
  m_first.Advance(seconds(3));
  const RefuseRequest refusal = TakeRefusal(m_first);
  EXPECT_EQ(refusal.m_status, 503);
  EXPECT_EQ(refusal.m_outcome, Outcome::kNotRun);
  // The insert takes effect after the request ended: the claim is withdrawn
  // without a dispatch.
  RunStore(m_first);
  EXPECT_EQ(Dispatches(m_first), 0);
  EXPECT_FALSE(ReadRow());
  EXPECT_EQ(m_first.m_world.m_claims.m_unsettled, 0);
}

TEST_F(ClaimsTest, AreWithdrawnWhenTheRequestDidNotRun) {
  const RequestId id = Post(m_first);
  while (m_first.PhaseOf(id) != RequestPhase::kDone) {
    m_first.Report(id, Kind::kConnectFailed);
    Advance(seconds(1));
  }
  EXPECT_EQ(TakeRefusal(m_first).m_outcome, Outcome::kNotRun);
  EXPECT_FALSE(ReadRow());
  Dispatches(m_second);
  Post(m_second);
  EXPECT_EQ(Dispatches(m_second), 1);
}

TEST_F(ClaimsTest, AreTakenOverWhenTheRequestEndedUnsentDuringAnOutage) {
  const RequestId id = Post(m_first);
  m_store.m_down = true;
  m_first.m_world.m_request_inbox.m_callers_disconnected.push_back(id);
  m_first.Report(id, Kind::kConnectFailed);
  m_first.Advance(seconds(1));
  EXPECT_EQ(m_first.PhaseOf(id), RequestPhase::kDone);
  RunStore(m_first);
  m_store.m_down = false;
  Post(m_second);
  AnswerClaimQueries(true);
  EXPECT_EQ(Dispatches(m_second), 1);
  Dispatches(m_first);
  Advance(seconds(2));
  EXPECT_EQ(Dispatches(m_first), 0);
  ASSERT_TRUE(ReadRow());
  EXPECT_EQ(ReadRow()->m_claimer, InstanceId("i2"));
  EXPECT_EQ(m_first.m_world.m_claims.m_unsettled, 0);
}

TEST_F(ClaimsTest, EndTheResponseAlthoughTheOutcomeCannotBeRecorded) {
  const RequestId id = Post(m_first);
  m_store.m_down = true;
  Run(m_first, id, Kind::kComplete);
  EXPECT_TRUE(m_first.Take<FinishRelay>().empty());
  Advance(seconds(1));
  EXPECT_EQ(m_first.Take<FinishRelay>().size(), 1U);
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kOpen);
  m_store.m_down = false;
  Advance(seconds(1));
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
  Post(m_second);
  ExpectReplay(m_second);
}

TEST_F(ClaimsTest, RecordTheOutcomeAlthoughTheResponseOfTheStoreIsLost) {
  for (const bool took_effect : {true, false}) {
    m_store.m_rows.clear();
    FlowWorld flow("i3", 5);
    const RequestId id = Post(flow);
    m_store.m_fault = TableStore::Fault{StoreStatus::kUnknown, took_effect};
    Run(flow, id, Kind::kComplete);
    EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
    EXPECT_EQ(flow.Take<FinishRelay>().size(), 1U);
  }
}

TEST_F(ClaimsTest, ContinueAfterTheCallerDisconnected) {
  const RequestId id = Post(m_first);
  m_first.Report(id, Kind::kBytesSent);
  m_first.m_world.m_request_inbox.m_callers_disconnected.push_back(id);
  m_first.Settle();
  EXPECT_TRUE(m_first.Take<CancelAttempt>().empty());
  Run(m_first, id, Kind::kComplete);
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
}

TEST_F(ClaimsTest, AreNotUsedByAClaimerThatWasPaused) {
  const RequestId id = m_first.Submit(m_first.Order("POST", "key"));
  m_first.Settle();
  m_store.CarryOut(m_first);
  // The process is paused before it reads the result of the insert.
  m_first.m_now += seconds(29);
  RunStore(m_first);
  EXPECT_EQ(Dispatches(m_first), 0);
  EXPECT_EQ(m_first.PhaseOf(id), RequestPhase::kDone);
  EXPECT_EQ(TakeRefusal(m_first).m_outcome, Outcome::kNotRun);
  EXPECT_FALSE(ReadRow());
}

TEST_F(ClaimsTest, SetTheLatestTimeOfTheDispatch) {
  Post(m_first);
  const auto dispatches = m_first.Take<DispatchAttempt>();
  ASSERT_EQ(dispatches.size(), 1U);
  EXPECT_EQ(dispatches[0].m_not_after, m_first.m_now + seconds(28));
}

struct CrashedClaimer {
  const char* m_name;
  bool m_dispatched;
  bool m_has_status_path;
  ServiceKeyState m_state;
  int m_status;       ///< Status of the refusal; zero for a replay.
  bool m_taken_over;  ///< Dispatched by the second instance.
};

class CrashedClaimers : public ClaimsTest,
                        public ::testing::WithParamInterface<CrashedClaimer> {};

TEST_P(CrashedClaimers, LeaveClaimsToTheKeyStatusOfTheService) {
  const CrashedClaimer& crashed = GetParam();
  if (crashed.m_has_status_path) {
    for (FlowWorld* flow : {&m_first, &m_second}) {
      flow->m_world.m_services[ServiceId("orders")].m_status_path =
          "/status/{key}";
    }
  }
  const RequestId id = Post(m_first);
  if (crashed.m_dispatched) {
    m_first.Report(id, Kind::kBytesSent);
  }
  // The first instance crashes here. Until the dispatch window and the takeover
  // margin have passed, its claim must not be taken over.
  Post(m_second);
  AnswerClaimQueries(false);
  EXPECT_EQ(TakeRefusal(m_second).m_status, 409);
  EXPECT_TRUE(m_second.Take<QueryKeyStatus>().empty());
  m_second.Advance(seconds(39));
  Post(m_second);
  AnswerClaimQueries(false);
  AnswerKeyStatusQueries(crashed.m_state);
  EXPECT_EQ(Dispatches(m_second), crashed.m_taken_over ? 1 : 0);
  if (crashed.m_taken_over) {
    return;
  }
  if (crashed.m_status == 0) {
    ExpectReplay(m_second);
    RunStore(m_second);
    EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
    return;
  }
  const RefuseRequest refusal = TakeRefusal(m_second);
  EXPECT_EQ(refusal.m_status, crashed.m_status);
  EXPECT_EQ(refusal.m_outcome, Outcome::kUnknown);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    CrashedClaimers,
    ::testing::Values(
        CrashedClaimer{"NoStatusPath", true, false, ServiceKeyState::kNever,
                       409, false},
        CrashedClaimer{"Done", true, true, ServiceKeyState::kDone, 0, false},
        CrashedClaimer{"Running", true, true, ServiceKeyState::kRunning, 409,
                       false},
        CrashedClaimer{"Unreachable", true, true, ServiceKeyState::kUnreachable,
                       409, false},
        CrashedClaimer{"Never", false, true, ServiceKeyState::kNever, 0, true},
        CrashedClaimer{"NotDispatched", false, false, ServiceKeyState::kNever,
                       409, false}),
    [](const auto& info) { return info.param.m_name; });

TEST_F(ClaimsTest, StayUnknownAfterABreakUntilAnOperatorSettlesThem) {
  Run(m_first, Post(m_first), Kind::kBroken);
  Advance(seconds(1));
  EXPECT_EQ(TakeRefusal(m_first).m_outcome, Outcome::kUnknown);
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kUnknown);
  Post(m_second);
  RefuseRequest refusal = TakeRefusal(m_second);
  EXPECT_EQ(refusal.m_status, 409);
  EXPECT_EQ(refusal.m_refusal, Refusal::kKeyOutcomeUnknown);

  const auto command = [this](std::optional<Outcome> resolution) {
    m_second.m_world.m_claim_inbox.m_commands.push_back(
        {CommandId("c"), OperatorId("ann"), kRowKey, resolution});
    RunStore(m_second);
    const auto results =
        std::exchange(m_second.m_world.m_claims.m_command_results, {});
    return results.at(0).m_status;
  };
  EXPECT_EQ(command(std::nullopt), ClaimCommandStatus::kShown);
  EXPECT_EQ(command(Outcome::kCompleted), ClaimCommandStatus::kResolved);
  EXPECT_EQ(ReadRow()->m_settled_by, "ann");
  EXPECT_EQ(command(Outcome::kNotRun), ClaimCommandStatus::kAlreadySettled);
  Post(m_second);
  refusal = TakeRefusal(m_second);
  EXPECT_EQ(refusal.m_refusal, Refusal::kAnswerNotKept);
  EXPECT_EQ(refusal.m_outcome, Outcome::kCompleted);
}

TEST_F(ClaimsTest, MayRunAgainOnceAnOperatorSettledThemAsNotRun) {
  Run(m_first, Post(m_first), Kind::kBroken);
  Advance(seconds(1));
  m_second.m_world.m_claim_inbox.m_commands.push_back(
      {CommandId("c"), OperatorId("ann"), kRowKey, Outcome::kNotRun});
  RunStore(m_second);
  EXPECT_FALSE(ReadRow());
  Post(m_second);
  EXPECT_EQ(Dispatches(m_second), 1);
}

TEST_F(ClaimsTest, OperatorsDoNotSettleWhatIsRunning) {
  Post(m_first);
  m_second.m_world.m_claim_inbox.m_commands.push_back(
      {CommandId("c"), OperatorId("ann"), kRowKey, Outcome::kNotRun});
  RunStore(m_second);
  EXPECT_EQ(m_second.m_world.m_claims.m_command_results.at(0).m_status,
            ClaimCommandStatus::kInProgress);
  EXPECT_TRUE(ReadRow());
}

TEST_F(ClaimsTest, LargeResponsesAreSentButNotStored) {
  const RequestId id = Post(m_first);
  m_first.Report(id, Kind::kBytesSent);
  AttemptEvent event;
  event.m_kind = Kind::kComplete;
  event.m_body = std::string(40 << 10, 'x');
  event.m_buffered_bytes = 40 << 10;
  m_first.Report(id, event);
  RunStore(m_first);
  EXPECT_EQ(ReadRow()->m_state, ClaimState::kDone);
  Post(m_second);
  EXPECT_EQ(TakeRefusal(m_second).m_refusal, Refusal::kAnswerNotKept);
}

TEST_F(ClaimsTest, ShareTransactionsWhileCommitsAreInFlight) {
  for (int number = 0; number < 20; ++number) {
    m_first.Submit(m_first.Order("POST", "key-" + std::to_string(number)));
    m_first.Settle();
  }
  // Four commits of one row each are in flight; the other 16 rows share the
  // next one.
  RunStore(m_first);
  EXPECT_EQ(Dispatches(m_first), 20);
  EXPECT_EQ(m_first.m_world.m_claims.m_counters.m_commits, 5U);
}

TEST_F(ClaimsTest, AConflictInATransactionAffectsOnlyItsOwnClaim) {
  Run(m_second, Post(m_second), Kind::kComplete);
  m_first.m_world.m_claim_parameters.m_commit_limit = 1;
  m_first.Submit(m_first.Order("POST", "other-1"));
  m_first.Settle();
  m_first.Submit(m_first.Order("POST", "other-2"));
  m_first.Submit(m_first.Order("POST", "key"));
  RunStore(m_first);
  EXPECT_EQ(Dispatches(m_first), 2);
  ExpectReplay(m_first);
}

TEST_F(ClaimsTest, ExpireByAScanOfOneInstance) {
  Run(m_first, Post(m_first), Kind::kComplete);
  Advance(std::chrono::hours(1));
  EXPECT_TRUE(ReadRow());
  Advance(std::chrono::hours(24));
  EXPECT_FALSE(ReadRow());
  EXPECT_EQ(m_first.m_world.m_claims.m_counters.m_expired, 1U);
  EXPECT_EQ(m_second.m_world.m_claims.m_counters.m_expired, 0U);
}

TEST(ClaimRows, HaveDistinctKeysForDistinctParts) {
  EXPECT_NE(
      ClaimRowKey(CustomerId("a/b"), ServiceId("c"), IdempotencyKey("d")),
      ClaimRowKey(CustomerId("a"), ServiceId("b/c"), IdempotencyKey("d")));
  EXPECT_FALSE(ParseClaim("{}"));
  EXPECT_FALSE(ParseClaim("garbage"));
}

}  // namespace
}  // namespace nutmeghollow
