/// @file
/// Claims: a non-idempotent service call with an idempotency key runs at most
/// once, whichever instances receive it.
///
/// Before it dispatches the request, the instance (the claimer) inserts a row
/// for customer, service and key into the table service. The row contains a
/// digest of the request, a token of the claimer, and a time after which the
/// claimer no longer dispatches. When the request has ended, the claimer
/// records the outcome, so that every instance replays the same response to a
/// repeated request. A claim whose request did not run is withdrawn: its row
/// is deleted.
///
/// The claimer keeps a claim in memory until its outcome is stored. Therefore a
/// token that its own process does not know belongs to a request that was not
/// dispatched and will not be.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of claims.
struct ClaimParameters {
  /// Time after the claim within which the request may be dispatched.
  Duration m_dispatch_window = std::chrono::seconds(30);
  /// The claimer stops dispatching this long before the end of the window.
  Duration m_claimer_margin = std::chrono::seconds(2);
  /// Other instances wait this long after the end of the window before they
  /// take a claim over, for clock skew and for bytes in transit.
  Duration m_takeover_margin = std::chrono::seconds(8);
  /// Longest wait for a claim before the request is refused.
  Duration m_claim_timeout = std::chrono::seconds(3);
  /// A failed write or read is retried after this time.
  Duration m_store_retry = std::chrono::milliseconds(500);
  /// A settled claim stays in memory this long.
  Duration m_cache_time = std::chrono::seconds(60);
  /// Larger response bodies are not stored.
  Bytes m_body_limit{32 << 10};
  /// Commits in flight; later writes are queued and share one transaction.
  int m_commit_limit = 4;
  /// Rows in one transaction.
  int m_batch_limit = 32;
  /// Claims in memory; at this number new claims are refused.
  std::size_t m_limit = 20000;
  /// Settled rows are deleted after this time.
  Duration m_retention = std::chrono::hours(24);
  /// Rows that are not settled are deleted after this time.
  Duration m_unsettled_retention = std::chrono::hours(24 * 14);
  /// Time between two scans for expired rows, and rows read by each scan.
  Duration m_scan_period = std::chrono::seconds(60);
  int m_scan_limit = 100;
};

/// State of a claim row. A withdrawn claim has no row.
enum class ClaimState {
  kOpen,     ///< Its request may be pending, running or abandoned.
  kDone,     ///< Its request ran; the response is recorded.
  kUnknown,  ///< Its request may have run; the outcome is unknown.
};

/// Content of a claim row.
struct ClaimRecord {
  RequestDigest m_digest;
  ClaimState m_state = ClaimState::kOpen;
  InstanceId m_claimer;
  std::string m_token;  ///< Identifies the claimer's process and the claim.
  WallTime m_dispatch_until;
  WallTime m_created;
  int m_status = 0;  ///< With kDone.
  std::string m_content_type;
  std::string m_body;
  bool m_body_kept = true;
  std::string m_settled_by;  ///< Operator that settled the claim, if any.
};

/// @return the key of a claim's row.
std::string ClaimRowKey(const CustomerId& customer,
                        const ServiceId& service,
                        const IdempotencyKey& key);
/// @return the value of a claim row, as JSON.
std::string FormatClaim(const ClaimRecord& record);
/// @return the content of a claim row, or nothing when the text is invalid.
std::optional<ClaimRecord> ParseClaim(const std::string& text);

/// Reply of a claimer to a query about one of its claims.
enum class ClaimQueryStatus {
  kNotDispatched,  ///< The request was not dispatched and will not be.
  kInProgress,     ///< The request is pending, running or being recorded.
  kSettled,        ///< The outcome is in the claim row.
  kForeignToken,   ///< The token belongs to another process.
  kUnreachable,    ///< No reply.
};

/// Result of a QueryClaimer action.
struct ClaimQueryResult {
  RequestId m_request;
  ClaimQueryStatus m_status = ClaimQueryStatus::kUnreachable;
};

/// State of an idempotency key, as reported by a service.
enum class ServiceKeyState { kNever, kRunning, kDone, kUnreachable };

/// Result of a QueryKeyStatus action.
struct KeyStatusResult {
  RequestId m_request;
  ServiceKeyState m_state = ServiceKeyState::kUnreachable;
  int m_status = 0;
  std::string m_content_type;
  std::string m_body;
};

/// An operator's command about one claim.
struct ClaimCommand {
  CommandId m_command;
  OperatorId m_operator;
  std::string m_row_key;
  /// Unset to only show the claim. kCompleted: the request ran. kNotRun: it
  /// did not run, and the key may be used again.
  std::optional<Outcome> m_resolution;
};

/// Status of a command about a claim.
enum class ClaimCommandStatus {
  kShown,
  kResolved,
  kNotFound,
  kAlreadySettled,  ///< The outcome is recorded and cannot be changed.
  kInProgress,      ///< Its claimer may still settle it.
  kConflict,        ///< The row changed meanwhile; show it again.
  kUnavailable,     ///< The table service was not available; nothing changed.
  kUnknown,         ///< The row may have changed; show it again.
};

/// Result of a command about a claim.
struct ClaimCommandResult {
  CommandId m_command;
  ClaimCommandStatus m_status = ClaimCommandStatus::kNotFound;
  std::string m_row;  ///< The row's value if the row exists.
};

/// Claim events from the adapters, read in the next tick.
struct ClaimInbox {
  std::vector<ClaimQueryResult> m_claimers;
  std::vector<KeyStatusResult> m_services;
  std::vector<ClaimCommand> m_commands;
};

/// Phase of a claim made by this process.
enum class OwnClaimPhase {
  kInserting,  ///< The insert is pending, or its result was lost.
  kHeld,       ///< The row exists; the request may run or is running.
  kSettling,   ///< The outcome or the withdrawal is being stored.
  kSettled,    ///< The outcome is stored.
};

/// A claim made by this process.
struct OwnClaim {
  ClaimRecord m_record;  ///< The row as stored or to be stored.
  OwnClaimPhase m_phase = OwnClaimPhase::kInserting;
  RequestId m_request;
  bool m_request_ended = false;
  bool m_withdraw = false;  ///< Delete the row instead of recording an outcome.
  /// Version that the insert replaces; zero when the row must be absent.
  RowVersion m_expected_version;
  /// Version of the row; unset until the row has been read.
  std::optional<RowVersion> m_version;
  /// The result of an insert is unknown: the row may exist.
  bool m_insert_unknown = false;
  bool m_busy = false;  ///< A read or write is queued or in flight.
  TimePoint m_dispatch_limit{};
  TimePoint m_due{};  ///< Time of the next store attempt or of the removal.
};

/// Phase of a request whose key was claimed by an earlier request.
enum class RepeatPhase { kQueryingClaimer, kQueryingService };

/// A request whose key was claimed by an earlier request that is not known to
/// have completed.
struct RepeatedRequest {
  RepeatPhase m_phase = RepeatPhase::kQueryingClaimer;
  std::string m_row_key;
  ClaimRecord m_record;  ///< The row that was found.
  RowVersion m_version;
};

/// A queued write of one claim row.
struct ClaimWrite {
  std::string m_row_key;
  RowVersion m_precondition;
  std::optional<std::string> m_value;  ///< Unset to delete.
};

/// Use of the table service by claims since the process started.
struct ClaimCounters {
  std::uint64_t m_claims = 0;   ///< Claims requested.
  std::uint64_t m_commits = 0;  ///< Transactions sent.
  std::uint64_t m_writes = 0;   ///< Rows in them.
  std::uint64_t m_reads = 0;    ///< Reads sent.
  std::uint64_t m_expired = 0;  ///< Expired rows deleted.
};

/// A store operation in flight.
struct ClaimOperation {
  enum class Kind { kCommit, kRead, kScan, kExpire, kShow, kResolve };
  Kind m_kind = Kind::kCommit;
  std::vector<ClaimWrite> m_writes;
  std::vector<std::string> m_keys;
  ClaimCommand m_command;
};

/// State of the claims system.
struct ClaimTable {
  std::string m_process_name;  ///< Prefix of tokens; unique per process.
  std::map<std::string, OwnClaim> m_own;
  std::map<RequestId, RepeatedRequest> m_repeated_requests;
  std::vector<RequestId> m_pending_claims;  ///< Requests to be claimed.
  std::vector<ClaimWrite> m_writes;         ///< Queued for a transaction.
  std::vector<std::string> m_reads;         ///< Row keys queued for a read.
  std::map<StoreOperationId, ClaimOperation> m_operations;
  int m_commits_in_flight = 0;
  /// Row keys of claims by the time of their next step.
  std::set<std::pair<TimePoint, std::string>> m_due;
  int m_unsettled = 0;  ///< Claims that are not settled.
  TimePoint m_next_scan{};
  /// Last key of the previous scan; empty to start at the first key.
  std::string m_scan_cursor;
  bool m_scanning = false;
  std::vector<ClaimCommandResult> m_command_results;  ///< For the daemon.
  ClaimCounters m_counters;
};

/// Runs the claims system once.
void RunClaims(World& world, TimePoint now);

/// Requests the claim of a request in phase kClaiming.
void StartClaim(World& world, const RequestRow& row);

/// @return the time after which a claimed request must not be dispatched, and
/// nothing for requests that need no claim.
std::optional<TimePoint> ClaimDispatchLimit(const World& world,
                                            const RequestRow& row);

/// Starts to record the outcome of a claimed request.
/// @param event the complete response; moved from.
/// @return false when the request has no claim.
bool RecordOutcome(World& world,
                   const RequestRow& row,
                   AttemptEvent& event,
                   TimePoint now);

/// Settles the claim of a request that ended. A claim whose outcome is not
/// recorded yet is withdrawn when the request did not run, and otherwise marked
/// as unknown.
void SettleClaimOfEndedRequest(World& world,
                               const RequestRow& row,
                               TimePoint now);

/// Handles a query about a claim, from this or another instance. The request of
/// a claim that is being withdrawn counts as not dispatched.
/// @param token token of the claim row.
ClaimQueryStatus HandleClaimQuery(const World& world,
                                  const std::string& row_key,
                                  const std::string& token);

}  // namespace nutmeghollow
