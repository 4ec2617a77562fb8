/// @file
/// Requests rows of a table from other instances that have newer ones.
///
/// A change usually reaches all instances through their feeds. When another
/// instance states newer rows and they do not arrive, they are requested from
/// it, whether its copy is confirmed or not, until this instance has them.
#pragma once

#include <ev.h>

#include <functional>

#include "libnet/event_loop.h"
#include "libnet/row_feed.h"
#include "nutmegd/table_follower.h"

namespace nutmeghollow {

/// What the requests for one table depend on.
struct CopyRequestHooks {
  /// @return true while another instance has newer rows.
  std::function<bool()> m_is_outdated;
  /// @return the version after which changes are requested.
  std::function<net::FeedVersion()> m_after;
  /// Called before each request.
  std::function<void()> m_log;
};

/// The requests for one table.
class CopyRequests {
 public:
  /// @param follower must outlive this object.
  /// @param tolerance time that a change may take to reach this instance
  /// through its feed after another one.
  CopyRequests(struct ev_loop* loop,
               TableFollower* follower,
               Duration tolerance,
               CopyRequestHooks hooks);

  /// Starts to request rows, unless that has begun. Called when another
  /// instance states newer ones.
  void NoteNewer();

 private:
  void Send();
  void HandleEnd(bool is_read);

  TableFollower* m_follower;
  Duration m_tolerance;
  CopyRequestHooks m_hooks;
  bool m_in_progress = false;
  Duration m_delay{};  ///< From the end of a request to the next one.
  net::Timer m_timer;
};

}  // namespace nutmeghollow
