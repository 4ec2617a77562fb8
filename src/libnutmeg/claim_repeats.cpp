// Requests whose key is claimed already: replay, conflict, or a question to
// the claimer and the service.
#include <algorithm>
#include <utility>

#include "claim_internals.h"
#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow::detail {
namespace {

/// @return the time from now until nobody can still dispatch a claim's
/// request; zero once that has passed.
Duration UntilClosed(const World& world, const ClaimRecord& record) {
  using std::chrono::milliseconds;
  const WallTime wall = world.m_hooks.m_wall_time();
  const Duration left =
      milliseconds(record.m_dispatch_until.value() - wall.value()) +
      world.m_claim_parameters.m_taker_margin;
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
  EndRefused(world, row, Refusal::kKeyUnknown, Duration::zero(), now);
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

/// @return the path with "{key}" replaced.
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

const UpstreamRow* PickServer(const World& world, const ServiceRow& service) {
  const UpstreamRow* picked = nullptr;
  for (const UpstreamId& id : service.m_upstreams) {
    const UpstreamRow* upstream = world.m_upstreams.Find(id);
    if (upstream == nullptr) {
      continue;
    }
    if (picked == nullptr || upstream->m_status < picked->m_status) {
      picked = upstream;
    }
  }
  return picked;
}

/// Asks the service what became of the key, or gives up.
void AskTheService(World& world, RequestRow& row, TimePoint now) {
  const auto service = world.m_services.find(row.m_request.m_service);
  if (service == world.m_services.end() ||
      service->second.m_status_path.empty()) {
    EndUnknown(world, row, now);
    return;
  }
  const UpstreamRow* server = PickServer(world, service->second);
  if (server == nullptr) {
    EndInProgress(world, row, Duration::zero(), now);
    return;
  }
  world.m_claims.m_repeats.at(row.m_request.m_id).m_phase =
      RepeatPhase::kAsksService;
  world.m_actions.emplace_back(
      QueryKeyStatus{row.m_request.m_id, server->m_id, server->m_endpoint,
                     StatusPath(service->second.m_status_path,
                                row.m_request.m_idempotency_key)});
}

/// The claimer does not answer for its claim any more.
void HandleLostClaimer(World& world,
                       RequestRow& row,
                       const ClaimRepeat& repeat,
                       TimePoint now) {
  const Duration left = UntilClosed(world, repeat.m_found);
  if (left > Duration::zero()) {
    EndInProgress(world, row, left, now);
    return;
  }
  AskTheService(world, row, now);
}

void HandleClaimer(World& world,
                   RequestRow& row,
                   const ClaimRepeat& repeat,
                   ClaimerAnswer answer,
                   TimePoint now) {
  switch (answer) {
    case ClaimerAnswer::kGaveUp:
      world.m_claims.m_repeats.erase(row.m_request.m_id);
      InsertClaim(world, row, repeat.m_row_key, repeat.m_version, now);
      break;
    case ClaimerAnswer::kSettled:
      // The insert conflicts and brings the settled row.
      world.m_claims.m_repeats.erase(row.m_request.m_id);
      InsertClaim(world, row, repeat.m_row_key, RowVersion(), now);
      break;
    case ClaimerAnswer::kInProgress:
      EndInProgress(world, row, Duration::zero(), now);
      break;
    case ClaimerAnswer::kNotMine:
    case ClaimerAnswer::kUnreachable:
      HandleLostClaimer(world, row, repeat, now);
      break;
  }
}

void AskTheClaimer(World& world,
                   RequestRow& row,
                   const ClaimRepeat& repeat,
                   TimePoint now) {
  const ClaimRecord& found = repeat.m_found;
  if (found.m_claimer == world.m_instances.m_self) {
    HandleClaimer(world, row, repeat,
                  AnswerClaimQuestion(world, repeat.m_row_key, found.m_token),
                  now);
    return;
  }
  const InstanceRow* claimer = world.m_instances.Find(found.m_claimer);
  if (claimer == nullptr || claimer->m_status == InstanceStatus::kDead) {
    HandleLostClaimer(world, row, repeat, now);
    return;
  }
  world.m_actions.emplace_back(QueryClaimer{row.m_request.m_id, found.m_claimer,
                                            repeat.m_row_key, found.m_token});
}

/// Stores what a service said about a key.
void RecordFound(World& world,
                 const ClaimRepeat& repeat,
                 const ServiceAnswer& answer) {
  ClaimRecord record = repeat.m_found;
  record.m_state = ClaimState::kDone;
  record.m_status = answer.m_status;
  record.m_content_type = answer.m_content_type;
  record.m_body = answer.m_body;
  record.m_body_kept =
      answer.m_body.size() <=
      static_cast<std::size_t>(world.m_claim_parameters.m_body_limit.value());
  if (!record.m_body_kept) {
    record.m_body.clear();
  }
  // A failure is no loss: the next repeat asks again.
  QueueClaimWrite(world,
                  {repeat.m_row_key, repeat.m_version, FormatClaim(record)});
}

void HandleService(World& world,
                   RequestRow& row,
                   const ClaimRepeat& repeat,
                   const ServiceAnswer& answer,
                   TimePoint now) {
  const Duration left = UntilClosed(world, repeat.m_found);
  switch (answer.m_state) {
    case ServiceKeyState::kDone:
      RecordFound(world, repeat, answer);
      EndReplayed(world, row, answer.m_status, answer.m_content_type,
                  answer.m_body, now);
      break;
    case ServiceKeyState::kNever:
      if (left > Duration::zero()) {
        EndInProgress(world, row, left, now);
        break;
      }
      world.m_claims.m_repeats.erase(row.m_request.m_id);
      InsertClaim(world, row, repeat.m_row_key, repeat.m_version, now);
      break;
    case ServiceKeyState::kRunning:
    case ServiceKeyState::kUnreachable:
      EndInProgress(world, row, Duration::zero(), now);
      break;
  }
}

/// @return the repeat of a request that still waits, and its row.
RequestRow* WaitingRepeat(World& world,
                          RequestId id,
                          RepeatPhase phase,
                          ClaimRepeat& repeat) {
  const auto found = world.m_claims.m_repeats.find(id);
  if (found == world.m_claims.m_repeats.end() ||
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
  const ClaimRepeat repeat{RepeatPhase::kAsksClaimer, row_key, found, version};
  world.m_claims.m_repeats[row.m_request.m_id] = repeat;
  if (found.m_state == ClaimState::kUnknown) {
    AskTheService(world, row, now);
  } else {
    AskTheClaimer(world, row, repeat, now);
  }
}

void RunRepeats(World& world, TimePoint now) {
  ClaimRepeat repeat;
  for (const ClaimAnswer& answer :
       std::exchange(world.m_claim_inbox.m_claimers, {})) {
    RequestRow* row = WaitingRepeat(world, answer.m_request,
                                    RepeatPhase::kAsksClaimer, repeat);
    if (row != nullptr) {
      HandleClaimer(world, *row, repeat, answer.m_answer, now);
    }
  }
  for (const ServiceAnswer& answer :
       std::exchange(world.m_claim_inbox.m_services, {})) {
    RequestRow* row = WaitingRepeat(world, answer.m_request,
                                    RepeatPhase::kAsksService, repeat);
    if (row != nullptr) {
      HandleService(world, *row, repeat, answer, now);
    }
  }
}

}  // namespace nutmeghollow::detail
