/// @file
/// Election of the instances that read the platform's tables for the others.
///
/// Calls to the platform are limited. In each data centre, the instances that
/// can read the tables are sorted by the hash of their id, so that all
/// instances with the same view elect the same readers. The first one reads the
/// platform's tables; the others follow the tables through it. The second one
/// follows them through a reader of another data centre, so that its copy stays
/// current when the first one fails. A wrong view costs an extra call or hop,
/// but loses no change.
#pragma once

#include <vector>

#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Number of readers in a data centre: the primary and its backup.
inline constexpr std::size_t kReadersPerDataCentre = 2;

/// An instance whose proof of the configuration was older than this when it
/// reported it is not elected. A reader's proof is at most twice the wait for
/// changes old (1,600 ms) while the store answers.
inline constexpr Duration kMaxReaderProofAge = std::chrono::milliseconds(2000);

/// @return the instances that read for a data centre, in the order of
/// preference; at most kReadersPerDataCentre. They are alive, their own reads
/// did not fail, and their proof is fresh; an instance that states no proof
/// counts as fresh, since older builds state none.
std::vector<InstanceId> ChooseReaders(const EntryDirectory& directory,
                                      const DataCentreId& data_centre);

/// Chooses the instances through which to follow the tables: the readers of the
/// own data centre, then the primary readers of the others, in an order that
/// differs between instances. When no instance has a fresh proof, those whose
/// own reads did not fail are used instead.
/// @param self this instance, with its own state in the directory.
/// @return in the order of preference; empty when `self` should read the tables
/// itself.
std::vector<InstanceId> ChooseSources(const EntryDirectory& directory,
                                      const InstanceId& self);

}  // namespace nutmeghollow
