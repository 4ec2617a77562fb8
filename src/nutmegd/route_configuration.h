/// @file
/// Applies the operators' configuration to a gateway.
#pragma once

#include "libnet/row_feed.h"
#include "nutmegd/gateway_state.h"

namespace nutmeghollow {

/// Parses a row of the configuration table and replaces the configuration in
/// force when the row has a higher revision. An invalid row is logged with the
/// locations of its errors and otherwise ignored.
void AdoptConfigurationRow(GatewayState& state, const net::FeedRow& row);

}  // namespace nutmeghollow
