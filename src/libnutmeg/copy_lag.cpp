#include "nutmeghollow/copy_lag.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

/// Versions that are kept apart; more come while a copy is not updated at all.
constexpr std::size_t kMaxMissing = 64;

}  // namespace

void CopyLag::NoteElsewhere(std::uint64_t version,
                            std::optional<TimePoint> confirmed_at,
                            TimePoint now) {
  if (version > m_own && version > Newest()) {
    // Nobody had it at the confirmations that were stated before.
    if (m_missing.size() < kMaxMissing) {
      m_missing.push_back({version, now, m_confirmed_elsewhere});
    } else {
      m_missing.back().m_version = version;
    }
  }
  if (version > 0) {
    // std::max takes an unset time for the earliest.
    m_confirmed_elsewhere = std::max(m_confirmed_elsewhere, confirmed_at);
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

std::optional<MissingChange> CopyLag::OldestMissing(TimePoint now) const {
  if (m_missing.empty()) {
    return std::nullopt;
  }
  const Missing& oldest = m_missing.front();
  MissingChange change{now - oldest.m_known_since, std::nullopt};
  if (oldest.m_made_after) {
    change.m_max_age = now - *oldest.m_made_after;
  }
  return change;
}

}  // namespace nutmeghollow
