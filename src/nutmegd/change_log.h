/// @file
/// Logs changes of the world's state, and failed checks.
#pragma once

#include "nutmeghollow/check.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Logs changes of the configuration revision, the lease and isolation. Keeps
/// the values that were logged last.
class ChangeLog {
 public:
  /// Logs the changes since the previous call.
  void Write(const World& world);

 private:
  Revision m_revision;
  bool m_lease_held = false;
  bool m_isolated = false;
};

/// Logs a failed check. The daemon installs it as its CheckHandler.
void LogCheckFailure(const CheckFailure& failure);

}  // namespace nutmeghollow
