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

/// Position in the history of all tables. The platform counts versions; its era
/// rises when it comes back from an older copy, in which later versions are
/// missing and are then used again. A position holds both, the era in its
/// highest bits, so that each position of a later era is the higher one.
using FeedVersion = Number<struct FeedVersionTag>;

/// Era of the platform's tables; zero while it states none.
using FeedEra = Number<struct FeedEraTag, std::uint16_t>;

inline constexpr int kVersionBits = 48;
/// Highest version within an era.
inline constexpr std::uint64_t kMaxVersionInEra =
    (std::uint64_t{1} << kVersionBits) - 1;

/// @param version within the era, at most kMaxVersionInEra.
inline FeedVersion MakeFeedVersion(FeedEra era, std::uint64_t version) {
  return FeedVersion(std::uint64_t{era.value()} << kVersionBits | version);
}

inline FeedEra EraOf(FeedVersion position) {
  return FeedEra(static_cast<std::uint16_t>(position.value() >> kVersionBits));
}

/// @return the version within its era.
inline std::uint64_t VersionInEra(FeedVersion position) {
  return position.value() & kMaxVersionInEra;
}

/// A row, or the removal of one.
struct FeedRow {
  std::string m_key;
  std::string m_value;
  FeedVersion m_version;
  bool m_removed = false;  ///< The row no longer exists.
  /// The row is missing from a later era of the platform, which may have lost
  /// it: it may be written again. Only with m_removed.
  bool m_may_return = false;
};

/// Status of a call to the platform.
enum class FeedStatus {
  kDone,
  kHistoryNotRetained,  ///< The changes after the version are not retained.
  kRejected,            ///< Refused or not reached; nothing was written.
  kConflict,            ///< The expected version differed; nothing was written.
  kUnknown,             ///< No usable response; a write may have taken effect.
  /// The response is older than one that was known when the call was sent.
  kOutdated,
};

/// Result of a call.
struct FeedResult {
  FeedStatus m_status = FeedStatus::kUnknown;
  std::vector<FeedRow> m_rows;
  /// Of the newest change included in the rows; for a write, of the newest
  /// change of all tables, zero if it is not stated.
  FeedVersion m_version;
  std::string m_detail;  ///< Description of the failure when not kDone.
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
  /// Compares rows with the platform's in a transaction that writes nothing,
  /// which is never behind as a read may be. The result has those rows that
  /// have changed or no longer exist; its version is that of the newest change
  /// of all tables. Rows that were added are not found. May be empty.
  std::function<void(const std::string& table,
                     const std::vector<FeedRow>& rows,
                     Duration timeout,
                     FeedCallback callback)>
      m_compare = {};
};

}  // namespace nutmeghollow::net
