#include "nutmeghollow/upstream_pool.h"

#include <algorithm>
#include <string>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

/// Prompt parts recorded per engine. The least recently used are evicted first.
constexpr std::size_t kMaxParts = 512;
/// Placements not yet reported. More than this accumulate between two digests
/// only when a digest is late; the oldest ones are dropped first.
constexpr std::size_t kMaxPendingPlacements = 64;
/// Consecutive failures after which the backoff no longer doubles.
constexpr int kMaxDoublings = 5;

/// Requests admitted relative to the permits received lately.
constexpr double kPermitGrowth = 1.25;
/// Requests per second that are admitted without any permit received.
constexpr double kMinPermitRate = 0.5;

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace

PartId ChatPart(const std::vector<PromptPart>& prompt) {
  return prompt[prompt.size() >= 2 ? prompt.size() - 2 : 0].m_id;
}

OriginHash OriginOf(const RegisteredUpstream& upstream) {
  const std::string software =
      upstream.m_version.empty() ? "process " + upstream.m_id.str() + " " +
                                       std::to_string(upstream.m_start_time_ms)
                                 : "version " + upstream.m_version.str();
  return OriginHash(
      HashPair(HashText(upstream.m_service.str()), HashText(software)));
}

bool IsPathFailure(AttemptHealth health) {
  return health == AttemptHealth::kUnreachable ||
         health == AttemptHealth::kBroken || health == AttemptHealth::kTimedOut;
}

const char* AttemptHealthName(AttemptHealth health) {
  switch (health) {
    case AttemptHealth::kServed:
      return "served";
    case AttemptHealth::kFailed:
      return "own error";
    case AttemptHealth::kRefused:
      return "not run";
    case AttemptHealth::kUnreachable:
      return "unreachable";
    case AttemptHealth::kBroken:
      return "broken";
    case AttemptHealth::kTimedOut:
      return "silent";
    case AttemptHealth::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

UpstreamPool::UpstreamPool(UpstreamPoolParameters parameters)
    : m_parameters(parameters) {}

void UpstreamPool::Put(const RegisteredUpstream& registration, TimePoint now) {
  Upstream& row = m_upstreams[registration.m_id];
  const RegisteredUpstream& old = row.m_registration;
  const bool same = old.m_id == registration.m_id &&
                    old.m_start_time_ms == registration.m_start_time_ms &&
                    old.m_endpoint == registration.m_endpoint;
  if (!same) {
    const int active = row.m_active;
    row = Upstream();
    row.m_active = active;  // Attempts at the old process still end.
  }
  row.m_registration = registration;
  row.m_hash = HashOf(registration.m_id);
  row.m_origin = OriginOf(registration);
  m_ids[row.m_hash] = registration.m_id;
  const auto policy = m_cold_policies.find(registration.m_service);
  const Duration unstated = !same && policy != m_cold_policies.end()
                                ? policy->second.m_duration
                                : Duration::zero();
  row.m_cold_until =
      std::max(row.m_cold_until, now + registration.m_cold.value_or(unstated));
  ApplyColdPolicy(row, now);
  const UpstreamProcess process{row.m_hash, registration.m_start_time_ms};
  if (registration.m_draining) {
    m_leaving.Add(process, false, now);
  }
  row.m_leaving = m_leaving.Contains(process);
}

void UpstreamPool::Remove(const UpstreamId& id) {
  m_ids.erase(HashOf(id));
  m_upstreams.erase(id);
}

std::vector<UpstreamId> UpstreamPool::Ids() const {
  std::vector<UpstreamId> ids;
  for (const auto& [id, row] : m_upstreams) {
    ids.push_back(id);
  }
  return ids;
}

const RegisteredUpstream* UpstreamPool::Find(const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second.m_registration;
}

UpstreamPool::Upstream* UpstreamPool::FindRow(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

std::vector<RegisteredUpstream> UpstreamPool::Accepting(TimePoint now) const {
  std::vector<RegisteredUpstream> accepting;
  for (const auto& [id, row] : m_upstreams) {
    if (!IsOutOfUse(row) && row.m_refused_until <= now) {
      accepting.push_back(row.m_registration);
    }
  }
  return accepting;
}

bool UpstreamPool::IsReplaced(const UpstreamId& id,
                              std::int64_t start_time_ms) const {
  const RegisteredUpstream* registration = Find(id);
  return registration != nullptr &&
         registration->m_start_time_ms != start_time_ms;
}

ServiceId UpstreamPool::ServiceOf(OriginHash origin) const {
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_origin == origin) {
      return row.m_registration.m_service;
    }
  }
  return ServiceId();
}

bool UpstreamPool::MaySend(const UpstreamChoice& choice) const {
  const auto found = m_upstreams.find(choice.m_id);
  if (found == m_upstreams.end()) {
    return true;
  }
  const UpstreamProcess process = ProcessOf(found->second);
  return (choice.m_limited || !m_tables.m_limits.IsLimited(process)) &&
         (choice.m_leased || !m_tables.m_refusal_limits.IsLimited(process));
}

std::optional<double> UpstreamPool::PermitRate(const ServiceId& service,
                                               bool leases,
                                               TimePoint now) const {
  double rate = 0;
  bool limited = false;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_registration.m_service != service || IsOutOfUse(row)) {
      continue;
    }
    const UpstreamProcess process = ProcessOf(row);
    if (m_tables.m_limits.IsLimited(process)) {
      rate += m_tables.m_limits.ReceivedRate(process, now);
    } else if (leases && m_tables.m_refusal_limits.IsLimited(process)) {
      rate += m_tables.m_refusal_limits.ReceivedRate(process, now);
    } else {
      return std::nullopt;
    }
    limited = true;
  }
  return limited ? std::optional(rate) : std::nullopt;
}

bool UpstreamPool::AdmitRequest(const UpstreamQuery& upstream_query,
                                TimePoint now) {
  if (!m_tables.m_limits.AnyLimited()) {
    return true;
  }
  ++m_choice_count;
  PriorityDemand& demand = m_demand[upstream_query.m_service];
  demand.Note(upstream_query.m_priority, now);
  const std::optional<double> rate =
      PermitRate(upstream_query.m_service, false, now);
  const auto refused = m_next_return.find(upstream_query.m_service);
  const bool too_few = rate && refused != m_next_return.end() &&
                       now - refused->second < m_parameters.m_max_permit_wait;
  if (!too_few) {
    return true;
  }
  // More than was received, since an instance that requests fewer gets fewer.
  const double capacity = kPermitGrowth * *rate + kMinPermitRate;
  return RendezvousScore(m_seed, m_choice_count, 1.0) <
         demand.ServedShare(upstream_query.m_priority, capacity, now);
}

std::optional<Duration> UpstreamPool::PermitWait(const ServiceId& service,
                                                 TimePoint now) {
  const std::optional<double> rate = PermitRate(service, true, now);
  if (!rate) {
    return std::nullopt;
  }
  // A lease becomes free whenever a request ends.
  const Duration longest = PermitRate(service, false, now)
                               ? m_parameters.m_max_permit_wait
                               : m_parameters.m_max_lease_wait;
  const Duration step =
      *rate <= 0
          ? longest
          : std::min(Duration(static_cast<std::int64_t>(1e6 / *rate)), longest);
  TimePoint& next = m_next_return[service];
  next = std::max(next, now) + step;
  if (next - now > m_parameters.m_max_permit_wait) {
    next = now + step;
  }
  return next - now;
}

std::optional<Duration> UpstreamPool::RefusedFor(const ServiceId& service,
                                                 TimePoint now) const {
  std::optional<Duration> least;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_registration.m_service != service || IsOutOfUse(row)) {
      continue;
    }
    if (row.m_refused_until <= now) {
      return std::nullopt;
    }
    const Duration left = row.m_refused_until - now;
    least = std::min(least.value_or(left), left);
  }
  return least;
}

void UpstreamPool::RecordPart(Upstream& upstream, PartId part, TimePoint now) {
  upstream.m_parts[part] = now;
  if (upstream.m_parts.size() > kMaxParts) {
    upstream.m_parts.erase(std::min_element(
        upstream.m_parts.begin(), upstream.m_parts.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

void UpstreamPool::NoteSent(const UpstreamId& id,
                            const std::vector<PromptPart>* prompt,
                            TimePoint now) {
  Upstream* row = FindRow(id);
  if (row == nullptr) {
    return;
  }
  ++row->m_active;
  if (m_tables.m_limits.IsLimited(ProcessOf(*row))) {
    m_tables.m_limits.TakePermit(ProcessOf(*row), now);
  }
  m_tables.m_refusal_limits.TakePermit(ProcessOf(*row), now);
  row->m_refusal_tried |= now < row->m_refused_until;
  if (prompt != nullptr && !prompt->empty()) {
    row->m_pending_prefill += UnreadTokens(*row, *prompt, false, now);
    for (std::size_t index = 0; index + 1 < prompt->size(); ++index) {
      RecordPart(*row, (*prompt)[index].m_id, now);
    }
    if (m_placements.size() >= kMaxPendingPlacements) {
      m_placements.erase(m_placements.begin());
    }
    m_placements.push_back({ChatPart(*prompt), row->m_hash});
    m_hot.Note(ChatPart(*prompt), now);
  }
}

void UpstreamPool::NoteFirstResponse(const UpstreamId& id,
                                     const std::vector<PromptPart>* prompt) {
  Upstream* row = FindRow(id);
  if (row == nullptr || prompt == nullptr) {
    return;
  }
  // Engines process prompts in order, so the prompts sent before this one have
  // been processed too. The estimate of pending tokens is halved.
  row->m_pending_prefill = std::max(0.0, row->m_pending_prefill / 2.0);
  if (row->m_active <= 1) {
    row->m_pending_prefill = 0;
  }
}

void UpstreamPool::NoteEnd(const UpstreamId& id,
                           AttemptHealth health,
                           Duration duration,
                           const std::vector<PromptPart>* prompt,
                           bool response_started,
                           TimePoint now) {
  Upstream* row = FindRow(id);
  if (row == nullptr) {
    return;
  }
  row->m_active = std::max(0, row->m_active - 1);
  EndLease(*row, health, now);
  if (prompt != nullptr && !response_started) {
    NoteFirstResponse(id, prompt);
  }
  const double weight = m_parameters.m_average_weight;
  switch (health) {
    case AttemptHealth::kServed:
      row->m_failures = 0;
      row->m_backoff_until = TimePoint();
      row->m_refused_until = TimePoint();
      row->m_failure_rate *= 1.0 - weight;
      if (duration > Duration::zero()) {
        row->m_mean_response_ms =
            row->m_mean_response_ms == 0
                ? Milliseconds(duration)
                : row->m_mean_response_ms * (1.0 - weight) +
                      Milliseconds(duration) * weight;
      }
      return;
    case AttemptHealth::kFailed:
      row->m_failures = 0;
      row->m_failure_rate += weight * (1.0 - row->m_failure_rate);
      return;
    case AttemptHealth::kRefused:
    case AttemptHealth::kAbandoned:
      return;
    case AttemptHealth::kUnreachable:
    case AttemptHealth::kBroken:
    case AttemptHealth::kTimedOut:
      break;
  }
  row->m_failure_rate += weight * (1.0 - row->m_failure_rate);
  const int doublings = std::min(row->m_failures, kMaxDoublings);
  ++row->m_failures;
  row->m_backoff_until =
      now + std::min(m_parameters.m_min_backoff * (1 << doublings),
                     m_parameters.m_max_backoff);
  if (health == AttemptHealth::kUnreachable) {
    row->m_parts.clear();  // Its cache is likely lost.
  }
}

void UpstreamPool::ForgetFailures() {
  for (auto& [id, row] : m_upstreams) {
    row.m_failures = 0;
    row.m_backoff_until = TimePoint();
    row.m_failure_rate = 0;
  }
}

void UpstreamPool::NoteLoad(const UpstreamId& id,
                            const LoadReport& load,
                            TimePoint now) {
  Upstream* row = FindRow(id);
  if (row == nullptr) {
    return;
  }
  row->m_report = load;
  row->m_report_at = now;
  row->m_active_at_report = row->m_active;
}

void UpstreamPool::NoteRefusal(const UpstreamId& id,
                               std::int64_t start_time_ms,
                               Duration wait,
                               TimePoint now) {
  Upstream* row = FindRow(id);
  if (row == nullptr || row->m_registration.m_start_time_ms != start_time_ms) {
    return;
  }
  row->m_refused_at = now;
  row->m_refused_until = now + std::min(wait, m_parameters.m_max_refusal);
  row->m_refusal_tried = false;
}

void UpstreamPool::NoteReplaced(const UpstreamId& id, TimePoint now) {
  Upstream* row = FindRow(id);
  if (row != nullptr) {
    row->m_failures = kMaxDoublings;
    row->m_backoff_until = now + m_parameters.m_max_backoff;
  }
}

int UpstreamPool::Active(const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? 0 : found->second.m_active;
}

std::vector<ActiveRequests> UpstreamPool::ActiveByUpstream() const {
  std::vector<ActiveRequests> active;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_active > 0) {
      active.push_back({row.m_hash, row.m_active});
    }
  }
  std::sort(active.begin(), active.end());
  return active;
}

std::vector<ActiveRequests> UpstreamPool::FleetActive() const {
  std::vector<ActiveRequests> active;
  for (const auto& [hash, count] : m_peer_total) {
    const auto id = m_ids.find(hash);
    active.push_back(
        {hash, count + (id == m_ids.end() ? 0 : Active(id->second))});
  }
  for (const ActiveRequests& own : ActiveByUpstream()) {
    if (!m_peer_total.contains(own.m_upstream)) {
      active.push_back(own);
    }
  }
  std::sort(active.begin(), active.end());
  return active;
}

void UpstreamPool::SetPeerActive(const InstanceId& peer,
                                 const std::vector<ActiveRequests>& active) {
  std::vector<ActiveRequests>& known = m_peer_active[peer];
  AddPeerActive(known, -1);
  known = active;
  AddPeerActive(known, 1);
}

void UpstreamPool::ClearPeerActive(const InstanceId& peer) {
  const auto known = m_peer_active.find(peer);
  if (known != m_peer_active.end()) {
    AddPeerActive(known->second, -1);
    m_peer_active.erase(known);
  }
}

void UpstreamPool::AddPeerActive(const std::vector<ActiveRequests>& active,
                                 int sign) {
  for (const ActiveRequests& entry : active) {
    int& total = m_peer_total[entry.m_upstream];
    total += sign * entry.m_count;
    if (total == 0) {
      m_peer_total.erase(entry.m_upstream);
    }
  }
}

std::vector<PartPlacement> UpstreamPool::TakePlacements() {
  return std::exchange(m_placements, {});
}

void UpstreamPool::NotePeerPlacement(const PartPlacement& placement,
                                     TimePoint now) {
  m_hot.Note(placement.m_part, now);
  const auto id = m_ids.find(placement.m_upstream);
  if (id == m_ids.end()) {
    return;
  }
  if (Upstream* row = FindRow(id->second)) {
    RecordPart(*row, placement.m_part, now);
  }
}

UpstreamPool::Occupancy UpstreamPool::OccupancyOf(const ServiceId& service,
                                                  TimePoint now) const {
  Occupancy occupancy;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_registration.m_service == service && !IsOutOfUse(row)) {
      occupancy.m_used_slots += EstimatedLoad(row, now);
      occupancy.m_total_slots += row.m_registration.m_slots;
    }
  }
  return occupancy;
}

}  // namespace nutmeghollow
