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

void PrintTo(const StepCase& test, std::ostream* out) {
  *out << test.m_name;
}

constexpr auto kOnce = Repeatability::kAtMostOnce;
constexpr auto kIdempotent = Repeatability::kIdempotent;
constexpr auto kResume = Repeatability::kResumable;
constexpr Duration kTimeLeft = milliseconds(500);

class Step : public testing::TestWithParam<StepCase> {};

TEST_P(Step, FollowsFromFailureAndProgress) {
  const StepCase& test = GetParam();
  EXPECT_EQ(DecideNextStep(RouteOf(test.m_repeatability, test.m_max_attempts),
                           test.m_failure, test.m_progress,
                           AttemptPolicyParameters()),
            test.m_step);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Step,
    testing::Values(
        StepCase{"a non-idempotent request that may have run ends",
                 kOnce,
                 3,
                 AttemptFailure::kBroken,
                 {1, true, false, false, kTimeLeft},
                 NextStep::kFail},
        StepCase{"it times out only when there was no response in time",
                 kOnce,
                 3,
                 AttemptFailure::kTimedOut,
                 {1, true, false, false, kTimeLeft},
                 NextStep::kTimeOut},
        StepCase{"a refused request is retried",
                 kOnce,
                 2,
                 AttemptFailure::kRefused,
                 {1, false, false, false, kTimeLeft},
                 NextStep::kRetryElsewhere},
        StepCase{"but not beyond the route's attempts",
                 kOnce,
                 1,
                 AttemptFailure::kRefused,
                 {1, false, false, false, kTimeLeft},
                 NextStep::kRefuse},
        StepCase{
            "an unreachable upstream does not use up an attempt of the route",
            kOnce,
            1,
            AttemptFailure::kUnreachable,
            {1, false, false, false, kTimeLeft},
            NextStep::kRetryElsewhere},
        StepCase{"a refusal does not prove that an earlier attempt did not run",
                 kOnce,
                 3,
                 AttemptFailure::kRefused,
                 {2, true, false, false, kTimeLeft},
                 NextStep::kFail},
        StepCase{"an idempotent request is retried after a lost connection",
                 kIdempotent,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, false, false, kTimeLeft},
                 NextStep::kRetryElsewhere},
        StepCase{"and after an upstream's own error",
                 kIdempotent,
                 2,
                 AttemptFailure::kFailed,
                 {1, true, false, false, kTimeLeft},
                 NextStep::kRetryElsewhere},
        StepCase{"whose last error is forwarded",
                 kIdempotent,
                 2,
                 AttemptFailure::kFailed,
                 {2, true, false, false, kTimeLeft},
                 NextStep::kForwardError},
        StepCase{"the error of a non-idempotent request is forwarded at once",
                 kOnce,
                 3,
                 AttemptFailure::kFailed,
                 {1, true, false, false, kTimeLeft},
                 NextStep::kForwardError},
        StepCase{"no retry without time left",
                 kIdempotent,
                 3,
                 AttemptFailure::kBroken,
                 {1, true, false, false, milliseconds(5)},
                 NextStep::kFail},
        StepCase{"a started stream is resumed where allowed",
                 kResume,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, true, true, kTimeLeft},
                 NextStep::kResume},
        StepCase{"but not without an event to resume from",
                 kResume,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, true, false, kTimeLeft},
                 NextStep::kAbort},
        StepCase{"a stream that must not be resumed is aborted",
                 kOnce,
                 2,
                 AttemptFailure::kBroken,
                 {1, true, true, true, kTimeLeft},
                 NextStep::kAbort}));

TEST(AttemptTimeouts, AreShortOnlyWhenAnotherAttemptIsAllowed) {
  const Duration left = std::chrono::seconds(15);
  EXPECT_EQ(FirstByteTimeout(RouteOf(kOnce, 3), 2, left), left);
  EXPECT_EQ(FirstByteTimeout(RouteOf(kResume, 2), 0, left), left);
  EXPECT_LT(FirstByteTimeout(RouteOf(kResume, 2), 1, left), left);
  EXPECT_LT(IdleTimeout(RouteOf(kIdempotent, 2), 1, left), left);
  EXPECT_EQ(IdleTimeout(RouteOf(kIdempotent, 2), 0, left), left);
  EXPECT_EQ(IdleTimeout(RouteOf(kOnce, 3), 1, left), left);
  EXPECT_LT(IdleTimeout(RouteOf(kResume, 2), 1, left), left);
}

}  // namespace
}  // namespace nutmeghollow
