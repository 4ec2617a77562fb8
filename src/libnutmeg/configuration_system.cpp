#include "nutmeghollow/configuration_system.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "libnutmeg/configuration_rows.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

constexpr std::uint64_t kJobSeed = 0x6a6f62;
constexpr char kPollJob[] = "poll";
/// Period of the isolation check.
constexpr Duration kIsolationCheckPeriod = std::chrono::milliseconds(200);

bool IsUp(const InstanceRow& row) {
  return row.m_status == InstanceStatus::kAlive ||
         row.m_status == InstanceStatus::kSuspect;
}

std::uint64_t JobScore(std::uint64_t job_hash, const InstanceId& instance) {
  return XXH3_64bits_withSeed(instance.str().data(), instance.str().size(),
                              job_hash);
}

bool IsBehind(const World& world) {
  return world.m_configuration.m_highest_seen >
         world.m_configuration.m_revision;
}

TimePoint LastPeerContact(const World& world) {
  TimePoint latest{};
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (id != world.m_instances.m_self) {
      latest = std::max(latest, row.m_last_message_at);
    }
  }
  return latest;
}

// Reads of the table service.

void StartRead(World& world, StoreReadStage stage, std::string key) {
  ConfigurationState& state = world.m_configuration_state;
  state.m_stage = stage;
  state.m_operation = world.NewStoreOperation();
  world.m_actions.push_back(ReadStore{.m_purpose = StorePurpose::kConfiguration,
                                      .m_operation = state.m_operation,
                                      .m_keys = {std::move(key)}});
}

void StartScan(World& world,
               StoreReadStage stage,
               std::string prefix,
               std::string after) {
  ConfigurationState& state = world.m_configuration_state;
  state.m_stage = stage;
  state.m_operation = world.NewStoreOperation();
  world.m_actions.push_back(
      ScanStore{.m_purpose = StorePurpose::kConfiguration,
                .m_operation = state.m_operation,
                .m_prefix = std::move(prefix),
                .m_after = std::move(after),
                .m_limit = state.m_parameters.m_scan_limit});
}

void StartChangeScan(World& world, StoreReadStage stage, Revision since) {
  StartScan(world, stage, detail::kAuditPrefix, detail::AuditRowKey(since));
}

void StartSnapshot(World& world) {
  world.m_configuration_state.m_snapshot = {.m_whole = true};
  StartRead(world, StoreReadStage::kSnapshotHead, detail::kHeadKey);
}

/// Starts the cheapest read that can bring this instance up to date.
void StartCatchUp(World& world) {
  if (!world.m_configuration.Ready()) {
    StartSnapshot(world);
    return;
  }
  StartChangeScan(world, StoreReadStage::kChanges,
                  world.m_configuration.m_revision);
}

bool IsFullPage(const World& world, const StoreResult& result) {
  return result.m_rows.size() >=
         static_cast<std::size_t>(
             world.m_configuration_state.m_parameters.m_scan_limit);
}

/// Appends the audit rows that continue a transfer without a gap.
/// @return false when a row is malformed or a revision is missing.
bool AppendChanges(const StoreResult& result, ConfigurationTransfer& transfer) {
  for (const StoreRow& row : result.m_rows) {
    const std::optional<AuditRow> audit = detail::DecodeAudit(row.m_value);
    if (!audit || audit->m_revision != transfer.m_revision.Next()) {
      return false;
    }
    transfer.m_changes.push_back(
        {audit->m_revision, audit->m_key, audit->m_after});
    transfer.m_revision = audit->m_revision;
  }
  return true;
}

void OnHead(World& world, const StoreResult& result) {
  const StoreRow* row = detail::FindRow(result, detail::kHeadKey);
  if (row == nullptr) {
    return;
  }
  const std::optional<Revision> head = detail::DecodeHead(row->m_value);
  Revision& highest = world.m_configuration.m_highest_seen;
  highest = std::max(highest, head.value_or(Revision()));
}

void OnChanges(World& world, const StoreResult& result, TimePoint now) {
  const Revision since = world.m_configuration.m_revision;
  ConfigurationTransfer transfer{.m_revision = since, .m_since = since};
  const bool contiguous = AppendChanges(result, transfer);
  const bool adopted = ApplyTransfer(world, transfer, now);
  if (contiguous && IsFullPage(world, result)) {
    StartChangeScan(world, StoreReadStage::kChanges,
                    world.m_configuration.m_revision);
  } else if (IsBehind(world) && !adopted) {
    // The required audit rows no longer exist, so a snapshot is needed.
    StartSnapshot(world);
  }
}

void OnSnapshotHead(World& world, const StoreResult& result, TimePoint now) {
  const StoreRow* row = detail::FindRow(result, detail::kHeadKey);
  const std::optional<Revision> head =
      row == nullptr ? std::nullopt : detail::DecodeHead(row->m_value);
  ConfigurationState& state = world.m_configuration_state;
  if (!head) {  // No configuration has been written yet.
    state.m_retry_at = now + state.m_parameters.m_retry_delay;
    return;
  }
  state.m_snapshot.m_revision = *head;
  StartScan(world, StoreReadStage::kSnapshotObjects, detail::kObjectPrefix, "");
}

void OnSnapshotObjects(World& world, const StoreResult& result) {
  ConfigurationTransfer& snapshot = world.m_configuration_state.m_snapshot;
  for (const StoreRow& row : result.m_rows) {
    const std::optional<ObjectKey> key = detail::ParseObjectRowKey(row.m_key);
    const std::optional<ObjectRow> object = detail::DecodeObject(row.m_value);
    if (key && object) {
      snapshot.m_changes.push_back({object->m_revision, *key, object->m_json});
    }
  }
  if (IsFullPage(world, result)) {
    StartScan(world, StoreReadStage::kSnapshotObjects, detail::kObjectPrefix,
              result.m_rows.back().m_key);
    return;
  }
  // The pages were read at different revisions. Applying every change since
  // the head was read, in order, brings all objects to the last revision.
  StartChangeScan(world, StoreReadStage::kSnapshotChanges, snapshot.m_revision);
}

void OnSnapshotChanges(World& world, const StoreResult& result, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (!AppendChanges(result, state.m_snapshot)) {
    state.m_retry_at = now + state.m_parameters.m_retry_delay;
    return;
  }
  if (IsFullPage(world, result)) {
    StartChangeScan(world, StoreReadStage::kSnapshotChanges,
                    state.m_snapshot.m_revision);
    return;
  }
  ApplyTransfer(world, std::exchange(state.m_snapshot, {}), now);
  if (IsBehind(world)) {
    // A peer announced a revision that the table service doesn't have (yet).
    state.m_retry_at = now + state.m_parameters.m_retry_delay;
  }
}

void OnStoreResult(World& world, const StoreResult& result, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (result.m_operation != state.m_operation) {
    return;
  }
  const StoreReadStage stage =
      std::exchange(state.m_stage, StoreReadStage::kIdle);
  if (result.m_status != StoreStatus::kDone) {
    state.m_retry_at = now + state.m_parameters.m_retry_delay;
    return;
  }
  state.m_last_store_reply_at = now;
  switch (stage) {
    case StoreReadStage::kIdle:
      break;
    case StoreReadStage::kHead:
      OnHead(world, result);
      break;
    case StoreReadStage::kChanges:
      OnChanges(world, result, now);
      break;
    case StoreReadStage::kSnapshotHead:
      OnSnapshotHead(world, result, now);
      break;
    case StoreReadStage::kSnapshotObjects:
      OnSnapshotObjects(world, result);
      break;
    case StoreReadStage::kSnapshotChanges:
      OnSnapshotChanges(world, result, now);
      break;
  }
}

// Fetches from peers.

/// @return a random peer with a higher revision, preferably of the same
/// region; empty when there is none.
InstanceId ChoosePeer(const World& world) {
  const InstanceRow* self = world.m_instances.Find(world.m_instances.m_self);
  std::vector<InstanceId> near;
  std::vector<InstanceId> far;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (id == world.m_instances.m_self ||
        row.m_status == InstanceStatus::kDead ||
        row.m_revision <= world.m_configuration.m_revision) {
      continue;
    }
    const bool same_region = self != nullptr && row.m_region == self->m_region;
    (same_region ? near : far).push_back(id);
  }
  const std::vector<InstanceId>& choice = near.empty() ? far : near;
  if (choice.empty()) {
    return InstanceId();
  }
  return choice[world.m_hooks.m_random() % choice.size()];
}

/// Fetches the missing changes from a peer.
/// @return false when no peer has a higher revision or too many fetches failed.
bool StartFetch(World& world, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (state.m_failed_fetches >= state.m_parameters.m_fetch_attempts) {
    return false;
  }
  const InstanceId peer = ChoosePeer(world);
  if (peer.empty()) {
    return false;
  }
  state.m_fetch_peer = peer;
  state.m_fetch_deadline = now + state.m_parameters.m_fetch_timeout;
  world.m_actions.push_back(FetchConfiguration{
      .m_from = peer, .m_since = world.m_configuration.m_revision});
  return true;
}

void CheckFetch(World& world, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (state.m_fetch_peer.empty()) {
    return;
  }
  if (!IsBehind(world)) {
    state.m_fetch_peer = InstanceId();
    state.m_failed_fetches = 0;
  } else if (now >= state.m_fetch_deadline) {
    state.m_fetch_peer = InstanceId();
    ++state.m_failed_fetches;
  }
}

void ApplyReceivedTransfers(World& world, TimePoint now) {
  auto transfers = std::exchange(world.m_configuration_inbox.m_transfers, {});
  for (const ConfigurationTransfer& transfer : transfers) {
    if (ApplyTransfer(world, transfer, now)) {
      world.m_configuration_state.m_failed_fetches = 0;
      world.m_configuration_state.m_fetch_peer = InstanceId();
    }
  }
}

/// @return true while gossip may still deliver the changes without a fetch.
bool InFetchDelay(const World& world, TimePoint now) {
  const ConfigurationState& state = world.m_configuration_state;
  return world.m_configuration.Ready() &&
         now < *state.m_behind_since + state.m_parameters.m_fetch_delay;
}

/// @return true while a peer may still report the missing revision, so that a
/// read of the table service is not needed yet. Pollers don't wait.
bool InPeerGrace(const World& world, TimePoint now) {
  const ConfigurationState& state = world.m_configuration_state;
  return world.m_configuration.Ready() &&
         now < *state.m_behind_since + state.m_parameters.m_peer_grace &&
         !ChosenForJob(world, kPollJob, state.m_parameters.m_pollers);
}

void CatchUp(World& world, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (!IsBehind(world)) {
    state.m_behind_since.reset();
    return;
  }
  if (!state.m_behind_since) {
    state.m_behind_since = now;
  }
  if (!state.m_fetch_peer.empty() || state.m_stage != StoreReadStage::kIdle ||
      InFetchDelay(world, now) || StartFetch(world, now) ||
      InPeerGrace(world, now)) {
    return;
  }
  if (now >= state.m_retry_at) {
    StartCatchUp(world);
    return;
  }
  // The table service can't be read now, so fetch from the peers again.
  state.m_failed_fetches = 0;
}

// Polling and isolation.

void RaiseHighestSeen(World& world) {
  Revision& highest = world.m_configuration.m_highest_seen;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    highest = std::max(highest, row.m_revision);
  }
}

bool NoRecentPeerContact(const World& world, TimePoint now) {
  return now - LastPeerContact(world) >
         world.m_configuration_state.m_parameters.m_isolation_limit / 4;
}

void Poll(World& world, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (now < state.m_next_poll || state.m_stage != StoreReadStage::kIdle) {
    return;
  }
  state.m_next_poll = now + state.m_parameters.m_poll_period;
  RaiseHighestSeen(world);
  if (!world.m_configuration.Ready()) {
    if (!IsBehind(world) && now >= state.m_retry_at) {
      StartSnapshot(world);
    }
    return;
  }
  if (ChosenForJob(world, kPollJob, state.m_parameters.m_pollers) ||
      NoRecentPeerContact(world, now)) {
    StartRead(world, StoreReadStage::kHead, detail::kHeadKey);
  }
}

void CheckIsolation(World& world, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (now < state.m_next_isolation_check) {
    return;
  }
  state.m_next_isolation_check = now + kIsolationCheckPeriod;
  const TimePoint last_contact =
      std::max({*state.m_started_at, state.m_last_store_reply_at,
                LastPeerContact(world)});
  world.m_configuration.m_isolated =
      now - last_contact > state.m_parameters.m_isolation_limit;
}

}  // namespace

bool ChosenForJob(const World& world, std::string_view job, int count) {
  const std::uint64_t job_hash =
      XXH3_64bits_withSeed(job.data(), job.size(), kJobSeed);
  const InstanceId& self = world.m_instances.m_self;
  const std::uint64_t own_score = JobScore(job_hash, self);
  int ahead = 0;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (id != self && IsUp(row) && JobScore(job_hash, id) > own_score) {
      ++ahead;
    }
  }
  return ahead < count;
}

void RunConfiguration(World& world, TimePoint now) {
  ConfigurationState& state = world.m_configuration_state;
  if (!state.m_started_at) {
    state.m_started_at = now;
  }
  ApplyReceivedTransfers(world, now);
  auto& inbox =
      world.m_store_results[static_cast<int>(StorePurpose::kConfiguration)];
  for (const StoreResult& result : std::exchange(inbox, {})) {
    OnStoreResult(world, result, now);
  }
  CheckFetch(world, now);
  CatchUp(world, now);
  Poll(world, now);
  CheckIsolation(world, now);
}

}  // namespace nutmeghollow
