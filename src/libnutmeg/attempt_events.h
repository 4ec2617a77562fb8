/// @file
/// Handling of attempt events in request flow.
#pragma once

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

namespace detail {

/// Handles one event. Events of earlier attempts are ignored.
void HandleAttemptEvent(World& world, AttemptEvent& event, TimePoint now);

/// Requests the rest of a response from the same upstream.
void ResumeAttempt(World& world, RequestRow& row, TimePoint now);

}  // namespace detail
}  // namespace nutmeghollow
