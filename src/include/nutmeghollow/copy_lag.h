/// @file
/// Tracks for how long other instances are known to have a newer copy of a
/// table than this one.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Versions that other instances stated and this one lacks. Times are of a
/// clock that keeps running while the host is suspended.
class CopyLag {
 public:
  /// Records the version of another instance's copy.
  void NoteElsewhere(std::uint64_t version, TimePoint now);
  /// Records the version up to which this instance lacks no change.
  void NoteOwn(std::uint64_t version);
  /// Records that the copy here is confirmed to include all changes made before
  /// a time. Versions that were stated earlier, and are not among them, no
  /// longer exist.
  void NoteConfirmed(TimePoint confirmed_at);
  /// @return true while another instance is known to have a newer copy.
  bool IsBehind() const { return !m_missing.empty(); }
  /// @return the highest version that is missing here; zero if there is none.
  std::uint64_t Newest() const {
    return m_missing.empty() ? 0 : m_missing.back().m_version;
  }
  /// @return for how long the oldest of them has been known; nothing if there
  /// is none.
  std::optional<Duration> At(TimePoint now) const;

 private:
  struct Missing {
    std::uint64_t m_version = 0;
    TimePoint m_known_since{};
  };

  std::uint64_t m_own = 0;
  std::deque<Missing> m_missing;  ///< In the order of versions and of times.
};

}  // namespace nutmeghollow
