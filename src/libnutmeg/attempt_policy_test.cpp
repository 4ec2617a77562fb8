#include "nutmeghollow/attempt_policy.h"

#include <gtest/gtest.h>

#include <ostream>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

HttpRoute RouteOf(Repeatability repeatability, int attempts) {
  HttpRoute route;
  route.m_repeatability = repeatability;
  route.m_streamed = repeatability == Repeatability::kResumable;
  route.m_max_attempts = attempts;
  route.m_latency_target = milliseconds(400);
  route.m_gap_target = milliseconds(400);
  return route;
}

struct StepCase {
  const char* m_name;
  Repeatability m_repeatability;
  int m_max_attempts;
  AttemptFailure m_failure;
  RequestProgress m_progress;
  NextStep m_step;
};

void PrintTo(const StepCase& one, std::ostream* out) {
  *out << one.m_name;
}

constexpr auto kOnce = Repeatability::kAtMostOnce;
constexpr auto kAgain = Repeatability::kIdempotent;
constexpr auto kResume = Repeatability::kResumable;
constexpr Duration kTime = milliseconds(500);

class Step : public testing::TestWithParam<StepCase> {};

TEST_P(Step, FollowsFromWhatIsKnown) {
  const StepCase& one = GetParam();
  EXPECT_EQ(
      DecideNextStep(RouteOf(one.m_repeatability, one.m_max_attempts),
                     one.m_failure, one.m_progress, AttemptPolicyParameters()),
      one.m_step);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Step,
    testing::Values(
        StepCase{"a non-idempotent request that may have run ends",
                 kOnce,
                 3,
                 AttemptFailure::kBroken,
                 {1, true, false, false, kTime},
                 NextStep::kFail},
        StepCase{"and is not said to be timed out unless it was silent",
                 kOnce,
                 3,
                 AttemptFailure::kTimedOut,
                 {1, true, false, false, kTime},
                 NextStep::kTimeOut},
        StepCase{"one that was refused is sent again",
                 kOnce,
                 2,
                 AttemptFailure::kRefused,
                 {1, false, false, false, kTime},
                 NextStep::kRetryElsewhere},
        StepCase{"but not above the route's attempts",
                 kOnce,
                 1,
                 AttemptFailure::kRefused,
                 {1, false, false, false, kTime},
                 NextStep::kRefuse},
        StepCase{"an unreached upstream is no attempt of the route",
                 kOnce,
                 1,
                 AttemptFailure::kUnreachable,
                 {1, false, false, false, kTime},
                 NextStep::kRetryElsewhere},
        StepCase{"a refusal after a run is no proof for the run",
                 kOnce,
                 3,
                 AttemptFailure::kRefused,
                 {2, true, false, false, kTime},
                 NextStep::kFail},
        StepCase{"an idempotent request is sent again after a break",
                 kAgain,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, false, false, kTime},
                 NextStep::kRetryElsewhere},
        StepCase{"and after an upstream's own error",
                 kAgain,
                 2,
                 AttemptFailure::kFailed,
                 {1, true, false, false, kTime},
                 NextStep::kRetryElsewhere},
        StepCase{"whose last error is given on",
                 kAgain,
                 2,
                 AttemptFailure::kFailed,
                 {2, true, false, false, kTime},
                 NextStep::kForwardError},
        StepCase{"a non-idempotent one's error is given on at once",
                 kOnce,
                 3,
                 AttemptFailure::kFailed,
                 {1, true, false, false, kTime},
                 NextStep::kForwardError},
        StepCase{"nothing is sent without time left",
                 kAgain,
                 3,
                 AttemptFailure::kBroken,
                 {1, true, false, false, milliseconds(5)},
                 NextStep::kFail},
        StepCase{"a stream that began goes on where it may",
                 kResume,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, true, true, kTime},
                 NextStep::kResume},
        StepCase{"but not without a place to go on from",
                 kResume,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, true, false, kTime},
                 NextStep::kAbort},
        StepCase{"a stream that may not be resumed is broken off",
                 kOnce,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, true, true, kTime},
                 NextStep::kAbort}));

TEST(AttemptLimits, WaitOnlyWhereAnotherUpstreamMayBeAsked) {
  const Duration left = std::chrono::seconds(15);
  EXPECT_EQ(FirstByteTimeout(RouteOf(kOnce, 3), 2, left), left);
  EXPECT_EQ(FirstByteTimeout(RouteOf(kResume, 2), 0, left), left);
  EXPECT_LT(FirstByteTimeout(RouteOf(kResume, 2), 1, left), left);
  EXPECT_LT(IdleTimeout(RouteOf(kAgain, 2), 1, left), left);
  EXPECT_EQ(IdleTimeout(RouteOf(kAgain, 2), 0, left), left);
  EXPECT_EQ(IdleTimeout(RouteOf(kOnce, 3), 1, left), left);
  EXPECT_LT(IdleTimeout(RouteOf(kResume, 2), 1, left), left);
}

}  // namespace
}  // namespace nutmeghollow
