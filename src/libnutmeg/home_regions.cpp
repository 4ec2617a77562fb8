#include "nutmeghollow/home_regions.h"

#include <algorithm>
#include <iterator>

namespace nutmeghollow {

HomeRegions MakeHomeRegions(const std::vector<RegionId>& regions) {
  if (regions.empty()) {
    return std::nullopt;
  }
  return std::set<RegionId>(regions.begin(), regions.end());
}

HomeRegions Intersect(const HomeRegions& a, const HomeRegions& b) {
  if (!a || !b) {
    return a ? a : b;
  }
  std::set<RegionId> both;
  std::set_intersection(a->begin(), a->end(), b->begin(), b->end(),
                        std::inserter(both, both.end()));
  return both;
}

bool Allows(const HomeRegions& homes, const RegionId& region) {
  return !homes || (!region.empty() && homes->contains(region));
}

RegionId RegionOf(const RegionMap& regions, const DataCentreId& data_centre) {
  const auto found = regions.find(data_centre);
  return found == regions.end() ? RegionId() : found->second;
}

}  // namespace nutmeghollow
