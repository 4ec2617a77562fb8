/// @file
/// Merges the verdicts of the probers into the status of each upstream.
///
/// Internal to the probing system.
#pragma once

#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// Sets status, load report and slow start of every upstream.
void MergeVerdicts(World& world, TimePoint now);

/// @return after what time an unchanged verdict is announced again; longer
/// when there are more upstreams, so that it fits the budget.
Duration AnnouncePeriod(const World& world);

}  // namespace nutmeghollow::detail
