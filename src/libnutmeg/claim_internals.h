/// @file
/// Functions that the parts of claims share: own claims, their storage,
/// repeats, and upkeep.
#pragma once

#include <string>

#include "nutmeghollow/claims.h"

namespace nutmeghollow {

struct World;

namespace detail {

// Own claims (own_claims.cpp).

/// Makes a claim for a request.
/// @param replaces version of the row to be replaced; zero when absent.
void InsertClaim(World& world,
                 RequestRow& row,
                 const std::string& row_key,
                 RowVersion replaces,
                 TimePoint now);
/// The write of an own claim took effect.
void HandleClaimWritten(World& world,
                        const std::string& row_key,
                        TimePoint now);
/// The row of an own claim was read, or found in place of the expected version;
/// version zero when absent.
void HandleClaimRow(World& world, const StoreRow& found, TimePoint now);
/// The write of an own claim was refused by the table service.
void HandleClaimUnavailable(World& world,
                            const std::string& row_key,
                            TimePoint now);
/// A row of an own claim could not be read.
void HandleClaimReadFailed(World& world,
                           const std::string& row_key,
                           TimePoint now);
/// Looks at own claims whose time has come.
void RunDueClaims(World& world, TimePoint now);

// Storage (claim_store.cpp).

/// Queues a write; it shares a transaction with others of the same time.
void QueueClaimWrite(World& world, ClaimWrite write);
/// Queues a read of a row.
void QueueClaimRead(World& world, const std::string& row_key);
/// Sends queued reads and writes.
void FlushClaimStore(World& world);
/// Handles the ends of store operations.
void HandleClaimStoreResults(World& world, TimePoint now);

// Repeats (claim_repeats.cpp).

/// Decides about a request whose key is claimed already.
void HandleFoundClaim(World& world,
                      RequestRow& row,
                      const std::string& row_key,
                      const ClaimRecord& found,
                      RowVersion version,
                      TimePoint now);
/// Handles answers of claimers and services.
void RunRepeats(World& world, TimePoint now);

// Upkeep (claim_upkeep.cpp).

/// Looks for old rows from time to time, on one instance of the fleet.
void RunClaimExpiry(World& world, TimePoint now);
/// Handles a page of rows of the scan.
void HandleClaimScan(World& world, const StoreResult& result);
/// Starts the commands of operators.
void RunClaimCommands(World& world);
/// Handles the row of a command.
void HandleClaimCommandRead(World& world,
                            const ClaimCommand& command,
                            const StoreResult& result);
/// Handles the end of an operator's settlement.
void HandleClaimCommandCommit(World& world,
                              const ClaimOperation& operation,
                              const StoreResult& result);

}  // namespace detail
}  // namespace nutmeghollow
