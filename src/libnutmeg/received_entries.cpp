// Applies the entries of received messages to the tables.
#include <algorithm>

#include "libnutmeg/dissemination.h"

namespace nutmeghollow::detail {
namespace {

constexpr Duration kMaxSuspectLifetime = std::chrono::hours(24);

/// Rebuilds the maps from hashes to names when a table has changed.
void RefreshNames(World& world) {
  GossipState& gossip = world.m_gossip;
  const std::size_t size =
      world.m_upstreams.m_rows.size() + world.m_customers.size();
  if (gossip.m_names_revision == world.m_configuration.m_revision &&
      gossip.m_names_size == size) {
    return;
  }
  gossip.m_names_revision = world.m_configuration.m_revision;
  gossip.m_names_size = size;
  gossip.m_upstream_names.clear();
  gossip.m_customer_names.clear();
  for (const auto& [id, row] : world.m_upstreams.m_rows) {
    gossip.m_upstream_names[HashName(id.str())] = id;
  }
  for (const auto& [id, row] : world.m_customers) {
    gossip.m_customer_names[HashName(id.str())] = id;
  }
}

/// Forwards the changes in a message to the configuration system.
void ForwardChanges(World& world, const GossipMessage& message) {
  if (message.m_changes.empty() ||
      message.m_revision <= world.m_configuration.m_revision) {
    return;
  }
  world.m_configuration_inbox.m_transfers.push_back(
      {.m_revision = message.m_revision, .m_changes = message.m_changes});
}

void ApplyRevisions(World& world,
                    const InstanceId& from,
                    const GossipMessage& message) {
  ConfigurationTable& configuration = world.m_configuration;
  if (message.m_highest_seen >
      std::max(configuration.m_highest_seen, configuration.m_revision)) {
    configuration.m_highest_seen = message.m_highest_seen;
    world.m_gossip.m_highest_sender = from;
    world.m_gossip.m_highest_received = message.m_highest_seen;
  }
  ForwardChanges(world, message);
  auto row = world.m_instances.m_rows.find(from);
  if (row != world.m_instances.m_rows.end() &&
      message.m_revision > row->second.m_revision) {
    row->second.m_revision = message.m_revision;
    world.m_gossip.m_confirmations[from] = TransmissionLimit(world) / 2;
  }
}

void ApplyConfirmations(World& world, const GossipMessage& message) {
  if (message.m_confirmations.empty()) {
    return;
  }
  std::map<NameHash, Revision> confirmed;
  for (const ConfirmationEntry& entry : message.m_confirmations) {
    confirmed[entry.m_instance] = entry.m_revision;
  }
  for (auto& [id, row] : world.m_instances.m_rows) {
    auto found = confirmed.find(HashName(id.str()));
    if (found == confirmed.end() || id == world.m_instances.m_self ||
        found->second <= row.m_revision) {
      continue;
    }
    row.m_revision = found->second;
    world.m_gossip.m_confirmations[id] = TransmissionLimit(world) / 2;
  }
}

void ApplyVerdict(World& world, const VerdictEntry& entry, TimePoint now) {
  auto name = world.m_gossip.m_upstream_names.find(entry.m_upstream);
  if (name == world.m_gossip.m_upstream_names.end()) {
    return;
  }
  UpstreamHealth& health = world.m_probing.m_health[name->second];
  if (health.m_slot == entry.m_slot) {
    return;  // This instance is that prober; its own result takes precedence.
  }
  std::optional<StoredVerdict>& stored = health.m_verdicts[entry.m_slot];
  const TimePoint taken_at = now - entry.m_age;
  // Ages are rounded; a difference within the rounding error does not make a
  // report newer.
  constexpr Duration kResolution = std::chrono::milliseconds(40);
  if (stored && taken_at <= stored->m_taken_at + kResolution) {
    return;
  }
  const ProbeVerdict before = stored ? stored->m_verdict : ProbeVerdict::kOk;
  stored = StoredVerdict{.m_verdict = entry.m_verdict, .m_taken_at = taken_at};
  const UpstreamRow* row = world.m_upstreams.Find(name->second);
  if (row != nullptr && row->m_kind == UpstreamKind::kEngine &&
      entry.m_verdict != ProbeVerdict::kFailing) {
    stored->m_report = ProbedLoad{.m_running = entry.m_running,
                                  .m_queued = entry.m_queued,
                                  .m_taken_at = taken_at,
                                  .m_received_at = now};
  }
  world.m_probing.m_merge_needed = true;
  const bool changed = before != entry.m_verdict;
  if (changed && health.m_slot >= 0) {
    health.m_next_probe = now;  // Confirm the change with an immediate probe.
    world.m_probing.m_next_due = now;
  }
  const bool prober_sends_to_all =
      static_cast<int>(world.m_membership.m_order.size()) <=
      world.m_gossip.m_parameters.m_origin_fanout;
  if (!prober_sends_to_all || changed) {
    AnnounceVerdict(world, {name->second, entry.m_slot}, changed);
  }
}

void ApplyLoads(World& world,
                const InstanceId& from,
                const GossipMessage& message,
                TimePoint now) {
  if (message.m_loads_complete) {
    for (auto& [upstream, loads] : world.m_peers.m_loads) {
      loads.erase(from);
    }
  }
  for (const LoadEntry& entry : message.m_loads) {
    auto name = world.m_gossip.m_upstream_names.find(entry.m_upstream);
    if (name == world.m_gossip.m_upstream_names.end()) {
      continue;
    }
    world.m_peers.m_loads[name->second][from] =
        PeerLoad{.m_running = entry.m_running, .m_received_at = now};
  }
}

void ApplyDemands(World& world,
                  const InstanceId& from,
                  const GossipMessage& message,
                  TimePoint now) {
  for (const DemandEntry& entry : message.m_demands) {
    auto name = world.m_gossip.m_customer_names.find(entry.m_customer);
    if (name == world.m_gossip.m_customer_names.end()) {
      continue;
    }
    world.m_peers.m_demands[name->second][from] =
        PeerDemand{.m_running = entry.m_running,
                   .m_queued = entry.m_queued,
                   .m_rate = entry.m_rate,
                   .m_received_at = now};
  }
}

void ApplySuspect(World& world, const SuspectEntry& entry, TimePoint now) {
  SuspectRow& row = world.m_suspects[entry.m_digest];
  row.m_digest = entry.m_digest;
  const std::size_t before = row.m_crashed_upstreams.size();
  const bool was_quarantined = row.m_quarantined;
  for (NameHash hash : entry.m_crashed_upstreams) {
    auto name = world.m_gossip.m_upstream_names.find(hash);
    if (name != world.m_gossip.m_upstream_names.end()) {
      row.m_crashed_upstreams.insert(name->second);
    }
  }
  row.m_quarantined = row.m_quarantined || entry.m_quarantined;
  const Duration left =
      std::clamp(entry.m_time_left, Duration::zero(), kMaxSuspectLifetime);
  row.m_expires_at = std::max(row.m_expires_at, now + left);
  const std::size_t after = row.m_crashed_upstreams.size();
  if (after == before && was_quarantined == row.m_quarantined) {
    return;
  }
  world.m_gossip.m_known_suspects[entry.m_digest] = {after, row.m_quarantined};
  world.m_gossip.m_suspects[entry.m_digest] = TransmissionLimit(world);
  RequestUrgentSends(world, false);
}

}  // namespace

void ApplyEntries(World& world,
                  const InstanceId& from,
                  const GossipMessage& message,
                  TimePoint now) {
  RefreshNames(world);
  ApplyRevisions(world, from, message);
  ApplyConfirmations(world, message);
  for (const VerdictEntry& entry : message.m_verdicts) {
    ApplyVerdict(world, entry, now);
  }
  ApplyLoads(world, from, message, now);
  ApplyDemands(world, from, message, now);
  for (const SuspectEntry& entry : message.m_suspects) {
    ApplySuspect(world, entry, now);
  }
}

}  // namespace nutmeghollow::detail
