// Packs pending entries into a message, by priority.
#include <algorithm>

#include "libnutmeg/dissemination.h"

namespace nutmeghollow::detail {
namespace {

/// Estimated packed sizes in bytes, to fill messages up to an allowance.
constexpr std::size_t kBaseSize = 56;
constexpr std::int64_t kMinAllowance = 2 * kBaseSize;
constexpr std::size_t kMemberSize = 28;
constexpr std::size_t kDetailsSize = 44;
constexpr std::size_t kSmallEntrySize = 9;
constexpr std::size_t kDemandSize = 14;
constexpr std::size_t kSuspectSize = 24;
constexpr std::size_t kChangeSize = 24;
/// Divisors of one second's budget that give the bytes a message may use.
constexpr std::int64_t kPriorityDivisor = 4;
constexpr std::int64_t kFillerDivisor = 10;

/// @return one second's budget in bytes divided by `divisor`, at most the
/// payload limit.
std::int64_t ShareOfRate(const World& world, std::int64_t divisor) {
  const auto limit = static_cast<std::int64_t>(kGossipPayloadLimit);
  return std::min(world.m_budget.m_rate.value() / divisor, limit);
}

/// @return the size in bytes up to which a message may be filled: a share of
/// the rate, and less while the bucket is nearly empty, so that piggybacked
/// entries never delay probes and acknowledgements.
std::int64_t Allowance(World& world,
                       ControlClass control_class,
                       std::int64_t divisor,
                       TimePoint now) {
  const std::int64_t share = ShareOfRate(world, divisor);
  const std::int64_t available =
      AvailableControlBytes(world, control_class, now).value() / 2;
  return std::max<std::int64_t>(kMinAllowance, std::min(share, available));
}

/// Fills a message with entries up to an allowance.
class Packer {
 public:
  Packer(World& world,
         GossipMessage& message,
         const InstanceId& to,
         ControlClass control_class,
         TimePoint now)
      : m_world(world), m_message(message), m_to(to), m_now(now) {
    m_priority_allowance =
        control_class == ControlClass::kUrgent
            ? ShareOfRate(world, kPriorityDivisor)
            : Allowance(world, ControlClass::kStorePoll, kPriorityDivisor, now);
    m_filler_allowance =
        Allowance(world, ControlClass::kVerdict, kFillerDivisor, now);
    if (control_class == ControlClass::kLoad) {
      // The loads are the purpose of the message; its headers cost the same in
      // any case.
      m_filler_allowance = m_priority_allowance;
    }
    PeerSendState& send_state = world.m_gossip.m_send_states[to];
    m_details = send_state.m_details_requested;
    send_state.m_details_requested = false;
  }

  void AddPeerEntries();
  void AddChanges();
  void AddMembers();
  void AddMemberSync();
  void AddConfirmations();
  void AddSuspects();
  void AddVerdicts();
  void AddLoads();
  void AddDemands();

 private:
  bool Fits(std::size_t size, std::int64_t allowance) const {
    return static_cast<std::int64_t>(m_size + size) <= allowance;
  }
  bool AddMember(const InstanceRow& row, bool with_details);

  World& m_world;
  GossipMessage& m_message;
  const InstanceId& m_to;
  TimePoint m_now;
  std::size_t m_size = kBaseSize;
  bool m_details = false;  ///< The peer requested addresses.
  std::int64_t m_priority_allowance = 0;
  std::int64_t m_filler_allowance = 0;
};

/// Calls `add` for the pending keys, those with the most transmissions left
/// first, and removes keys without transmissions left.
/// @param pending transmissions left, by key.
/// @param add packs one entry; returns false when it does not fit.
template <typename Key, typename Add>
void PackPending(std::map<Key, int>& pending, Add add) {
  std::vector<std::pair<int, Key>> order;
  order.reserve(pending.size());
  for (const auto& [key, left] : pending) {
    order.emplace_back(-left, key);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [left, key] : order) {
    if (!add(key)) {
      return;
    }
    auto found = pending.find(key);
    if (--found->second <= 0) {
      pending.erase(found);
    }
  }
}

bool Packer::AddMember(const InstanceRow& row, bool with_details) {
  std::size_t size = kMemberSize + row.m_id.str().size();
  if (with_details) {
    size += kDetailsSize + row.m_caller_endpoint.str().size() +
            row.m_peer_endpoint.str().size() + row.m_data_centre.str().size() +
            row.m_region.str().size();
  }
  if (!Fits(size, m_priority_allowance)) {
    return false;
  }
  m_size += size;
  m_message.m_members.push_back(MakeMemberEntry(m_world, row, with_details));
  return true;
}

/// Adds the newest changes that the peer has not confirmed, as many as fit.
void Packer::AddChanges() {
  const InstanceRow* peer = m_world.m_instances.Find(m_to);
  if (peer == nullptr) {
    return;
  }
  const auto& recent = m_world.m_configuration.m_recent_changes;
  auto& changes = m_message.m_changes;
  for (auto change = recent.rbegin(); change != recent.rend(); ++change) {
    const std::size_t size = kChangeSize + change->m_key.m_id.size() +
                             change->m_json.value_or("").size();
    if (change->m_revision <= peer->m_revision ||
        !Fits(size, m_priority_allowance)) {
      break;
    }
    m_size += size;
    changes.insert(changes.begin(), *change);
  }
}

/// Adds the own addresses for a peer that requested them, is unknown or is
/// dead, and a suspect or dead status of the peer itself, so that it can refute
/// it.
void Packer::AddPeerEntries() {
  GossipState& gossip = m_world.m_gossip;
  const InstanceRow* peer = m_world.m_instances.Find(m_to);
  const bool unknown =
      peer == nullptr || peer->m_status == InstanceStatus::kDead;
  m_message.m_want_details = peer == nullptr || gossip.m_details_missing;
  gossip.m_details_missing = false;
  if (unknown || m_details) {
    const InstanceId& self = m_world.m_instances.m_self;
    AddMember(*m_world.m_instances.Find(self), true);
  }
  if (peer == nullptr) {
    return;
  }
  const InstanceStatus status = ProtocolStatus(m_world, *peer);
  if (status == InstanceStatus::kSuspect || status == InstanceStatus::kDead) {
    AddMember(*peer, false);
  }
}

void Packer::AddMembers() {
  PackPending(m_world.m_gossip.m_members, [this](const InstanceId& id) {
    const InstanceRow* row = m_world.m_instances.Find(id);
    return row == nullptr || id == m_to || AddMember(*row, m_details);
  });
}

/// Adds member entries in turn while the member digest of the peer differs.
void Packer::AddMemberSync() {
  PeerSendState& send_state = m_world.m_gossip.m_send_states[m_to];
  if (!send_state.m_members_differ) {
    return;
  }
  send_state.m_members_differ = false;
  const auto& rows = m_world.m_instances.m_rows;
  std::size_t& position = m_world.m_gossip.m_sync_next;
  position %= rows.size();
  auto row = std::next(rows.begin(), static_cast<std::ptrdiff_t>(position));
  for (std::size_t i = 0; i < rows.size(); ++i) {
    if (row->first != m_to && !AddMember(row->second, m_details)) {
      return;
    }
    ++position;
    if (++row == rows.end()) {
      row = rows.begin();
      position = 0;
    }
  }
}

void Packer::AddConfirmations() {
  PackPending(m_world.m_gossip.m_confirmations, [this](const InstanceId& id) {
    const InstanceRow* row = m_world.m_instances.Find(id);
    if (row == nullptr || id == m_to) {
      return true;
    }
    if (!Fits(kSmallEntrySize, m_priority_allowance)) {
      return false;
    }
    m_size += kSmallEntrySize;
    m_message.m_confirmations.push_back({HashName(id.str()), row->m_revision});
    return true;
  });
}

void Packer::AddSuspects() {
  PackPending(m_world.m_gossip.m_suspects, [this](RequestDigest digest) {
    auto found = m_world.m_suspects.find(digest);
    if (found == m_world.m_suspects.end()) {
      return true;
    }
    const SuspectRow& row = found->second;
    const std::size_t size = kSuspectSize + 4 * row.m_crashed_upstreams.size();
    if (!Fits(size, m_priority_allowance)) {
      return false;
    }
    m_size += size;
    SuspectEntry entry{.m_digest = digest,
                       .m_quarantined = row.m_quarantined,
                       .m_time_left = row.m_expires_at - m_now};
    for (const UpstreamId& upstream : row.m_crashed_upstreams) {
      entry.m_crashed_upstreams.push_back(HashName(upstream.str()));
    }
    m_message.m_suspects.push_back(std::move(entry));
    return true;
  });
}

void Packer::AddVerdicts() {
  PackPending(m_world.m_gossip.m_verdicts, [this](const VerdictKey& key) {
    auto found = m_world.m_probing.m_health.find(key.first);
    if (found == m_world.m_probing.m_health.end() ||
        !found->second.m_verdicts[key.second]) {
      return true;
    }
    const StoredVerdict& stored = *found->second.m_verdicts[key.second];
    const bool important = stored.m_verdict != ProbeVerdict::kOk;
    if (!Fits(kSmallEntrySize,
              important ? m_priority_allowance : m_filler_allowance)) {
      return false;
    }
    m_size += kSmallEntrySize;
    m_message.m_verdicts.push_back(
        {.m_upstream = HashName(key.first.str()),
         .m_slot = key.second,
         .m_verdict = stored.m_verdict,
         .m_running = stored.m_report ? stored.m_report->m_running : 0,
         .m_queued = stored.m_report ? stored.m_report->m_queued : 0,
         .m_age = m_now - stored.m_taken_at});
    return true;
  });
}

/// @return whether the own load of an upstream is sent to a peer.
bool SendsLoadTo(const World& world,
                 const UpstreamRow& row,
                 const InstanceId& to) {
  const auto limit =
      static_cast<std::size_t>(world.m_gossip.m_parameters.m_load_to_all_limit);
  return row.m_owner == to || world.m_instances.m_rows.size() <= limit;
}

/// Adds loads that changed since the last message to the peer, or all of them
/// once per m_full_load_interval.
void Packer::AddLoads() {
  PeerSendState& send_state = m_world.m_gossip.m_send_states[m_to];
  const bool whole = m_now - send_state.m_full_loads_at >=
                     m_world.m_gossip.m_parameters.m_full_load_interval;
  if (whole) {
    send_state.m_loads.clear();
  }
  bool complete = true;
  for (const auto& [id, row] : m_world.m_upstreams.m_rows) {
    auto sent = send_state.m_loads.find(id);
    const int last = sent == send_state.m_loads.end() ? 0 : sent->second;
    if (row.m_local_running == last || !SendsLoadTo(m_world, row, m_to)) {
      continue;
    }
    if (!Fits(kSmallEntrySize, m_filler_allowance)) {
      complete = false;
      break;
    }
    m_size += kSmallEntrySize;
    m_message.m_loads.push_back({HashName(id.str()), row.m_local_running});
    if (row.m_local_running == 0) {
      send_state.m_loads.erase(sent);
    } else {
      send_state.m_loads[id] = row.m_local_running;
    }
  }
  if (whole && complete) {
    m_message.m_loads_complete = true;
    send_state.m_full_loads_at = m_now;
  }
}

/// Adds the changed demands of the busiest customers.
void Packer::AddDemands() {
  const GossipParameters& parameters = m_world.m_gossip.m_parameters;
  PeerSendState& send_state = m_world.m_gossip.m_send_states[m_to];
  if (m_now - send_state.m_demands_at < parameters.m_demand_interval) {
    return;
  }
  send_state.m_demands_at = m_now;
  std::vector<const CustomerRow*> busiest;
  for (const auto& [id, row] : m_world.m_customers) {
    const std::pair<int, int> demand{row.m_running, row.m_queued};
    auto sent = send_state.m_demands.find(id);
    const bool changed = sent == send_state.m_demands.end()
                             ? demand != std::pair<int, int>{}
                             : demand != sent->second;
    if (changed) {
      busiest.push_back(&row);
    }
  }
  std::stable_sort(busiest.begin(), busiest.end(),
                   [](const CustomerRow* a, const CustomerRow* b) {
                     return a->m_running + a->m_queued >
                            b->m_running + b->m_queued;
                   });
  const auto limit = static_cast<std::size_t>(parameters.m_demand_customers);
  for (const CustomerRow* row : busiest) {
    if (m_message.m_demands.size() >= limit ||
        !Fits(kDemandSize, m_filler_allowance)) {
      return;
    }
    m_size += kDemandSize;
    m_message.m_demands.push_back({.m_customer = HashName(row->m_id.str()),
                                   .m_running = row->m_running,
                                   .m_queued = row->m_queued});
    send_state.m_demands[row->m_id] = {row->m_running, row->m_queued};
  }
}

}  // namespace

MemberEntry MakeMemberEntry(const World& world,
                            const InstanceRow& row,
                            bool with_details) {
  MemberEntry entry{.m_id = row.m_id,
                    .m_incarnation = row.m_incarnation,
                    .m_status = ProtocolStatus(world, row)};
  if (with_details) {
    entry.m_details = MemberDetails{.m_caller_endpoint = row.m_caller_endpoint,
                                    .m_peer_endpoint = row.m_peer_endpoint,
                                    .m_data_centre = row.m_data_centre,
                                    .m_region = row.m_region};
  }
  return entry;
}

GossipMessage BuildMessage(World& world,
                           GossipKind kind,
                           const InstanceId& to,
                           ControlClass control_class,
                           TimePoint now) {
  const InstanceRow& self = world.m_instances.m_rows[world.m_instances.m_self];
  const ConfigurationTable& configuration = world.m_configuration;
  GossipMessage message{
      .m_kind = kind,
      .m_incarnation = self.m_incarnation,
      .m_leaving = self.m_status == InstanceStatus::kLeaving,
      .m_revision = configuration.m_revision,
      .m_highest_seen =
          std::max(configuration.m_revision, configuration.m_highest_seen),
      .m_member_digest = MemberDigest(world)};
  Packer packer(world, message, to, control_class, now);
  packer.AddPeerEntries();
  packer.AddChanges();
  if (control_class == ControlClass::kLoad) {
    packer.AddLoads();
  }
  packer.AddSuspects();
  packer.AddMembers();
  packer.AddConfirmations();
  packer.AddVerdicts();
  packer.AddMemberSync();
  if (control_class != ControlClass::kLoad) {
    packer.AddLoads();
  }
  packer.AddDemands();
  return message;
}

}  // namespace nutmeghollow::detail
