/// @file
/// Interface to the platform's transactional table service.
///
/// A row has a key, a text value and a version that increases with each write.
/// A commit contains preconditions on versions and a list of writes, and is
/// atomic. Its response can be lost after the commit took effect. The status is
/// kUnknown then, and only a read shows whether it took effect.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// One row of the table service.
struct StoreRow {
  std::string m_key;
  std::string m_value;
  RowVersion m_version;
};

/// Requires that a row has the given version; version zero means absent.
struct StorePrecondition {
  std::string m_key;
  RowVersion m_version;
};

/// Writes a row, or deletes it when no value is given.
struct StoreWrite {
  std::string m_key;
  std::optional<std::string> m_value;
};

/// Status of an operation on the table service.
enum class StoreStatus {
  kDone,         ///< Took effect; the rows of a read are valid.
  kConflict,     ///< A precondition failed; nothing was written.
  kUnavailable,  ///< Refused or not reached; nothing was written.
  kUnknown,      ///< No response; a commit may have taken effect.
};

/// System that requested an operation and receives its result.
enum class StorePurpose {
  kConfiguration,
  kClaim,
  kLease,
  kOperator,
  kQuarantine,
  kCount
};

/// Result of an operation on the table service.
struct StoreResult {
  StoreOperationId m_operation;
  StoreStatus m_status = StoreStatus::kUnknown;
  /// Rows read or scanned; after a conflict, the rows whose version differed.
  std::vector<StoreRow> m_rows;
};

}  // namespace nutmeghollow
