#include "nutmeghollow/copy_lag.h"

namespace nutmeghollow {
namespace {

/// Versions that are kept apart; more come while a copy is not updated at all.
constexpr std::size_t kMaxMissing = 64;

}  // namespace

void CopyLag::NoteElsewhere(std::uint64_t version, TimePoint now) {
  if (version <= m_own || version <= Newest()) {
    return;
  }
  if (m_missing.size() < kMaxMissing) {
    m_missing.push_back({version, now});
  } else {
    m_missing.back().m_version = version;
  }
}

void CopyLag::NoteOwn(std::uint64_t version) {
  m_own = version;
  while (!m_missing.empty() && m_missing.front().m_version <= version) {
    m_missing.pop_front();
  }
}

void CopyLag::NoteConfirmed(TimePoint confirmed_at) {
  while (!m_missing.empty() &&
         m_missing.front().m_known_since <= confirmed_at) {
    m_missing.pop_front();
  }
}

std::optional<Duration> CopyLag::At(TimePoint now) const {
  return m_missing.empty()
             ? std::nullopt
             : std::optional<Duration>(now - m_missing.front().m_known_since);
}

}  // namespace nutmeghollow
