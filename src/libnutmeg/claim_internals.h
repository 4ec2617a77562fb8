/// @file
/// Functions shared by the source files of claims: own claims, storage,
/// repeated requests, and upkeep.
#pragma once

#include <string>

#include "nutmeghollow/claims.h"

namespace nutmeghollow {

struct World;

namespace detail {

// Own claims (own_claims.cpp).

/// Creates a claim for a request and queues the insert of its row.
/// @param expected_version version of the row to be replaced; zero when the row
/// must be absent.
void InsertClaim(World& world,
                 RequestRow& row,
                 const std::string& row_key,
                 RowVersion expected_version,
                 TimePoint now);
/// Handles a write of an own claim that took effect.
void HandleClaimWritten(World& world,
                        const std::string& row_key,
                        TimePoint now);
/// Handles the row of an own claim that was read, or that caused a conflict;
/// version zero when absent.
void HandleClaimRow(World& world, const StoreRow& found, TimePoint now);
/// Handles a write of an own claim for which the table service was not
/// available.
void HandleClaimUnavailable(World& world,
                            const std::string& row_key,
                            TimePoint now);
/// Handles a failed read of the row of an own claim.
void HandleClaimReadFailed(World& world,
                           const std::string& row_key,
                           TimePoint now);
/// Runs the next step of own claims that are due.
void RunDueClaims(World& world, TimePoint now);

// Storage (claim_store.cpp).

/// Queues a write; writes that are queued together share a transaction.
void QueueClaimWrite(World& world, ClaimWrite write);
/// Queues a read of a row.
void QueueClaimRead(World& world, const std::string& row_key);
/// Sends queued reads and writes.
void FlushClaimStore(World& world);
/// Handles the results of store operations.
void HandleClaimStoreResults(World& world, TimePoint now);

// Repeated requests (claim_repeats.cpp).

/// Handles a request whose key is claimed already.
void HandleFoundClaim(World& world,
                      RequestRow& row,
                      const std::string& row_key,
                      const ClaimRecord& found,
                      RowVersion version,
                      TimePoint now);
/// Handles the results of queries to claimers and services.
void HandleClaimQueryResults(World& world, TimePoint now);

// Upkeep (claim_upkeep.cpp).

/// Scans for expired rows periodically, on one instance of the fleet.
void RunClaimExpiry(World& world, TimePoint now);
/// Handles one page of rows of the scan.
void HandleClaimScan(World& world, const StoreResult& result);
/// Starts the operators' commands about claims.
void RunClaimCommands(World& world);
/// Handles the row that was read for a command.
void HandleClaimCommandRead(World& world,
                            const ClaimCommand& command,
                            const StoreResult& result);
/// Handles the result of the commit of an operator's settlement.
void HandleClaimCommandCommit(World& world,
                              const ClaimOperation& operation,
                              const StoreResult& result);

}  // namespace detail
}  // namespace nutmeghollow
