/// @file
/// Tells operators why a chat goes where it goes.
#pragma once

#include <optional>
#include <vector>

#include "nutmeghollow/chats.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

struct World;

/// One engine in a chat's order.
struct ExplainedEngine {
  UpstreamId m_id;
  UpstreamStatus m_status = UpstreamStatus::kUsable;
  InstanceId m_owner;
  int m_local_running = 0;           ///< Of this instance.
  int m_remote_running = 0;          ///< Of the others, estimated.
  int m_inner_limit = 0;             ///< Placements keep to it while they can.
  int m_bound_limit = 0;             ///< Never exceeded.
  int m_capacity = 0;                ///< Zero means no fixed limit.
  double m_slow_start_factor = 1.0;  ///< Below one in slow start.
  /// Time since the report was taken; unset when there is none.
  std::optional<Duration> m_report_age;
  /// Time since the latest announcement of another instance, if any.
  std::optional<Duration> m_peer_age;
};

/// What this instance knows about a chat.
struct Explanation {
  bool m_route_found = false;
  UpstreamId m_home;  ///< First usable engine in the chat's order.
  /// The engine whose owner look-ups send the chat to, and that owner.
  UpstreamId m_entry_engine;
  InstanceId m_entry_owner;
  bool m_entry_owner_is_self = false;  ///< That owner is this instance.
  std::vector<ExplainedEngine> m_order;
  /// Where this instance placed the chat last; unset when not remembered.
  std::optional<ChatPlacement> m_last;
  std::optional<Duration> m_last_age;
  /// Upstreams that ran the chat, the latest first.
  std::vector<UpstreamId> m_holders;
  double m_mean_load = 0.0;
  double m_bound = 0.0;
};

/// Explains where a chat goes, by what this instance knows.
Explanation Explain(World& world,
                    ChatKey chat,
                    const RouteId& route,
                    TimePoint now);

}  // namespace nutmeghollow
