#include "nutmeghollow/suspect_records.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnutmeg/suspect_permits.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using Stage = SuspectWork::Stage;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

WallTime AddDuration(WallTime time, Duration duration) {
  return WallTime(time.value() + Milliseconds(duration));
}

bool ReleaseDue(const SuspectWork& work, TimePoint now) {
  return work.m_release_at && *work.m_release_at <= now;
}

bool HasWork(const SuspectWork& work, TimePoint now) {
  return !work.m_new_crashes.empty() || work.m_stage == Stage::kRequested ||
         ReleaseDue(work, now) || work.m_clear || work.m_read_requested;
}

bool IsIdle(const SuspectWork& work) {
  return work.m_new_crashes.empty() && work.m_stage == Stage::kNone &&
         !work.m_release_at && !work.m_clear && !work.m_read_requested &&
         !work.m_in_flight;
}

/// @return whether a record already contains a crash, because another instance
/// detected it or an earlier write took effect. A request that was sent after
/// the recorded crash has caused another one.
bool IsCounted(const World& world,
               const SuspectRecord& record,
               const CrashRecord& crash) {
  const std::int64_t same =
      Milliseconds(world.m_quarantine_parameters.m_same_crash_window);
  return std::any_of(record.m_crashes.begin(), record.m_crashes.end(),
                     [&](const CrashRecord& known) {
                       const std::int64_t apart = known.m_crashed_at.value() -
                                                  crash.m_crashed_at.value();
                       return known.m_upstream == crash.m_upstream &&
                              std::abs(apart) < same &&
                              known.m_crashed_at >= crash.m_sent_at;
                     });
}

/// Merges the record of a suspect from the table service.
void ApplyRecord(World& world,
                 RequestDigest digest,
                 const SuspectRecord& record,
                 WallTime wall,
                 TimePoint now) {
  if (record.m_crashes.empty()) {
    return;
  }
  SuspectRow& row = world.m_suspects[digest];
  row.m_digest = digest;
  for (const CrashRecord& crash : record.m_crashes) {
    row.m_crashed_upstreams.insert(crash.m_upstream);
  }
  row.m_crashes =
      std::max(row.m_crashes, static_cast<int>(record.m_crashes.size()));
  const Duration left =
      std::chrono::milliseconds(record.m_expires.value() - wall.value());
  row.m_expires_at = std::max(row.m_expires_at, now + left);
  if (row.m_crashes >= world.m_quarantine_parameters.m_crash_limit &&
      !row.m_quarantined) {
    row.m_quarantined = true;
    ++world.m_quarantine.m_quarantined;
  }
}

/// New content of a row that was read.
struct RowChange {
  SuspectRecord m_record;
  SuspectWrite m_write;
  bool m_changed = false;
};

/// Grants or denies the permit to the request that needs it.
void DecidePermit(World& world,
                  SuspectWork& work,
                  WallTime wall,
                  TimePoint now,
                  RowChange& change) {
  SuspectRecord& record = change.m_record;
  const InstanceId& self = world.m_instances.m_self;
  const bool held = !record.m_holder.empty() && record.m_holder != self &&
                    record.m_held_until > wall;
  if (held || IsQuarantined(world, change.m_write.m_digest, now)) {
    work.m_stage = Stage::kDenied;
    return;
  }
  SuspectRecordState& state = world.m_suspect_records;
  record.m_holder = self;
  record.m_held_until = AddDuration(wall, state.m_parameters.m_permit_lifetime);
  change.m_write.m_permit_acquired = true;
  change.m_changed = true;
}

/// Computes the new content of a row that was read.
/// @param found the row; its version is zero when it is absent.
RowChange ChangeRow(World& world,
                    RequestDigest digest,
                    const StoreRow& found,
                    TimePoint now) {
  SuspectWork& work = world.m_suspect_records.m_work[digest];
  const WallTime wall = world.m_hooks.m_wall_time();
  RowChange change{.m_write = {.m_digest = digest}};
  const bool present = found.m_version != RowVersion();
  if (present) {
    const std::optional<SuspectRecord> record = ParseSuspect(found.m_value);
    world.m_suspect_records.m_malformed += record ? 0 : 1;
    change.m_record = record.value_or(SuspectRecord());
  }
  if (change.m_record.m_expires <= wall) {
    change.m_record = {};
    change.m_write.m_deleted = present;
  }
  work.m_read_requested = false;
  if (work.m_clear && work.m_new_crashes.empty()) {
    change.m_write.m_deleted = true;
    change.m_changed = present;
    change.m_record = {};
    return change;
  }
  SuspectRecord& record = change.m_record;
  for (const CrashRecord& crash : work.m_new_crashes) {
    ++change.m_write.m_crashes_added;
    if (!IsCounted(world, record, crash)) {
      record.m_crashes.push_back(crash);
    }
  }
  ApplyRecord(world, digest, record, wall, now);
  if (ReleaseDue(work, now)) {
    change.m_write.m_permit_released = true;
    if (record.m_holder == world.m_instances.m_self) {
      record.m_holder = InstanceId();
      change.m_changed = true;
    }
  }
  if (work.m_stage == Stage::kRequested) {
    DecidePermit(world, work, wall, now, change);
  }
  if (change.m_write.m_crashes_added > 0 || change.m_write.m_permit_acquired) {
    record.m_expires =
        AddDuration(wall, world.m_quarantine_parameters.m_expiry);
    change.m_write.m_deleted = false;
  }
  change.m_changed = change.m_changed || change.m_write.m_crashes_added > 0 ||
                     change.m_write.m_deleted;
  return change;
}

/// Applies a completed write to the state in memory.
void FinishWrite(World& world, const SuspectWrite& write) {
  SuspectRecordState& state = world.m_suspect_records;
  SuspectWork& work = state.m_work[write.m_digest];
  work.m_in_flight = false;
  const auto added = static_cast<std::ptrdiff_t>(write.m_crashes_added);
  work.m_new_crashes.erase(work.m_new_crashes.begin(),
                           work.m_new_crashes.begin() + added);
  if (write.m_permit_released) {
    work.m_release_at.reset();
  }
  if (write.m_permit_acquired && work.m_stage == Stage::kRequested) {
    work.m_stage = Stage::kGranted;
    work.m_release_at.reset();  // Scheduled by an earlier attempt.
  } else if (write.m_permit_acquired && work.m_stage == Stage::kNone) {
    work.m_release_at = TimePoint();  // The request no longer needs it.
  }
  if (write.m_deleted) {
    work.m_clear = false;
    state.m_written_rows.erase(write.m_digest);
  } else if (write.m_permit_acquired || write.m_crashes_added > 0) {
    state.m_written_rows.insert(write.m_digest);
  }
  world.m_tick_again = true;
}

/// Schedules another read of a row after a failed operation.
void ScheduleRetry(World& world,
                   RequestDigest digest,
                   Duration delay,
                   TimePoint now) {
  SuspectWork& work = world.m_suspect_records.m_work[digest];
  work.m_in_flight = false;
  work.m_not_before = now + delay;
}

/// Commits the changes of rows as one transaction, on condition that no row
/// has changed since it was read.
void Commit(World& world,
            const std::vector<std::pair<StoreRow, RowChange>>& changes) {
  if (changes.empty()) {
    return;
  }
  SuspectRecordState& state = world.m_suspect_records;
  CommitStore commit;
  commit.m_purpose = StorePurpose::kQuarantine;
  commit.m_operation = world.NewStoreOperation();
  std::vector<SuspectWrite>& writes = state.m_commits[commit.m_operation];
  for (const auto& [row, change] : changes) {
    commit.m_preconditions.push_back({row.m_key, row.m_version});
    StoreWrite write{row.m_key, std::nullopt};
    if (!change.m_write.m_deleted) {
      write.m_value = FormatSuspect(change.m_record);
    }
    commit.m_writes.push_back(std::move(write));
    writes.push_back(change.m_write);
  }
  ++state.m_operations;
  world.m_actions.emplace_back(std::move(commit));
}

void HandleRead(World& world,
                const std::vector<RequestDigest>& digests,
                const StoreResult& result,
                TimePoint now) {
  const Duration delay = world.m_suspect_records.m_parameters.m_retry_delay;
  std::vector<std::pair<StoreRow, RowChange>> changes;
  for (RequestDigest digest : digests) {
    if (result.m_status != StoreStatus::kDone) {
      ScheduleRetry(world, digest, delay, now);
      continue;
    }
    StoreRow row{SuspectRowKey(digest), "", RowVersion()};
    for (const StoreRow& found : result.m_rows) {
      row = found.m_key == row.m_key ? found : row;
    }
    SuspectRecordState& state = world.m_suspect_records;
    state.m_looked_up[digest] = state.m_work[digest].m_read_at;
    RowChange change = ChangeRow(world, digest, row, now);
    if (change.m_changed) {
      changes.emplace_back(std::move(row), std::move(change));
    } else {
      FinishWrite(world, change.m_write);
    }
  }
  Commit(world, changes);
}

void HandleCommit(World& world,
                  const std::vector<SuspectWrite>& writes,
                  StoreStatus status,
                  TimePoint now) {
  for (const SuspectWrite& write : writes) {
    if (status == StoreStatus::kDone) {
      FinishWrite(world, write);
    } else if (status == StoreStatus::kConflict) {
      ScheduleRetry(world, write.m_digest, Duration::zero(), now);
    } else {
      // The next read shows whether it took effect; adding a crash twice is
      // harmless.
      ScheduleRetry(world, write.m_digest,
                    world.m_suspect_records.m_parameters.m_retry_delay, now);
    }
  }
}

}  // namespace

std::string SuspectRowKey(RequestDigest digest) {
  return fmt::format("suspect/{:016x}", digest.value());
}

std::string FormatSuspect(const SuspectRecord& record) {
  nlohmann::json crashes = nlohmann::json::array();
  for (const CrashRecord& crash : record.m_crashes) {
    crashes.push_back({{"upstream", crash.m_upstream.str()},
                       {"at", crash.m_crashed_at.value()}});
  }
  const nlohmann::json row{{"crashes", std::move(crashes)},
                           {"holder", record.m_holder.str()},
                           {"held_until", record.m_held_until.value()},
                           {"expires", record.m_expires.value()}};
  return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<SuspectRecord> ParseSuspect(const std::string& text) {
  const auto row = nlohmann::json::parse(text, nullptr, false);
  if (!row.is_object()) {
    return std::nullopt;
  }
  try {
    SuspectRecord record;
    for (const auto& crash : row.at("crashes")) {
      record.m_crashes.push_back(
          {UpstreamId(crash.at("upstream").get<std::string>()),
           WallTime(crash.at("at").get<std::int64_t>())});
    }
    record.m_holder = InstanceId(row.at("holder").get<std::string>());
    record.m_held_until = WallTime(row.at("held_until").get<std::int64_t>());
    record.m_expires = WallTime(row.at("expires").get<std::int64_t>());
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;  // The caller counts it as malformed.
  }
}

void RecordCrash(World& world,
                 RequestDigest digest,
                 const UpstreamId& upstream,
                 Duration run_time,
                 TimePoint now) {
  SuspectWork& work = world.m_suspect_records.m_work[digest];
  const WallTime wall = world.m_hooks.m_wall_time();
  work.m_new_crashes.push_back({upstream, wall, AddDuration(wall, -run_time)});
  work.m_clear = false;
  if (work.m_release_at) {
    work.m_release_at = now;
  }
}

void ClearSuspectRecord(World& world, RequestDigest digest) {
  world.m_suspect_records.m_work[digest].m_clear = true;
}

void NoteSuspectExpired(World& world, RequestDigest digest) {
  SuspectRecordState& state = world.m_suspect_records;
  if (state.m_written_rows.erase(digest) > 0) {
    state.m_work[digest].m_read_requested = true;
  }
}

void HandleSuspectResults(World& world, TimePoint now) {
  SuspectRecordState& state = world.m_suspect_records;
  auto& inbox =
      world
          .m_store_results[static_cast<std::size_t>(StorePurpose::kQuarantine)];
  for (const StoreResult& result : std::exchange(inbox, {})) {
    if (const auto read = state.m_reads.extract(result.m_operation)) {
      HandleRead(world, read.mapped(), result, now);
    } else if (const auto commit =
                   state.m_commits.extract(result.m_operation)) {
      HandleCommit(world, commit.mapped(), result.m_status, now);
    }
  }
}

void FlushSuspectRecords(World& world, TimePoint now) {
  SuspectRecordState& state = world.m_suspect_records;
  std::vector<RequestDigest> due;
  for (auto& [digest, work] : state.m_work) {
    detail::CancelAbandonedPermit(world, work, now);
    const bool free = !work.m_in_flight && now >= work.m_not_before;
    if (free && HasWork(work, now) &&
        due.size() < state.m_parameters.m_batch_limit) {
      work.m_in_flight = true;
      work.m_read_at = now;
      due.push_back(digest);
    }
  }
  std::erase_if(state.m_work,
                [](const auto& entry) { return IsIdle(entry.second); });
  std::erase_if(state.m_looked_up, [&](const auto& entry) {
    return now - entry.second > state.m_parameters.m_store_timeout;
  });
  if (due.empty()) {
    return;
  }
  ReadStore read;
  read.m_purpose = StorePurpose::kQuarantine;
  read.m_operation = world.NewStoreOperation();
  for (RequestDigest digest : due) {
    read.m_keys.push_back(SuspectRowKey(digest));
  }
  ++state.m_operations;
  state.m_reads[read.m_operation] = std::move(due);
  world.m_actions.emplace_back(std::move(read));
}

}  // namespace nutmeghollow
