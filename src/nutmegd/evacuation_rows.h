/// @file
/// Rows with which the operator evacuates data centres.
#pragma once

#include "libnet/row_feed.h"
#include "nutmegd/gateway_state.h"

namespace nutmeghollow {

/// Begins or ends an evacuation. The row's key decides and its value is not
/// read, so that a value that cannot be parsed does not keep requests going to
/// the data centre.
/// @return false for a row that does not concern an evacuation.
bool HandleEvacuationRow(GatewayState& state, const net::FeedRow& row);

}  // namespace nutmeghollow
