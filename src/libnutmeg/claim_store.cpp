// Transactions and reads of claims. The number of commits in flight is limited;
// writes that are queued meanwhile share the next transaction.
#include <algorithm>
#include <utility>

#include "claim_internals.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {
namespace {

constexpr std::size_t kMaxRowsPerRead = 128;

void SendCommit(World& world, std::vector<ClaimWrite> writes) {
  ClaimTable& claims = world.m_claims;
  CommitStore commit;
  commit.m_purpose = StorePurpose::kClaim;
  commit.m_operation = world.NewStoreOperation();
  for (const ClaimWrite& write : writes) {
    commit.m_preconditions.push_back({write.m_row_key, write.m_precondition});
    commit.m_writes.push_back({write.m_row_key, write.m_value});
  }
  ++claims.m_commits_in_flight;
  ++claims.m_counters.m_commits;
  claims.m_counters.m_writes += writes.size();
  ClaimOperation& operation = claims.m_operations[commit.m_operation];
  operation.m_kind = ClaimOperation::Kind::kCommit;
  operation.m_writes = std::move(writes);
  world.m_actions.emplace_back(std::move(commit));
}

void SendRead(World& world, std::vector<std::string> keys) {
  ClaimTable& claims = world.m_claims;
  ReadStore read;
  read.m_purpose = StorePurpose::kClaim;
  read.m_operation = world.NewStoreOperation();
  read.m_keys = keys;
  ++claims.m_counters.m_reads;
  ClaimOperation& operation = claims.m_operations[read.m_operation];
  operation.m_kind = ClaimOperation::Kind::kRead;
  operation.m_keys = std::move(keys);
  world.m_actions.emplace_back(std::move(read));
}

/// @return the row with the given key, or a row with version zero when it is
/// absent.
StoreRow RowOf(const std::vector<StoreRow>& rows, const std::string& key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(),
                   [&key](const StoreRow& row) { return row.m_key == key; });
  return found == rows.end() ? StoreRow{key, {}, RowVersion()} : *found;
}

void HandleConflict(World& world,
                    const ClaimOperation& operation,
                    const StoreResult& result,
                    TimePoint now) {
  for (const ClaimWrite& write : operation.m_writes) {
    const bool differs = std::any_of(
        result.m_rows.begin(), result.m_rows.end(),
        [&write](const StoreRow& row) { return row.m_key == write.m_row_key; });
    if (differs) {
      HandleClaimRow(world, RowOf(result.m_rows, write.m_row_key), now);
    } else {
      // Another row of the transaction caused the conflict.
      QueueClaimWrite(world, write);
    }
  }
}

void HandleCommit(World& world,
                  const ClaimOperation& operation,
                  const StoreResult& result,
                  TimePoint now) {
  --world.m_claims.m_commits_in_flight;
  if (result.m_status == StoreStatus::kConflict) {
    HandleConflict(world, operation, result, now);
    return;
  }
  for (const ClaimWrite& write : operation.m_writes) {
    switch (result.m_status) {
      case StoreStatus::kDone:
        HandleClaimWritten(world, write.m_row_key, now);
        break;
      case StoreStatus::kUnknown:
        QueueClaimRead(world, write.m_row_key);
        break;
      default:
        HandleClaimUnavailable(world, write.m_row_key, now);
        break;
    }
  }
}

void HandleRead(World& world,
                const ClaimOperation& operation,
                const StoreResult& result,
                TimePoint now) {
  for (const std::string& key : operation.m_keys) {
    if (result.m_status == StoreStatus::kDone) {
      HandleClaimRow(world, RowOf(result.m_rows, key), now);
    } else {
      HandleClaimReadFailed(world, key, now);
    }
  }
}

void HandleResult(World& world, const StoreResult& result, TimePoint now) {
  const auto found = world.m_claims.m_operations.find(result.m_operation);
  if (found == world.m_claims.m_operations.end()) {
    return;
  }
  const ClaimOperation operation = std::move(found->second);
  world.m_claims.m_operations.erase(found);
  switch (operation.m_kind) {
    case ClaimOperation::Kind::kCommit:
      HandleCommit(world, operation, result, now);
      break;
    case ClaimOperation::Kind::kRead:
      HandleRead(world, operation, result, now);
      break;
    case ClaimOperation::Kind::kScan:
      HandleClaimScan(world, result);
      break;
    case ClaimOperation::Kind::kExpire:
      break;
    case ClaimOperation::Kind::kShow:
      HandleClaimCommandRead(world, operation.m_command, result);
      break;
    case ClaimOperation::Kind::kResolve:
      HandleClaimCommandCommit(world, operation, result);
      break;
  }
}

}  // namespace

void QueueClaimWrite(World& world, ClaimWrite write) {
  world.m_claims.m_writes.push_back(std::move(write));
}

void QueueClaimRead(World& world, const std::string& row_key) {
  world.m_claims.m_reads.push_back(row_key);
}

void FlushClaimStore(World& world) {
  ClaimTable& claims = world.m_claims;
  const auto batch = static_cast<std::size_t>(
      std::max(1, world.m_claim_parameters.m_batch_limit));
  while (!claims.m_writes.empty() &&
         claims.m_commits_in_flight < world.m_claim_parameters.m_commit_limit) {
    const std::size_t count = std::min(batch, claims.m_writes.size());
    const auto end =
        claims.m_writes.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<ClaimWrite> writes(claims.m_writes.begin(), end);
    claims.m_writes.erase(claims.m_writes.begin(), end);
    SendCommit(world, std::move(writes));
  }
  while (!claims.m_reads.empty()) {
    const std::size_t count = std::min(kMaxRowsPerRead, claims.m_reads.size());
    const auto end =
        claims.m_reads.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<std::string> keys(claims.m_reads.begin(), end);
    claims.m_reads.erase(claims.m_reads.begin(), end);
    SendRead(world, std::move(keys));
  }
}

void HandleClaimStoreResults(World& world, TimePoint now) {
  auto& results =
      world.m_store_results[static_cast<std::size_t>(StorePurpose::kClaim)];
  for (const StoreResult& result : std::exchange(results, {})) {
    HandleResult(world, result, now);
  }
}

}  // namespace nutmeghollow::detail
