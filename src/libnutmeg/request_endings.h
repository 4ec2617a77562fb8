/// @file
/// How requests leave the tables. Every ending goes through here, so that a
/// request is answered exactly once.
#pragma once

#include <string>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

namespace detail {

/// Status and texts of a refusal.
struct RefusalText {
  int m_status = 503;
  const char* m_title = "";
  const char* m_detail = "";
  /// A retry helps although nobody told when.
  bool m_retry_helps = false;
};

/// @return status and texts of a refusal.
const RefusalText& TextOf(Refusal refusal);

/// Ends a request without an upstream's answer. A relay that began is cut so
/// that the caller sees it.
/// @param retry_after told to the caller; zero picks a fitting time.
void EndRefused(World& world,
                RequestRow& row,
                Refusal refusal,
                Duration retry_after,
                TimePoint now);

/// Ends a request whose answer from the upstream is whole.
void EndAnswered(World& world, RequestRow& row, TimePoint now);

/// Ends a request with the recorded answer of an earlier one.
void EndReplayed(World& world,
                 RequestRow& row,
                 int status,
                 std::string content_type,
                 std::string body,
                 TimePoint now);

/// Ends a request whose caller left.
void EndAbandoned(World& world, RequestRow& row, TimePoint now);

/// Ends the current attempt, if any: cancels it when it may be running, and
/// gives its placement back.
void EndAttempt(World& world, RequestRow& row, bool cancel, TimePoint now);

/// Sets when request flow looks at a request next.
void SetWakeup(World& world, RequestRow& row, TimePoint when);

}  // namespace detail
}  // namespace nutmeghollow
