/// @file
/// What instances of the gateway tell one another: whether they take callers,
/// what they have in progress, and where they sent which part of a prompt.
///
/// Digests may be lost or late. Nothing depends on one for correctness.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// What one instance tells.
struct FleetDigest {
  bool m_ready = false;
  Revision m_revision;
  std::vector<ActiveRequests> m_active;
  std::vector<PartPlacement> m_placements;
};

/// Most entries of each list, so that a digest fits into one datagram.
inline constexpr std::size_t kMostActive = 64;
inline constexpr std::size_t kMostPlacements = 32;

/// @return the digest as the payload of a datagram.
std::string EncodeDigest(const FleetDigest& digest);

/// @return the digest, or nothing when the payload is not one.
std::optional<FleetDigest> DecodeDigest(std::string_view payload);

}  // namespace nutmeghollow
