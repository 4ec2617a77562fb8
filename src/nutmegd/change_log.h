/// @file
/// Logs what changes in the tables, and failed checks.
#pragma once

#include "nutmeghollow/check.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Remembers what was logged last.
class ChangeLog {
 public:
  /// Logs what changed since the last call.
  void Write(const World& world);

 private:
  Revision m_revision;
  bool m_lease_held = false;
  bool m_isolated = false;
};

/// Logs a failed check; to be used as the CheckHandler of the daemon.
void LogCheckFailure(const CheckFailure& failure);

}  // namespace nutmeghollow
