/// @file
/// Chooses which two instances probe each upstream.
///
/// Internal to the probing system.
#pragma once

#include <array>

#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// The probers of an upstream, first the one that owns it if there is one.
/// An empty id means that there is no such instance.
using Probers = std::array<InstanceId, 2>;

/// Chooses the probers of every upstream from the table of instances. All
/// instances with equal tables choose alike.
std::map<UpstreamId, Probers> ChooseProbers(const World& world);

/// Notes which upstreams this instance probes, and in which slot.
void AssignProbers(World& world, TimePoint now);

}  // namespace nutmeghollow::detail
