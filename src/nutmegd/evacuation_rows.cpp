#include "nutmegd/evacuation_rows.h"

#include <string>

#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::Log;
using net::LogLevel;

void LogChange(const GatewayState& state,
               const char* event,
               const DataCentreId& data_centre) {
  const UpstreamPool::DataCentreUse use = state.m_pool.UseOf(data_centre);
  // A data centre without upstreams is probably a misspelled name; or the
  // registrations have not been read yet.
  Log(use.m_upstreams > 0 ? LogLevel::kInfo : LogLevel::kWarning, event,
      {{"data_centre", data_centre.str()},
       {"upstreams", std::int64_t{use.m_upstreams}},
       {"requests", std::int64_t{use.m_active}}});
}

}  // namespace

bool HandleEvacuationRow(GatewayState& state, const net::FeedRow& row) {
  const std::string& prefix = state.m_protocol.m_evacuation_prefix;
  if (prefix.empty() || !row.m_key.starts_with(prefix)) {
    return false;
  }
  const DataCentreId data_centre(row.m_key.substr(prefix.size()));
  UpstreamPool& pool = state.m_pool;
  if (row.m_removed) {
    if (pool.EndEvacuation(data_centre)) {
      LogChange(state, "evacuation_ended", data_centre);
    }
    return true;
  }
  const bool is_known = pool.EvacuatedDataCentres().Contains(data_centre);
  if (!pool.BeginEvacuation(data_centre)) {
    Log(LogLevel::kWarning, "evacuation_not_used",
        {{"key_bytes", static_cast<std::int64_t>(row.m_key.size())},
         {"fault", std::string("the name cannot be that of a data centre, or "
                               "there are too many")}});
  } else if (!is_known) {
    LogChange(state, "evacuation_started", data_centre);
  }
  return true;
}

}  // namespace nutmeghollow
