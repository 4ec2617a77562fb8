/// @file
/// Functions of placement that are shared by its source files.
#pragma once

#include <optional>

#include "nutmeghollow/placement.h"

namespace nutmeghollow::detail {

/// Places a request on an upstream and updates loads and counters.
void Place(World& world,
           RequestRow& row,
           const DestinationView& view,
           const PlacementChoice& choice,
           TimePoint now);

/// Runs the configured policy.
/// @return unset when the request has to wait.
std::optional<PlacementChoice> Decide(World& world,
                                      const RequestRow& row,
                                      const DestinationView& view,
                                      TimePoint now);

/// Requests a reservation from the owner of the chosen engine if the placement
/// needs one.
/// @return true when the request now waits for the owner's response.
bool RequestReservation(World& world,
                        RequestRow& row,
                        const DestinationView& view,
                        const PlacementChoice& choice,
                        TimePoint now);

/// Responds to the reservation requests of other instances.
void AnswerIncomingReservations(World& world, TimePoint now);

/// Places the requests whose reservation was answered or timed out.
void ResolveReservations(World& world, TimePoint now);

}  // namespace nutmeghollow::detail
