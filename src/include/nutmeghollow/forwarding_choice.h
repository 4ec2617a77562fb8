/// @file
/// Chooses the instance to which an instance that is cut off from the upstreams
/// forwards a request.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/home_regions.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// State of the choice at this instance.
struct ForwardingQuery {
  InstanceId m_self;
  DataCentreId m_data_centre;          ///< Of this instance.
  std::vector<InstanceId> m_tried;     ///< Not to be chosen.
  std::map<InstanceId, int> m_active;  ///< Forwarded requests in progress.
  RegionId m_region;                   ///< Of this instance.
  /// Regions that the request's body may be sent to besides this one.
  HomeRegions m_homes;
};

/// @return instances other than this one that accept callers, are alive, reach
/// upstreams, and are in a region that the request may be sent to.
std::vector<InstanceId> ForwardingInstances(const EntryDirectory& directory,
                                            const ForwardingQuery& query);

/// Chooses the one of two random instances that has fewer requests from here in
/// progress. Instances of the own data centre come first.
/// @param draw returns a uniformly distributed number in [0, 1).
/// @return nothing when there is none.
std::optional<InstanceId> ChooseForwardingInstance(
    const EntryDirectory& directory,
    const ForwardingQuery& query,
    const std::function<double()>& draw);

}  // namespace nutmeghollow
