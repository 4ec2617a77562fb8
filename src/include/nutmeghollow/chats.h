/// @file
/// Set-associative cache of the recent placements of chats.
///
/// The next request of a chat should go to an engine that still caches its
/// prompt prefix. The cache has a fixed number of entries of 24 bytes in sets
/// of eight; a new chat evicts the least recently used entry of its set. It is
/// a hint only: correctness does not depend on the presence of an entry.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Reason for the placement of a chat.
enum class PlacementReason : std::uint8_t {
  kNone,
  kPrefix,       ///< The engine that ran the chat last.
  kOlderPrefix,  ///< An engine that ran the chat before the last one.
  kHome,         ///< The first engine in the chat's rendezvous order.
  kOverflow,     ///< A later one; the earlier ones were at the load bound.
  kRetry,        ///< A later one; the earlier ones had been tried.
  kReserved,     ///< Granted by the owner of the engine.
  kAlternative,  ///< Offered by the owner of another engine.
  kLeastLoaded,  ///< The least loaded upstream.
  kRandom,       ///< A random upstream.
};

/// @return the name of a reason in operator output.
const char* PlacementReasonName(PlacementReason reason);

/// Index of an upstream in the chat memory; zero means none.
using UpstreamIndex = std::uint16_t;

/// Recorded placement of a chat.
struct ChatPlacement {
  static constexpr int kHolders = 4;
  /// Upstreams that ran the chat, the most recent first; padded with zeros.
  std::array<UpstreamIndex, kHolders> m_holders{};
  TimePoint m_placed_at{};
  PlacementReason m_reason = PlacementReason::kNone;
};

/// Fixed-size cache of the placements of recent chats.
class ChatMemory {
 public:
  static constexpr int kDefaultCapacity = 1 << 18;

  /// @param capacity number of entries, rounded up to a power of two.
  explicit ChatMemory(int capacity = kDefaultCapacity);

  /// @return the placement of a chat, if cached.
  std::optional<ChatPlacement> Find(ChatKey chat) const;

  /// Records the placement of a chat.
  void Remember(ChatKey chat,
                UpstreamIndex upstream,
                PlacementReason reason,
                TimePoint now);

  /// Removes an upstream from the holders of a chat, after an attempt that left
  /// no prefix there.
  void Forget(ChatKey chat, UpstreamIndex upstream);

  /// @return the index of an upstream, stable for the lifetime of the process;
  /// zero when the indexes are exhausted, in which case its placements are not
  /// recorded.
  UpstreamIndex IndexOf(const UpstreamId& upstream);
  /// @return the upstream with an index; empty for zero.
  const UpstreamId& NameOf(UpstreamIndex index) const { return m_names[index]; }

  /// @return number of entries in use.
  std::size_t size() const { return m_used; }
  /// @return maximum number of entries.
  std::size_t Capacity() const { return m_capacity; }
  /// @return size of one entry.
  static constexpr Bytes EntrySize() { return Bytes(sizeof(Entry)); }

 private:
  static constexpr int kSetSize = 8;

  /// A chat key of zero marks a free entry.
  struct Entry {
    std::uint64_t m_chat = 0;
    std::array<UpstreamIndex, ChatPlacement::kHolders> m_holders{};
    std::uint32_t m_second = 0;  ///< Time of the last placement, in seconds.
    PlacementReason m_reason = PlacementReason::kNone;
  };
  static_assert(sizeof(Entry) == 24);

  std::size_t SetOf(ChatKey chat) const;
  const Entry* FindEntry(ChatKey chat) const;
  Entry& EntryFor(ChatKey chat);

  std::size_t m_capacity;
  std::size_t m_used = 0;
  std::vector<Entry> m_entries;  ///< Allocated with the first chat.
  std::vector<UpstreamId> m_names;
  std::unordered_map<UpstreamId, UpstreamIndex> m_indexes;
};

}  // namespace nutmeghollow
