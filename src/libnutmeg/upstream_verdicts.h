/// @file
/// Merging of the probers' verdicts into the status of each upstream.
///
/// Internal to the probing system.
#pragma once

#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {

/// Updates status, load report and slow start of every upstream.
void MergeVerdicts(World& world, TimePoint now);

/// @return the time after which an unchanged verdict is announced again. It
/// grows with the number of upstreams, so that announcements fit the control
/// budget.
Duration AnnouncePeriod(const World& world);

}  // namespace nutmeghollow::detail
