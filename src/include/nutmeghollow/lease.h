/// @file
/// Lease for the one job that needs a single doer: orders to model engines.
///
/// The lease is a row of the table service. Each acquisition raises its
/// fencing number. The holder's deadline counts from before its last renewal
/// was sent, less a margin, and a gap between two ticks ends it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of the lease.
struct LeaseParameters {
  Duration m_duration = std::chrono::seconds(10);
  /// Subtracted from the holder's deadline. Covers the difference between the
  /// rates of two clocks and the time that an order spends on its way.
  Duration m_margin = std::chrono::seconds(2);
  /// A longer pause between two ticks drops the lease.
  Duration m_gap_limit = std::chrono::seconds(1);
  Duration m_renew_period = std::chrono::seconds(2);
  /// How often a candidate looks at the lease.
  Duration m_poll_period = std::chrono::seconds(2);
  Duration m_retry_delay = std::chrono::milliseconds(300);
  /// Instances that try to hold the lease, chosen by rendezvous hashing.
  int m_candidates = 2;
};

/// The lease row.
struct LeaseRow {
  InstanceId m_holder;  ///< Empty when it was released.
  Incarnation m_incarnation;
  FencingNumber m_fencing;
  std::string m_token;    ///< Tells one write of the row from another.
  Duration m_duration{};  ///< Granted by the writer to itself.
};

/// What the lease system waits for.
enum class LeaseStage { kIdle, kReading, kWriting };

/// State of the lease.
struct LeaseState {
  LeaseParameters m_parameters;

  bool m_held = false;
  FencingNumber m_fencing;  ///< While held; kept afterwards.
  TimePoint m_deadline{};   ///< While held: no order is sent after it.
  TimePoint m_acquired_at{};
  std::string m_token;  ///< Of the own write that is known to be in force.

  LeaseStage m_stage = LeaseStage::kIdle;
  StoreOperationId m_operation;
  std::optional<LeaseRow> m_write;  ///< Written, but not known to be in force.
  TimePoint m_write_sent_at{};
  TimePoint m_next_step{};
  std::optional<TimePoint> m_last_tick;

  /// Version of the row as last read, and when it was first seen.
  std::optional<RowVersion> m_version;
  TimePoint m_version_since{};

  std::uint64_t m_acquisitions = 0;
  std::uint64_t m_losses = 0;
};

/// Runs the lease.
void RunLease(World& world, TimePoint now);

/// @return true while this instance may act under its fencing number.
bool HoldsLease(const World& world, TimePoint now);

}  // namespace nutmeghollow
