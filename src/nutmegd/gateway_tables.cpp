// What the gateway does with the rows of the platform's tables.
#include <string>

#include "libnet/event_loop.h"
#include "libnet/log.h"
#include "nutmegd/evacuation_rows.h"
#include "nutmegd/gateway_impl.h"
#include "nutmegd/route_configuration.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

/// Time from a change of the configuration to the return of free memory: by
/// then its document and the responses to the followers have been freed.
constexpr Duration kTrimDelay = std::chrono::seconds(2);

}  // namespace

void Gateway::Impl::RetryLostTables() {
  for (TableFollower* follower :
       {&m_configuration_follower, &m_registration_follower,
        &m_instance_follower}) {
    follower->RetryIfLost();
  }
}

PeerFeedHooks Gateway::Impl::FeedHooks() {
  PeerFeedHooks hooks;
  hooks.m_keys = [this] { return m_fleet.Keys(); };
  hooks.m_readers = [this] { return m_instance_rows.Readers(); };
  m_store_reads.Connect(&hooks);
  return hooks;
}

TableFollowerEvents Gateway::Impl::ConfigurationEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    if (!HandleEvacuationRow(m_state, row)) {
      AdoptConfigurationRow(m_state, row, m_configuration_follower.Source());
      m_trim_timer.Start(kTrimDelay);
    }
  };
  events.m_on_confirmed = [this](TimePoint confirmed_at) {
    m_state.m_freshness.Confirm(confirmed_at);
    m_state.m_proof_source = m_configuration_follower.Source();
    m_peer_feed_server.RespondToPending(
        m_state.m_protocol.m_configuration_table);
  };
  events.m_on_lost = [](const std::string& reason) {
    Log(LogLevel::kWarning, "configuration_feed_lost", {{"reason", reason}});
  };
  events.m_on_regained = [this](Duration outage) {
    Log(LogLevel::kInfo, "configuration_feed_regained",
        {{"outage_ms", outage.count() / 1000}});
    RetryLostTables();
  };
  return events;
}

TableFollowerEvents Gateway::Impl::RegistrationEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    m_registrations.HandleRow(row);
  };
  events.m_on_confirmed = [this](TimePoint /*confirmed_at*/) {
    m_registrations_read = true;
    m_peer_feed_server.RespondToPending(
        m_state.m_protocol.m_registration_table);
  };
  events.m_on_lost = [](const std::string& reason) {
    Log(LogLevel::kWarning, "registration_feed_lost", {{"reason", reason}});
  };
  events.m_on_regained = [this](Duration outage) {
    m_registrations.HandleRegained(outage);
    RetryLostTables();
  };
  return events;
}

TableFollowerEvents Gateway::Impl::InstanceEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    m_instance_rows.HandleRow(row);
  };
  events.m_on_confirmed = [this](TimePoint /*confirmed_at*/) {
    m_fleet.ScheduleKeyProposal();
    m_peer_feed_server.RespondToPending(kInstanceTable);
  };
  events.m_on_regained = [this](Duration /*outage*/) { RetryLostTables(); };
  return events;
}

}  // namespace nutmeghollow
