/// @file
/// Rendezvous hashing.
///
/// Every member of a set gets a score from the hash of a key and its own
/// hash; the key belongs to the member with the highest score. When a member
/// comes or goes, only the keys that it wins or held move.
#pragma once

#include <cstdint>
#include <string_view>

namespace nutmeghollow {

/// @return XXH3 of a text.
std::uint64_t HashText(std::string_view text);

/// @return XXH3 of a pair of hashes.
std::uint64_t HashPair(std::uint64_t first, std::uint64_t second);

/// Score of a member for a key, in [0, 1).
/// @param weight members win keys in proportion to it; above zero.
double RendezvousScore(std::uint64_t key, std::uint64_t member, double weight);

}  // namespace nutmeghollow
