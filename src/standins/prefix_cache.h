/// @file
/// Prefix cache of a stand-in engine with a bounded size and LRU eviction.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace nutmeghollow::standins {

/// Caches prompt prefixes by hash. An entry counts the tokens of the last
/// message of its prefix.
class PrefixCache {
 public:
  /// @param capacity maximum size in tokens.
  explicit PrefixCache(std::int64_t capacity) : m_capacity(capacity) {}

  /// @param hashes prefix hashes, shortest first.
  /// @return number of consecutive prefixes, from the shortest, that are
  /// cached.
  std::size_t Match(const std::vector<std::uint64_t>& hashes) const;

  /// Stores prefixes and marks them as recently used.
  /// @param hashes prefix hashes, shortest first.
  /// @param tokens number of tokens of the last message of each prefix.
  void Store(const std::vector<std::uint64_t>& hashes,
             const std::vector<std::int64_t>& tokens);

  /// Removes all entries, without calls of the event hook.
  void Clear();

  /// @return total number of tokens of the entries.
  std::int64_t UsedTokens() const { return m_used_tokens; }

  /// Sets the function called for each entry that is stored or evicted.
  void OnEvent(std::function<void(bool stored, std::uint64_t prefix)> hook) {
    m_on_event = std::move(hook);
  }

 private:
  struct Entry {
    std::uint64_t m_hash;
    std::int64_t m_tokens;
  };

  void Touch(std::uint64_t hash, std::int64_t tokens);
  void Evict();
  void SendEvent(bool stored, std::uint64_t prefix) const;

  std::int64_t m_capacity;
  std::int64_t m_used_tokens = 0;
  std::list<Entry> m_entries;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_by_hash;
  std::function<void(bool, std::uint64_t)> m_on_event;
};

}  // namespace nutmeghollow::standins
