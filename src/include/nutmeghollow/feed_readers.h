/// @file
/// Election of the instances that read the platform's tables for the others.
///
/// Calls to the platform are limited. In each data centre, the live instances
/// are sorted by the hash of their id, so that all instances with the same view
/// of liveness elect the same readers. The first one reads the platform's
/// tables; the others follow the tables through it, or through the second one
/// while the first fails. A wrong view of liveness costs an extra call or hop,
/// but loses no change.
#pragma once

#include <vector>

#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Number of readers in a data centre: the primary and its backup.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// @return the live instances that read for a data centre, in the order of
/// preference; at most kReadersPerDataCentre.
std::vector<InstanceId> ChooseReaders(const EntryDirectory& directory,
                                      const DataCentreId& data_centre);

}  // namespace nutmeghollow
