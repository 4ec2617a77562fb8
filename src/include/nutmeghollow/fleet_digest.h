/// @file
/// State that instances of the gateway send one another: whether they accept
/// callers, which requests they have in progress, to which upstream they sent
/// which part of a prompt, which requests crashed upstreams, which
/// upstreams announced that they are leaving, and which request rates they
/// stated.
///
/// Digests may be lost or delayed. Correctness does not depend on them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nutmeghollow/crash_suspects.h"
#include "nutmeghollow/load_exchange.h"
#include "nutmeghollow/rate_exchange.h"
#include "nutmeghollow/reachability.h"
#include "nutmeghollow/room_leases.h"
#include "nutmeghollow/stream_origins.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// State of one instance as sent to the others.
struct FleetDigest {
  bool m_ready = false;
  Revision m_revision;
  std::vector<ActiveRequests> m_active;
  std::vector<PartPlacement> m_placements;
  std::vector<CrashReport> m_crashes;
  std::vector<UpstreamProcess> m_leaving;
  /// A message about loads, see LoadExchange.
  std::optional<LoadMessage> m_load;
  std::vector<StatedRate> m_rates;
  /// Messages about permits, see RateExchange.
  std::optional<PermitRequest> m_permit_request;
  std::optional<PermitResponse> m_permit_response;
  std::optional<StreamReport> m_stream_report;
  /// Id of a report of the receiver whose streams are recorded; 0 for none.
  std::uint32_t m_recorded_report = 0;
  /// Refusals in a second at which brittle upstreams fall over.
  std::vector<StatedRate> m_refusal_limits;
  /// Messages about leases, see RoomLeases.
  std::optional<PermitRequest> m_room_request;
  std::optional<PermitResponse> m_room_response;
  std::vector<RoomReport> m_room_reports;
  /// The digest has none of the state above m_crashes; what was sent of it
  /// before stays valid.
  bool m_events_only = false;
  /// Whether the sender reaches upstreams.
  UpstreamReach m_reach = UpstreamReach::kUnknown;
  /// Monotonic clock of the sender; zero when not stated.
  TimePoint m_clock{};
  /// Age of the sender's proof that its configuration is current; unset when
  /// it has none or does not state it.
  std::optional<Duration> m_proof_age;
  /// As m_proof_age, about the registrations.
  std::optional<Duration> m_registrations_age;
  /// The store refused or did not answer the sender's own reads recently.
  bool m_store_fails = false;
  /// Version of the newest change in the sender's copy of the registrations;
  /// zero when it has none or does not state it.
  RowVersion m_registrations_version;
  /// Newest position in the history of the platform's tables that the sender
  /// knows of; zero when it does not state it.
  RowVersion m_store_position;
};

/// Maximum entries of each list, so that a digest fits into one datagram.
inline constexpr std::size_t kMaxActiveEntries = 64;
inline constexpr std::size_t kMaxPlacements = 32;
inline constexpr std::size_t kMaxCrashReports = 12;
/// The most recent crashes of a suspect are sent: as many as refuse it.
inline constexpr std::size_t kMaxCrashesPerReport = 5;
inline constexpr std::size_t kMaxLeavingUpstreams = 16;
inline constexpr std::size_t kMaxStatedRates = 12;
inline constexpr std::size_t kMaxRoomReports = 24;

/// @return the digest as the payload of a datagram. Times are encoded as ages
/// in milliseconds, since the clocks of two machines differ.
std::string EncodeDigest(const FleetDigest& digest, TimePoint now);

/// @return the digest with the ages subtracted from `now`, or nullopt when the
/// payload is malformed.
std::optional<FleetDigest> DecodeDigest(std::string_view payload,
                                        TimePoint now);

}  // namespace nutmeghollow
