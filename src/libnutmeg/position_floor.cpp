#include "nutmeghollow/position_floor.h"

#include <algorithm>

namespace nutmeghollow {
namespace {

/// Covers the longest call at a hundred new positions a second.
constexpr std::size_t kMaxKnown = 1024;

}  // namespace

void PositionFloor::NoteOwn(std::uint64_t position, TimePoint now) {
  if (m_withdrawn && position >= *m_withdrawn) {
    m_withdrawn.reset();
  }
  Raise(position, now);
}

void PositionFloor::NoteElsewhere(std::uint64_t position, TimePoint now) {
  if (!m_withdrawn || position < *m_withdrawn) {
    Raise(position, now);
  }
}

bool PositionFloor::NoteTransaction(std::uint64_t position,
                                    TimePoint sent_at,
                                    TimePoint now) {
  const bool is_contradiction = IsOutdated(position, sent_at);
  if (is_contradiction) {
    const auto lowest = std::find_if(
        m_known.begin(), m_known.end(),
        [&](const Known& known) { return known.m_position > position; });
    m_withdrawn = lowest->m_position;
    std::erase_if(m_known, [&](const Known& known) {
      return known.m_position > position && known.m_since <= sent_at;
    });
  }
  NoteOwn(position, now);
  return is_contradiction;
}

std::uint64_t PositionFloor::At(TimePoint time) const {
  const auto later = std::upper_bound(
      m_known.begin(), m_known.end(), time,
      [](TimePoint at, const Known& known) { return at < known.m_since; });
  return later == m_known.begin() ? 0 : std::prev(later)->m_position;
}

void PositionFloor::Raise(std::uint64_t position, TimePoint now) {
  if (position <= Newest()) {
    return;
  }
  m_known.push_back({position, now});
  if (m_known.size() > kMaxKnown) {
    m_known.pop_front();
  }
}

}  // namespace nutmeghollow
