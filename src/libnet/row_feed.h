/// @file
/// Tables that the platform keeps, followed by their changes.
///
/// Each hook starts one call; the callback gets its end exactly once. A hook
/// neither repeats nor waits: what follows a failure is the follower's choice.
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

/// A row, or the fact that it went.
struct FeedRow {
  std::string m_key;
  std::string m_value;
  FeedVersion m_version;
  bool m_removed = false;
};

/// How a call to the platform ended.
enum class FeedStatus {
  kDone,
  kHistoryNotRetained,  ///< The changes after the position are no longer kept.
  kRejected,            ///< The platform answered and did nothing.
  kConflict,            ///< A condition did not hold; nothing was done.
  kUnknown,             ///< No answer, or one that is not understood.
};

/// The end of a call.
struct FeedResult {
  FeedStatus m_status = FeedStatus::kUnknown;
  std::vector<FeedRow> m_rows;
  FeedVersion m_version;  ///< Newest change that the rows include.
  std::string m_detail;   ///< Why it is not kDone.
  /// When the rows were known to be the newest, by the asker's clock. Unset
  /// when that is when the call was sent.
  std::optional<TimePoint> m_current_at;
};

/// A change of one row.
struct FeedWrite {
  std::string m_table;
  std::string m_key;
  std::optional<std::string> m_value;  ///< Unset to remove the row.
  /// Version that the row must have; zero for none. Unset for any.
  std::optional<FeedVersion> m_expected;
};

using FeedCallback = std::function<void(FeedResult)>;

/// Calls to the platform's tables.
struct RowFeed {
  /// Reads all rows of a table.
  std::function<
      void(const std::string& table, Duration timeout, FeedCallback callback)>
      m_read_all;
  /// Waits for changes of a table after a position; ends with none after the
  /// wait.
  std::function<void(const std::string& table,
                     FeedVersion after,
                     Duration wait,
                     Duration timeout,
                     FeedCallback callback)>
      m_wait_changes;
  /// Writes a row.
  std::function<
      void(const FeedWrite& write, Duration timeout, FeedCallback callback)>
      m_write;
};

}  // namespace nutmeghollow::net
