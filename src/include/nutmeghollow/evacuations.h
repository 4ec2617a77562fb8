/// @file
/// Data centres that the operator has evacuated: their upstreams get no new
/// requests until the evacuation ends. Requests in progress there go on.
#pragma once

#include <cstddef>
#include <set>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Limits of the table.
struct EvacuationsParameters {
  /// Longer names are not those of a data centre.
  std::size_t m_max_name_length = 200;
  /// Far more than a fleet has data centres; it bounds the memory that rows
  /// written by mistake can take.
  std::size_t m_max_entries = 1000;
};

/// The evacuated data centres, by the rows that this instance has read.
class Evacuations {
 public:
  explicit Evacuations(EvacuationsParameters parameters = {})
      : m_parameters(parameters) {}

  /// Records that a data centre is evacuated.
  /// @return false when the name cannot be that of a data centre, or when there
  /// are too many entries; nothing changes then.
  bool Begin(const DataCentreId& data_centre);
  /// Records that an evacuation has ended. @return false when there was none.
  bool End(const DataCentreId& data_centre) {
    return m_data_centres.erase(data_centre) > 0;
  }
  bool Contains(const DataCentreId& data_centre) const {
    return !m_data_centres.empty() && m_data_centres.contains(data_centre);
  }
  const std::set<DataCentreId>& DataCentres() const { return m_data_centres; }

 private:
  EvacuationsParameters m_parameters;
  std::set<DataCentreId> m_data_centres;
};

}  // namespace nutmeghollow
