// Expiry of claims, and commands of operators about one claim.
#include <algorithm>
#include <utility>

#include "claim_internals.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {
namespace {

constexpr std::string_view kClaimPrefix = "claim/";

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// The live instance with the lowest id scans. Concurrent scans, when instances
/// disagree about which of them are alive, are harmless.
bool IsScanner(const World& world) {
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (row.m_status == InstanceStatus::kAlive) {
      return id == world.m_instances.m_self;
    }
  }
  return false;
}

bool IsExpired(const World& world, const ClaimRecord& record) {
  const ClaimParameters& parameters = world.m_claim_parameters;
  const Duration retention = record.m_state == ClaimState::kDone
                                 ? parameters.m_retention
                                 : parameters.m_unsettled_retention;
  const std::int64_t age =
      world.m_hooks.m_wall_time().value() - record.m_created.value();
  return age > Milliseconds(retention);
}

void DeleteRows(World& world, const std::vector<StoreRow>& rows) {
  if (rows.empty()) {
    return;
  }
  CommitStore commit;
  commit.m_purpose = StorePurpose::kClaim;
  commit.m_operation = world.NewStoreOperation();
  for (const StoreRow& row : rows) {
    commit.m_preconditions.push_back({row.m_key, row.m_version});
    commit.m_writes.push_back({row.m_key, std::nullopt});
  }
  ++world.m_claims.m_counters.m_commits;
  world.m_claims.m_counters.m_expired += rows.size();
  world.m_claims.m_operations[commit.m_operation].m_kind =
      ClaimOperation::Kind::kExpire;
  world.m_actions.emplace_back(std::move(commit));
}

void Report(World& world,
            const ClaimCommand& command,
            ClaimCommandStatus status,
            std::string row = {}) {
  world.m_claims.m_command_results.push_back(
      {command.m_command, status, std::move(row)});
}

/// @return whether the claimer may still settle the claim itself.
bool ClaimerMaySettle(const World& world, const ClaimRecord& record) {
  if (record.m_state != ClaimState::kOpen) {
    return false;
  }
  const std::int64_t takeover_at =
      record.m_dispatch_until.value() +
      Milliseconds(world.m_claim_parameters.m_takeover_margin);
  if (world.m_hooks.m_wall_time().value() < takeover_at) {
    return true;
  }
  if (record.m_claimer == world.m_instances.m_self) {
    return record.m_token.starts_with(world.m_claims.m_process_name + "/");
  }
  const InstanceRow* claimer = world.m_instances.Find(record.m_claimer);
  return claimer != nullptr && claimer->m_status != InstanceStatus::kDead;
}

void Resolve(World& world,
             const ClaimCommand& command,
             const StoreRow& row,
             ClaimRecord record) {
  CommitStore commit;
  commit.m_purpose = StorePurpose::kClaim;
  commit.m_operation = world.NewStoreOperation();
  commit.m_preconditions.push_back({row.m_key, row.m_version});
  std::optional<std::string> value;
  if (*command.m_resolution == Outcome::kCompleted) {
    record.m_state = ClaimState::kDone;
    record.m_status = 0;
    record.m_body_kept = false;
    record.m_settled_by = command.m_operator.str();
    value = FormatClaim(record);
  }
  commit.m_writes.push_back({row.m_key, value});
  ++world.m_claims.m_counters.m_commits;
  ClaimOperation& operation = world.m_claims.m_operations[commit.m_operation];
  operation.m_kind = ClaimOperation::Kind::kResolve;
  operation.m_command = command;
  operation.m_keys = {value.value_or("")};
  world.m_actions.emplace_back(std::move(commit));
}

}  // namespace

void RunClaimExpiry(World& world, TimePoint now) {
  ClaimTable& claims = world.m_claims;
  if (claims.m_scanning || now < claims.m_next_scan) {
    return;
  }
  const bool first = claims.m_next_scan == TimePoint();
  claims.m_next_scan = now + world.m_claim_parameters.m_scan_period;
  if (first || !IsScanner(world)) {
    return;
  }
  ScanStore scan;
  scan.m_purpose = StorePurpose::kClaim;
  scan.m_operation = world.NewStoreOperation();
  scan.m_prefix = kClaimPrefix;
  scan.m_after = claims.m_scan_cursor;
  scan.m_limit = world.m_claim_parameters.m_scan_limit;
  ++claims.m_counters.m_reads;
  claims.m_scanning = true;
  claims.m_operations[scan.m_operation].m_kind = ClaimOperation::Kind::kScan;
  world.m_actions.emplace_back(std::move(scan));
}

void HandleClaimScan(World& world, const StoreResult& result) {
  ClaimTable& claims = world.m_claims;
  claims.m_scanning = false;
  if (result.m_status != StoreStatus::kDone) {
    return;
  }
  std::vector<StoreRow> expired;
  for (const StoreRow& row : result.m_rows) {
    const std::optional<ClaimRecord> record = ParseClaim(row.m_value);
    if (record && IsExpired(world, *record)) {
      expired.push_back(row);
    }
  }
  const bool more = static_cast<int>(result.m_rows.size()) >=
                    world.m_claim_parameters.m_scan_limit;
  claims.m_scan_cursor = more ? result.m_rows.back().m_key : "";
  DeleteRows(world, expired);
}

void RunClaimCommands(World& world) {
  for (const ClaimCommand& command :
       std::exchange(world.m_claim_inbox.m_commands, {})) {
    ReadStore read;
    read.m_purpose = StorePurpose::kClaim;
    read.m_operation = world.NewStoreOperation();
    read.m_keys = {command.m_row_key};
    ++world.m_claims.m_counters.m_reads;
    ClaimOperation& operation = world.m_claims.m_operations[read.m_operation];
    operation.m_kind = ClaimOperation::Kind::kShow;
    operation.m_command = command;
    world.m_actions.emplace_back(std::move(read));
  }
}

void HandleClaimCommandRead(World& world,
                            const ClaimCommand& command,
                            const StoreResult& result) {
  if (result.m_status != StoreStatus::kDone) {
    Report(world, command, ClaimCommandStatus::kUnavailable);
    return;
  }
  if (result.m_rows.empty()) {
    Report(world, command, ClaimCommandStatus::kNotFound);
    return;
  }
  const StoreRow& row = result.m_rows.front();
  const std::optional<ClaimRecord> record = ParseClaim(row.m_value);
  if (!command.m_resolution || !record) {
    Report(world, command, ClaimCommandStatus::kShown, row.m_value);
  } else if (record->m_state == ClaimState::kDone) {
    Report(world, command, ClaimCommandStatus::kAlreadySettled, row.m_value);
  } else if (ClaimerMaySettle(world, *record)) {
    Report(world, command, ClaimCommandStatus::kInProgress, row.m_value);
  } else {
    Resolve(world, command, row, *record);
  }
}

void HandleClaimCommandCommit(World& world,
                              const ClaimOperation& operation,
                              const StoreResult& result) {
  ClaimCommandStatus status = ClaimCommandStatus::kResolved;
  std::string row = operation.m_keys.front();
  switch (result.m_status) {
    case StoreStatus::kDone:
      break;
    case StoreStatus::kConflict:
      status = ClaimCommandStatus::kConflict;
      row = result.m_rows.empty() ? "" : result.m_rows.front().m_value;
      break;
    case StoreStatus::kUnavailable:
      status = ClaimCommandStatus::kUnavailable;
      break;
    case StoreStatus::kUnknown:
      status = ClaimCommandStatus::kUnknown;
      break;
  }
  Report(world, operation.m_command, status, std::move(row));
}

}  // namespace nutmeghollow::detail
