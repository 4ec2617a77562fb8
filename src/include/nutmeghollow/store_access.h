/// @file
/// Whether this instance's own reads of the platform's store succeed, and how
/// often it may call while they do not.
///
/// While the store refuses an instance, or does not answer it, the instance is
/// not elected as a reader, and its calls are spaced so that all instances
/// together make a bounded number: a store that fails for all of them gets as
/// many calls a second from 81 instances as from 300.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Settings of StoreAccess.
struct StoreAccessParameters {
  /// An instance whose read failed is not elected for this long, unless a
  /// later read succeeds: longer than a typical refusal of some instances, 9 s.
  Duration m_election_pause = std::chrono::seconds(10);
  /// Spacing of the calls of all instances together: 40 a second.
  Duration m_fleet_spacing = std::chrono::milliseconds(25);
  /// Bounds of the spacing of this instance's calls. The upper one keeps the
  /// time to notice the end of an outage below 2.5 s in fleets of any size.
  Duration m_min_spacing = std::chrono::milliseconds(200);
  Duration m_max_spacing = std::chrono::milliseconds(2000);
};

/// Results of this instance's reads of the store.
class StoreAccess {
 public:
  explicit StoreAccess(StoreAccessParameters parameters = {})
      : m_parameters(parameters) {}

  /// @param instances number of instances of the fleet, at least 1.
  void SetInstances(int instances) { m_instances = instances; }
  /// Records that a read was answered.
  void NoteSuccess() { m_failed_at.reset(); }
  /// Records that a read was refused or not answered.
  /// @param draw uniform in [0, 1); varies the spacing, so that instances that
  /// were refused together do not call together.
  void NoteFailure(TimePoint now, double draw);
  /// @return true when a read may be sent now; it then counts as sent. Always
  /// true unless the last read failed.
  /// @param draw as for NoteFailure.
  bool MayCall(TimePoint now, double draw);
  /// @return true when this instance should not read for others.
  bool Fails(TimePoint now) const {
    return FailedWithin(m_parameters.m_election_pause, now);
  }
  /// @return true when a read failed less than `period` ago and none succeeded
  /// since.
  bool FailedWithin(Duration period, TimePoint now) const {
    return m_failed_at && now - *m_failed_at < period;
  }

 private:
  Duration Spacing(double draw) const;

  StoreAccessParameters m_parameters;
  int m_instances = 1;
  std::optional<TimePoint> m_failed_at;  ///< Unset after a success.
  TimePoint m_next_call_at{};            ///< While m_failed_at is set.
};

}  // namespace nutmeghollow
