/// @file
/// Parts of placement that its source files share.
#pragma once

#include <optional>

#include "nutmeghollow/placement.h"

namespace nutmeghollow::detail {

/// Puts a request on an upstream and counts it.
void Place(World& world,
           RequestRow& row,
           const DestinationView& view,
           const PlacementChoice& choice,
           TimePoint now);

/// Asks the policy in force.
std::optional<PlacementChoice> Decide(World& world,
                                      const RequestRow& row,
                                      const DestinationView& view,
                                      TimePoint now);

/// Asks the owner of the chosen engine where that is needed.
/// @return true when the request now waits for the owner's answer.
bool RequestReservation(World& world,
                        RequestRow& row,
                        const DestinationView& view,
                        const PlacementChoice& choice,
                        TimePoint now);

/// Answers the questions of other instances.
void AnswerIncomingReservations(World& world, TimePoint now);

/// Goes on with requests whose question was answered or timed out.
void ResolveReservations(World& world, TimePoint now);

}  // namespace nutmeghollow::detail
