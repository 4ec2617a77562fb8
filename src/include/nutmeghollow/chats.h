/// @file
/// Memory of where recent chats were placed.
///
/// A chat that comes back should go to the engine that still holds its prompt
/// prefix. The memory has a fixed number of entries of 24 bytes in sets of
/// eight; a new chat takes the place of the one used longest ago in its set.
/// It only improves a guess: nothing depends on an entry being there.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Why a chat was placed where it was.
enum class PlacementReason : std::uint8_t {
  kNone,
  kPrefix,       ///< The engine that ran the chat last.
  kOlderPrefix,  ///< An engine that ran the chat before the last one.
  kHome,         ///< The first engine in the chat's order.
  kOverflow,     ///< A later one, because the earlier ones were at the bound.
  kRetry,        ///< A later one, because the earlier ones were tried.
  kReserved,     ///< Granted by the owner of the engine.
  kAlternative,  ///< Offered by the owner of another engine.
  kLeastLoaded,  ///< The least loaded upstream.
  kRandom,       ///< A random upstream.
};

/// @return the word for a reason, as operators see it.
const char* PlacementReasonName(PlacementReason reason);

/// Number of an upstream in the chat memory; zero stands for none.
using UpstreamIndex = std::uint16_t;

/// Where a chat ran.
struct ChatPlacement {
  static constexpr int kHolders = 4;
  /// Upstreams that ran the chat, the latest first; zeros at the end.
  std::array<UpstreamIndex, kHolders> m_holders{};
  TimePoint m_placed_at{};
  PlacementReason m_reason = PlacementReason::kNone;
};

/// Fixed-size memory of recent chats.
class ChatMemory {
 public:
  static constexpr int kDefaultCapacity = 1 << 18;

  /// @param capacity entries; rounded up to a power of two.
  explicit ChatMemory(int capacity = kDefaultCapacity);

  /// @return where a chat ran, if it is remembered.
  std::optional<ChatPlacement> Find(ChatKey chat) const;

  /// Notes where a chat was placed.
  void Remember(ChatKey chat,
                UpstreamIndex upstream,
                PlacementReason reason,
                TimePoint now);

  /// Notes that an attempt at an upstream left no prefix there.
  void Forget(ChatKey chat, UpstreamIndex upstream);

  /// @return the number of an upstream, which stays the same for the life of
  /// the process; zero when numbers ran out: it is then not remembered.
  UpstreamIndex IndexOf(const UpstreamId& upstream);
  /// @return the upstream of a number; empty for zero.
  const UpstreamId& NameOf(UpstreamIndex index) const { return m_names[index]; }

  /// @return entries in use.
  std::size_t size() const { return m_used; }
  /// @return entries that there is room for.
  std::size_t Capacity() const { return m_capacity; }
  /// @return memory of one entry.
  static constexpr Bytes EntrySize() { return Bytes(sizeof(Entry)); }

 private:
  static constexpr int kSetSize = 8;

  /// A chat key of zero marks a free entry.
  struct Entry {
    std::uint64_t m_chat = 0;
    std::array<UpstreamIndex, ChatPlacement::kHolders> m_holders{};
    std::uint32_t m_second = 0;
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
