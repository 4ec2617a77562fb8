#include "nutmeghollow/request_flow.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "flow_world.h"

namespace nutmeghollow {
namespace {

using Kind = AttemptEventKind;

/// Longer than every delay between an event and its effect.
constexpr Duration kMaxDelay = std::chrono::seconds(1);

/// @return the ends of requests as their callers saw them.
std::string TakeEnds(FlowWorld& flow) {
  std::string text;
  for (const RefuseRequest& refusal : flow.Take<RefuseRequest>()) {
    const char* outcome =
        refusal.m_outcome == Outcome::kNotRun ? "not-run" : "unknown";
    text += fmt::format("{} {}{};", refusal.m_status, outcome,
                        refusal.m_retry_after > Duration() ? " retry" : "");
  }
  for (const FinishRelay& finish : flow.Take<FinishRelay>()) {
    text += finish.m_outcome == Outcome::kCompleted ? "whole;" : "cut;";
  }
  return text;
}

struct FlowCase {
  const char* m_name;
  NewRequest m_request;
  std::vector<Kind> m_events;
  const char* m_end;  ///< Empty while the request is in progress.
  int m_dispatches;   ///< Including resumes.
  int m_resumes = 0;
  int m_cancels = 0;
};

void PrintTo(const FlowCase& flow_case, std::ostream* out) {
  *out << flow_case.m_name;
}

class Flows : public ::testing::TestWithParam<FlowCase> {};

TEST_P(Flows, EndAccordingToTheirEvents) {
  const FlowCase& flow_case = GetParam();
  FlowWorld flow;
  const RequestId id = flow.Submit(flow_case.m_request);
  flow.Settle();
  for (Kind kind : flow_case.m_events) {
    AttemptEvent event;
    event.m_kind = kind;
    event.m_bytes = kind == Kind::kResponseBytes ? 10 : 0;
    flow.Report(id, event);
    flow.Advance(kMaxDelay);
  }
  EXPECT_EQ(TakeEnds(flow), flow_case.m_end);
  int resumes = 0;
  const auto dispatches = flow.Take<DispatchAttempt>();
  for (const DispatchAttempt& dispatch : dispatches) {
    resumes += dispatch.m_resume ? 1 : 0;
  }
  EXPECT_EQ(static_cast<int>(dispatches.size()), flow_case.m_dispatches);
  EXPECT_EQ(resumes, flow_case.m_resumes);
  EXPECT_EQ(static_cast<int>(flow.Take<CancelAttempt>().size()),
            flow_case.m_cancels);
  if (*flow_case.m_end != '\0') {
    EXPECT_EQ(flow.m_world.m_requests.size(), 0U);
    EXPECT_TRUE(flow.m_world.m_request_flow.m_in_flight.empty());
    EXPECT_TRUE(flow.m_world.m_request_flow.m_wakeups.empty());
  }
}

NewRequest StreamedChat() {
  return FlowWorld().Chat(7);
}
NewRequest WholeChat() {
  return FlowWorld().Chat(7, false);
}
NewRequest UnknownModel() {
  NewRequest request = StreamedChat();
  request.m_route = RouteId("other");
  return request;
}
NewRequest UnknownService() {
  NewRequest request = FlowWorld().Order("POST", "key");
  request.m_service = ServiceId("other");
  return request;
}
NewRequest Get() {
  return FlowWorld().Order("GET", "");
}
NewRequest PostWithoutKey() {
  return FlowWorld().Order("POST", "");
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Flows,
    ::testing::Values(
        FlowCase{"UnknownModel", UnknownModel(), {}, "404 not-run;", 0},
        FlowCase{"UnknownService", UnknownService(), {}, "404 not-run;", 0},
        FlowCase{"Dispatched", StreamedChat(), {}, "", 1},
        FlowCase{"Sent", StreamedChat(), {Kind::kBytesSent}, "", 1},
        FlowCase{"Stream",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kHeaders, Kind::kResponseBytes,
                  Kind::kComplete},
                 "whole;",
                 1},
        FlowCase{"Whole",
                 WholeChat(),
                 {Kind::kBytesSent, Kind::kHeaders, Kind::kComplete},
                 "whole;",
                 1},
        FlowCase{"ConnectFailsOnce",
                 StreamedChat(),
                 {Kind::kConnectFailed, Kind::kBytesSent, Kind::kComplete},
                 "whole;",
                 2},
        FlowCase{
            "ConnectAlwaysFails",
            StreamedChat(),
            {Kind::kConnectFailed, Kind::kConnectFailed, Kind::kConnectFailed},
            "503 not-run retry;",
            3},
        FlowCase{"RefusedAlways",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kRefused, Kind::kBytesSent,
                  Kind::kRefused, Kind::kBytesSent, Kind::kRefused},
                 "503 not-run retry;",
                 3},
        FlowCase{"RefusedAfterABreak",
                 WholeChat(),
                 {Kind::kBytesSent, Kind::kBroken, Kind::kBytesSent,
                  Kind::kRefused, Kind::kBytesSent, Kind::kRefused},
                 "503 unknown retry;",
                 3,
                 0,
                 1},
        FlowCase{"BrokenStreamResumes",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kResponseBytes, Kind::kBroken,
                  Kind::kBytesSent, Kind::kHeaders, Kind::kResponseBytes,
                  Kind::kComplete},
                 "whole;",
                 2,
                 1},
        FlowCase{"SilentStreamResumes",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kTimeout, Kind::kBytesSent,
                  Kind::kResponseBytes, Kind::kComplete},
                 "whole;",
                 2,
                 1},
        FlowCase{"ResumeNotKept",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kResponseBytes, Kind::kBroken,
                  Kind::kBytesSent, Kind::kStreamNotRetained},
                 "cut;",
                 2,
                 1},
        FlowCase{"ResumeNeverWorks",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kResponseBytes, Kind::kBroken,
                  Kind::kConnectFailed, Kind::kConnectFailed},
                 "cut;",
                 3,
                 2,
                 1},
        FlowCase{"StreamWithoutMarker",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kResponseBytes, Kind::kIncomplete,
                  Kind::kBytesSent, Kind::kIncomplete, Kind::kBytesSent,
                  Kind::kIncomplete},
                 "cut;",
                 3,
                 2,
                 1},
        FlowCase{"NotKeptBeforeTheFirstByteRunsAgain",
                 StreamedChat(),
                 {Kind::kBytesSent, Kind::kBroken, Kind::kBytesSent,
                  Kind::kStreamNotRetained, Kind::kBytesSent, Kind::kComplete},
                 "whole;",
                 3,
                 1},
        FlowCase{"BrokenWholeChatRunsAgain",
                 WholeChat(),
                 {Kind::kBytesSent, Kind::kBroken, Kind::kBytesSent,
                  Kind::kComplete},
                 "whole;",
                 2,
                 0,
                 1},
        FlowCase{"SilentWholeChatIsRequestedAgain",
                 WholeChat(),
                 {Kind::kBytesSent, Kind::kTimeout, Kind::kBytesSent,
                  Kind::kHeaders, Kind::kComplete},
                 "whole;",
                 2,
                 1},
        FlowCase{"WholeChatThatIsNotKeptRunsAgain",
                 WholeChat(),
                 {Kind::kBytesSent, Kind::kTimeout, Kind::kBytesSent,
                  Kind::kStreamNotRetained, Kind::kBytesSent, Kind::kComplete},
                 "whole;",
                 3,
                 1},
        FlowCase{"CrossedAnswerRunsAgain",
                 WholeChat(),
                 {Kind::kBytesSent, Kind::kWrongRequestId, Kind::kBytesSent,
                  Kind::kComplete},
                 "whole;",
                 2,
                 0,
                 1},
        FlowCase{"BrokenGetRunsAgain",
                 Get(),
                 {Kind::kBytesSent, Kind::kBroken, Kind::kBytesSent,
                  Kind::kComplete},
                 "whole;",
                 2},
        FlowCase{"PostRuns",
                 PostWithoutKey(),
                 {Kind::kBytesSent, Kind::kComplete},
                 "whole;",
                 1},
        FlowCase{"BrokenPostIsUnknown",
                 PostWithoutKey(),
                 {Kind::kBytesSent, Kind::kBroken},
                 "502 unknown;",
                 1},
        FlowCase{"SilentPostIsUnknown",
                 PostWithoutKey(),
                 {Kind::kBytesSent, Kind::kTimeout},
                 "504 unknown;",
                 1},
        FlowCase{"CrossedPostIsUnknown",
                 PostWithoutKey(),
                 {Kind::kBytesSent, Kind::kWrongRequestId},
                 "502 unknown;",
                 1},
        FlowCase{"UnsentPostRunsElsewhere",
                 PostWithoutKey(),
                 {Kind::kConnectFailed, Kind::kBytesSent, Kind::kComplete},
                 "whole;",
                 2},
        FlowCase{"RefusedPostRunsElsewhere",
                 PostWithoutKey(),
                 {Kind::kBytesSent, Kind::kRefused, Kind::kBytesSent,
                  Kind::kComplete},
                 "whole;",
                 2}),
    [](const auto& info) { return info.param.m_name; });

TEST(RequestFlow, RefusesWithoutConfiguration) {
  FlowWorld flow;
  flow.m_world.m_configuration.m_revision = Revision();
  flow.Submit(flow.Chat(1));
  flow.Settle();
  EXPECT_EQ(TakeEnds(flow), "503 not-run retry;");
}

TEST(RequestFlow, RefusesWhileIsolated) {
  FlowWorld flow;
  flow.m_world.m_configuration.m_isolated = true;
  flow.Submit(flow.Chat(1));
  flow.Settle();
  EXPECT_EQ(TakeEnds(flow), "503 not-run retry;");
}

TEST(RequestFlow, EventsOfEarlierAttemptsHaveNoEffect) {
  FlowWorld flow;
  const RequestId id = flow.Submit(flow.Chat(1));
  flow.Settle();
  const AttemptId first = flow.m_world.m_requests.Find(id)->m_attempt;
  flow.Report(id, Kind::kConnectFailed);
  flow.Advance(kMaxDelay);
  AttemptEvent late{id, first, Kind::kComplete};
  flow.m_world.m_request_inbox.m_attempts.push_back(late);
  flow.Settle();
  EXPECT_EQ(flow.PhaseOf(id), RequestPhase::kDispatched);
  EXPECT_EQ(TakeEnds(flow), "");
}

struct DeadlineCase {
  const char* m_name;
  std::vector<Kind> m_events;
  const char* m_end;
};

class Deadlines : public ::testing::TestWithParam<DeadlineCase> {};

TEST_P(Deadlines, EndARequestAtOnce) {
  FlowWorld flow;
  const RequestId id = flow.Submit(flow.Chat(1));
  flow.Settle();
  for (Kind kind : GetParam().m_events) {
    AttemptEvent event;
    event.m_kind = kind;
    event.m_bytes = kind == Kind::kResponseBytes ? 10 : 0;
    flow.Report(id, event);
  }
  flow.Advance(std::chrono::seconds(119));
  EXPECT_EQ(TakeEnds(flow), "");
  flow.Advance(std::chrono::seconds(1));
  EXPECT_EQ(TakeEnds(flow), GetParam().m_end);
  EXPECT_EQ(flow.Take<CancelAttempt>().size(), 1U);
  EXPECT_EQ(flow.m_world.m_requests.size(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Deadlines,
    ::testing::Values(
        DeadlineCase{"Connecting", {}, "504 not-run retry;"},
        DeadlineCase{"Sent", {Kind::kBytesSent}, "504 unknown retry;"},
        DeadlineCase{"Streaming",
                     {Kind::kBytesSent, Kind::kResponseBytes},
                     "cut;"}),
    [](const auto& info) { return info.param.m_name; });

TEST(RequestFlow, CancelsWhenTheCallerDisconnects) {
  FlowWorld flow;
  const RequestId id = flow.Submit(flow.Chat(1));
  flow.Settle();
  flow.Report(id, Kind::kBytesSent);
  flow.m_world.m_request_inbox.m_callers_disconnected.push_back(id);
  flow.Settle();
  EXPECT_EQ(flow.Take<CancelAttempt>().size(), 1U);
  EXPECT_EQ(TakeEnds(flow), "cut;");  // Makes the adapter release the request.
  EXPECT_EQ(flow.m_world.m_requests.size(), 0U);
  EXPECT_EQ(flow.m_world.m_upstreams.m_rows.begin()->second.m_local_running, 0);
}

TEST(RequestFlow, RetriesStopWhenTheBudgetIsUsedUp) {
  FlowWorld flow;
  int refused = 0;
  for (int number = 0; number < 100; ++number) {
    const RequestId id = flow.Submit(flow.Chat(100 + number));
    flow.Settle();
    while (flow.PhaseOf(id) != RequestPhase::kDone) {
      flow.Report(id, Kind::kConnectFailed);
      flow.Advance(kMaxDelay);
    }
    refused += TakeEnds(flow).empty() ? 0 : 1;
  }
  EXPECT_EQ(refused, 100);
  EXPECT_LE(flow.m_world.m_request_flow.m_counters.m_retries, 30U);
}

}  // namespace
}  // namespace nutmeghollow
