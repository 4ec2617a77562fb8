/// @file
/// Tracks which changes of a table other instances have and this one lacks, and
/// how old they are.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// The age of the oldest of the changes that are known to be missing here.
struct MissingChange {
  Duration m_known_for{};  ///< Time since another instance stated its version.
  /// Upper bound of the time since it was made; unset if no other instance was
  /// confirmed to lack it.
  std::optional<Duration> m_max_age;
};

/// Versions that other instances stated and this one lacks. Times are of a
/// clock that keeps running while the host is suspended.
class CopyLag {
 public:
  /// Records what another instance stated about its copy.
  /// @param version of its newest change; zero if none is stated.
  /// @param confirmed_at when the copy was last confirmed to include all
  /// changes made until then, if it was. A version that is stated for the first
  /// time later was made later.
  void NoteElsewhere(std::uint64_t version,
                     std::optional<TimePoint> confirmed_at,
                     TimePoint now);
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
  /// @return the oldest change that is missing here; nothing if there is none.
  std::optional<MissingChange> OldestMissing(TimePoint now) const;

 private:
  struct Missing {
    std::uint64_t m_version = 0;
    TimePoint m_known_since{};
    std::optional<TimePoint> m_made_after;
  };

  std::uint64_t m_own = 0;
  /// The latest confirmation of a copy whose version was stated.
  std::optional<TimePoint> m_confirmed_elsewhere;
  std::deque<Missing> m_missing;  ///< In the order of versions and of times.
};

}  // namespace nutmeghollow
