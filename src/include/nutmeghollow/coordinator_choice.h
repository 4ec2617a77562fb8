/// @file
/// Chooses the instance that does a job for the whole fleet.
///
/// All instances use the same order, so they choose the same one while they
/// agree on which instances are alive. One that does not respond is passed over
/// for a while.
#pragma once

#include <map>

#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Settings of the choice.
struct CoordinatorChoiceParameters {
  /// Requests in a row without a response after which the next one is used.
  int m_max_missed_responses = 3;
  /// Time for which an instance that did not respond is not used.
  Duration m_backoff = std::chrono::seconds(3);
};

/// The coordinator as one instance sees it.
class CoordinatorChoice {
 public:
  /// @param directory must outlive this object.
  CoordinatorChoice(InstanceId self,
                    const EntryDirectory* directory,
                    CoordinatorChoiceParameters parameters = {});

  /// @return the ready instance with the fastest link that responds; this one
  /// when there is no other.
  const InstanceId& Choose(TimePoint now);
  /// @return the instance chosen last; empty before.
  const InstanceId& Current() const { return m_current; }
  void NoteResponse(const InstanceId& from);
  void NoteTimeout(TimePoint now);
  /// @return true when an instance that is alive was passed over, so that
  /// others may use it.
  bool IsContested(TimePoint now) const;

 private:
  bool HasFailed(const InstanceId& id, TimePoint now) const;

  InstanceId m_self;
  const EntryDirectory* m_directory;
  CoordinatorChoiceParameters m_parameters;
  InstanceId m_current;
  int m_missed_responses = 0;
  std::map<InstanceId, TimePoint> m_failed_at;
};

}  // namespace nutmeghollow
