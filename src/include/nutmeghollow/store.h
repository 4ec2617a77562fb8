/// @file
/// The platform's transactional table service, as the library sees it.
///
/// A row has a key, a text value and a version that grows with each write. A
/// commit carries preconditions on versions and a list of writes; it takes
/// effect as a whole or not at all. Its answer can be lost after the commit
/// took effect: that is the status kUnknown, and only a read settles it.
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

/// How an operation on the table service ended.
enum class StoreStatus {
  kDone,         ///< Took effect; for a read, the rows are valid.
  kConflict,     ///< A precondition failed; nothing was written.
  kUnavailable,  ///< The service refused or was not reached; nothing written.
  kUnknown,      ///< No answer; a commit may or may not have taken effect.
};

/// Which system asked for an operation, and so reads its result.
enum class StorePurpose {
  kConfiguration,
  kClaim,
  kLease,
  kOperator,
  kQuarantine,
  kCount
};

/// The end of an operation on the table service.
struct StoreResult {
  StoreOperationId m_operation;
  StoreStatus m_status = StoreStatus::kUnknown;
  /// Rows read or scanned; after a conflict, the rows that differed.
  std::vector<StoreRow> m_rows;
};

}  // namespace nutmeghollow
