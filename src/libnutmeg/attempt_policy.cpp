#include "nutmeghollow/attempt_policy.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

/// A first answer later than this many latency targets, or a whole answer that
/// rests for as long, is taken for a silent upstream, as long as another one
/// may be asked.
constexpr int kFirstByteTargets = 2;
/// Least wait for a first byte, so that a short target is not taken for
/// silence on a slow instance.
constexpr Duration kLeastFirstByte = std::chrono::milliseconds(250);
/// A pause longer than this many gap targets is taken for silence.
constexpr int kSilenceGaps = 3;
constexpr Duration kLeastSilence = std::chrono::milliseconds(1000);

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
  const bool has_time = progress.m_time_left > parameters.m_least_time;
  const bool may_run_again = route.MayRepeat() || !progress.m_may_have_run;
  const int most = failure == AttemptFailure::kUnreachable
                       ? route.m_max_attempts + parameters.m_most_unreached
                       : route.m_max_attempts;
  const bool may_send = has_time && may_run_again && progress.m_attempts < most;
  if (progress.m_response_started) {
    const bool resumable = route.m_repeatability == Repeatability::kResumable &&
                           progress.m_can_resume;
    return may_send && resumable ? NextStep::kResume : NextStep::kAbort;
  }
  return may_send ? NextStep::kRetryElsewhere : DecideFinalStep(failure, progress);
}

NextStep DecideFinalStep(AttemptFailure failure, const RequestProgress& progress) {
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
  const Duration patient =
      std::max(route.m_latency_target * kFirstByteTargets, kLeastFirstByte);
  return std::min(patient, time_left);
}

Duration IdleTimeout(const HttpRoute& route,
                      int attempts_left,
                      Duration time_left) {
  if (!route.MayRepeat() || attempts_left <= 0) {
    return time_left;
  }
  const Duration patient = route.m_streamed
                               ? route.m_gap_target * kSilenceGaps
                               : route.m_latency_target * kFirstByteTargets;
  return std::min(std::max(patient, kLeastSilence), time_left);
}

}  // namespace nutmeghollow
