/// @file
/// Assignment of two probing instances to each upstream.
///
/// Internal to the probing system.
#pragma once

#include <array>

#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// Probers of an upstream. The owner of the upstream, if any, is the first one.
/// An empty id means that there is no such prober.
using Probers = std::array<InstanceId, 2>;

/// Chooses the probers of every upstream from the instance table. The result is
/// the same on all instances with equal tables.
std::map<UpstreamId, Probers> ChooseProbers(const World& world);

/// Updates the upstreams that this instance probes, and its prober index for
/// each.
void AssignProbers(World& world, TimePoint now);

}  // namespace nutmeghollow::detail
