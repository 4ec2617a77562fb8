/// @file
/// How long ago the configuration was known to be the newest one.
///
/// An API key that was taken away must stop working everywhere within a bound,
/// also on an instance that cannot read the configuration any more. So an
/// instance that has had no proof for that long serves no request with a key.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Age of the newest proof, by a clock that counts while suspended.
class ConfigurationFreshness {
 public:
  /// Notes an answer that showed all changes up to when it was asked for.
  /// @param asked_at when the question was sent, not when it was answered.
  void Confirm(TimePoint asked_at) {
    if (!m_confirmed_at || asked_at > *m_confirmed_at) {
      m_confirmed_at = asked_at;
    }
  }
  /// @return true when the configuration was the newest one within `limit`.
  bool Within(Duration limit, TimePoint now) const {
    return m_confirmed_at && now - *m_confirmed_at < limit;
  }
  /// @return when the newest proof was asked for, if there is one.
  const std::optional<TimePoint>& ConfirmedAt() const { return m_confirmed_at; }

 private:
  std::optional<TimePoint> m_confirmed_at;
};

}  // namespace nutmeghollow
