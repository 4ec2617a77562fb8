/// @file
/// What follows when an attempt at an upstream did not serve a request.
#pragma once

#include "nutmeghollow/routing.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// How an attempt ended without a whole answer that can be given on.
enum class AttemptFailure {
  kUnreachable,    ///< No connection: not run.
  kRefused,        ///< The upstream says that it did not run the request.
  kWrongUpstream,  ///< Another upstream answers at the address: not run.
  kBroken,         ///< Sent; the connection broke or the bytes made no sense.
  kTimedOut,         ///< Sent; no answer in the time that it was given.
  kFailed,         ///< The upstream's own, whole error answer.
};

/// @return true when the request did not run in such an attempt.
bool ProvesNotRun(AttemptFailure failure);

/// What is known of a request when an attempt ends.
struct RequestProgress {
  int m_attempts = 0;           ///< Sends so far, the ended one included.
  bool m_may_have_run = false;  ///< In any attempt, the ended one included.
  bool m_response_started = false;  ///< The caller has a part of the answer.
  bool m_can_resume = false;    ///< The place to go on from is known.
  Duration m_time_left{};
};

/// What to do next.
enum class NextStep {
  kRetryElsewhere,  ///< Ask the allowance, then send to another upstream.
  kResume,     ///< As kRetryElsewhere, from the last event given on.
  kForwardError,     ///< Give the upstream's error answer to the caller.
  kRefuse,     ///< Tell the caller that it did not run, and when to return.
  kFail,       ///< Tell the caller that it failed.
  kTimeOut,    ///< Tell the caller that no answer came in time.
  kAbort,      ///< Break the answer off, so that it does not look complete.
};

/// Settings of repeated sends.
struct AttemptPolicyParameters {
  /// Least time left for which another send is worth its place: a connection
  /// in the region and the work of a plain request.
  Duration m_least_time = std::chrono::milliseconds(40);
  /// Sends of a request that provably did not run, beyond the route's
  /// attempts: connections that fail cost the upstreams nothing.
  int m_most_unreached = 4;
};

/// Decides what follows a failed attempt.
NextStep DecideNextStep(const HttpRoute& route,
                        AttemptFailure failure,
                        const RequestProgress& progress,
                        const AttemptPolicyParameters& parameters);

/// @return the step that ends a request which may not be sent again.
NextStep DecideFinalStep(AttemptFailure failure, const RequestProgress& progress);

/// Longest wait for the first byte of an answer.
/// @param attempts_left sends that remain after this one.
/// @param time_left until the caller's deadline or the route's time-out.
Duration FirstByteTimeout(const HttpRoute& route,
                        int attempts_left,
                        Duration time_left);

/// Longest time without progress of an answer that has begun: of a stream
/// without a whole event, of another answer without a part of its body.
Duration IdleTimeout(const HttpRoute& route,
                      int attempts_left,
                      Duration time_left);

}  // namespace nutmeghollow
