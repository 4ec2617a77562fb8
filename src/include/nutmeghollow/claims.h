/// @file
/// Claims: a non-idempotent service call with an idempotency key runs at most
/// once, whichever instances receive it.
///
/// Before the dispatch its instance inserts a row for customer, service and
/// key into the table service. The row holds a digest of the request, a token
/// of the claimer, and a time after which the claimer no longer dispatches.
/// Afterwards it records the outcome, so that a repeat gets the same answer
/// from any instance. A claim whose request did not run is withdrawn.
///
/// The claimer keeps a claim in memory until its end is stored. So when a
/// claimer does not know one of its tokens, that request was not and will
/// not be dispatched.
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
  /// The claimer stops this long before the end of the window.
  Duration m_claimer_margin = std::chrono::seconds(2);
  /// Others wait this long after its end, for clocks that differ and for
  /// bytes under way.
  Duration m_taker_margin = std::chrono::seconds(8);
  /// Longest wait for a claim before the caller is told.
  Duration m_claim_wait = std::chrono::seconds(3);
  /// A failed write or read is tried again after this time.
  Duration m_store_retry = std::chrono::milliseconds(500);
  /// A settled claim stays in memory this long.
  Duration m_memory = std::chrono::seconds(60);
  /// Larger answers are not kept.
  Bytes m_body_limit{32 << 10};
  /// Commits in flight; later writes wait and share one transaction.
  int m_commit_limit = 4;
  /// Rows in one transaction.
  int m_batch_limit = 32;
  /// Claims held in memory; above it no claim is made.
  std::size_t m_limit = 20000;
  /// Settled rows are deleted after this time.
  Duration m_retention = std::chrono::hours(24);
  /// Rows that are not settled are deleted after this time.
  Duration m_open_retention = std::chrono::hours(24 * 14);
  /// Time between two scans for old rows, and rows looked at in each.
  Duration m_scan_period = std::chrono::seconds(60);
  int m_scan_limit = 100;
};

/// State of a claim row. A withdrawn claim has no row.
enum class ClaimState {
  kOpen,     ///< Its request may be dispatched, running or given up.
  kDone,     ///< Its request ran; the answer is recorded.
  kUnknown,  ///< Its request may have run; nobody knows.
};

/// Content of a claim row.
struct ClaimRecord {
  RequestDigest m_digest;
  ClaimState m_state = ClaimState::kOpen;
  InstanceId m_claimer;
  std::string m_token;  ///< Names the claimer's process and the claim.
  WallTime m_dispatch_until;
  WallTime m_created;
  int m_status = 0;  ///< With kDone.
  std::string m_content_type;
  std::string m_body;
  bool m_body_kept = true;
  std::string m_settled_by;  ///< Operator that settled it, if any.
};

/// @return the key of a claim's row.
std::string ClaimRowKey(const CustomerId& customer,
                        const ServiceId& service,
                        const IdempotencyKey& key);
/// @return the text of a claim row.
std::string FormatClaim(const ClaimRecord& record);
/// @return a claim row, or nothing when the text is not one.
std::optional<ClaimRecord> ParseClaim(const std::string& text);

/// What a claimer says about one of its claims.
enum class ClaimerAnswer {
  kGaveUp,       ///< It was not dispatched and will not be.
  kInProgress,   ///< It waits, runs, or ran and is being recorded.
  kSettled,      ///< The row tells.
  kNotMine,      ///< The token is of another process.
  kUnreachable,  ///< No answer.
};

/// The end of an QueryClaimer action.
struct ClaimAnswer {
  RequestId m_request;
  ClaimerAnswer m_answer = ClaimerAnswer::kUnreachable;
};

/// What a service says about an idempotency key.
enum class ServiceKeyState { kNever, kRunning, kDone, kUnreachable };

/// The end of an QueryKeyStatus action.
struct ServiceAnswer {
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
  /// Unset to show the claim. kCompleted: the request ran. kNotRun: it did
  /// not, and the key may be used again.
  std::optional<Outcome> m_resolution;
};

/// How a command about a claim ended.
enum class ClaimCommandStatus {
  kShown,
  kResolved,
  kNotFound,
  kAlreadySettled,  ///< The outcome is recorded and stays.
  kInProgress,      ///< Its claimer may still be working on it.
  kConflict,        ///< It changed meanwhile; look again.
  kUnavailable,     ///< The table service was not reached; nothing changed.
  kUnknown,         ///< It may have changed; show it.
};

/// The end of a command about a claim.
struct ClaimCommandResult {
  CommandId m_command;
  ClaimCommandStatus m_status = ClaimCommandStatus::kNotFound;
  std::string m_row;  ///< The row's text when it was found.
};

/// What adapters report about claims.
struct ClaimInbox {
  std::vector<ClaimAnswer> m_claimers;
  std::vector<ServiceAnswer> m_services;
  std::vector<ClaimCommand> m_commands;
};

/// Stage of a claim of this process.
enum class OwnClaimPhase {
  kInserting,  ///< The insert has not ended, or its answer was lost.
  kHeld,       ///< The request may be dispatched or is under way.
  kSettling,   ///< Its end is being stored.
  kSettled,    ///< Its end is stored.
};

/// A claim made by this process.
struct OwnClaim {
  ClaimRecord m_record;  ///< As stored, or as it is to be stored.
  OwnClaimPhase m_phase = OwnClaimPhase::kInserting;
  RequestId m_request;
  bool m_request_ended = false;
  bool m_withdraw = false;  ///< Delete the row instead of recording.
  /// Version that the row had before our insert; zero for absent.
  RowVersion m_replaces;
  /// Version of the row; unset until it was read.
  std::optional<RowVersion> m_version;
  /// An insert got no answer: the row may be there.
  bool m_insert_unknown = false;
  bool m_busy = false;  ///< A read or write is queued or in flight.
  TimePoint m_dispatch_limit{};
  TimePoint m_due{};  ///< Next attempt to store, or to forget.
};

/// Stage of a repeat that found a claim of another process.
enum class RepeatPhase { kAsksClaimer, kAsksService };

/// A request that found a claim of another process.
struct ClaimRepeat {
  RepeatPhase m_phase = RepeatPhase::kAsksClaimer;
  std::string m_row_key;
  ClaimRecord m_found;
  RowVersion m_version;
};

/// A write of one claim row that waits for its transaction.
struct ClaimWrite {
  std::string m_row_key;
  RowVersion m_precondition;
  std::optional<std::string> m_value;  ///< Unset to delete.
};

/// Use of the table service by claims since the process started.
struct ClaimCounters {
  std::uint64_t m_claims = 0;   ///< Claims asked for.
  std::uint64_t m_commits = 0;  ///< Transactions sent.
  std::uint64_t m_writes = 0;   ///< Rows in them.
  std::uint64_t m_reads = 0;    ///< Reads sent.
  std::uint64_t m_expired = 0;  ///< Rows deleted as old.
};

/// A store operation in flight.
struct ClaimOperation {
  enum class Kind { kCommit, kRead, kScan, kExpire, kShow, kResolve };
  Kind m_kind = Kind::kCommit;
  std::vector<ClaimWrite> m_writes;
  std::vector<std::string> m_keys;
  ClaimCommand m_command;
};

/// State of claims.
struct ClaimTable {
  std::string m_process;  ///< Names this process in tokens.
  std::map<std::string, OwnClaim> m_own;
  std::map<RequestId, ClaimRepeat> m_repeats;
  std::vector<RequestId> m_starting;
  std::vector<ClaimWrite> m_writes;  ///< Wait for a transaction.
  std::vector<std::string> m_reads;  ///< Wait for a read.
  std::map<StoreOperationId, ClaimOperation> m_operations;
  int m_commits_in_flight = 0;
  /// Claims to look at again, in order of time.
  std::set<std::pair<TimePoint, std::string>> m_due;
  int m_unsettled = 0;  ///< Claims whose end is not stored.
  TimePoint m_next_scan{};
  std::string m_scanned_to;
  bool m_scanning = false;
  std::vector<ClaimCommandResult> m_command_results;  ///< For the daemon.
  ClaimCounters m_counters;
};

/// Runs claims once.
void RunClaims(World& world, TimePoint now);

/// Asks for the claim of a request in phase kClaiming.
void StartClaim(World& world, const RequestRow& row);

/// @return the time after which a claimed request must not be dispatched, and
/// nothing for requests that need no claim.
std::optional<TimePoint> ClaimDispatchLimit(const World& world,
                                            const RequestRow& row);

/// Starts to record the outcome of a claimed request.
/// @param event its whole answer; moved from.
/// @return false when the request has no claim.
bool RecordOutcome(World& world,
                   const RequestRow& row,
                   AttemptEvent& event,
                   TimePoint now);

/// Notes that a request was answered. A claim that is not recorded yet is
/// withdrawn when the request did not run, else marked as unknown.
void SettleClaimOfEndedRequest(World& world,
                               const RequestRow& row,
                               TimePoint now);

/// Answers another instance that asks about a claim. A claim whose request
/// has ended without a dispatch counts as given up for good.
ClaimerAnswer AnswerClaimQuestion(const World& world,
                                  const std::string& row_key,
                                  const std::string& token);

}  // namespace nutmeghollow
