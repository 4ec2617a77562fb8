#include "nutmeghollow/world.h"

#include <utility>

namespace nutmeghollow {

StoreOperationId World::NewStoreOperation() {
  return StoreOperationId(++m_last_store_operation);
}

AttemptId World::NewAttempt() {
  return AttemptId(++m_last_attempt);
}

std::vector<Action> Tick(World& world, TimePoint now) {
  // The call of each system goes here, in this order: control budget,
  // membership, probing, configuration, lease, orders, quarantine, claims,
  // admission, placement, request flow, drain.
  RunRequestIntake(world, now);
  RunControlBudget(world, now);
  RunMembership(world, now);
  RunProbing(world, now);
  RunConfiguration(world, now);
  RunPlannedChanges(world, now);
  RunOperatorCommands(world, now);
  RunLease(world, now);
  RunOrders(world, now);
  RunQuarantine(world, now);
  RunClaims(world, now);
  RunAdmission(world, now);
  RunPlacement(world, now);
  RunRequestFlow(world, now);
  RunDrain(world, now);
  return std::exchange(world.m_actions, {});
}

}  // namespace nutmeghollow
