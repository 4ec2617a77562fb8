/// @file
/// Internals shared by suspect_permits.cpp and suspect_records.cpp.
#pragma once

#include "nutmeghollow/suspect_records.h"

namespace nutmeghollow::detail {

/// Cancels the request for a permit, or releases the permit, of a request that
/// is no longer waiting for dispatch.
void CancelAbandonedPermit(const World& world,
                           SuspectWork& work,
                           TimePoint now);

}  // namespace nutmeghollow::detail
