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

/// Two instances before one table service.
class ClaimsTest : public ::testing::Test {
 protected:
  ClaimsTest() : m_first("i1", 1), m_second("i2", 2) {}

  /// Carries out store actions of an instance at once.
  void Store(FlowWorld& flow) {
    for (bool more = true; more;) {
      flow.Settle();
      more = m_store.Carry(flow);
    }
  }
  void Advance(Duration duration) {
    for (FlowWorld* flow : {&m_first, &m_second}) {
      flow->Advance(duration);
      Store(*flow);
    }
  }

  RequestId Post(FlowWorld& flow, std::uint64_t digest = 1) {
    const RequestId id = flow.Submit(flow.Order("POST", "key", digest));
    Store(flow);
    return id;
  }

  void Run(FlowWorld& flow, RequestId id, Kind end) {
    flow.Report(id, Kind::kBytesSent);
    AttemptEvent event;
    event.m_kind = end;
    event.m_status = 201;
    event.m_content_type = "text/plain";
    event.m_body = "booked";
    event.m_held_bytes = 6;
    flow.Report(id, event);
    Store(flow);
  }

  static int Dispatches(FlowWorld& flow) {
    return static_cast<int>(flow.Take<DispatchAttempt>().size());
  }

  /// @return the refusal of the only request that ended since.
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

  std::optional<ClaimRecord> Row() {
    return m_store.m_rows.contains(kRowKey)
               ? ParseClaim(m_store.m_rows[kRowKey].m_value)
               : std::nullopt;
  }

  /// Carries questions of the second instance to the first, or to nobody.
  void AnswerQuestions(bool claimer_lives) {
    for (const QueryClaimer& ask : m_second.Take<QueryClaimer>()) {
      EXPECT_EQ(ask.m_claimer, InstanceId("i1"));
      const ClaimerAnswer answer =
          claimer_lives ? AnswerClaimQuestion(m_first.m_world, ask.m_claim_key,
                                              ask.m_claim_token)
                        : ClaimerAnswer::kUnreachable;
      m_second.m_world.m_claim_inbox.m_claimers.push_back(
          {ask.m_request, answer});
    }
    Store(m_second);
  }

  void AnswerService(ServiceKeyState state) {
    for (const QueryKeyStatus& ask : m_second.Take<QueryKeyStatus>()) {
      EXPECT_EQ(ask.m_path, "/status/key");
      m_second.m_world.m_claim_inbox.m_services.push_back(
          {ask.m_request, state, 201, "text/plain", "booked"});
    }
    Store(m_second);
  }

  TableStore m_store;
  FlowWorld m_first;
  FlowWorld m_second;
};

TEST_F(ClaimsTest, AreInsertedBeforeTheDispatchAndRecordedBeforeTheAnswer) {
  const RequestId id = m_first.Submit(m_first.Order("POST", "key"));
  m_first.Settle();
  EXPECT_EQ(Dispatches(m_first), 0);
  Store(m_first);
  EXPECT_EQ(Dispatches(m_first), 1);
  ASSERT_TRUE(Row());
  EXPECT_EQ(Row()->m_state, ClaimState::kOpen);
  m_first.Report(id, Kind::kBytesSent);
  m_first.Report(id, Kind::kComplete);
  EXPECT_TRUE(m_first.Take<FinishRelay>().empty());
  Store(m_first);
  EXPECT_EQ(m_first.Take<FinishRelay>().size(), 1U);
  EXPECT_EQ(Row()->m_state, ClaimState::kDone);
  const ClaimCounters& counters = m_first.m_world.m_claims.m_counters;
  EXPECT_EQ(counters.m_writes, 2U);
  EXPECT_EQ(counters.m_reads, 1U);
}

TEST_F(ClaimsTest, ReplayTheAnswerOnEveryInstance) {
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

TEST_F(ClaimsTest, LetOneOfTwoRacingInstancesDispatch) {
  m_first.Submit(m_first.Order("POST", "key"));
  m_second.Submit(m_second.Order("POST", "key"));
  m_first.Settle();
  m_second.Settle();
  Store(m_second);
  Store(m_first);
  EXPECT_EQ(Dispatches(m_first) + Dispatches(m_second), 1);
}

TEST_F(ClaimsTest, TellThatTheFirstRequestIsInProgress) {
  const RequestId id = Post(m_first);
  m_first.Report(id, Kind::kBytesSent);
  Post(m_second);
  AnswerQuestions(true);
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

/// The store fails at the insert and works afterwards.
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
    EXPECT_FALSE(Row());
    return;
  }
  EXPECT_EQ(Dispatches(m_first), 1);
  Run(m_first, id, Kind::kComplete);
  EXPECT_EQ(Row()->m_state, ClaimState::kDone);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    ClaimInserts,
    ::testing::Values(StoreFault{"Down", StoreStatus::kUnavailable, false},
                      StoreFault{"AnswerLost", StoreStatus::kUnknown, true},
                      StoreFault{"RequestLost", StoreStatus::kUnknown, false}),
    [](const auto& info) { return info.param.m_name; });

TEST_F(ClaimsTest, AreGivenUpWhenTheStoreIsSilent) {
  m_first.Submit(m_first.Order("POST", "key"));
  m_first.Settle();
  m_first.Advance(seconds(3));
  const RefuseRequest refusal = TakeRefusal(m_first);
  EXPECT_EQ(refusal.m_status, 503);
  EXPECT_EQ(refusal.m_outcome, Outcome::kNotRun);
  // The insert takes effect after all: the claim is withdrawn, not used.
  Store(m_first);
  EXPECT_EQ(Dispatches(m_first), 0);
  EXPECT_FALSE(Row());
  EXPECT_EQ(m_first.m_world.m_claims.m_unsettled, 0);
}

TEST_F(ClaimsTest, AreWithdrawnWhenTheRequestDidNotRun) {
  const RequestId id = Post(m_first);
  while (m_first.PhaseOf(id) != RequestPhase::kDone) {
    m_first.Report(id, Kind::kConnectFailed);
    Advance(seconds(1));
  }
  EXPECT_EQ(TakeRefusal(m_first).m_outcome, Outcome::kNotRun);
  EXPECT_FALSE(Row());
  Dispatches(m_second);
  Post(m_second);
  EXPECT_EQ(Dispatches(m_second), 1);
}

TEST_F(ClaimsTest, AreTakenOverWhenTheClaimerGaveUpDuringAnOutage) {
  const RequestId id = Post(m_first);
  m_store.m_down = true;
  m_first.m_world.m_request_inbox.m_callers_gone.push_back(id);
  m_first.Report(id, Kind::kConnectFailed);
  m_first.Advance(seconds(1));
  EXPECT_EQ(m_first.PhaseOf(id), RequestPhase::kDone);
  Store(m_first);
  m_store.m_down = false;
  Post(m_second);
  AnswerQuestions(true);
  EXPECT_EQ(Dispatches(m_second), 1);
  Dispatches(m_first);
  Advance(seconds(2));
  EXPECT_EQ(Dispatches(m_first), 0);
  ASSERT_TRUE(Row());
  EXPECT_EQ(Row()->m_claimer, InstanceId("i2"));
  EXPECT_EQ(m_first.m_world.m_claims.m_unsettled, 0);
}

TEST_F(ClaimsTest, AnswerAlthoughTheOutcomeCannotBeRecorded) {
  const RequestId id = Post(m_first);
  m_store.m_down = true;
  Run(m_first, id, Kind::kComplete);
  EXPECT_TRUE(m_first.Take<FinishRelay>().empty());
  Advance(seconds(1));
  EXPECT_EQ(m_first.Take<FinishRelay>().size(), 1U);
  EXPECT_EQ(Row()->m_state, ClaimState::kOpen);
  m_store.m_down = false;
  Advance(seconds(1));
  EXPECT_EQ(Row()->m_state, ClaimState::kDone);
  Post(m_second);
  ExpectReplay(m_second);
}

TEST_F(ClaimsTest, RecordTheOutcomeAlthoughTheAnswerOfTheStoreIsLost) {
  for (const bool took_effect : {true, false}) {
    m_store.m_rows.clear();
    FlowWorld flow("i3", 5);
    const RequestId id = Post(flow);
    m_store.m_fault = TableStore::Fault{StoreStatus::kUnknown, took_effect};
    Run(flow, id, Kind::kComplete);
    EXPECT_EQ(Row()->m_state, ClaimState::kDone);
    EXPECT_EQ(flow.Take<FinishRelay>().size(), 1U);
  }
}

TEST_F(ClaimsTest, GoOnForACallerWhoLeft) {
  const RequestId id = Post(m_first);
  m_first.Report(id, Kind::kBytesSent);
  m_first.m_world.m_request_inbox.m_callers_gone.push_back(id);
  m_first.Settle();
  EXPECT_TRUE(m_first.Take<CancelAttempt>().empty());
  Run(m_first, id, Kind::kComplete);
  EXPECT_EQ(Row()->m_state, ClaimState::kDone);
}

TEST_F(ClaimsTest, AreNotUsedByAClaimerThatWasPaused) {
  const RequestId id = m_first.Submit(m_first.Order("POST", "key"));
  m_first.Settle();
  m_store.Carry(m_first);
  // The answer of the store waits while the process is paused.
  m_first.m_now += seconds(29);
  Store(m_first);
  EXPECT_EQ(Dispatches(m_first), 0);
  EXPECT_EQ(m_first.PhaseOf(id), RequestPhase::kDone);
  EXPECT_EQ(TakeRefusal(m_first).m_outcome, Outcome::kNotRun);
  EXPECT_FALSE(Row());
}

TEST_F(ClaimsTest, TellTheLatestTimeOfTheDispatch) {
  Post(m_first);
  const auto dispatches = m_first.Take<DispatchAttempt>();
  ASSERT_EQ(dispatches.size(), 1U);
  EXPECT_EQ(dispatches[0].m_not_after, m_first.m_now + seconds(28));
}

struct LostClaimer {
  const char* m_name;
  bool m_dispatched;
  bool m_has_status_call;
  ServiceKeyState m_state;
  int m_status;      ///< Of the refusal, or zero for a replay.
  bool m_runs_here;  ///< Dispatched by the second instance.
};

class LostClaimers : public ClaimsTest,
                     public ::testing::WithParamInterface<LostClaimer> {};

TEST_P(LostClaimers, LeaveClaimsThatTheServiceSettles) {
  const LostClaimer& lost = GetParam();
  if (lost.m_has_status_call) {
    for (FlowWorld* flow : {&m_first, &m_second}) {
      flow->m_world.m_services[ServiceId("orders")].m_status_path =
          "/status/{key}";
    }
  }
  const RequestId id = Post(m_first);
  if (lost.m_dispatched) {
    m_first.Report(id, Kind::kBytesSent);
  }
  // The first instance dies here. Within the window nobody may take over.
  Post(m_second);
  AnswerQuestions(false);
  EXPECT_EQ(TakeRefusal(m_second).m_status, 409);
  EXPECT_TRUE(m_second.Take<QueryKeyStatus>().empty());
  m_second.Advance(seconds(39));
  Post(m_second);
  AnswerQuestions(false);
  AnswerService(lost.m_state);
  EXPECT_EQ(Dispatches(m_second), lost.m_runs_here ? 1 : 0);
  if (lost.m_runs_here) {
    return;
  }
  if (lost.m_status == 0) {
    ExpectReplay(m_second);
    Store(m_second);
    EXPECT_EQ(Row()->m_state, ClaimState::kDone);
    return;
  }
  const RefuseRequest refusal = TakeRefusal(m_second);
  EXPECT_EQ(refusal.m_status, lost.m_status);
  EXPECT_EQ(refusal.m_outcome, Outcome::kUnknown);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LostClaimers,
    ::testing::Values(
        LostClaimer{"NoStatusCall", true, false, ServiceKeyState::kNever, 409,
                    false},
        LostClaimer{"Done", true, true, ServiceKeyState::kDone, 0, false},
        LostClaimer{"Running", true, true, ServiceKeyState::kRunning, 409,
                    false},
        LostClaimer{"Unreachable", true, true, ServiceKeyState::kUnreachable,
                    409, false},
        LostClaimer{"Never", false, true, ServiceKeyState::kNever, 0, true},
        LostClaimer{"NotDispatched", false, false, ServiceKeyState::kNever, 409,
                    false}),
    [](const auto& info) { return info.param.m_name; });

TEST_F(ClaimsTest, StayUnknownAfterABreakUntilAnOperatorSettlesThem) {
  Run(m_first, Post(m_first), Kind::kBroken);
  Advance(seconds(1));
  EXPECT_EQ(TakeRefusal(m_first).m_outcome, Outcome::kUnknown);
  EXPECT_EQ(Row()->m_state, ClaimState::kUnknown);
  Post(m_second);
  RefuseRequest refusal = TakeRefusal(m_second);
  EXPECT_EQ(refusal.m_status, 409);
  EXPECT_EQ(refusal.m_refusal, Refusal::kKeyUnknown);

  const auto command = [this](std::optional<Outcome> resolution) {
    m_second.m_world.m_claim_inbox.m_commands.push_back(
        {CommandId("c"), OperatorId("ann"), kRowKey, resolution});
    Store(m_second);
    const auto results =
        std::exchange(m_second.m_world.m_claims.m_command_results, {});
    return results.at(0).m_status;
  };
  EXPECT_EQ(command(std::nullopt), ClaimCommandStatus::kShown);
  EXPECT_EQ(command(Outcome::kCompleted), ClaimCommandStatus::kResolved);
  EXPECT_EQ(Row()->m_settled_by, "ann");
  EXPECT_EQ(command(Outcome::kNotRun), ClaimCommandStatus::kAlreadySettled);
  Post(m_second);
  refusal = TakeRefusal(m_second);
  EXPECT_EQ(refusal.m_refusal, Refusal::kAnswerNotKept);
  EXPECT_EQ(refusal.m_outcome, Outcome::kCompleted);
}

TEST_F(ClaimsTest, MayRunAgainOnceAnOperatorSaidThatTheyDidNot) {
  Run(m_first, Post(m_first), Kind::kBroken);
  Advance(seconds(1));
  m_second.m_world.m_claim_inbox.m_commands.push_back(
      {CommandId("c"), OperatorId("ann"), kRowKey, Outcome::kNotRun});
  Store(m_second);
  EXPECT_FALSE(Row());
  Post(m_second);
  EXPECT_EQ(Dispatches(m_second), 1);
}

TEST_F(ClaimsTest, OperatorsDoNotSettleWhatIsRunning) {
  Post(m_first);
  m_second.m_world.m_claim_inbox.m_commands.push_back(
      {CommandId("c"), OperatorId("ann"), kRowKey, Outcome::kNotRun});
  Store(m_second);
  EXPECT_EQ(m_second.m_world.m_claims.m_command_results.at(0).m_status,
            ClaimCommandStatus::kInProgress);
  EXPECT_TRUE(Row());
}

TEST_F(ClaimsTest, LargeAnswersAreToldButNotKept) {
  const RequestId id = Post(m_first);
  m_first.Report(id, Kind::kBytesSent);
  AttemptEvent event;
  event.m_kind = Kind::kComplete;
  event.m_body = std::string(40 << 10, 'x');
  event.m_held_bytes = 40 << 10;
  m_first.Report(id, event);
  Store(m_first);
  EXPECT_EQ(Row()->m_state, ClaimState::kDone);
  Post(m_second);
  EXPECT_EQ(TakeRefusal(m_second).m_refusal, Refusal::kAnswerNotKept);
}

TEST_F(ClaimsTest, ShareTransactionsWhileCommitsAreInFlight) {
  for (int number = 0; number < 20; ++number) {
    m_first.Submit(m_first.Order("POST", "key-" + std::to_string(number)));
    m_first.Settle();
  }
  // Four commits of one row each are in flight; the rest shares the next.
  Store(m_first);
  EXPECT_EQ(Dispatches(m_first), 20);
  EXPECT_EQ(m_first.m_world.m_claims.m_counters.m_commits, 5U);
}

TEST_F(ClaimsTest, AConflictInATransactionHoldsUpOnlyItsOwnClaim) {
  Run(m_second, Post(m_second), Kind::kComplete);
  m_first.m_world.m_claim_parameters.m_commit_limit = 1;
  m_first.Submit(m_first.Order("POST", "other-1"));
  m_first.Settle();
  m_first.Submit(m_first.Order("POST", "other-2"));
  m_first.Submit(m_first.Order("POST", "key"));
  Store(m_first);
  EXPECT_EQ(Dispatches(m_first), 2);
  ExpectReplay(m_first);
}

TEST_F(ClaimsTest, ExpireByAScanOfOneInstance) {
  Run(m_first, Post(m_first), Kind::kComplete);
  Advance(std::chrono::hours(1));
  EXPECT_TRUE(Row());
  Advance(std::chrono::hours(24));
  EXPECT_FALSE(Row());
  EXPECT_EQ(m_first.m_world.m_claims.m_counters.m_expired, 1U);
  EXPECT_EQ(m_second.m_world.m_claims.m_counters.m_expired, 0U);
}

TEST(ClaimRows, KeepTheirPartsApart) {
  EXPECT_NE(
      ClaimRowKey(CustomerId("a/b"), ServiceId("c"), IdempotencyKey("d")),
      ClaimRowKey(CustomerId("a"), ServiceId("b/c"), IdempotencyKey("d")));
  EXPECT_FALSE(ParseClaim("{}"));
  EXPECT_FALSE(ParseClaim("garbage"));
}

}  // namespace
}  // namespace nutmeghollow
