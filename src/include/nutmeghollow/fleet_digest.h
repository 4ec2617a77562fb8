/// @file
/// What instances of the gateway tell one another: whether they take callers,
/// what they have in progress, where they sent which part of a prompt,
/// which requests crashed upstreams, and which upstreams said that they leave.
///
/// Digests may be lost or late. Nothing depends on one for correctness.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nutmeghollow/crash_suspects.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// What one instance tells.
struct FleetDigest {
  bool m_ready = false;
  Revision m_revision;
  std::vector<ActiveRequests> m_active;
  std::vector<PartPlacement> m_placements;
  std::vector<CrashReport> m_crashes;
  std::vector<UpstreamProcess> m_leaving;
  bool m_events_only = false;  ///< Tells of crashes and leaving upstreams only.
};

/// Most entries of each list, so that a digest fits into one datagram.
inline constexpr std::size_t kMostActive = 64;
inline constexpr std::size_t kMostPlacements = 32;
inline constexpr std::size_t kMaxCrashReports = 16;
inline constexpr std::size_t kMostCrashesTold = 3;  ///< The last of a request.
inline constexpr std::size_t kMaxLeavingUpstreams = 16;

/// @return the digest as the payload of a datagram. Times travel as ages.
std::string EncodeDigest(const FleetDigest& digest, TimePoint now);

/// @return the digest, or nothing when the payload is not one.
std::optional<FleetDigest> DecodeDigest(std::string_view payload,
                                        TimePoint now);

}  // namespace nutmeghollow
