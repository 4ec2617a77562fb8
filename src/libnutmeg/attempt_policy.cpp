#include "nutmeghollow/attempt_policy.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

/// First-byte timeout in latency targets, and idle timeout of a response that
/// is no stream. Applies only while another attempt is allowed.
constexpr int kFirstByteTimeoutTargets = 2;
/// Minimum first-byte timeout, so that a short latency target does not cause
/// timeouts on a slow instance.
constexpr Duration kMinFirstByteTimeout = std::chrono::milliseconds(250);
/// Idle timeout of a stream in gap targets.
constexpr int kIdleTimeoutGaps = 3;
constexpr Duration kMinIdleTimeout = std::chrono::milliseconds(1000);

}  // namespace

bool ProvesNotRun(AttemptFailure failure) {
  return failure == AttemptFailure::kUnreachable ||
         failure == AttemptFailure::kRefused ||
         failure == AttemptFailure::kWrongUpstream;
}

NextStep DecideNextStep(const HttpRoute& route,
                        AttemptFailure failure,
                        const RequestProgress& progress,
                        const AttemptPolicyParameters& parameters) {
  const bool has_time = progress.m_time_left > parameters.m_min_time_left;
  const bool may_run_again = route.MayRepeat() || !progress.m_may_have_run;
  const int max_attempts =
      failure == AttemptFailure::kUnreachable
          ? route.m_max_attempts + parameters.m_max_unreachable
          : route.m_max_attempts;
  const bool may_send =
      has_time && may_run_again && progress.m_attempts < max_attempts;
  if (progress.m_response_started) {
    const bool resumable = route.m_repeatability == Repeatability::kResumable &&
                           progress.m_can_resume;
    return may_send && resumable ? NextStep::kResume : NextStep::kAbort;
  }
  return may_send ? NextStep::kRetryElsewhere
                  : DecideFinalStep(failure, progress);
}

NextStep DecideFinalStep(AttemptFailure failure,
                         const RequestProgress& progress) {
  if (progress.m_response_started) {
    return NextStep::kAbort;
  }
  if (failure == AttemptFailure::kFailed) {
    return NextStep::kForwardError;
  }
  if (!progress.m_may_have_run) {
    return NextStep::kRefuse;
  }
  return failure == AttemptFailure::kTimedOut ? NextStep::kTimeOut
                                              : NextStep::kFail;
}

Duration FirstByteTimeout(const HttpRoute& route,
                          int attempts_left,
                          Duration time_left) {
  if (!route.MayRepeat() || attempts_left <= 0) {
    return time_left;
  }
  const Duration timeout = std::max(
      route.m_latency_target * kFirstByteTimeoutTargets, kMinFirstByteTimeout);
  return std::min(timeout, time_left);
}

Duration IdleTimeout(const HttpRoute& route,
                     int attempts_left,
                     Duration time_left) {
  if (!route.MayRepeat() || attempts_left <= 0) {
    return time_left;
  }
  const Duration timeout =
      route.m_streamed ? route.m_gap_target * kIdleTimeoutGaps
                       : route.m_latency_target * kFirstByteTimeoutTargets;
  return std::min(std::max(timeout, kMinIdleTimeout), time_left);
}

}  // namespace nutmeghollow
