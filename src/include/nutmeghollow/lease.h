/// @file
/// Lease that elects the one instance that sends orders to model engines.
///
/// The lease is a row of the table service. Each acquisition raises its
/// fencing number. The holder's deadline is the time just before its last
/// renewal was sent, plus the lease duration, less a margin. The holder also
/// drops the lease after a long gap between two ticks.
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
  /// Subtracted from the holder's deadline. Covers the drift between two
  /// clocks and the transit time of an order.
  Duration m_margin = std::chrono::seconds(2);
  /// The lease is dropped after a longer gap between two ticks.
  Duration m_max_tick_gap = std::chrono::seconds(1);
  Duration m_renew_period = std::chrono::seconds(2);
  /// Interval at which a candidate reads the lease row.
  Duration m_poll_period = std::chrono::seconds(2);
  Duration m_retry_delay = std::chrono::milliseconds(300);
  /// Number of instances that compete for the lease, chosen by rendezvous
  /// hashing.
  int m_candidates = 2;
};

/// The lease row.
struct LeaseRow {
  InstanceId m_holder;  ///< Empty after a release.
  Incarnation m_incarnation;
  FencingNumber m_fencing;
  std::string m_token;    ///< Unique to each write of the row.
  Duration m_duration{};  ///< Lease duration set by the writer.
};

/// Store operation that the lease system is waiting for.
enum class LeaseStage { kIdle, kReading, kWriting };

/// State of the lease.
struct LeaseState {
  LeaseParameters m_parameters;

  bool m_held = false;
  FencingNumber m_fencing;  ///< Of the last acquisition; kept after a loss.
  TimePoint m_deadline{};   ///< While held: no orders are sent from then on.
  TimePoint m_acquired_at{};
  std::string m_token;  ///< Of the last own write known to have taken effect.

  LeaseStage m_stage = LeaseStage::kIdle;
  StoreOperationId m_operation;
  std::optional<LeaseRow> m_write;  ///< Sent; not known to have taken effect.
  TimePoint m_write_sent_at{};
  TimePoint m_next_step{};
  std::optional<TimePoint> m_last_tick;

  /// Version of the row as last read, and the time it was first seen.
  std::optional<RowVersion> m_version;
  TimePoint m_version_since{};

  std::uint64_t m_acquisitions = 0;
  std::uint64_t m_losses = 0;
};

/// Runs one tick of the lease: acquires, renews, releases or drops it.
void RunLease(World& world, TimePoint now);

/// @return true while this instance may act under its fencing number.
bool HoldsLease(const World& world, TimePoint now);

}  // namespace nutmeghollow
