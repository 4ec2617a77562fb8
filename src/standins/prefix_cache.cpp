#include "standins/prefix_cache.h"

namespace nutmeghollow::standins {

std::size_t PrefixCache::Match(const std::vector<std::uint64_t>& hashes) const {
  std::size_t matched = 0;
  while (matched < hashes.size() && m_by_hash.contains(hashes[matched])) {
    ++matched;
  }
  return matched;
}

void PrefixCache::Store(const std::vector<std::uint64_t>& hashes,
                        const std::vector<std::int64_t>& tokens) {
  // Longest first, so that no prefix is evicted before its extensions.
  for (std::size_t i = hashes.size(); i > 0; --i) {
    Touch(hashes[i - 1], tokens[i - 1]);
  }
  Evict();
}

void PrefixCache::Clear() {
  m_entries.clear();
  m_by_hash.clear();
  m_used_tokens = 0;
}

void PrefixCache::Touch(std::uint64_t hash, std::int64_t tokens) {
  auto found = m_by_hash.find(hash);
  if (found != m_by_hash.end()) {
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return;
  }
  m_entries.push_front({hash, tokens});
  m_by_hash[hash] = m_entries.begin();
  m_used_tokens += tokens;
  SendEvent(true, hash);
}

void PrefixCache::Evict() {
  while (m_used_tokens > m_capacity && !m_entries.empty()) {
    const Entry oldest = m_entries.back();
    m_entries.pop_back();
    m_by_hash.erase(oldest.m_hash);
    m_used_tokens -= oldest.m_tokens;
    SendEvent(false, oldest.m_hash);
  }
}

void PrefixCache::SendEvent(bool stored, std::uint64_t prefix) const {
  if (m_on_event) {
    m_on_event(stored, prefix);
  }
}

}  // namespace nutmeghollow::standins
