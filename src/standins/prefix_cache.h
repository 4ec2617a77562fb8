/// @file
/// Prefix cache of a stand-in engine: limited memory, least recently used out.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace nutmeghollow::standins {

/// Keeps prefixes by hash. Each entry holds the tokens of its last message.
class PrefixCache {
 public:
  /// @param capacity memory in tokens.
  explicit PrefixCache(std::int64_t capacity) : m_capacity(capacity) {}

  /// @param hashes prefix hashes, shortest first.
  /// @return how many of the prefixes, from the shortest, are held.
  std::size_t Match(const std::vector<std::uint64_t>& hashes) const;

  /// Stores prefixes and marks them as used.
  /// @param tokens tokens of the last message of each prefix.
  void Store(const std::vector<std::uint64_t>& hashes,
             const std::vector<std::int64_t>& tokens);

  /// Forgets everything.
  void Clear();

  /// @return tokens held.
  std::int64_t Used() const { return m_used; }

  /// Sets the call made for each entry stored or evicted.
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
  void Report(bool stored, std::uint64_t prefix) const;

  std::int64_t m_capacity;
  std::int64_t m_used = 0;
  std::list<Entry> m_entries;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_by_hash;
  std::function<void(bool, std::uint64_t)> m_on_event;
};

}  // namespace nutmeghollow::standins
