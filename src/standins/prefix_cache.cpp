#include "standins/prefix_cache.h"

namespace nutmeghollow::standins {

std::size_t PrefixCache::Match(const std::vector<std::uint64_t>& hashes) const {
  std::size_t held = 0;
  while (held < hashes.size() && m_by_hash.contains(hashes[held])) {
    ++held;
  }
  return held;
}

void PrefixCache::Store(const std::vector<std::uint64_t>& hashes,
                        const std::vector<std::int64_t>& tokens) {
  // The longest first, so that a prefix never leaves before its extension.
  for (std::size_t i = hashes.size(); i > 0; --i) {
    Touch(hashes[i - 1], tokens[i - 1]);
  }
  Evict();
}

void PrefixCache::Clear() {
  m_entries.clear();
  m_by_hash.clear();
  m_used = 0;
}

void PrefixCache::Touch(std::uint64_t hash, std::int64_t tokens) {
  auto found = m_by_hash.find(hash);
  if (found != m_by_hash.end()) {
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return;
  }
  m_entries.push_front({hash, tokens});
  m_by_hash[hash] = m_entries.begin();
  m_used += tokens;
  Report(true, hash);
}

void PrefixCache::Evict() {
  while (m_used > m_capacity && !m_entries.empty()) {
    const Entry oldest = m_entries.back();
    m_entries.pop_back();
    m_by_hash.erase(oldest.m_hash);
    m_used -= oldest.m_tokens;
    Report(false, oldest.m_hash);
  }
}

void PrefixCache::Report(bool stored, std::uint64_t prefix) const {
  if (m_on_event) {
    m_on_event(stored, prefix);
  }
}

}  // namespace nutmeghollow::standins
