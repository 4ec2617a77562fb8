/// @file
/// Keeps a copy of one of the platform's tables up to date.
///
/// A follower reads the table once and then requests its changes by long
/// polling. It retries failed requests after a backoff. When the platform no
/// longer retains the changes it needs, it reads the whole table again and
/// reports missing rows as removed. While the platform's responses are
/// outdated, the rows are compared with the platform's in transactions instead.
/// It keeps the rows and the newest changes, so that other instances can follow
/// the table through this one.
#pragma once

#include <ev.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libnet/event_loop.h"
#include "libnet/row_feed.h"

namespace nutmeghollow {

/// Settings of a follower.
struct TableFollowerOptions {
  std::string m_table;
  /// Time after which a request for changes ends without any.
  Duration m_wait = std::chrono::milliseconds(1500);
  /// Timeout of a request beyond its wait: several times the duration of a slow
  /// response of a healthy store.
  Duration m_timeout_margin = std::chrono::milliseconds(600);
  /// Backoff after the first failure. It limits an instance whose requests the
  /// store rejects to well below 1% of the store's request rate.
  Duration m_min_backoff = std::chrono::milliseconds(200);
  /// Maximum of the backoff, which doubles with each consecutive failure.
  Duration m_max_backoff = std::chrono::milliseconds(800);
  /// Delay before the next read after an outdated response.
  Duration m_outdated_delay = std::chrono::milliseconds(400);
  /// Minimum time between two requests; changes within it arrive together.
  Duration m_min_period = std::chrono::milliseconds(50);
};

/// Callbacks of a follower. All but m_on_row may be empty.
struct TableFollowerEvents {
  /// Called for each row that is read, changed or removed.
  /// @return false when an earlier row of this key stays in use. Other
  /// instances are then given that one: they may not have seen it.
  std::function<bool(const net::FeedRow&)> m_on_row;
  /// Called after the rows of a response.
  /// @param confirmed_at when the copy was confirmed to be current.
  std::function<void(TimePoint confirmed_at)> m_on_confirmed;
  /// Called for the first failure after a success.
  /// @param reason why the request failed.
  std::function<void(const std::string& reason)> m_on_lost;
  /// Called for the first successful response after failures, before its rows.
  /// @param outage time since the previous successful response.
  std::function<void(Duration outage)> m_on_regained;
};

/// Follows one table.
class TableFollower {
 public:
  TableFollower(struct ev_loop* loop,
                net::RowFeed feed,
                TableFollowerOptions options,
                TableFollowerEvents events);
  ~TableFollower();
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  /// @return true when the table has been read and the last request succeeded.
  bool IsCurrent() const { return m_loaded && m_failures == 0; }
  /// @return true when the copy has rows, even if they may be outdated.
  bool HasRows() const { return !m_rows.empty(); }
  /// @return when the copy was last confirmed to be current.
  TimePoint ConfirmedAt() const { return m_confirmed_at; }
  /// @return the instance that gave the last response; empty when the platform
  /// gave it. Set before the callbacks for its rows.
  const Endpoint& Source() const { return m_source; }
  /// @return the version of the newest change that the copy includes.
  net::FeedVersion Version() const { return m_version; }
  /// @return the version up to which changes were received, from copies of
  /// other instances too.
  net::FeedVersion IncludedVersion() const {
    return std::max(m_version, m_copied_version);
  }
  /// @return the version up to which changes and removals of the rows held were
  /// received; rows that were added may be missing.
  net::FeedVersion ComparedVersion() const {
    return std::max(IncludedVersion(), m_compared_version);
  }
  /// @return the version of the newest change of a row of the copy.
  net::FeedVersion NewestChange() const { return m_newest_change; }
  /// @return number of rows that were read, changed or removed; rows from
  /// copies of other instances change them without a new version.
  std::uint64_t Updates() const { return m_updates; }
  /// @return true when all changes after a version are retained.
  bool Retains(net::FeedVersion after) const {
    return after >= m_changes_after;
  }
  /// @return the retained changes after a version; kHistoryNotRetained when
  /// some of the changes after it are no longer retained.
  net::FeedResult ChangesAfter(net::FeedVersion after) const;
  /// @return all rows.
  net::FeedResult AllRows() const;
  /// Sends a request immediately if the last one failed, and abandons an
  /// earlier one in progress. Called when the platform responds again.
  void RetryIfLost();
  /// Reads rows from another instance that has newer ones, and takes over those
  /// that are newer, and those of the same version that differ. The copy is not
  /// confirmed by them. Called when the rows here are known to be older.
  /// @param after version after which changes are wanted; zero for all rows.
  /// @param done called at the end, with true if an instance gave its rows. Not
  /// called once this object is gone.
  void RequestCopy(net::FeedVersion after,
                   std::function<void(bool is_read)> done);
  /// Sets the maximum backoff, for example according to the size of the fleet.
  void SetMaxBackoff(Duration max_backoff) {
    m_options.m_max_backoff = max_backoff;
  }
  /// Sets the delay before the next read after an outdated response.
  void SetOutdatedDelay(Duration delay) { m_options.m_outdated_delay = delay; }

 private:
  void SendRequest();
  /// Handles a response that is older than what was known before.
  void HandleOutdated(const std::string& reason);
  void HandleComparison(const net::FeedResult& result, TimePoint requested_at);
  void HandleAllRows(const net::FeedResult& result, TimePoint requested_at);
  void HandleChanges(const net::FeedResult& result, TimePoint requested_at);
  void HandleCopy(const net::FeedResult& result);
  bool IsNewerInCopy(const net::FeedRow& row) const;
  /// @return the version of the newest change of a row, if one is known.
  std::optional<net::FeedVersion> VersionOf(const std::string& key) const;
  /// @return true when a response may be older than what copies of other
  /// instances gave.
  bool MayPrecedeCopies(const net::FeedResult& result,
                        TimePoint requested_at) const;
  void HandleRow(const net::FeedRow& row);
  void HandleSuccess();
  void Confirm(const net::FeedResult& result, TimePoint requested_at);
  /// Records that the copy was confirmed to be current.
  void NoteConfirmed(TimePoint confirmed_at);
  void HandleFailure(const std::string& reason);

  /// A change retained for other followers.
  struct Change {
    std::string m_key;
    net::FeedVersion m_version;
  };

  void Retain(const net::FeedRow& row);

  net::RowFeed m_feed;
  TableFollowerOptions m_options;
  TableFollowerEvents m_events;
  net::Timer m_timer;
  bool m_loaded = false;
  net::FeedVersion m_version;
  net::FeedVersion m_newest_change;
  std::uint64_t m_updates = 0;
  std::map<std::string, net::FeedRow> m_rows;
  /// The newest change of each row that changed, ordered by version. The values
  /// are in m_rows.
  std::deque<Change> m_changes;
  net::FeedVersion m_changes_after;  ///< All later changes are in m_changes.
  TimePoint m_confirmed_at{};
  /// Version of the copies of other instances that were taken over.
  net::FeedVersion m_copied_version;
  /// Version of the last comparison with the platform's rows.
  net::FeedVersion m_compared_version;
  TimePoint m_copied_at{};
  Endpoint m_source;
  int m_failures = 0;  ///< Consecutive.
  TimePoint m_last_success_at{};
  /// Callbacks hold a weak reference and do nothing when it has expired.
  /// Replaced to abandon the requests in progress.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
  /// As m_alive, for requests for copies; never replaced.
  std::shared_ptr<bool> m_exists = std::make_shared<bool>(true);
};

}  // namespace nutmeghollow
