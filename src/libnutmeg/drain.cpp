#include "nutmeghollow/drain.h"

#include <vector>

#include "nutmeghollow/world.h"
#include "request_endings.h"

namespace nutmeghollow {
namespace {

constexpr int kCutExitCode = 1;
/// The last answers leave the process in this time.
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

/// Ends what still runs, so that each caller sees it. @return how many.
int CutRequests(World& world, TimePoint now) {
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
  const int cut = CutRequests(world, now);
  world.m_actions.emplace_back(ExitProcess{cut == 0 ? 0 : kCutExitCode, cut});
  world.m_drain.m_exited = true;
}

/// @return true when every answer is given and every outcome is stored, or
/// the store did not take them in time.
bool IsFinished(World& world, TimePoint now) {
  DrainState& drain = world.m_drain;
  if (world.m_requests.size() > 0) {
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
  const bool kept = elapsed >= world.m_drain_parameters.m_keep;
  if (IsFinished(world, now) && kept) {
    Exit(world, now);
  }
}

}  // namespace nutmeghollow
