#include "nutmegd/route_configuration.h"

#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <string>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/log.h"

namespace nutmeghollow {

using net::Log;
using net::LogLevel;

namespace {

std::string NameOf(const Endpoint& source) {
  return source.empty() ? "platform" : source.str();
}

std::int64_t ForLog(Revision revision) {
  return static_cast<std::int64_t>(revision.value());
}

}  // namespace

bool AdoptConfigurationRow(GatewayState& state,
                           const net::FeedRow& row,
                           const Endpoint& source) {
  if (row.m_key != state.m_protocol.m_configuration_key || row.m_removed) {
    return true;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(configuration,
                        state.m_protocol.m_read_configuration(row.m_value));
        state.m_freshness.NoteRow(true);
        if (state.m_configuration != nullptr &&
            configuration.m_revision <= state.m_configuration->m_revision) {
          Log(LogLevel::kInfo, "configuration_not_newer",
              {{"revision", ForLog(configuration.m_revision)},
               {"in_force", ForLog(state.m_configuration->m_revision)},
               {"source", NameOf(source)}});
          return configuration.m_revision == state.m_configuration->m_revision;
        }
        Log(LogLevel::kInfo, "configuration_adopted",
            {{"revision", ForLog(configuration.m_revision)},
             {"routes", static_cast<std::int64_t>(configuration.RouteCount())},
             {"row_version",
              static_cast<std::int64_t>(net::VersionInEra(row.m_version))},
             {"source", NameOf(source)}});
        state.m_configuration = std::make_shared<const RoutingConfiguration>(
            std::move(configuration));
        state.m_pool.SetColdPolicies(state.m_configuration->ColdPolicies(),
                                     net::BootTime());
        return true;
      },
      [&](const net::DocumentError& error) {
        state.m_freshness.NoteRow(false);
        for (const Finding& finding : error.m_findings) {
          Log(LogLevel::kError, "configuration_not_used",
              {{"place", finding.m_place}, {"fault", finding.m_message}});
        }
        return true;  // Another build may be able to read it.
      },
      [&] {
        state.m_freshness.NoteRow(false);
        Log(LogLevel::kError, "configuration_not_used", {});
        return true;
      });
}

}  // namespace nutmeghollow
