#include "nutmeghollow/chats.h"

#include <algorithm>
#include <array>
#include <bit>
#include <limits>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

constexpr std::array<const char*, 10> kReasonNames{
    "none",  "prefix",   "older_prefix", "home",         "overflow",
    "retry", "reserved", "alternative",  "least_loaded", "random"};

std::uint32_t SecondOf(TimePoint time) {
  return static_cast<std::uint32_t>(time.time_since_epoch() /
                                    std::chrono::seconds(1));
}

}  // namespace

const char* PlacementReasonName(PlacementReason reason) {
  return kReasonNames[static_cast<int>(reason)];
}

ChatMemory::ChatMemory(int capacity)
    : m_capacity(std::bit_ceil(
          static_cast<std::size_t>(std::max(capacity, kSetSize)))),
      m_names(1) {}

std::size_t ChatMemory::SetOf(ChatKey chat) const {
  const std::uint64_t sets = m_capacity / kSetSize;
  return (HashPair(chat.value(), 0) & (sets - 1)) * kSetSize;
}

const ChatMemory::Entry* ChatMemory::FindEntry(ChatKey chat) const {
  if (m_entries.empty() || chat.value() == 0) {
    return nullptr;
  }
  const auto begin = m_entries.begin() + SetOf(chat);
  const auto end = begin + kSetSize;
  const auto found = std::find_if(begin, end, [chat](const Entry& entry) {
    return entry.m_chat == chat.value();
  });
  return found == end ? nullptr : &*found;
}

std::optional<ChatPlacement> ChatMemory::Find(ChatKey chat) const {
  const Entry* entry = FindEntry(chat);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return ChatPlacement{entry->m_holders,
                       TimePoint(std::chrono::seconds(entry->m_second)),
                       entry->m_reason};
}

ChatMemory::Entry& ChatMemory::EntryFor(ChatKey chat) {
  if (m_entries.empty()) {
    m_entries.resize(m_capacity);
  }
  const auto begin = m_entries.begin() + SetOf(chat);
  // Prefers the entry of this chat, then a free one, then the oldest one.
  const auto rank = [chat](const Entry& entry) -> std::int64_t {
    if (entry.m_chat == chat.value()) {
      return -2;
    }
    return entry.m_chat == 0 ? -1 : static_cast<std::int64_t>(entry.m_second);
  };
  Entry& entry = *std::min_element(
      begin, begin + kSetSize,
      [&rank](const Entry& a, const Entry& b) { return rank(a) < rank(b); });
  if (entry.m_chat != chat.value()) {
    m_used += entry.m_chat == 0 ? 1 : 0;
    entry = Entry();
    entry.m_chat = chat.value();
  }
  return entry;
}

UpstreamIndex ChatMemory::IndexOf(const UpstreamId& upstream) {
  const auto found = m_indexes.find(upstream);
  if (found != m_indexes.end()) {
    return found->second;
  }
  if (m_names.size() > std::numeric_limits<UpstreamIndex>::max()) {
    return 0;
  }
  const auto index = static_cast<UpstreamIndex>(m_names.size());
  m_names.push_back(upstream);
  m_indexes.emplace(upstream, index);
  return index;
}

void ChatMemory::Remember(ChatKey chat,
                          UpstreamIndex upstream,
                          PlacementReason reason,
                          TimePoint now) {
  if (chat.value() == 0 || upstream == 0) {
    return;
  }
  Entry& entry = EntryFor(chat);
  auto& holders = entry.m_holders;
  // Moves the upstream to the front; the oldest one is evicted.
  auto place = std::find(holders.begin(), holders.end(), upstream);
  if (place == holders.end()) {
    place = std::prev(holders.end());
    *place = upstream;
  }
  std::rotate(holders.begin(), place, std::next(place));
  entry.m_second = SecondOf(now);
  entry.m_reason = reason;
}

void ChatMemory::Forget(ChatKey chat, UpstreamIndex upstream) {
  if (FindEntry(chat) == nullptr) {
    return;
  }
  auto& holders = EntryFor(chat).m_holders;
  const auto end = std::remove(holders.begin(), holders.end(), upstream);
  std::fill(end, holders.end(), 0);
}

}  // namespace nutmeghollow
