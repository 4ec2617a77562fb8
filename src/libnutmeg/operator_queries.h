/// @file
/// Operators' questions, which read rows of the table service and change none.
#pragma once

#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/store.h"

namespace nutmeghollow {

struct World;

namespace detail {

/// Starts the read that answers a question.
void StartQuery(World& world, const OperatorQuery& query);

/// Handles the end of a question's read: answers it, or reads on.
void HandleQueryResult(World& world,
                       PendingQuery& pending,
                       const StoreResult& result);

}  // namespace detail
}  // namespace nutmeghollow
