/// @file
/// Operator queries, which read rows of the table service without changing any.
#pragma once

#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/store.h"

namespace nutmeghollow {

struct World;

namespace detail {

/// Starts the table service read or scan for a query.
void StartQuery(World& world, const OperatorQuery& query);

/// Handles the result of a query's read: sends the reply, or starts the read of
/// the audit row.
void HandleQueryResult(World& world,
                       PendingQuery& pending,
                       const StoreResult& result);

}  // namespace detail
}  // namespace nutmeghollow
