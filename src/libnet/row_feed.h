/// @file
/// Interface to the platform's versioned tables: reads, waits for changes, and
/// conditional writes.
///
/// Each hook starts one call; the callback receives its result exactly once. A
/// hook does not retry: the caller decides what follows a failure.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Position in the history of all tables.
using FeedVersion = Number<struct FeedVersionTag>;

/// A row, or the removal of one.
struct FeedRow {
  std::string m_key;
  std::string m_value;
  FeedVersion m_version;
  bool m_removed = false;  ///< The row no longer exists.
};

/// Status of a call to the platform.
enum class FeedStatus {
  kDone,
  kHistoryNotRetained,  ///< The changes after the version are not retained.
  kRejected,            ///< Refused or not reached; nothing was written.
  kConflict,            ///< The expected version differed; nothing was written.
  kUnknown,             ///< No usable response; a write may have taken effect.
};

/// Result of a call.
struct FeedResult {
  FeedStatus m_status = FeedStatus::kUnknown;
  std::vector<FeedRow> m_rows;
  FeedVersion m_version;  ///< Of the newest change included in the rows.
  std::string m_detail;   ///< Description of the failure when not kDone.
  /// Time at which the rows were confirmed to be current, on the clock of the
  /// requester. Unset when that is the time at which the call was sent.
  std::optional<TimePoint> m_confirmed_at;
  /// The rows are the whole table instead of changes: rows that are not among
  /// them no longer exist.
  bool m_is_whole = false;
  /// Instance through which the result came; empty when it is the platform's.
  Endpoint m_source = {};
};

/// Writes or removes one row.
struct FeedWrite {
  std::string m_table;
  std::string m_key;
  std::optional<std::string> m_value;  ///< Unset to remove the row.
  /// Version that the row must have; zero when it must not exist. Unset to
  /// accept any.
  std::optional<FeedVersion> m_expected_version;
};

using FeedCallback = std::function<void(FeedResult)>;

/// Calls to the platform's tables.
struct RowFeed {
  /// Reads all rows of a table.
  std::function<
      void(const std::string& table, Duration timeout, FeedCallback callback)>
      m_read_all;
  /// Reads rows of a table from another instance that has newer ones: those
  /// that changed after a version, or all of them when it does not retain these
  /// changes. Empty in feeds that call the platform only.
  std::function<void(const std::string& table,
                     FeedVersion after,
                     Duration timeout,
                     FeedCallback callback)>
      m_read_copy = {};
  /// Waits for changes of a table after a version; the result has no rows when
  /// none occurs within the wait.
  std::function<void(const std::string& table,
                     FeedVersion after,
                     Duration wait,
                     Duration timeout,
                     FeedCallback callback)>
      m_wait_changes;
  /// Writes or removes a row.
  std::function<
      void(const FeedWrite& write, Duration timeout, FeedCallback callback)>
      m_write;
};

}  // namespace nutmeghollow::net
