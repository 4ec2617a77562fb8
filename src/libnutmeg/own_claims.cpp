// Claims made by this process, from the insert until they are settled.
#include <fmt/format.h>

#include <utility>

#include "claim_internals.h"
#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow {
namespace {

using detail::QueueClaimRead;
using detail::QueueClaimWrite;

/// Largest row value in bytes; the table service refuses larger ones.
constexpr std::size_t kMaxRowBytes = 60 << 10;

const std::string& ProcessName(World& world) {
  std::string& name = world.m_claims.m_process_name;
  if (name.empty()) {
    name = fmt::format("{}/{:016x}", world.m_instances.m_self.str(),
                       world.m_hooks.m_random());
  }
  return name;
}

OwnClaim* FindOwnClaim(World& world, const std::string& row_key) {
  const auto found = world.m_claims.m_own.find(row_key);
  return found == world.m_claims.m_own.end() ? nullptr : &found->second;
}

std::string RowKeyOf(const NewRequest& request) {
  return ClaimRowKey(request.m_customer, request.m_service,
                     request.m_idempotency_key);
}

/// @return the claim made for a request, or null.
const OwnClaim* FindClaimOf(const World& world, const RequestRow& row) {
  if (!row.m_at_most_once || row.m_request.m_idempotency_key.empty()) {
    return nullptr;
  }
  const auto found = world.m_claims.m_own.find(RowKeyOf(row.m_request));
  const bool own = found != world.m_claims.m_own.end() &&
                   found->second.m_request == row.m_request.m_id;
  return own ? &found->second : nullptr;
}

OwnClaim* FindClaimOf(World& world, const RequestRow& row) {
  return const_cast<OwnClaim*>(FindClaimOf(std::as_const(world), row));
}

/// @return the request of a claim until it has ended, then null.
RequestRow* ActiveRequest(World& world, const OwnClaim& claim) {
  return claim.m_request_ended ? nullptr
                               : world.m_requests.Find(claim.m_request);
}

void SetDue(World& world,
            const std::string& row_key,
            OwnClaim& claim,
            TimePoint when) {
  auto& due = world.m_claims.m_due;
  due.erase({claim.m_due, row_key});
  claim.m_due = when;
  due.emplace(when, row_key);
}

bool IsUnsettled(const OwnClaim& claim) {
  return claim.m_phase != OwnClaimPhase::kSettled;
}

void EraseOwnClaim(World& world, const std::string& row_key) {
  ClaimTable& claims = world.m_claims;
  const auto found = claims.m_own.find(row_key);
  if (found == claims.m_own.end()) {
    return;
  }
  if (IsUnsettled(found->second)) {
    --claims.m_unsettled;
  }
  claims.m_due.erase({found->second.m_due, row_key});
  claims.m_own.erase(found);
}

/// Stores the outcome or the withdrawal once the version of the row is known.
void SaveSettlement(World& world, const std::string& row_key, OwnClaim& claim) {
  if (claim.m_busy) {
    return;
  }
  claim.m_busy = true;
  if (!claim.m_version) {
    QueueClaimRead(world, row_key);
    return;
  }
  ClaimWrite write{row_key, *claim.m_version, std::nullopt};
  if (!claim.m_withdraw) {
    write.m_value = FormatClaim(claim.m_record);
  }
  QueueClaimWrite(world, std::move(write));
}

void StartSettling(World& world, const std::string& row_key, OwnClaim& claim) {
  claim.m_phase = OwnClaimPhase::kSettling;
  SaveSettlement(world, row_key, claim);
}

void MarkSettled(World& world,
                 const std::string& row_key,
                 OwnClaim& claim,
                 TimePoint now) {
  --world.m_claims.m_unsettled;
  claim.m_phase = OwnClaimPhase::kSettled;
  RequestRow* row = ActiveRequest(world, claim);
  if (row != nullptr && row->m_phase == RequestPhase::kRecording) {
    detail::EndCompleted(world, *row, now);
  }
  if (claim.m_withdraw) {
    EraseOwnClaim(world, row_key);
  } else {
    SetDue(world, row_key, claim, now + world.m_claim_parameters.m_cache_time);
  }
}

/// Queues the request of an inserted claim; withdraws the claim if it ended.
void ActivateClaim(World& world,
                   const std::string& row_key,
                   OwnClaim& claim,
                   std::optional<RowVersion> version,
                   TimePoint now) {
  claim.m_phase = OwnClaimPhase::kHeld;
  claim.m_version = version;
  RequestRow* row = ActiveRequest(world, claim);
  if (row == nullptr) {
    claim.m_withdraw = true;
    StartSettling(world, row_key, claim);
    return;
  }
  if (!version) {
    // Settling needs the version; it is read while the call runs.
    claim.m_busy = true;
    QueueClaimRead(world, row_key);
  }
  detail::SetWakeup(world, *row, row->m_deadline);
  world.m_requests.SetPhase(*row, RequestPhase::kQueued, now);
}

void WriteInsert(World& world, const std::string& row_key, OwnClaim& claim) {
  claim.m_busy = true;
  QueueClaimWrite(
      world, {row_key, claim.m_expected_version, FormatClaim(claim.m_record)});
}

/// Handles the row found during an insert. @param record set if it is a claim.
void HandleRowWhileInserting(World& world,
                             const StoreRow& found,
                             const std::optional<ClaimRecord>& record,
                             OwnClaim& claim,
                             TimePoint now) {
  const std::string row_key = found.m_key;
  if (record && record->m_token == claim.m_record.m_token) {
    ActivateClaim(world, row_key, claim, found.m_version, now);
    return;
  }
  RequestRow* row = ActiveRequest(world, claim);
  if (row == nullptr) {
    // The request was not dispatched. If the insert takes effect later, a query
    // about its unknown token gets the reply kNotDispatched.
    EraseOwnClaim(world, row_key);
    return;
  }
  const bool absent = found.m_version == RowVersion();
  if (absent || found.m_version == claim.m_expected_version) {
    claim.m_expected_version = found.m_version;
    WriteInsert(world, row_key, claim);
    return;
  }
  EraseOwnClaim(world, row_key);
  if (!record) {
    row->m_earlier_outcome = Outcome::kUnknown;
    detail::EndRefused(world, *row, Refusal::kKeyOutcomeUnknown,
                       Duration::zero(), now);
    return;
  }
  detail::HandleFoundClaim(world, *row, row_key, *record, found.m_version, now);
}

/// Handles the row that was found for a claim that is being settled.
void HandleRowWhileSettling(World& world,
                            const StoreRow& found,
                            const std::optional<ClaimRecord>& record,
                            OwnClaim& claim,
                            TimePoint now) {
  const bool absent = found.m_version == RowVersion();
  if (record && record->m_token == claim.m_record.m_token) {
    const bool same = record->m_state == claim.m_record.m_state;
    const bool completed = record->m_state == ClaimState::kDone;
    claim.m_version = found.m_version;
    if (!claim.m_withdraw && (same || completed)) {
      MarkSettled(world, found.m_key, claim, now);
    } else {
      SaveSettlement(world, found.m_key, claim);
    }
    return;
  }
  if (absent && !claim.m_withdraw) {
    claim.m_version = RowVersion();
    SaveSettlement(world, found.m_key, claim);
    return;
  }
  NUTMEG_CHECK(claim.m_withdraw,
               "a claim that may have been dispatched is not taken over");
  MarkSettled(world, found.m_key, claim, now);
}

/// Handles the row that was found for a claim in phase kHeld.
void HandleRowWhileHeld(const StoreRow& found,
                        const std::optional<ClaimRecord>& record,
                        OwnClaim& claim) {
  if (record && record->m_token == claim.m_record.m_token) {
    claim.m_version = found.m_version;
  } else {
    // The row was removed or replaced and no longer protects the request.
    claim.m_dispatch_limit = TimePoint::min();
  }
}

/// Handles a request whose key this process has claimed before.
void HandleRequestWithOwnClaim(World& world,
                               RequestRow& row,
                               const std::string& row_key,
                               OwnClaim& claim,
                               TimePoint now) {
  const ClaimRecord record = claim.m_record;
  if (record.m_digest != row.m_request.m_digest) {
    detail::EndRefused(world, row, Refusal::kKeyReused, Duration::zero(), now);
  } else if (record.m_state == ClaimState::kDone) {
    detail::HandleFoundClaim(world, row, row_key, record, RowVersion(), now);
  } else if (claim.m_phase == OwnClaimPhase::kSettled) {
    // Another instance or an operator may have changed the row since.
    EraseOwnClaim(world, row_key);
    detail::InsertClaim(world, row, row_key, RowVersion(), now);
  } else if (claim.m_request_ended && record.m_state != ClaimState::kUnknown) {
    detail::EndRefused(world, row, Refusal::kStoreUnavailable, Duration::zero(),
                       now);
  } else {
    row.m_earlier_outcome = Outcome::kUnknown;
    detail::EndRefused(world, row, Refusal::kKeyInProgress, Duration::zero(),
                       now);
  }
}

void BeginClaim(World& world, RequestRow& row, TimePoint now) {
  const std::string row_key = RowKeyOf(row.m_request);
  ++world.m_claims.m_counters.m_claims;
  OwnClaim* claim = FindOwnClaim(world, row_key);
  if (claim == nullptr) {
    detail::InsertClaim(world, row, row_key, RowVersion(), now);
  } else {
    HandleRequestWithOwnClaim(world, row, row_key, *claim, now);
  }
}

}  // namespace

namespace detail {

void InsertClaim(World& world,
                 RequestRow& row,
                 const std::string& row_key,
                 RowVersion expected_version,
                 TimePoint now) {
  const ClaimParameters& parameters = world.m_claim_parameters;
  if (world.m_claims.m_own.size() >= parameters.m_limit) {
    EndRefused(world, row, Refusal::kStoreUnavailable, Duration::zero(), now);
    return;
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const WallTime wall = world.m_hooks.m_wall_time();
  const auto window =
      duration_cast<milliseconds>(parameters.m_dispatch_window).count();
  EraseOwnClaim(world, row_key);
  // The request now waits for its own insert, not for an earlier claim.
  row.m_earlier_outcome.reset();
  OwnClaim& claim = world.m_claims.m_own[row_key];
  ++world.m_claims.m_unsettled;
  claim.m_request = row.m_request.m_id;
  claim.m_expected_version = expected_version;
  claim.m_dispatch_limit =
      now + parameters.m_dispatch_window - parameters.m_claimer_margin;
  claim.m_record.m_digest = row.m_request.m_digest;
  claim.m_record.m_claimer = world.m_instances.m_self;
  claim.m_record.m_token =
      fmt::format("{}/{:016x}", ProcessName(world), world.m_hooks.m_random());
  claim.m_record.m_created = wall;
  claim.m_record.m_dispatch_until = WallTime(wall.value() + window);
  WriteInsert(world, row_key, claim);
}

void HandleClaimWritten(World& world,
                        const std::string& row_key,
                        TimePoint now) {
  OwnClaim* claim = FindOwnClaim(world, row_key);
  if (claim == nullptr) {
    return;
  }
  claim->m_busy = false;
  if (claim->m_phase == OwnClaimPhase::kInserting) {
    ActivateClaim(world, row_key, *claim, std::nullopt, now);
  } else if (claim->m_phase == OwnClaimPhase::kSettling) {
    MarkSettled(world, row_key, *claim, now);
  }
}

void HandleClaimRow(World& world, const StoreRow& found, TimePoint now) {
  OwnClaim* claim = FindOwnClaim(world, found.m_key);
  if (claim == nullptr) {
    return;
  }
  claim->m_busy = false;
  const std::optional<ClaimRecord> record = found.m_version == RowVersion()
                                                ? std::nullopt
                                                : ParseClaim(found.m_value);
  switch (claim->m_phase) {
    case OwnClaimPhase::kInserting:
      HandleRowWhileInserting(world, found, record, *claim, now);
      break;
    case OwnClaimPhase::kHeld:
      HandleRowWhileHeld(found, record, *claim);
      break;
    case OwnClaimPhase::kSettling:
      HandleRowWhileSettling(world, found, record, *claim, now);
      break;
    case OwnClaimPhase::kSettled:
      break;
  }
}

void HandleClaimUnavailable(World& world,
                            const std::string& row_key,
                            TimePoint now) {
  OwnClaim* claim = FindOwnClaim(world, row_key);
  if (claim == nullptr) {
    return;
  }
  claim->m_busy = false;
  const bool nothing_written =
      claim->m_phase == OwnClaimPhase::kInserting && !claim->m_insert_unknown;
  if (!nothing_written) {
    SetDue(world, row_key, *claim,
           now + world.m_claim_parameters.m_store_retry);
    return;
  }
  RequestRow* row = ActiveRequest(world, *claim);
  EraseOwnClaim(world, row_key);
  if (row != nullptr) {
    EndRefused(world, *row, Refusal::kStoreUnavailable, Duration::zero(), now);
  }
}

void HandleClaimReadFailed(World& world,
                           const std::string& row_key,
                           TimePoint now) {
  OwnClaim* claim = FindOwnClaim(world, row_key);
  if (claim != nullptr) {
    claim->m_busy = false;
    SetDue(world, row_key, *claim,
           now + world.m_claim_parameters.m_store_retry);
  }
}

void RunDueClaims(World& world, TimePoint now) {
  auto& due = world.m_claims.m_due;
  while (!due.empty() && due.begin()->first <= now) {
    const std::string row_key = due.begin()->second;
    due.erase(due.begin());
    OwnClaim* claim = FindOwnClaim(world, row_key);
    if (claim == nullptr || claim->m_busy) {
      continue;
    }
    if (claim->m_phase == OwnClaimPhase::kSettled) {
      EraseOwnClaim(world, row_key);
    } else if (claim->m_phase == OwnClaimPhase::kSettling) {
      SaveSettlement(world, row_key, *claim);
    } else if (!claim->m_version) {
      claim->m_busy = true;
      QueueClaimRead(world, row_key);
    }
  }
}

}  // namespace detail

void RunClaims(World& world, TimePoint now) {
  detail::HandleClaimStoreResults(world, now);
  detail::HandleClaimQueryResults(world, now);
  for (RequestId id : std::exchange(world.m_claims.m_pending_claims, {})) {
    RequestRow* row = world.m_requests.Find(id);
    if (row != nullptr && row->m_phase == RequestPhase::kClaiming) {
      BeginClaim(world, *row, now);
    }
  }
  detail::RunDueClaims(world, now);
  detail::RunClaimExpiry(world, now);
  detail::RunClaimCommands(world);
  detail::FlushClaimStore(world);
}

void StartClaim(World& world, const RequestRow& row) {
  world.m_claims.m_pending_claims.push_back(row.m_request.m_id);
}

std::optional<TimePoint> ClaimDispatchLimit(const World& world,
                                            const RequestRow& row) {
  if (!row.m_at_most_once || row.m_request.m_idempotency_key.empty()) {
    return std::nullopt;
  }
  const OwnClaim* claim = FindClaimOf(world, row);
  const bool held = claim != nullptr && claim->m_phase == OwnClaimPhase::kHeld;
  return held ? claim->m_dispatch_limit : TimePoint::min();
}

bool RecordOutcome(World& world,
                   const RequestRow& row,
                   AttemptEvent& event,
                   TimePoint /*now*/) {
  OwnClaim* claim = FindClaimOf(world, row);
  if (claim == nullptr || claim->m_phase != OwnClaimPhase::kHeld) {
    return false;
  }
  ClaimRecord& record = claim->m_record;
  const auto limit =
      static_cast<std::size_t>(world.m_claim_parameters.m_body_limit.value());
  record.m_state = ClaimState::kDone;
  record.m_status = event.m_status;
  record.m_content_type = std::move(event.m_content_type);
  record.m_body_kept = row.m_bytes_relayed == event.m_buffered_bytes &&
                       event.m_body.size() <= limit;
  if (record.m_body_kept) {
    record.m_body = std::move(event.m_body);
    const std::string text = FormatClaim(record);
    const std::optional<ClaimRecord> reread = ParseClaim(text);
    // JSON cannot store bytes that are not UTF-8; they would be replaced.
    record.m_body_kept = text.size() <= kMaxRowBytes && reread &&
                         reread->m_body == record.m_body;
  }
  if (!record.m_body_kept) {
    record.m_body.clear();
  }
  StartSettling(world, RowKeyOf(row.m_request), *claim);
  return true;
}

void SettleClaimOfEndedRequest(World& world,
                               const RequestRow& row,
                               TimePoint /*now*/) {
  world.m_claims.m_repeated_requests.erase(row.m_request.m_id);
  OwnClaim* claim = FindClaimOf(world, row);
  if (claim == nullptr) {
    return;
  }
  claim->m_request_ended = true;
  if (claim->m_phase == OwnClaimPhase::kInserting) {
    claim->m_withdraw = true;
    return;
  }
  if (claim->m_phase != OwnClaimPhase::kHeld) {
    return;
  }
  if (DeriveOutcome(row) == Outcome::kNotRun) {
    claim->m_withdraw = true;
  } else {
    claim->m_record.m_state = ClaimState::kUnknown;
  }
  StartSettling(world, RowKeyOf(row.m_request), *claim);
}

ClaimQueryStatus HandleClaimQuery(const World& world,
                                  const std::string& row_key,
                                  const std::string& token) {
  const ClaimTable& claims = world.m_claims;
  if (claims.m_process_name.empty() ||
      !token.starts_with(claims.m_process_name + "/")) {
    return ClaimQueryStatus::kForeignToken;
  }
  const auto found = claims.m_own.find(row_key);
  if (found == claims.m_own.end() || found->second.m_record.m_token != token) {
    return ClaimQueryStatus::kNotDispatched;
  }
  const OwnClaim& claim = found->second;
  if (claim.m_withdraw) {
    return ClaimQueryStatus::kNotDispatched;
  }
  return claim.m_phase == OwnClaimPhase::kSettled
             ? ClaimQueryStatus::kSettled
             : ClaimQueryStatus::kInProgress;
}

}  // namespace nutmeghollow
