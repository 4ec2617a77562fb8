#include "nutmeghollow/lease.h"

#include <fmt/core.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnutmeg/configuration_rows.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using Json = nlohmann::json;

constexpr char kLeaseKey[] = "lease/orders";

std::string EncodeLease(const LeaseRow& row) {
  return Json{{"holder", row.m_holder.str()},
              {"incarnation", row.m_incarnation.value()},
              {"fencing", row.m_fencing.value()},
              {"token", row.m_token},
              {"duration_us", row.m_duration.count()}}
      .dump();
}

std::optional<LeaseRow> DecodeLease(const std::string& value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    return LeaseRow{
        .m_holder = InstanceId(json.at("holder").get<std::string>()),
        .m_incarnation =
            Incarnation(json.at("incarnation").get<std::uint64_t>()),
        .m_fencing = FencingNumber(json.at("fencing").get<std::uint64_t>()),
        .m_token = json.at("token").get<std::string>(),
        .m_duration = Duration(json.at("duration_us").get<std::int64_t>())};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Incarnation OwnIncarnation(const World& world) {
  const InstanceRow* self = world.m_instances.Find(world.m_instances.m_self);
  return self == nullptr ? Incarnation() : self->m_incarnation;
}

/// @return true when at least one engine has a wanted state.
bool HasOrders(const World& world) {
  const auto& rows = world.m_upstreams.m_rows;
  return std::any_of(rows.begin(), rows.end(), [](const auto& entry) {
    return !entry.second.m_wanted_state.empty();
  });
}

bool IsCandidate(const World& world) {
  return !world.m_draining && world.m_configuration.Ready() &&
         ChosenForJob(world, kLeaseKey,
                      world.m_lease.m_parameters.m_candidates) &&
         HasOrders(world);
}

/// Stops acting under the lease. The order connections are closed before any
/// other action of this tick is carried out.
void DropLease(World& world) {
  LeaseState& lease = world.m_lease;
  lease.m_held = false;
  lease.m_write.reset();
  ++lease.m_losses;
  world.m_actions.insert(world.m_actions.begin(), CloseOrderConnections{});
}

void StartRead(World& world) {
  LeaseState& lease = world.m_lease;
  lease.m_stage = LeaseStage::kReading;
  lease.m_operation = world.NewStoreOperation();
  world.m_actions.push_back(ReadStore{.m_purpose = StorePurpose::kLease,
                                      .m_operation = lease.m_operation,
                                      .m_keys = {kLeaseKey}});
}

void StartWrite(World& world, LeaseRow row, TimePoint now) {
  LeaseState& lease = world.m_lease;
  row.m_token = fmt::format("{:016x}{:016x}", world.m_hooks.m_random(),
                            world.m_hooks.m_random());
  lease.m_stage = LeaseStage::kWriting;
  lease.m_operation = world.NewStoreOperation();
  lease.m_write_sent_at = now;
  world.m_actions.push_back(
      CommitStore{.m_purpose = StorePurpose::kLease,
                  .m_operation = lease.m_operation,
                  .m_preconditions = {{kLeaseKey, *lease.m_version}},
                  .m_writes = {{kLeaseKey, EncodeLease(row)}}});
  lease.m_write = std::move(row);
}

/// Updates the lease after the pending write is known to have taken effect.
void ConfirmWrite(World& world, TimePoint now) {
  LeaseState& lease = world.m_lease;
  const LeaseRow row = std::move(*std::exchange(lease.m_write, std::nullopt));
  lease.m_next_step = now + lease.m_parameters.m_renew_period;
  const TimePoint deadline = lease.m_write_sent_at +
                             lease.m_parameters.m_duration -
                             lease.m_parameters.m_margin;
  if (row.m_holder.empty() || now >= deadline) {
    return;  // Released, or already past the deadline.
  }
  lease.m_token = row.m_token;
  lease.m_deadline = deadline;
  if (lease.m_held) {
    NUTMEG_CHECK(row.m_fencing == lease.m_fencing,
                 "a renewal must keep the fencing number");
    return;
  }
  NUTMEG_CHECK(row.m_fencing > lease.m_fencing,
               "an acquisition must raise the fencing number");
  lease.m_held = true;
  lease.m_fencing = row.m_fencing;
  lease.m_acquired_at = now;
  ++lease.m_acquisitions;
}

LeaseRow OwnRow(const World& world, FencingNumber fencing) {
  return {.m_holder = world.m_instances.m_self,
          .m_incarnation = OwnIncarnation(world),
          .m_fencing = fencing,
          .m_duration = world.m_lease.m_parameters.m_duration};
}

void Renew(World& world, const LeaseRow& row, TimePoint now) {
  if (world.m_draining) {
    DropLease(world);
    StartWrite(world, {.m_fencing = row.m_fencing}, now);
    return;
  }
  StartWrite(world, OwnRow(world, row.m_fencing), now);
}

/// @return true when no other process can still be acting under the row: it was
/// released, was written by this process, or has not changed for its duration.
bool IsAvailable(const World& world, const LeaseRow& row, TimePoint now) {
  if (row.m_holder.empty()) {
    return true;
  }
  const LeaseState& lease = world.m_lease;
  const bool own = row.m_holder == world.m_instances.m_self &&
                   row.m_incarnation == OwnIncarnation(world) &&
                   row.m_fencing <= lease.m_fencing;
  return own || now - lease.m_version_since >= row.m_duration;
}

void OnRow(World& world, const LeaseRow& row, TimePoint now) {
  LeaseState& lease = world.m_lease;
  if (lease.m_write && lease.m_write->m_token == row.m_token) {
    ConfirmWrite(world, now);
    return;
  }
  if (lease.m_held) {
    if (row.m_token == lease.m_token) {
      Renew(world, row, now);
    } else {
      DropLease(world);
    }
    return;
  }
  if (IsCandidate(world) && IsAvailable(world, row, now)) {
    StartWrite(world, OwnRow(world, row.m_fencing.Next()), now);
  }
}

void OnRead(World& world, const StoreResult& result, TimePoint now) {
  LeaseState& lease = world.m_lease;
  const StoreRow* stored = detail::FindRow(result, kLeaseKey);
  const RowVersion version =
      stored == nullptr ? RowVersion() : stored->m_version;
  if (lease.m_version != version) {
    lease.m_version = version;
    lease.m_version_since = now;
  }
  const std::optional<LeaseRow> row =
      stored == nullptr ? LeaseRow() : DecodeLease(stored->m_value);
  if (row) {
    OnRow(world, *row, now);
  } else if (lease.m_held) {
    DropLease(world);
  }
}

void OnWrite(World& world, const StoreResult& result, TimePoint now) {
  LeaseState& lease = world.m_lease;
  switch (result.m_status) {
    case StoreStatus::kDone:
      if (lease.m_write) {
        ConfirmWrite(world, now);
      }
      break;
    case StoreStatus::kConflict:
      lease.m_write.reset();
      lease.m_next_step = now;  // Read the current holder.
      break;
    case StoreStatus::kUnavailable:
      lease.m_write.reset();
      lease.m_next_step = now + lease.m_parameters.m_retry_delay;
      break;
    case StoreStatus::kUnknown:
      // The next read shows by the token whether the write took effect.
      lease.m_next_step = now + lease.m_parameters.m_retry_delay;
      break;
  }
}

void OnResult(World& world, const StoreResult& result, TimePoint now) {
  LeaseState& lease = world.m_lease;
  if (result.m_operation != lease.m_operation) {
    return;
  }
  const LeaseStage stage = std::exchange(lease.m_stage, LeaseStage::kIdle);
  if (stage == LeaseStage::kWriting) {
    OnWrite(world, result, now);
  } else if (stage == LeaseStage::kReading) {
    lease.m_next_step = now + (lease.m_held ? lease.m_parameters.m_retry_delay
                                            : lease.m_parameters.m_poll_period);
    if (result.m_status == StoreStatus::kDone) {
      OnRead(world, result, now);
    }
  }
}

/// Drops the lease after a pause of the process or once its deadline passes.
void CheckExpiry(World& world, TimePoint now) {
  LeaseState& lease = world.m_lease;
  const std::optional<TimePoint> last = std::exchange(lease.m_last_tick, now);
  const bool gap = last && now - *last > lease.m_parameters.m_max_tick_gap;
  if (gap) {
    lease.m_write.reset();
  }
  if (lease.m_held && (gap || now >= lease.m_deadline)) {
    DropLease(world);
  }
}

}  // namespace

bool HoldsLease(const World& world, TimePoint now) {
  const LeaseState& lease = world.m_lease;
  const bool paused =
      !lease.m_last_tick ||
      now - *lease.m_last_tick > lease.m_parameters.m_max_tick_gap;
  return lease.m_held && !paused && now < lease.m_deadline;
}

void RunLease(World& world, TimePoint now) {
  CheckExpiry(world, now);
  LeaseState& lease = world.m_lease;
  auto& inbox = world.m_store_results[static_cast<int>(StorePurpose::kLease)];
  for (const StoreResult& result : std::exchange(inbox, {})) {
    OnResult(world, result, now);
  }
  if (lease.m_stage != LeaseStage::kIdle || now < lease.m_next_step) {
    return;
  }
  if (lease.m_held || lease.m_write || IsCandidate(world)) {
    StartRead(world);
    return;
  }
  lease.m_next_step = now + lease.m_parameters.m_poll_period;
}

}  // namespace nutmeghollow
