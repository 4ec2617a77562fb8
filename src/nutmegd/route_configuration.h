/// @file
/// Applies the operators' configuration to a gateway.
#pragma once

#include "libnet/row_feed.h"
#include "nutmegd/gateway_state.h"

namespace nutmeghollow {

/// Parses a row of the configuration table and replaces the configuration in
/// force when the row has a higher revision. A row that is not used is logged,
/// an invalid one with the locations of its errors.
/// @param source instance that gave the row; empty when the platform gave it.
/// @return false when a configuration with a higher revision stays in force.
bool AdoptConfigurationRow(GatewayState& state,
                           const net::FeedRow& row,
                           const Endpoint& source);

}  // namespace nutmeghollow
