// What the gateway does with the rows of the platform's tables.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
/// Delay of the next read after an outdated response, and its share for each
/// instance: all together make at most 40 reads of a table a second.
constexpr Duration kMinOutdatedDelay = std::chrono::milliseconds(400);
constexpr Duration kOutdatedDelayPerInstance = std::chrono::milliseconds(25);

}  // namespace

void Gateway::Impl::HandleRevisionElsewhere(
    Revision revision,
    std::optional<TimePoint> confirmed_at) {
  m_state.m_freshness.NoteElsewhere(revision, confirmed_at, BootTime());
  m_configuration_copies.NoteNewer();
}

CopyRequestHooks Gateway::Impl::ConfigurationCopies() {
  CopyRequestHooks hooks;
  hooks.m_is_outdated = [this] { return m_state.m_freshness.IsOutdated(); };
  // All rows: one of an earlier change may be missing here.
  hooks.m_after = [] { return net::FeedVersion(); };
  hooks.m_log = [this] {
    const Revision newest = m_state.m_freshness.NewestElsewhere();
    Log(LogLevel::kWarning, "configuration_outdated",
        {{"revision",
          static_cast<std::int64_t>(m_state.RevisionInForce().value())},
         {"newest_revision", static_cast<std::int64_t>(newest.value())}});
  };
  return hooks;
}

CopyLag& Gateway::Impl::UpdateRegistrationsLag() {
  // Rows that were added are of no concern: they are only not used yet.
  m_registrations_lag.NoteOwn(
      m_registration_follower.ComparedVersion().value());
  return m_registrations_lag;
}

void Gateway::Impl::HandleRegistrationsElsewhere(
    RowVersion version,
    std::optional<TimePoint> confirmed_at) {
  UpdateRegistrationsLag().NoteElsewhere(version.value(), confirmed_at,
                                         BootTime());
  m_registration_copies.NoteNewer();
}

CopyRequestHooks Gateway::Impl::RegistrationCopies() {
  CopyRequestHooks hooks;
  hooks.m_is_outdated = [this] { return UpdateRegistrationsLag().IsBehind(); };
  hooks.m_after = [this] { return m_registration_follower.IncludedVersion(); };
  hooks.m_log = [this] {
    Log(LogLevel::kWarning, "registrations_outdated",
        {{"version", static_cast<std::int64_t>(net::VersionInEra(
                         m_registration_follower.IncludedVersion()))},
         {"newest_version",
          static_cast<std::int64_t>(net::VersionInEra(
              net::FeedVersion(m_registrations_lag.Newest())))},
         {"era", static_cast<std::int64_t>(
                     net::EraOf(net::FeedVersion(m_registrations_lag.Newest()))
                         .value())}});
  };
  return hooks;
}

std::vector<Endpoint> Gateway::Impl::SourcesOfNewerRows(
    const std::string& table) const {
  const bool is_configuration =
      table == m_state.m_protocol.m_configuration_table;
  return m_instance_rows.SourcesOfNewerRows([&](const EntryInstance& other) {
    return is_configuration
               ? other.m_revision > m_state.RevisionInForce()
               : other.m_registrations_version.value() >
                     m_registration_follower.IncludedVersion().value();
  });
}

CopyUse Gateway::Impl::CheckUseOfCopies(TimePoint now) {
  const GatewaySettings& settings = m_settings.m_gateway;
  const CopyTimes ages = m_state.AgesOfCopies(now);
  const CopyTimes limits{settings.m_configuration_limit,
                         settings.m_registration_limit};
  const CopyVersions versions{
      m_state.RevisionInForce(),
      RowVersion(m_registration_follower.ComparedVersion().value()),
      m_state.m_freshness.OldestMissing(now),
      UpdateRegistrationsLag().OldestMissing(now)};
  const InstanceId& self = m_settings.m_instance.m_id;
  const CopyUse use = LacksChangeInForce(m_directory, self, versions, limits)
                          ? CopyUse::kNone
                          : UseOfCopies(m_directory, self, ages, limits);
  if (use != std::exchange(m_last_copy_use, use)) {
    const auto milliseconds = [](const std::optional<Duration>& age) {
      return age ? std::int64_t{age->count() / 1000} : -1;
    };
    const auto known_for = [](const std::optional<MissingChange>& change) {
      return change ? std::optional(change->m_known_for) : std::nullopt;
    };
    const auto max_age = [](const std::optional<MissingChange>& change) {
      return change ? change->m_max_age : std::nullopt;
    };
    Log(LogLevel::kWarning, "use_of_copies_changed",
        {{"requests", std::string(NameOf(use))},
         {"configuration_age_ms", milliseconds(ages.m_configuration)},
         {"registrations_age_ms", milliseconds(ages.m_registrations)},
         {"configuration_outdated_ms",
          milliseconds(known_for(versions.m_missing_revision))},
         {"configuration_change_age_ms",
          milliseconds(max_age(versions.m_missing_revision))},
         {"registrations_outdated_ms",
          milliseconds(known_for(versions.m_missing_registrations))},
         {"registrations_change_age_ms",
          milliseconds(max_age(versions.m_missing_registrations))},
         {"revision",
          static_cast<std::int64_t>(m_state.RevisionInForce().value())}});
  }
  return use;
}

void Gateway::Impl::RetryLostTables() {
  for (TableFollower* follower :
       {&m_configuration_follower, &m_registration_follower,
        &m_instance_follower}) {
    follower->RetryIfLost();
  }
}

bool Gateway::Impl::StoreFailsElsewhere() const {
  const auto& instances = m_directory.Instances();
  return std::any_of(instances.begin(), instances.end(), [](const auto& one) {
    return one.second.m_alive && one.second.m_store_fails;
  });
}

void Gateway::Impl::SetOutdatedDelays(int instances) {
  const Duration delay =
      std::max(kMinOutdatedDelay, kOutdatedDelayPerInstance * instances);
  for (TableFollower* follower :
       {&m_configuration_follower, &m_registration_follower,
        &m_instance_follower}) {
    follower->SetOutdatedDelay(delay);
  }
}

PeerFeedHooks Gateway::Impl::FeedHooks() {
  PeerFeedHooks hooks;
  hooks.m_keys = [this] { return m_fleet.Keys(); };
  hooks.m_readers = [this] { return m_instance_rows.Readers(); };
  hooks.m_newer = [this](const std::string& table) {
    return SourcesOfNewerRows(table);
  };
  hooks.m_is_outdated = [this](net::FeedVersion version,
                               TimePoint confirmed_at) {
    return m_store_floor.IsOutdated(version.value(), confirmed_at);
  };
  hooks.m_on_version = [this](net::FeedVersion version) {
    m_store_floor.NoteElsewhere(version.value(), BootTime());
  };
  m_store_reads.Connect(&hooks);
  return hooks;
}

TableFollowerEvents Gateway::Impl::ConfigurationEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    if (HandleEvacuationRow(m_state, row)) {
      return true;
    }
    const bool is_used =
        AdoptConfigurationRow(m_state, row, m_configuration_follower.Source());
    m_state.m_freshness.NoteInForce(m_state.RevisionInForce());
    m_trim_timer.Start(kTrimDelay);
    return is_used;
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
    return true;
  };
  events.m_on_confirmed = [this](TimePoint confirmed_at) {
    m_registrations_read = true;
    m_state.m_registrations_confirmed_at = confirmed_at;
    m_registrations_lag.NoteConfirmed(confirmed_at);
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
    return true;
  };
  events.m_on_confirmed = [this](TimePoint /*confirmed_at*/) {
    m_fleet.ScheduleKeyProposal();
    m_peer_feed_server.RespondToPending(kInstanceTable);
  };
  events.m_on_regained = [this](Duration /*outage*/) { RetryLostTables(); };
  return events;
}

}  // namespace nutmeghollow
