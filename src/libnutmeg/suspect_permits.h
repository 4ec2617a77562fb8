/// @file
/// What permits and the records of suspects share. Internal to both.
#pragma once

#include "nutmeghollow/suspect_records.h"

namespace nutmeghollow::detail {

/// Drops what was asked for by a request that went another way.
void DropAbandoned(const World& world, SuspectWork& work, TimePoint now);

}  // namespace nutmeghollow::detail
