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
  // The order is fixed. Each system sees the state left by the ones before it
  // in the same tick.
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
