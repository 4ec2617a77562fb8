/// @file
/// Rendezvous hashing.
///
/// Each member of a set gets a score from the hash of a key and its own hash;
/// the key is assigned to the member with the highest score. When a member is
/// added or removed, only the keys assigned to it are reassigned.
#pragma once

#include <cstdint>
#include <string_view>

namespace nutmeghollow {

/// @return XXH3 hash of a text.
std::uint64_t HashText(std::string_view text);

/// @return XXH3 hash of a pair of hashes.
std::uint64_t HashPair(std::uint64_t first, std::uint64_t second);

/// Score of a member for a key, in [0, 1).
/// @param weight relative share of the keys for the member; above zero.
double RendezvousScore(std::uint64_t key, std::uint64_t member, double weight);

}  // namespace nutmeghollow
