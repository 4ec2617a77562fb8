/// @file
/// Table service in memory with fault injection, for tests.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flow_world.h"

namespace nutmeghollow {

/// Executes store actions and delivers the results to the world.
class TableStore {
 public:
  /// Injected result of the next commit.
  struct Fault {
    StoreStatus m_status = StoreStatus::kUnavailable;
    bool m_took_effect = false;
  };

  /// Executes the store actions of an instance.
  /// @return false when it has none.
  bool CarryOut(FlowWorld& flow) {
    bool any = false;
    for (const CommitStore& commit : flow.Take<CommitStore>()) {
      Deliver(flow, commit.m_purpose, Commit(commit));
      any = true;
    }
    for (const ReadStore& read : flow.Take<ReadStore>()) {
      Deliver(flow, read.m_purpose, Read(read));
      any = true;
    }
    for (const ScanStore& scan : flow.Take<ScanStore>()) {
      Deliver(flow, scan.m_purpose, Scan(scan));
      any = true;
    }
    return any;
  }

  std::map<std::string, StoreRow> m_rows;
  bool m_down = false;           ///< Commits and reads end with kUnavailable.
  std::optional<Fault> m_fault;  ///< For the next commit.

  static void Deliver(FlowWorld& flow,
                      StorePurpose purpose,
                      StoreResult result) {
    flow.m_world.m_store_results[static_cast<std::size_t>(purpose)].push_back(
        std::move(result));
  }

  RowVersion VersionOf(const std::string& key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? RowVersion() : found->second.m_version;
  }

  StoreResult Commit(const CommitStore& commit) {
    StoreResult result{commit.m_operation, StoreStatus::kDone, {}};
    if (m_down) {
      result.m_status = StoreStatus::kUnavailable;
      return result;
    }
    const std::optional<Fault> fault = std::exchange(m_fault, std::nullopt);
    if (fault && !fault->m_took_effect) {
      result.m_status = fault->m_status;
      return result;
    }
    for (const StorePrecondition& condition : commit.m_preconditions) {
      if (VersionOf(condition.m_key) != condition.m_version) {
        const auto found = m_rows.find(condition.m_key);
        result.m_rows.push_back(found == m_rows.end()
                                    ? StoreRow{condition.m_key, "", {}}
                                    : found->second);
        result.m_status = StoreStatus::kConflict;
      }
    }
    if (result.m_status == StoreStatus::kDone) {
      Apply(commit);
    }
    if (fault) {
      result = {commit.m_operation, fault->m_status, {}};
    }
    return result;
  }

  void Apply(const CommitStore& commit) {
    for (const StoreWrite& write : commit.m_writes) {
      if (write.m_value) {
        m_rows[write.m_key] = {write.m_key, *write.m_value,
                               RowVersion(++m_last_version)};
      } else {
        m_rows.erase(write.m_key);
      }
    }
  }

  StoreResult Read(const ReadStore& read) const {
    StoreResult result{read.m_operation, StoreStatus::kDone, {}};
    if (m_down) {
      result.m_status = StoreStatus::kUnavailable;
      return result;
    }
    for (const std::string& key : read.m_keys) {
      const auto found = m_rows.find(key);
      if (found != m_rows.end()) {
        result.m_rows.push_back(found->second);
      }
    }
    return result;
  }

  StoreResult Scan(const ScanStore& scan) const {
    StoreResult result{scan.m_operation, StoreStatus::kDone, {}};
    for (const auto& [key, row] : m_rows) {
      const bool wanted = key.starts_with(scan.m_prefix) && key > scan.m_after;
      if (wanted && static_cast<int>(result.m_rows.size()) < scan.m_limit) {
        result.m_rows.push_back(row);
      }
    }
    return result;
  }

 private:
  std::uint64_t m_last_version = 0;
};

}  // namespace nutmeghollow
