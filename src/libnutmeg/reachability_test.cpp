#include "nutmeghollow/reachability.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using State = ReachabilityState;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

/// One observation at a time in milliseconds.
struct Step {
  enum class Kind {
    kSent,       ///< m_number: call.
    kHeardNew,   ///< On a connection that the call opened.
    kHeardKept,  ///< On a connection that had carried another call.
    kEnd,
    kFailure,  ///< m_number: upstream.
    kRound,    ///< A round that was due; m_number: responses of 3 checks.
    kNotDue,   ///< No round is due.
  };
  int m_at_ms = 0;
  Kind m_kind = Kind::kNotDue;
  int m_number = 0;
  int m_others = 5;  ///< Instances that reach upstreams, of a round.
};
using Kind = Step::Kind;

struct Case {
  std::string m_name;
  std::vector<Step> m_steps;
  State m_state = State::kReached;
  UpstreamReach m_reach = UpstreamReach::kReached;
};

void Apply(const Step& step, Reachability* reachability) {
  const auto call = static_cast<std::uint64_t>(step.m_number);
  const TimePoint now = At(step.m_at_ms);
  switch (step.m_kind) {
    case Kind::kSent:
      reachability->NoteSent(call, now);
      return;
    case Kind::kHeardNew:
      reachability->NoteHeard(call, true, now);
      return;
    case Kind::kHeardKept:
      reachability->NoteHeard(call, false, now);
      return;
    case Kind::kEnd:
      reachability->NoteEnd(call);
      return;
    case Kind::kFailure:
      reachability->NoteFailure(UpstreamId("u" + std::to_string(step.m_number)),
                                now);
      return;
    case Kind::kRound:
      ASSERT_TRUE(reachability->IsRoundDue(now)) << step.m_at_ms;
      reachability->NoteRoundBegan(now);
      reachability->NoteRound({3, step.m_number, step.m_others}, now);
      return;
    case Kind::kNotDue:
      ASSERT_FALSE(reachability->IsRoundDue(now)) << step.m_at_ms;
      return;
  }
}

class ReachabilityTable : public ::testing::TestWithParam<Case> {};

TEST_P(ReachabilityTable, Decides) {
  Reachability reachability;
  for (const Step& step : GetParam().m_steps) {
    ASSERT_NO_FATAL_FAILURE(Apply(step, &reachability));
  }
  EXPECT_EQ(reachability.State(), GetParam().m_state);
  EXPECT_EQ(reachability.OwnReach(), GetParam().m_reach);
}

INSTANTIATE_TEST_SUITE_P(
    Reachability,
    ReachabilityTable,
    ::testing::Values(Case{"OneBadUpstreamIsNoSuspicion",
                           {{0, Kind::kFailure, 1},
                            {100, Kind::kFailure, 1},
                            {200, Kind::kFailure, 1},
                            {200, Kind::kNotDue}}},
                      Case{"FailuresFarApartAreNoSuspicion",
                           {{0, Kind::kFailure, 1},
                            {1100, Kind::kFailure, 2},
                            {1100, Kind::kNotDue}}},
                      Case{"AResponseOnANewConnectionClearsFailures",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kSent, 7},
                            {20, Kind::kHeardNew, 7},
                            {30, Kind::kFailure, 2},
                            {30, Kind::kNotDue}}},
                      Case{"OpenConnectionsMayLiveOnWhileNewOnesAreRefused",
                           {{0, Kind::kFailure, 1},
                            {20, Kind::kHeardKept, 7},
                            {30, Kind::kFailure, 2},
                            {40, Kind::kHeardKept, 7},
                            {50, Kind::kRound, 0}},
                           State::kCutOff,
                           UpstreamReach::kCutOff},
                      Case{"OneResponseToACheckEndsTheSuspicion",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 1},
                            {21, Kind::kNotDue}}},
                      Case{"ASuspicionIsNotRepeatedAtOnce",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 1},
                            {30, Kind::kFailure, 1},
                            {40, Kind::kFailure, 2},
                            {300, Kind::kNotDue}}},
                      Case{"SilenceWhileARequestWaitsIsASuspicion",
                           {{0, Kind::kSent, 7},
                            {399, Kind::kNotDue},
                            {400, Kind::kRound, 0}},
                           State::kCutOff,
                           UpstreamReach::kCutOff},
                      Case{"SilenceWithoutARequestIsNone",
                           {{0, Kind::kSent, 7},
                            {50, Kind::kHeardNew, 7},
                            {60, Kind::kSent, 8},
                            {70, Kind::kEnd, 8},
                            {5000, Kind::kNotDue}}},
                      Case{"ASlowResponseAmongOthersIsNone",
                           {{0, Kind::kSent, 7},
                            {350, Kind::kSent, 8},
                            {390, Kind::kHeardKept, 8},
                            {700, Kind::kNotDue}}},
                      Case{"AnIdleInstanceWithOneSlowRequestChecksLessAndLess",
                           {{0, Kind::kSent, 7},
                            {400, Kind::kRound, 1},
                            {1199, Kind::kNotDue},
                            {1200, Kind::kRound, 1},
                            {2799, Kind::kNotDue},
                            {2800, Kind::kRound, 1},
                            {4399, Kind::kNotDue},
                            {4400, Kind::kRound, 1}}},
                      Case{"RequestsThatAreAlwaysSlowDoNotCauseChecksEachTime",
                           {{0, Kind::kSent, 7},
                            {400, Kind::kRound, 1},
                            {600, Kind::kHeardNew, 7},
                            {1000, Kind::kSent, 8},
                            {1600, Kind::kNotDue},
                            {1600, Kind::kHeardNew, 8},
                            {2000, Kind::kSent, 9},
                            {2600, Kind::kNotDue}}},
                      Case{"TheQuietTimeIsShortenedAgainLater",
                           {{0, Kind::kSent, 7},
                            {400, Kind::kRound, 1},
                            {500, Kind::kHeardNew, 7},
                            {60401, Kind::kHeardKept, 6},
                            {60500, Kind::kSent, 8},
                            {60900, Kind::kRound, 0}},
                           State::kCutOff,
                           UpstreamReach::kCutOff},
                      Case{"WhenNoInstanceReachesThemTheUpstreamsAreDown",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0, 0}},
                           State::kSuspected,
                           UpstreamReach::kCutOff},
                      Case{"IsCutOffWhenAnotherInstanceReachesThemAgain",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0, 0},
                            {300, Kind::kRound, 0, 1}},
                           State::kCutOff,
                           UpstreamReach::kCutOff},
                      Case{"IsNotCutOffOnceTheOthersDoNotReachThemEither",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0, 3},
                            {300, Kind::kRound, 0, 0}},
                           State::kSuspected,
                           UpstreamReach::kCutOff},
                      Case{"ResponsesOnOpenConnectionsDoNotHeal",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0},
                            {100, Kind::kHeardKept, 7},
                            {200, Kind::kHeardKept, 7},
                            {300, Kind::kRound, 0}},
                           State::kCutOff,
                           UpstreamReach::kCutOff},
                      Case{"AFewResponsesDoNotHeal",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0},
                            {300, Kind::kRound, 3},
                            {600, Kind::kRound, 3},
                            {900, Kind::kRound, 1},
                            {1200, Kind::kRound, 3}},
                           State::kCutOff,
                           UpstreamReach::kCutOff},
                      Case{"ThreeRoundsHeal",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0},
                            {300, Kind::kRound, 3},
                            {600, Kind::kRound, 2},
                            {900, Kind::kRound, 3},
                            {901, Kind::kNotDue}},
                           State::kReturning},
                      Case{"AnotherCutDuringTheReturnIsNoticed",
                           {{0, Kind::kFailure, 1},
                            {10, Kind::kFailure, 2},
                            {20, Kind::kRound, 0},
                            {300, Kind::kRound, 3},
                            {600, Kind::kRound, 3},
                            {900, Kind::kRound, 3},
                            {1410, Kind::kFailure, 1},
                            {1420, Kind::kFailure, 2},
                            {1430, Kind::kRound, 0}},
                           State::kCutOff,
                           UpstreamReach::kCutOff}),
    [](const auto& info) { return info.param.m_name; });

TEST(Reachability, ReturnsRequestsGraduallyToTheUpstreams) {
  Reachability reachability;
  reachability.Suspect(At(0));
  EXPECT_TRUE(reachability.AwaitsVerdict());
  EXPECT_EQ(reachability.DirectShare(At(0)), 1);
  reachability.NoteRound({3, 0, 1}, At(0));
  EXPECT_FALSE(reachability.AwaitsVerdict());
  EXPECT_EQ(reachability.DirectShare(At(0)), 0);
  for (const int at_ms : {300, 600, 900}) {
    reachability.NoteRound({3, 3, 1}, At(at_ms));
  }
  EXPECT_NEAR(reachability.DirectShare(At(900)), 0.1, 0.01);
  EXPECT_NEAR(reachability.DirectShare(At(1400)), 0.55, 0.01);
  EXPECT_EQ(reachability.DirectShare(At(1900)), 1);
  EXPECT_FALSE(reachability.IsRoundDue(At(1900)));
  EXPECT_EQ(reachability.State(), State::kReached);
  EXPECT_FALSE(reachability.IsActive());
}

TEST(Reachability, ChecksOneUpstreamAtATimeWhileNoneResponds) {
  Reachability reachability;
  reachability.Suspect(At(0));
  EXPECT_EQ(reachability.ChecksWanted(), 3);
  reachability.NoteRound({3, 0, 1}, At(0));
  EXPECT_EQ(reachability.ChecksWanted(), 1);
  reachability.NoteRound({1, 1, 1}, At(300));
  EXPECT_EQ(reachability.ChecksWanted(), 3);
  reachability.NoteRound({3, 1, 1}, At(600));
  EXPECT_EQ(reachability.ChecksWanted(), 1);
}

TEST(Reachability, DoesNotBelieveToBeCutOffFromASingleUpstream) {
  Reachability reachability;
  reachability.Suspect(At(0));
  reachability.NoteRound({1, 0, 1}, At(0));
  EXPECT_EQ(reachability.State(), State::kReached);
}

}  // namespace
}  // namespace nutmeghollow
