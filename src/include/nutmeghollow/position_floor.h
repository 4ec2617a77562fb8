/// @file
/// The newest position in the history of the platform's tables that this
/// instance knows of, and since when.
///
/// A response to a later call cannot state an older position unless the
/// platform answers with an earlier state of its tables. Such a response
/// confirms nothing. Positions are learned from the platform's responses, about
/// any table, and from the other instances. A wrong one would make every
/// response look outdated; it is withdrawn when a transaction contradicts it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Lower bound of the position that a response must state. Times are of a
/// clock that keeps running while the host is suspended.
class PositionFloor {
 public:
  /// Records a position that the platform stated to this instance.
  void NoteOwn(std::uint64_t position, TimePoint now);
  /// Records a position that another instance stated.
  void NoteElsewhere(std::uint64_t position, TimePoint now);
  /// Records the position of a transaction, which is never behind. Higher ones
  /// that were known when it was sent are withdrawn.
  /// @return true if there were any.
  bool NoteTransaction(std::uint64_t position,
                       TimePoint sent_at,
                       TimePoint now);
  /// @return the highest position known at a time; zero if there was none, or
  /// if the time is long past.
  std::uint64_t At(TimePoint time) const;
  /// @return true when a response must be older than the call that it answers.
  bool IsOutdated(std::uint64_t position, TimePoint sent_at) const {
    return position < At(sent_at);
  }
  /// @return the highest position known.
  std::uint64_t Newest() const {
    return m_known.empty() ? 0 : m_known.back().m_position;
  }

 private:
  struct Known {
    std::uint64_t m_position = 0;
    TimePoint m_since{};
  };

  void Raise(std::uint64_t position, TimePoint now);

  std::deque<Known> m_known;  ///< In the order of positions and of times.
  /// The lowest position that was withdrawn, until the platform states one as
  /// high: other instances may still state it.
  std::optional<std::uint64_t> m_withdrawn;
};

}  // namespace nutmeghollow
