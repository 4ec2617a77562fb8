/// @file
/// Tracks when the configuration was last confirmed to be current.
///
/// A revoked API key must stop working everywhere within a time limit, also on
/// an instance that can no longer read the configuration. An instance without
/// a confirmation within that limit therefore serves no request with a key.
///
/// A confirmation is only as good as the response that it rests on. While
/// another instance has a higher revision in force, or the newest row cannot be
/// read, the configuration here is older whatever the responses say, and no
/// request is denied because of it. How long requests that it allows may be
/// served then is decided in copy_use.h. A row that this build cannot read does
/// not count: it must not stop the service of all its instances.
#pragma once

#include <algorithm>
#include <optional>

#include "nutmeghollow/copy_lag.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// A change of the configuration, such as a removed key, must be in force
/// within this time on every instance that has a path to the store.
inline constexpr Duration kApplyLimit = std::chrono::milliseconds(3000);

/// Requests with an API key are no longer sent when less than this is left of
/// the limit, since the clocks of two machines run at slightly different rates.
inline constexpr Duration kRevocationMargin = std::chrono::milliseconds(200);

/// @param revocation_limit time within which a removed key must be out of force
/// on every instance.
/// @param store_fails the store recently refused, or did not answer, reads of
/// this instance. Then the revocation limit applies, so that a short outage
/// does not end the service. Otherwise the instance may have a path to the
/// store, and kApplyLimit applies.
/// @return the age of the confirmation up to which requests with an API key may
/// be sent.
inline Duration KeyedRequestLimit(Duration revocation_limit, bool store_fails) {
  return (store_fails ? revocation_limit
                      : std::min(revocation_limit, kApplyLimit)) -
         kRevocationMargin;
}

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
  /// Records the revision in force here.
  void NoteInForce(Revision revision) {
    m_in_force = revision;
    m_lag.NoteOwn(revision.value());
  }
  /// Records a revision that another instance has in force. The highest one
  /// counts also when that instance is silent later: a configuration never goes
  /// back.
  /// @param confirmed_at as for CopyLag.
  void NoteElsewhere(Revision revision,
                     std::optional<TimePoint> confirmed_at,
                     TimePoint now) {
    m_newest_elsewhere = std::max(m_newest_elsewhere, revision);
    m_lag.NoteElsewhere(revision.value(), confirmed_at, now);
  }
  /// @return the highest revision that another instance had in force.
  Revision NewestElsewhere() const { return m_newest_elsewhere; }
  /// @return true when another instance had a higher revision in force.
  bool IsOutdated() const { return m_newest_elsewhere > m_in_force; }
  /// @return the oldest change that another instance has in force and this one
  /// has not; nothing if there is none, or if its row is here and cannot be
  /// read.
  std::optional<MissingChange> OldestMissing(TimePoint now) const {
    return m_row_is_readable ? m_lag.OldestMissing(now) : std::nullopt;
  }
  /// Records whether the newest row could be read. One that could not stays
  /// unused, and the earlier configuration in force.
  void NoteRow(bool is_readable) { m_row_is_readable = is_readable; }
  /// @return true if the configuration was confirmed less than `limit` ago.
  bool Within(Duration limit, TimePoint now) const {
    return m_confirmed_at && now - *m_confirmed_at < limit;
  }
  /// @return true if requests may be denied because of the configuration: it
  /// was confirmed less than `limit` ago and is not known to be outdated, and
  /// no newer row was left unused.
  bool MayDeny(Duration limit, TimePoint now) const {
    return !IsOutdated() && m_row_is_readable && Within(limit, now);
  }
  /// @return when the latest confirmation was requested, if there is one.
  const std::optional<TimePoint>& ConfirmedAt() const { return m_confirmed_at; }

 private:
  std::optional<TimePoint> m_confirmed_at;
  Revision m_in_force;
  Revision m_newest_elsewhere;
  CopyLag m_lag;
  bool m_row_is_readable = true;
};

}  // namespace nutmeghollow
