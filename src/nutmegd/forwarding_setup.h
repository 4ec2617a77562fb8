/// @file
/// Connects the monitor of the paths to upstreams, and the forwarding of
/// requests, with the other parts of the gateway.
#pragma once

#include <functional>

#include "nutmegd/fleet_link.h"
#include "nutmegd/gateway_state.h"
#include "nutmegd/reachability_monitor.h"
#include "nutmeghollow/entry_directory.h"

namespace nutmeghollow {

/// @param state and @param directory must outlive the hooks. They are first
/// used when a hook is called.
/// @param on_round called after each round of checks.
ReachabilityHooks MakeReachabilityHooks(
    const GatewayState* state,
    const EntryDirectory* directory,
    std::function<void(ReachabilityState, ReachabilityState)> on_round);

/// @param state, @param directory and @param fleet must outlive the result.
ForwardingState MakeForwardingState(GatewayState* state,
                                    const EntryDirectory* directory,
                                    const FleetLink* fleet);

}  // namespace nutmeghollow
