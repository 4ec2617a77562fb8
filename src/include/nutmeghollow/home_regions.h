/// @file
/// Regions to which a route or a customer confines its requests.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Regions that a request may reach; unset: all regions.
using HomeRegions = std::optional<std::set<RegionId>>;

/// @param regions as configured; empty for no restriction.
HomeRegions MakeHomeRegions(const std::vector<RegionId>& regions);

/// @return the regions that both allow; no region when they have none in
/// common.
HomeRegions Intersect(const HomeRegions& a, const HomeRegions& b);

/// @return true when a region is allowed. An unknown region, which is empty, is
/// outside every restriction.
bool Allows(const HomeRegions& homes, const RegionId& region);

/// Region of each data centre.
using RegionMap = std::map<DataCentreId, RegionId>;

/// @return the region of a data centre; empty when it is not known.
RegionId RegionOf(const RegionMap& regions, const DataCentreId& data_centre);

}  // namespace nutmeghollow
