/// @file
/// Table service in memory, for tests.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Table service in memory. Executes each operation at once; the test decides
/// whether and when its result is delivered.
class InMemoryTableStore {
 public:
  StoreResult Run(const ReadStore& read) const {
    StoreResult result{read.m_operation, StoreStatus::kDone, {}};
    for (const std::string& key : read.m_keys) {
      if (m_rows.contains(key)) {
        result.m_rows.push_back(m_rows.at(key));
      }
    }
    return result;
  }

  StoreResult Run(const ScanStore& scan) const {
    StoreResult result{scan.m_operation, StoreStatus::kDone, {}};
    for (auto row = m_rows.upper_bound(std::max(scan.m_prefix, scan.m_after));
         row != m_rows.end() && row->first.starts_with(scan.m_prefix) &&
         result.m_rows.size() < static_cast<std::size_t>(scan.m_limit);
         ++row) {
      result.m_rows.push_back(row->second);
    }
    return result;
  }

  StoreResult Run(const CommitStore& commit) {
    StoreResult result{commit.m_operation, StoreStatus::kDone, {}};
    for (const StorePrecondition& precondition : commit.m_preconditions) {
      auto row = m_rows.find(precondition.m_key);
      const StoreRow found = row == m_rows.end()
                                 ? StoreRow{precondition.m_key, "", {}}
                                 : row->second;
      if (found.m_version != precondition.m_version) {
        result.m_rows.push_back(found);
        result.m_status = StoreStatus::kConflict;
      }
    }
    if (result.m_status == StoreStatus::kDone) {
      ++m_commits;
      for (const StoreWrite& write : commit.m_writes) {
        Write(write);
      }
    }
    return result;
  }

  std::map<std::string, StoreRow> m_rows;
  int m_commits = 0;  ///< Commits that took effect.

 private:
  void Write(const StoreWrite& write) {
    ++m_last_version;
    if (write.m_value) {
      m_rows[write.m_key] = {write.m_key, *write.m_value,
                             RowVersion(m_last_version)};
    } else {
      m_rows.erase(write.m_key);
    }
  }

  std::uint64_t m_last_version = 0;
};

}  // namespace nutmeghollow
