/// @file
/// Ends of requests. Every request ends through one of these functions, so that
/// its caller gets exactly one response.
#pragma once

#include <string>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

namespace detail {

/// HTTP status and problem texts of a refusal.
struct RefusalText {
  int m_status = 503;
  const char* m_title = "";
  const char* m_detail = "";
  /// A retry may succeed, so that Retry-After is sent even without a known
  /// time.
  bool m_retryable = false;
};

/// @return HTTP status and problem texts of a refusal.
const RefusalText& TextOf(Refusal refusal);

/// Ends a request without a complete response of an upstream. When a part of a
/// response has been relayed, the connection is closed so that the caller
/// detects the failure.
/// @param retry_after sent to the caller; zero selects the default, with
/// jitter, for refusals for which a retry may succeed.
void EndRefused(World& world,
                RequestRow& row,
                Refusal refusal,
                Duration retry_after,
                TimePoint now);

/// Ends a request whose response from the upstream is complete.
void EndCompleted(World& world, RequestRow& row, TimePoint now);

/// Ends a request with the recorded response of an earlier one.
void EndReplayed(World& world,
                 RequestRow& row,
                 int status,
                 std::string content_type,
                 std::string body,
                 TimePoint now);

/// Ends a request whose caller closed the connection.
void EndAbandoned(World& world, RequestRow& row, TimePoint now);

/// Ends the current attempt, if any, and releases its placement.
/// @param cancel whether the adapter closes the connection of the attempt.
void EndAttempt(World& world, RequestRow& row, bool cancel, TimePoint now);

/// Schedules the next wakeup of a request, in place of the current one.
void SetWakeup(World& world, RequestRow& row, TimePoint when);

}  // namespace detail
}  // namespace nutmeghollow
