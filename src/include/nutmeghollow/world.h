/// @file
/// State of one instance, and the order in which the systems process it.
///
/// Adapters add input records to the inboxes, call Tick, and execute the
/// actions that the systems emit. The library itself reads no clock, opens no
/// socket and draws no random numbers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "nutmeghollow/actions.h"
#include "nutmeghollow/admission.h"
#include "nutmeghollow/budget.h"
#include "nutmeghollow/check.h"
#include "nutmeghollow/claims.h"
#include "nutmeghollow/configuration.h"
#include "nutmeghollow/configuration_system.h"
#include "nutmeghollow/drain.h"
#include "nutmeghollow/gossip.h"
#include "nutmeghollow/instances.h"
#include "nutmeghollow/lease.h"
#include "nutmeghollow/limits.h"
#include "nutmeghollow/loads.h"
#include "nutmeghollow/membership.h"
#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/orders.h"
#include "nutmeghollow/peers.h"
#include "nutmeghollow/placement.h"
#include "nutmeghollow/planned_changes.h"
#include "nutmeghollow/probing.h"
#include "nutmeghollow/quarantine.h"
#include "nutmeghollow/request_flow.h"
#include "nutmeghollow/requests.h"
#include "nutmeghollow/routes.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/suspect_records.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

/// Environment of the decision library, injected by its user.
struct WorldHooks {
  /// Returns 64 random bits.
  std::function<std::uint64_t()> m_random;
  /// Returns the wall-clock time.
  std::function<WallTime()> m_wall_time;
  /// Returns when the last byte of a request's response was received from its
  /// upstream; the hook may be unset.
  std::function<TimePoint(RequestId)> m_last_received;
  /// Returns the number of callers' requests whose response is not sent to its
  /// end; the hook may be unset.
  std::function<std::size_t()> m_open_responses;
};

/// All state of one instance.
struct World {
  WorldHooks m_hooks;

  InstanceTable m_instances;
  UpstreamTable m_upstreams;
  RouteTable m_routes;
  ServiceTable m_services;
  PriorityTable m_priorities;
  CustomerTable m_customers;
  RequestTable m_requests;
  ConfigurationTable m_configuration;
  ConfigurationState m_configuration_state;
  OperatorState m_operators;
  PlannedChangeState m_planned_changes;
  LeaseState m_lease;
  OrderState m_orders;
  PeerTable m_peers;
  SuspectTable m_suspects;

  LimitParameters m_limit_parameters;
  LoadParameters m_load_parameters;
  AdmissionParameters m_admission_parameters;
  PlacementParameters m_placement_parameters;
  LimitState m_limits;
  LoadState m_loads;
  AdmissionState m_admission;
  PlacementState m_placement;
  ReservationInbox m_reservation_inbox;
  ControlBudget m_budget;
  MembershipState m_membership;
  GossipState m_gossip;
  ProbingState m_probing;
  RequestFlowParameters m_request_flow_parameters;
  RequestFlowState m_request_flow;
  ClaimParameters m_claim_parameters;
  ClaimTable m_claims;
  QuarantineParameters m_quarantine_parameters;
  QuarantineState m_quarantine;
  SuspectRecordState m_suspect_records;
  DrainParameters m_drain_parameters;
  DrainState m_drain;

  RequestInbox m_request_inbox;
  ClaimInbox m_claim_inbox;
  ConfigurationInbox m_configuration_inbox;
  MembershipInbox m_membership_inbox;
  ProbingInbox m_probing_inbox;
  /// Results of table service operations, by the system that issued them.
  std::array<std::vector<StoreResult>, static_cast<int>(StorePurpose::kCount)>
      m_store_results;

  std::vector<Action> m_actions;
  /// Set by a system to request another tick immediately.
  bool m_tick_again = false;
  /// True from the start of a drain.
  bool m_draining = false;

  /// @return an id that is unique among the store operations of this process.
  StoreOperationId NewStoreOperation();
  /// @return an id that is unique among the attempts of this process.
  AttemptId NewAttempt();

  std::uint64_t m_last_store_operation = 0;
  std::uint64_t m_last_attempt = 0;
};

/// Runs every system once, in a fixed order.
/// @param now current time; not earlier than at the previous tick.
/// @return the actions to execute, in order.
std::vector<Action> Tick(World& world, TimePoint now);

}  // namespace nutmeghollow
