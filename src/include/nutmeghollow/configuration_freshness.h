/// @file
/// Tracks when the configuration was last confirmed to be current.
///
/// A revoked API key must stop working everywhere within a time limit, also on
/// an instance that can no longer read the configuration. An instance without
/// a confirmation within that limit therefore serves no request with a key.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Time of the latest confirmation that the configuration is current.
/// Times are of a clock that keeps running while the host is suspended.
class ConfigurationFreshness {
 public:
  /// Records a response that contains all changes made before its request.
  /// Responses to older requests are ignored.
  /// @param requested_at when the request was sent, not when the response
  /// arrived.
  void Confirm(TimePoint requested_at) {
    if (!m_confirmed_at || requested_at > *m_confirmed_at) {
      m_confirmed_at = requested_at;
    }
  }
  /// @return true if the configuration was confirmed less than `limit` ago.
  bool Within(Duration limit, TimePoint now) const {
    return m_confirmed_at && now - *m_confirmed_at < limit;
  }
  /// @return when the latest confirmation was requested, if there is one.
  const std::optional<TimePoint>& ConfirmedAt() const { return m_confirmed_at; }

 private:
  std::optional<TimePoint> m_confirmed_at;
};

}  // namespace nutmeghollow
