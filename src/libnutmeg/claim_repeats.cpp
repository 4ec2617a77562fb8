// Requests whose key is claimed already: replay, conflict, or a query to the
// claimer and the service.
#include <algorithm>
#include <utility>

#include "claim_internals.h"
#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow::detail {
namespace {

/// @return the time until no process can dispatch a claim's request any more;
/// zero once that time has passed.
Duration TimeUntilTakeover(const World& world, const ClaimRecord& record) {
  using std::chrono::milliseconds;
  const WallTime wall = world.m_hooks.m_wall_time();
  const Duration left =
      milliseconds(record.m_dispatch_until.value() - wall.value()) +
      world.m_claim_parameters.m_takeover_margin;
  return std::max(left, Duration::zero());
}

void EndInProgress(World& world,
                   RequestRow& row,
                   Duration retry_after,
                   TimePoint now) {
  row.m_earlier_outcome = Outcome::kUnknown;
  EndRefused(world, row, Refusal::kKeyInProgress, retry_after, now);
}

void EndUnknown(World& world, RequestRow& row, TimePoint now) {
  row.m_earlier_outcome = Outcome::kUnknown;
  EndRefused(world, row, Refusal::kKeyOutcomeUnknown, Duration::zero(), now);
}

void Replay(World& world,
            RequestRow& row,
            const ClaimRecord& record,
            TimePoint now) {
  if (record.m_body_kept) {
    EndReplayed(world, row, record.m_status, record.m_content_type,
                record.m_body, now);
    return;
  }
  row.m_earlier_outcome = Outcome::kCompleted;
  EndRefused(world, row, Refusal::kAnswerNotKept, Duration::zero(), now);
}

/// @return the path with "{key}" replaced by the escaped key.
std::string StatusPath(const std::string& pattern, const IdempotencyKey& key) {
  constexpr std::string_view kPlaceholder = "{key}";
  const auto position = pattern.find(kPlaceholder);
  if (position == std::string::npos) {
    return pattern;
  }
  // The last part of a row key is the escaped idempotency key.
  const std::string row_key = ClaimRowKey(CustomerId(), ServiceId(), key);
  std::string path = pattern;
  return path.replace(position, kPlaceholder.size(),
                      row_key.substr(row_key.rfind('/') + 1));
}

const UpstreamRow* ChooseStatusUpstream(const World& world,
                                        const ServiceRow& service) {
  const UpstreamRow* chosen = nullptr;
  for (const UpstreamId& id : service.m_upstreams) {
    const UpstreamRow* upstream = world.m_upstreams.Find(id);
    if (upstream == nullptr) {
      continue;
    }
    if (chosen == nullptr || upstream->m_status < chosen->m_status) {
      chosen = upstream;
    }
  }
  return chosen;
}

/// Queries the service for the state of the key. Ends the request when the
/// service has no status path or no upstream.
void SendKeyStatusQuery(World& world, RequestRow& row, TimePoint now) {
  const auto service = world.m_services.find(row.m_request.m_service);
  if (service == world.m_services.end() ||
      service->second.m_status_path.empty()) {
    EndUnknown(world, row, now);
    return;
  }
  const UpstreamRow* server = ChooseStatusUpstream(world, service->second);
  if (server == nullptr) {
    EndInProgress(world, row, Duration::zero(), now);
    return;
  }
  world.m_claims.m_repeated_requests.at(row.m_request.m_id).m_phase =
      RepeatPhase::kQueryingService;
  world.m_actions.emplace_back(
      QueryKeyStatus{row.m_request.m_id, server->m_id, server->m_endpoint,
                     StatusPath(service->second.m_status_path,
                                row.m_request.m_idempotency_key)});
}

/// Handles a claim whose claimer is unreachable or no longer knows it.
void HandleUnreachableClaimer(World& world,
                              RequestRow& row,
                              const RepeatedRequest& repeat,
                              TimePoint now) {
  const Duration left = TimeUntilTakeover(world, repeat.m_record);
  if (left > Duration::zero()) {
    EndInProgress(world, row, left, now);
    return;
  }
  SendKeyStatusQuery(world, row, now);
}

void HandleClaimStatus(World& world,
                       RequestRow& row,
                       const RepeatedRequest& repeat,
                       ClaimQueryStatus status,
                       TimePoint now) {
  switch (status) {
    case ClaimQueryStatus::kNotDispatched:
      world.m_claims.m_repeated_requests.erase(row.m_request.m_id);
      InsertClaim(world, row, repeat.m_row_key, repeat.m_version, now);
      break;
    case ClaimQueryStatus::kSettled:
      // The insert conflicts, and the conflict returns the settled row.
      world.m_claims.m_repeated_requests.erase(row.m_request.m_id);
      InsertClaim(world, row, repeat.m_row_key, RowVersion(), now);
      break;
    case ClaimQueryStatus::kInProgress:
      EndInProgress(world, row, Duration::zero(), now);
      break;
    case ClaimQueryStatus::kForeignToken:
    case ClaimQueryStatus::kUnreachable:
      HandleUnreachableClaimer(world, row, repeat, now);
      break;
  }
}

void SendClaimQuery(World& world,
                    RequestRow& row,
                    const RepeatedRequest& repeat,
                    TimePoint now) {
  const ClaimRecord& found = repeat.m_record;
  if (found.m_claimer == world.m_instances.m_self) {
    HandleClaimStatus(world, row, repeat,
                      HandleClaimQuery(world, repeat.m_row_key, found.m_token),
                      now);
    return;
  }
  const InstanceRow* claimer = world.m_instances.Find(found.m_claimer);
  if (claimer == nullptr || claimer->m_status == InstanceStatus::kDead) {
    HandleUnreachableClaimer(world, row, repeat, now);
    return;
  }
  world.m_actions.emplace_back(QueryClaimer{row.m_request.m_id, found.m_claimer,
                                            repeat.m_row_key, found.m_token});
}

/// Stores the outcome that a service reported for a key.
void RecordServiceOutcome(World& world,
                          const RepeatedRequest& repeat,
                          const KeyStatusResult& result) {
  ClaimRecord record = repeat.m_record;
  record.m_state = ClaimState::kDone;
  record.m_status = result.m_status;
  record.m_content_type = result.m_content_type;
  record.m_body = result.m_body;
  record.m_body_kept =
      result.m_body.size() <=
      static_cast<std::size_t>(world.m_claim_parameters.m_body_limit.value());
  if (!record.m_body_kept) {
    record.m_body.clear();
  }
  // The result is ignored: after a failure the next repeated request queries
  // the service again.
  QueueClaimWrite(world,
                  {repeat.m_row_key, repeat.m_version, FormatClaim(record)});
}

void HandleKeyStatus(World& world,
                     RequestRow& row,
                     const RepeatedRequest& repeat,
                     const KeyStatusResult& result,
                     TimePoint now) {
  const Duration left = TimeUntilTakeover(world, repeat.m_record);
  switch (result.m_state) {
    case ServiceKeyState::kDone:
      RecordServiceOutcome(world, repeat, result);
      EndReplayed(world, row, result.m_status, result.m_content_type,
                  result.m_body, now);
      break;
    case ServiceKeyState::kNever:
      if (left > Duration::zero()) {
        EndInProgress(world, row, left, now);
        break;
      }
      world.m_claims.m_repeated_requests.erase(row.m_request.m_id);
      InsertClaim(world, row, repeat.m_row_key, repeat.m_version, now);
      break;
    case ServiceKeyState::kRunning:
    case ServiceKeyState::kUnreachable:
      EndInProgress(world, row, Duration::zero(), now);
      break;
  }
}

/// @return the row of a repeated request that is in the given phase and still
/// waits, or null.
/// @param repeat set to the state of the repeated request.
RequestRow* FindWaitingRepeat(World& world,
                              RequestId id,
                              RepeatPhase phase,
                              RepeatedRequest& repeat) {
  const auto found = world.m_claims.m_repeated_requests.find(id);
  if (found == world.m_claims.m_repeated_requests.end() ||
      found->second.m_phase != phase) {
    return nullptr;
  }
  repeat = found->second;
  RequestRow* row = world.m_requests.Find(id);
  const bool waits = row != nullptr && row->m_phase == RequestPhase::kClaiming;
  return waits ? row : nullptr;
}

}  // namespace

void HandleFoundClaim(World& world,
                      RequestRow& row,
                      const std::string& row_key,
                      const ClaimRecord& found,
                      RowVersion version,
                      TimePoint now) {
  if (found.m_digest != row.m_request.m_digest) {
    EndRefused(world, row, Refusal::kKeyReused, Duration::zero(), now);
    return;
  }
  if (found.m_state == ClaimState::kDone) {
    Replay(world, row, found, now);
    return;
  }
  row.m_earlier_outcome = Outcome::kUnknown;
  const RepeatedRequest repeat{RepeatPhase::kQueryingClaimer, row_key, found,
                               version};
  world.m_claims.m_repeated_requests[row.m_request.m_id] = repeat;
  if (found.m_state == ClaimState::kUnknown) {
    SendKeyStatusQuery(world, row, now);
  } else {
    SendClaimQuery(world, row, repeat, now);
  }
}

void HandleClaimQueryResults(World& world, TimePoint now) {
  RepeatedRequest repeat;
  for (const ClaimQueryResult& result :
       std::exchange(world.m_claim_inbox.m_claimers, {})) {
    RequestRow* row = FindWaitingRepeat(world, result.m_request,
                                        RepeatPhase::kQueryingClaimer, repeat);
    if (row != nullptr) {
      HandleClaimStatus(world, *row, repeat, result.m_status, now);
    }
  }
  for (const KeyStatusResult& result :
       std::exchange(world.m_claim_inbox.m_services, {})) {
    RequestRow* row = FindWaitingRepeat(world, result.m_request,
                                        RepeatPhase::kQueryingService, repeat);
    if (row != nullptr) {
      HandleKeyStatus(world, *row, repeat, result, now);
    }
  }
}

}  // namespace nutmeghollow::detail
