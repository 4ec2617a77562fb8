/// @file
/// What request flow does with each event of an attempt.
#pragma once

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

namespace detail {

/// Handles one event. Events of earlier attempts have no effect.
void HandleAttemptEvent(World& world, AttemptEvent& event, TimePoint now);

/// Asks the same upstream for the rest of a stream.
void ResumeAttempt(World& world, RequestRow& row, TimePoint now);

}  // namespace detail
}  // namespace nutmeghollow
