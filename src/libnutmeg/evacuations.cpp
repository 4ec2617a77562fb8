#include "nutmeghollow/evacuations.h"

namespace nutmeghollow {

bool Evacuations::Begin(const DataCentreId& data_centre) {
  const std::size_t length = data_centre.str().size();
  if (length == 0 || length > m_parameters.m_max_name_length) {
    return false;
  }
  if (!m_data_centres.contains(data_centre) &&
      m_data_centres.size() >= m_parameters.m_max_entries) {
    return false;
  }
  m_data_centres.insert(data_centre);
  return true;
}

}  // namespace nutmeghollow
