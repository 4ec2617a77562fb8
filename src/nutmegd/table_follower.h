/// @file
/// Keeps a copy of one of the platform's tables up to date.
///
/// It reads the table once, then waits for changes. When a call fails it asks
/// again after a pause; when the history it needs is gone it reads the whole
/// table anew and reports what is missing as removed. It keeps the rows and
/// the newest changes, so that other instances can follow the table through
/// this one.
#pragma once

#include <ev.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libnet/event_loop.h"
#include "libnet/row_feed.h"

namespace nutmeghollow {

/// Settings of a follower.
struct TableFollowerOptions {
  std::string m_table;
  /// Longest wait of one call for changes.
  Duration m_wait = std::chrono::milliseconds(1500);
  /// Time for the answer beyond the wait: several times a slow answer of a
  /// sound store.
  Duration m_answer_margin = std::chrono::milliseconds(600);
  /// Pause before asking again after a failure: keeps an instance that the
  /// store refuses well below one call in a hundred of the store's rate.
  Duration m_pause = std::chrono::milliseconds(200);
  /// The pause doubles up to this with each failure in a row.
  Duration m_longest_pause = std::chrono::milliseconds(800);
  /// Least time between two questions; changes within it come together.
  Duration m_min_period = std::chrono::milliseconds(50);
};

/// Calls made by a follower.
struct TableFollowerEvents {
  std::function<void(const net::FeedRow&)> m_on_row;
  /// After the rows of an answer. @param current_at when they were known to be
  /// the newest.
  std::function<void(TimePoint current_at)> m_on_confirmed;
  /// The first failure after answers, with its reason.
  std::function<void(const std::string& reason)> m_on_lost;
  /// The first answer after failures, with how long there was none; before
  /// the rows of that answer.
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

  /// @return true while the last question was answered.
  bool Current() const { return m_has_all && m_failures == 0; }
  /// @return when the copy was last known to be the newest.
  TimePoint CurrentAt() const { return m_current_at; }
  /// @return the newest change that the copy includes.
  net::FeedVersion Version() const { return m_version; }
  /// @return the changes after a version, from the kept ones.
  net::FeedResult ChangesAfter(net::FeedVersion after) const;
  /// @return all rows.
  net::FeedResult AllRows() const;
  /// The platform is known to answer again: an instance that lost it asks at
  /// once, and no longer waits for the answer to an earlier question.
  void RetryIfLost();
  /// Changes the pauses, for example with the size of the fleet.
  void SetLongestPause(Duration pause) { m_options.m_longest_pause = pause; }

 private:
  void Ask();
  void HandleAll(const net::FeedResult& result, TimePoint asked_at);
  void HandleChanges(const net::FeedResult& result, TimePoint asked_at);
  void HandleRow(const net::FeedRow& row);
  void NoteAnswer();
  void RespondToPending(const net::FeedResult& result, TimePoint asked_at);
  void NoteFailure(const std::string& reason);

  net::RowFeed m_feed;
  TableFollowerOptions m_options;
  TableFollowerEvents m_events;
  net::Timer m_timer;
  bool m_has_all = false;
  net::FeedVersion m_version;
  std::map<std::string, net::FeedRow> m_rows;
  std::deque<net::FeedRow> m_changes;  ///< The newest ones, in order.
  net::FeedVersion m_changes_after;    ///< All later changes are kept.
  TimePoint m_current_at{};
  int m_failures = 0;  ///< In a row.
  TimePoint m_last_answer{};
  /// Ends with this object, or with a question that is given up; answers that
  /// come later do nothing.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace nutmeghollow
