#include "nutmegd/route_configuration.h"

#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/log.h"

namespace nutmeghollow {

using net::Log;
using net::LogLevel;

void AdoptConfigurationRow(GatewayState& state, const net::FeedRow& row) {
  if (row.m_key != state.m_protocol.m_configuration_key || row.m_removed) {
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(configuration,
                        state.m_protocol.m_read_configuration(row.m_value));
        if (state.m_configuration != nullptr &&
            configuration.m_revision <= state.m_configuration->m_revision) {
          return {};
        }
        Log(LogLevel::kInfo, "configuration_adopted",
            {{"revision",
              static_cast<std::int64_t>(configuration.m_revision.value())},
             {"routes",
              static_cast<std::int64_t>(configuration.RouteCount())}});
        state.m_configuration = std::make_shared<const RoutingConfiguration>(
            std::move(configuration));
        state.m_pool.SetColdPolicies(state.m_configuration->ColdPolicies(),
                                     net::BootTime());
        return {};
      },
      [&](const net::DocumentError& error) {
        for (const Finding& finding : error.m_findings) {
          Log(LogLevel::kError, "configuration_not_used",
              {{"place", finding.m_place}, {"fault", finding.m_message}});
        }
      },
      [] { Log(LogLevel::kError, "configuration_not_used", {}); });
}

}  // namespace nutmeghollow
