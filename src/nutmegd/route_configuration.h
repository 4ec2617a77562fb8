/// @file
/// Puts the operators' configuration of a gateway in force.
#pragma once

#include "libnet/row_feed.h"
#include "nutmegd/gateway_state.h"

namespace nutmeghollow {

/// Reads a row of the configuration's table and puts it in force if it is newer
/// than the one in force. A row that cannot be read is logged with the places
/// of its faults, and changes nothing.
void AdoptConfigurationRow(GatewayState& state, const net::FeedRow& row);

}  // namespace nutmeghollow
