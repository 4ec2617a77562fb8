#include "nutmeghollow/drain.h"

#include <vector>

#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow {
namespace {

constexpr int kAbortedExitCode = 1;
/// Time for the last responses to be flushed to the callers.
constexpr Duration kFlushTime = std::chrono::milliseconds(500);

void AnnounceLeaving(World& world, TimePoint now) {
  const auto self = world.m_instances.m_rows.find(world.m_instances.m_self);
  if (self == world.m_instances.m_rows.end() ||
      self->second.m_status == InstanceStatus::kLeaving) {
    return;
  }
  self->second.m_status = InstanceStatus::kLeaving;
  self->second.m_status_since = now;
}

/// Refuses every request that is still open, so that each caller gets a
/// response or a closed connection. @return number of requests aborted.
int AbortRequests(World& world, TimePoint now) {
  std::vector<RequestId> ids;
  for (const auto& [id, row] : world.m_requests.Rows()) {
    ids.push_back(id);
  }
  for (RequestId id : ids) {
    RequestRow& row = *world.m_requests.Find(id);
    detail::EndRefused(world, row, Refusal::kDraining, Duration::zero(), now);
    world.m_requests.Remove(id);
  }
  return static_cast<int>(ids.size());
}

void Exit(World& world, TimePoint now) {
  const int aborted = AbortRequests(world, now);
  world.m_actions.emplace_back(
      ExitProcess{aborted == 0 ? 0 : kAbortedExitCode, aborted});
  world.m_drain.m_exited = true;
}

/// @return true when every response has been sent and every outcome has been
/// recorded, or the store did not accept them within the record limit.
bool IsFinished(World& world, TimePoint now) {
  DrainState& drain = world.m_drain;
  const auto& open_responses = world.m_hooks.m_open_responses;
  if (world.m_requests.size() > 0 || (open_responses && open_responses() > 0)) {
    drain.m_idle_since.reset();
    return false;
  }
  if (!drain.m_idle_since) {
    drain.m_idle_since = now;
  }
  const Duration idle = now - *drain.m_idle_since;
  if (world.m_claims.m_unsettled > 0) {
    return idle >= world.m_drain_parameters.m_record_limit;
  }
  return idle >= kFlushTime;
}

}  // namespace

void RunDrain(World& world, TimePoint now) {
  DrainState& drain = world.m_drain;
  if (!world.m_draining || drain.m_exited) {
    return;
  }
  if (!drain.m_started_at) {
    drain.m_started_at = now;
  }
  AnnounceLeaving(world, now);
  const Duration elapsed = now - *drain.m_started_at;
  if (drain.m_stop_now || elapsed >= world.m_drain_parameters.m_limit) {
    Exit(world, now);
    return;
  }
  const bool keep_time_passed = elapsed >= world.m_drain_parameters.m_keep;
  if (IsFinished(world, now) && keep_time_passed) {
    Exit(world, now);
  }
}

}  // namespace nutmeghollow
