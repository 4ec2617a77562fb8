/// @file
/// Which instances read the platform's tables for the others.
///
/// Calls to the platform are scarce. The first instance of each data centre, in
/// an order that is alike for all that believe the same instances alive, reads
/// it; the others follow the tables through that one, or through the second
/// while the first fails. A wrong belief costs a call or an extra step, never a
/// change.
#pragma once

#include <vector>

#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Instances that others follow through: the reader and its stand-in.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// @return the living instances of a data centre that read for it, in the
/// order of preference.
std::vector<InstanceId> ChooseReaders(const EntryDirectory& directory,
                                      const DataCentreId& data_centre);

}  // namespace nutmeghollow
