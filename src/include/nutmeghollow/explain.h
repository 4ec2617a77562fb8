/// @file
/// Explains the placement of a chat for operators.
#pragma once

#include <optional>
#include <vector>

#include "nutmeghollow/chats.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

struct World;

/// One engine in a chat's rendezvous order.
struct ExplainedEngine {
  UpstreamId m_id;
  UpstreamStatus m_status = UpstreamStatus::kUsable;
  InstanceId m_owner;
  int m_local_running = 0;   ///< Requests of this instance.
  int m_remote_running = 0;  ///< Requests of other instances, estimated.
  int m_inner_limit = 0;  ///< Not exceeded while any engine is below its own.
  int m_bound_limit = 0;  ///< Never exceeded.
  int m_capacity = 0;     ///< Zero means no fixed limit.
  double m_slow_start_factor = 1.0;  ///< Below one during slow start.
  /// Age of the engine's latest load report; unset without a report.
  std::optional<Duration> m_report_age;
  /// Age of the latest load announced by another instance; unset without one.
  std::optional<Duration> m_peer_age;
};

/// Placement data of a chat, as known to this instance.
struct Explanation {
  bool m_route_found = false;
  UpstreamId m_home;  ///< First usable engine in the rendezvous order.
  /// The engine whose owner entry lookups return for the chat, and that owner.
  UpstreamId m_entry_engine;
  InstanceId m_entry_owner;
  bool m_entry_owner_is_self = false;  ///< m_entry_owner is this instance.
  std::vector<ExplainedEngine> m_order;
  /// Latest placement of the chat by this instance; unset when it is not in the
  /// chat memory.
  std::optional<ChatPlacement> m_last;
  std::optional<Duration> m_last_age;
  /// Upstreams that ran the chat, most recent first.
  std::vector<UpstreamId> m_holders;
  double m_mean_load = 0.0;
  double m_bound = 0.0;
};

/// Explains the placement of a chat from the state of this instance.
/// @return m_route_found is false when the route is not configured.
Explanation Explain(World& world,
                    ChatKey chat,
                    const RouteId& route,
                    TimePoint now);

}  // namespace nutmeghollow
