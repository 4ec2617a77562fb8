#include "nutmeghollow/probing.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "libnutmeg/dissemination.h"
#include "libnutmeg/probe_assignment.h"
#include "libnutmeg/upstream_verdicts.h"

namespace nutmeghollow {
namespace {

constexpr Duration kAssignmentInterval = std::chrono::seconds(5);
constexpr Duration kAssignmentMinimum = std::chrono::milliseconds(500);
constexpr Duration kMergeInterval = std::chrono::seconds(1);
constexpr Duration kBudgetRetry = std::chrono::milliseconds(100);
/// A probe without a result after this many timeouts counts as failed.
constexpr int kLostProbeTimeouts = 3;
/// Weight of the newest probe in the moving average of probe sizes.
constexpr double kSizeWeight = 0.2;
/// Relative change of the load that is announced immediately.
constexpr double kAnnouncedChange = 0.1;

/// Reassigns probers when members or upstreams changed, and periodically.
void RefreshAssignment(World& world, TimePoint now) {
  ProbingState& probing = world.m_probing;
  const std::size_t count = world.m_upstreams.m_rows.size();
  const bool changed =
      probing.m_members_version != world.m_membership.m_version ||
      probing.m_revision != world.m_configuration.m_revision ||
      probing.m_upstream_count != count;
  if (now < probing.m_next_assignment &&
      (!changed || probing.m_next_assignment - now >
                       kAssignmentInterval - kAssignmentMinimum)) {
    return;
  }
  probing.m_next_assignment = now + kAssignmentInterval;
  probing.m_members_version = world.m_membership.m_version;
  probing.m_revision = world.m_configuration.m_revision;
  probing.m_upstream_count = count;
  std::erase_if(probing.m_health, [&](const auto& entry) {
    return world.m_upstreams.Find(entry.first) == nullptr;
  });
  detail::AssignProbers(world, now);
}

/// @return the next regular probe time. The probers of an upstream are half a
/// period apart as far as their wall clocks agree.
TimePoint NextRegularProbe(World& world,
                           const UpstreamId& id,
                           int slot,
                           TimePoint now) {
  const Duration period = world.m_probing.m_parameters.m_period;
  const auto span = static_cast<std::uint64_t>(period.count());
  const auto wall =
      static_cast<std::uint64_t>(world.m_hooks.m_wall_time().value() * 1000);
  const std::uint64_t offset =
      (HashName(id.str()).value() * 1000ULL +
       static_cast<std::uint64_t>(std::max(slot, 0)) * span / 2) %
      span;
  Duration wait(
      static_cast<std::int64_t>((offset + span - wall % span) % span));
  if (wait < period / 2) {
    wait += period;
  }
  return now + wait;
}

void ScheduleNext(World& world,
                  const UpstreamId& id,
                  UpstreamHealth& health,
                  TimePoint now) {
  const bool in_doubt = health.m_failures > 0 && !health.m_failing;
  const bool recovering = health.m_failing && health.m_successes > 0;
  if (in_doubt || recovering) {
    health.m_next_probe = now + world.m_probing.m_parameters.m_retry_period;
  } else {
    health.m_next_probe = NextRegularProbe(world, id, health.m_slot, now);
  }
}

/// Updates the counts of consecutive failures and successes.
void CountResult(const ProbingParameters& parameters,
                 UpstreamHealth& health,
                 bool ok,
                 TimePoint now) {
  if (ok) {
    health.m_failures = 0;
    health.m_traffic_failures = 0;
    ++health.m_successes;
    if (health.m_successes >= parameters.m_successes_to_pass) {
      health.m_failing = false;
    }
    return;
  }
  health.m_successes = 0;
  ++health.m_failures;
  if (health.m_failures >= parameters.m_failures_to_fail && !health.m_failing) {
    health.m_failing = true;
    health.m_failing_since = now;
  }
}

/// Stores this instance's verdict, and announces it when it changed, when the
/// load changed, or when the announcement period has passed.
void PublishVerdict(World& world,
                    const UpstreamId& id,
                    UpstreamHealth& health,
                    const ProbeResult& result,
                    TimePoint now) {
  ProbingState& probing = world.m_probing;
  if (health.m_slot < 0) {
    return;
  }
  ProbeVerdict verdict = ProbeVerdict::kOk;
  if (health.m_failing) {
    verdict = ProbeVerdict::kFailing;
  } else if (health.m_leaving) {
    verdict = ProbeVerdict::kLeaving;
  }
  if (verdict == ProbeVerdict::kFailing && probing.m_local_fault) {
    return;
  }
  if (!result.m_ok && !health.m_failing) {
    return;  // One failure does not change the verdict.
  }
  std::optional<StoredVerdict>& stored = health.m_verdicts[health.m_slot];
  const bool changed =
      !stored ? verdict != ProbeVerdict::kOk : stored->m_verdict != verdict;
  stored = StoredVerdict{
      .m_verdict = verdict, .m_taken_at = now, .m_report = result.m_report};
  if (result.m_report) {
    stored->m_taken_at = result.m_report->m_taken_at;
  }
  const int running = result.m_report ? result.m_report->m_running : 0;
  const double min_change =
      std::max(1.0, kAnnouncedChange * std::max(0, health.m_announced_running));
  const bool load_changed =
      std::abs(running - health.m_announced_running) >= min_change;
  const bool period_passed =
      now - health.m_announced_at >= detail::AnnouncePeriod(world);
  if (changed || load_changed || period_passed) {
    health.m_announced_running = running;
    health.m_announced_at = now;
    detail::AnnounceVerdict(world, {id, health.m_slot}, changed);
  }
}

void HandleResult(World& world, const ProbeResult& result, TimePoint now) {
  ProbingState& probing = world.m_probing;
  auto found = probing.m_health.find(result.m_upstream);
  if (found == probing.m_health.end()) {
    return;
  }
  UpstreamHealth& health = found->second;
  health.m_in_flight = false;
  ++probing.m_probes;
  probing.m_failed_probes += result.m_ok ? 0 : 1;
  CountResult(probing.m_parameters, health, result.m_ok, now);
  if (result.m_ok) {
    health.m_leaving = result.m_leaving;
  }
  if (result.m_ok && result.m_wire_bytes.value() > 0) {
    Bytes& expected = probing.m_parameters.m_expected_bytes;
    const std::int64_t surplus = result.m_wire_bytes.value() - expected.value();
    RecordControlBytes(world, ControlClass::kProbe, Bytes(0), Bytes(surplus),
                       now);
    expected = Bytes(
        expected.value() +
        static_cast<std::int64_t>(kSizeWeight * static_cast<double>(surplus)));
  }
  PublishVerdict(world, result.m_upstream, health, result, now);
  ScheduleNext(world, result.m_upstream, health, now);
  probing.m_next_due = std::min(probing.m_next_due, health.m_next_probe);
  probing.m_merge_needed = true;
}

/// Charges the bytes of a probe to the control budget. A probe that has waited
/// for m_budget_wait is sent and charged even when the budget is exhausted: the
/// number of probes is small and bounded by their period.
/// @return true when the probe may be sent.
bool TakeProbeBytes(World& world, UpstreamHealth& health, TimePoint now) {
  const ProbingParameters& parameters = world.m_probing.m_parameters;
  const Bytes size = parameters.m_expected_bytes;
  const bool waited = health.m_waiting_since &&
                      now - *health.m_waiting_since >= parameters.m_budget_wait;
  if (waited) {
    RecordControlBytes(world, ControlClass::kProbe, size, Bytes(0), now);
  } else if (!TakeControlBytes(world, ControlClass::kProbe, size, now)) {
    health.m_waiting_since = health.m_waiting_since.value_or(now);
    return false;
  }
  health.m_waiting_since.reset();
  return true;
}

/// Probes an upstream if due. @return when to check again.
TimePoint ProbeIfDue(World& world, const UpstreamId& id, TimePoint now) {
  ProbingState& probing = world.m_probing;
  UpstreamHealth& health = probing.m_health[id];
  const UpstreamRow* row = world.m_upstreams.Find(id);
  if (row == nullptr) {
    return TimePoint::max();
  }
  const Duration timeout = probing.m_parameters.m_timeout;
  if (health.m_in_flight) {
    const TimePoint lost_at = health.m_sent_at + kLostProbeTimeouts * timeout;
    if (now >= lost_at) {
      HandleResult(world, ProbeResult{.m_upstream = id}, now);
    }
    return std::max(now, lost_at);
  }
  if (now < health.m_next_probe) {
    return health.m_next_probe;
  }
  if (!TakeProbeBytes(world, health, now)) {
    health.m_next_probe = now + kBudgetRetry;
    return health.m_next_probe;
  }
  health.m_in_flight = true;
  health.m_sent_at = now;
  world.m_actions.emplace_back(ProbeUpstream{
      .m_upstream = id, .m_endpoint = row->m_endpoint, .m_timeout = timeout});
  return now + kLostProbeTimeouts * timeout;
}

void SendDueProbes(World& world, TimePoint now) {
  ProbingState& probing = world.m_probing;
  if (now < probing.m_next_due || now < probing.m_send_after) {
    return;
  }
  probing.m_next_due = TimePoint::max();
  const std::vector<UpstreamId> assigned = probing.m_assigned;
  TimePoint next = now + kAssignmentInterval;
  for (const UpstreamId& id : assigned) {
    next = std::min(next, ProbeIfDue(world, id, now));
  }
  probing.m_next_due = std::min(probing.m_next_due, next);
}

}  // namespace

void RunProbing(World& world, TimePoint now) {
  ProbingState& probing = world.m_probing;
  if (world.m_instances.m_self.empty()) {
    return;
  }
  RefreshAssignment(world, now);
  const ProbingInbox inbox = std::exchange(world.m_probing_inbox, {});
  for (const ProbeResult& result : inbox.m_results) {
    HandleResult(world, result, now);
  }
  SendDueProbes(world, now);
  if (probing.m_merge_needed || now >= probing.m_next_merge) {
    probing.m_merge_needed = false;
    probing.m_next_merge = now + kMergeInterval;
    detail::MergeVerdicts(world, now);
  }
}

void NoteTrafficEvidence(World& world,
                         const UpstreamId& upstream,
                         bool ok,
                         TimePoint now) {
  ProbingState& probing = world.m_probing;
  auto found = probing.m_health.find(upstream);
  if (found == probing.m_health.end()) {
    if (ok || world.m_upstreams.Find(upstream) == nullptr) {
      return;
    }
    found = probing.m_health.try_emplace(upstream).first;
  }
  UpstreamHealth& health = found->second;
  if (ok) {
    health.m_traffic_failures = 0;
    return;
  }
  if (++health.m_traffic_failures != probing.m_parameters.m_traffic_failures) {
    return;
  }
  // A probe by this instance distinguishes a failing upstream from failing
  // requests.
  if (std::find(probing.m_assigned.begin(), probing.m_assigned.end(),
                upstream) == probing.m_assigned.end()) {
    probing.m_assigned.push_back(upstream);
  }
  health.m_next_probe = now;
  probing.m_next_due = now;
  probing.m_merge_needed = true;
}

}  // namespace nutmeghollow
