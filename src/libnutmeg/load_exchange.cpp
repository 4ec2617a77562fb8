#include "nutmeghollow/load_exchange.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

/// Rounds after which counts that were not updated are dropped. Most requests
/// that they counted have ended by then.
constexpr int kMaxMissedRounds = 4;
/// Responses in a row that a relay may miss before another one is used.
constexpr int kMaxMissedResponses = 2;
/// Time for which a relay that did not respond is not used.
constexpr Duration kRelayBackoff = std::chrono::seconds(5);

using UpstreamRange = std::numeric_limits<UpstreamHash::Representation>;

/// Replaces the counts within the range of a message.
void ReplaceRange(std::vector<ActiveRequests>* active,
                  const LoadMessage& message) {
  const auto first = std::lower_bound(active->begin(), active->end(),
                                      ActiveRequests{message.m_first, 0});
  const auto last =
      std::upper_bound(first, active->end(), ActiveRequests{message.m_last, 0});
  const auto gap = active->erase(first, last);
  active->insert(gap, message.m_active.begin(), message.m_active.end());
}

/// Adds counts to a sum. Both are in ascending order of upstreams.
std::vector<ActiveRequests> Sum(const std::vector<ActiveRequests>& a,
                                const std::vector<ActiveRequests>& b,
                                int sign) {
  std::vector<ActiveRequests> sum;
  sum.reserve(a.size() + b.size());
  auto left = a.begin();
  auto right = b.begin();
  while (left != a.end() || right != b.end()) {
    const bool from_left =
        right == b.end() ||
        (left != a.end() && left->m_upstream <= right->m_upstream);
    const UpstreamHash upstream =
        from_left ? left->m_upstream : right->m_upstream;
    int count = 0;
    if (left != a.end() && left->m_upstream == upstream) {
      count += (left++)->m_count;
    }
    if (right != b.end() && right->m_upstream == upstream) {
      count += sign * (right++)->m_count;
    }
    if (count > 0) {
      sum.push_back({upstream, count});
    }
  }
  return sum;
}

bool IsWellFormed(const LoadMessage& message) {
  const auto& active = message.m_active;
  return message.m_first <= message.m_last &&
         std::is_sorted(active.begin(), active.end()) &&
         (active.empty() || (message.m_first <= active.front().m_upstream &&
                             active.back().m_upstream <= message.m_last));
}

bool IsLastPart(const LoadMessage& message) {
  return message.m_last.value() == UpstreamRange::max();
}

}  // namespace

std::map<DataCentreId, std::vector<InstanceId>> ChooseLoadRelays(
    const EntryDirectory& directory) {
  using Rank = std::tuple<double, std::uint64_t, InstanceId>;
  std::map<DataCentreId, std::vector<Rank>> ranks;
  std::map<DataCentreId, std::vector<InstanceId>> relays;
  if (directory.size() <= kMaxFlatFleet) {
    return relays;
  }
  for (const auto& [id, instance] : directory.Instances()) {
    ranks[instance.m_data_centre].emplace_back(-instance.m_link_mbps,
                                               HashText(id.str()), id);
  }
  for (auto& [data_centre, order] : ranks) {
    std::sort(order.begin(), order.end());
    const std::size_t count =
        (order.size() + kInstancesPerRelay - 1) / kInstancesPerRelay;
    for (std::size_t index = 0; index < count; ++index) {
      relays[data_centre].push_back(std::get<InstanceId>(order[index]));
    }
  }
  return relays;
}

LoadExchange::LoadExchange(InstanceId self,
                           const EntryDirectory* directory,
                           UpstreamPool* pool,
                           Send send)
    : m_self(std::move(self)),
      m_directory(directory),
      m_pool(pool),
      m_send(std::move(send)) {}

void LoadExchange::StartRound(TimePoint now) {
  if (m_members_changed) {
    m_members_changed = false;
    ChooseRole();
  }
  RemoveExpired(now);
  if (m_role == Role::kReporter) {
    ReportToRelay(now);
  } else if (m_role == Role::kRelay) {
    SendGroup(now);
  }
  m_pool->SetLoadAge(Age(now));
  m_pool->SetInterpretLoads(!IsFlat());
}

void LoadExchange::ChooseRole() {
  const auto relays = ChooseLoadRelays(*m_directory);
  const auto self = m_directory->Instances().find(m_self);
  const DataCentreId data_centre = self == m_directory->Instances().end()
                                       ? DataCentreId()
                                       : self->second.m_data_centre;
  Role role = relays.empty() ? Role::kFlat : Role::kReporter;
  // Relays of the own data centre first; within a data centre in an order that
  // differs between instances, so that each relay gets its share.
  std::vector<std::tuple<bool, double, InstanceId>> order;
  for (const auto& [place, ids] : relays) {
    for (const InstanceId& id : ids) {
      if (id == m_self) {
        role = Role::kRelay;
        continue;
      }
      order.emplace_back(
          place != data_centre,
          -RendezvousScore(HashText(m_self.str()), HashText(id.str()), 1.0),
          id);
    }
  }
  std::sort(order.begin(), order.end());
  m_relays.clear();
  for (const auto& [is_far, score, id] : order) {
    m_relays.push_back(id);
  }
  if (role != m_role) {
    m_role = role;
    m_relay = InstanceId();
    RemoveSources();
  }
  if (std::find(m_relays.begin(), m_relays.end(), m_relay) == m_relays.end()) {
    m_relay = InstanceId();
  }
}

void LoadExchange::RemoveSources() {
  for (const auto& [id, source] : m_sources) {
    m_pool->ClearPeerActive(id);
  }
  m_sources.clear();
}

void LoadExchange::RemoveExpired(TimePoint now) {
  for (auto source = m_sources.begin(); source != m_sources.end();) {
    if (now - source->second.m_received_at < kLoadPeriod * kMaxMissedRounds) {
      ++source;
      continue;
    }
    m_pool->ClearPeerActive(source->first);
    source = m_sources.erase(source);
  }
}

void LoadExchange::Forget(const InstanceId& id) {
  m_sources.erase(id);
  m_pool->ClearPeerActive(id);
  m_members_changed = true;
}

void LoadExchange::ChooseRelay(TimePoint now) {
  InstanceId next;
  TimePoint least_recent = TimePoint::max();
  for (const InstanceId& id : m_relays) {
    const auto failed = m_relay_failed_at.find(id);
    if (failed == m_relay_failed_at.end() ||
        now - failed->second >= kRelayBackoff) {
      next = id;
      break;
    }
    if (failed->second < least_recent) {
      least_recent = failed->second;
      next = id;
    }
  }
  m_relay = next;
  m_missed_responses = 0;
}

void LoadExchange::ReportToRelay(TimePoint now) {
  if (!m_relay.empty() && m_missed_responses >= kMaxMissedResponses) {
    m_relay_failed_at[m_relay] = now;
    m_relay = InstanceId();
  }
  if (m_relay.empty()) {
    ChooseRelay(now);
  }
  ++m_missed_responses;  // Until the response arrives.
  ++m_round;
  SendCounts(m_relay, LoadMessageKind::kReport, m_round, Duration::zero(),
             m_pool->ActiveByUpstream());
}

void LoadExchange::SendGroup(TimePoint now) {
  std::vector<ActiveRequests> group = m_pool->ActiveByUpstream();
  Duration age{};
  std::vector<InstanceId> receivers = m_relays;
  for (const auto& [id, source] : m_sources) {
    if (source.m_kind == LoadMessageKind::kReport) {
      group = Sum(group, source.m_active, 1);
      age = std::max(age, now - source.m_received_at);
    } else if (std::find(m_relays.begin(), m_relays.end(), id) ==
               m_relays.end()) {
      receivers.push_back(id);  // It considers itself a relay.
    }
  }
  for (const InstanceId& id : receivers) {
    SendCounts(id, LoadMessageKind::kGroup, 0, age, group);
  }
}

void LoadExchange::RespondToReport(const InstanceId& to,
                                   std::uint32_t round,
                                   TimePoint now) {
  SendCounts(to, LoadMessageKind::kOthers, round, Age(now),
             Sum(m_pool->FleetActive(), m_sources[to].m_active, -1));
}

void LoadExchange::SendCounts(const InstanceId& to,
                              LoadMessageKind kind,
                              std::uint32_t round,
                              Duration age,
                              const std::vector<ActiveRequests>& active) {
  std::size_t begin = 0;
  LoadMessage message{kind, round, {}, {}, age, {}};
  do {
    const std::size_t end = std::min(begin + kMaxLoadEntries, active.size());
    message.m_active.assign(active.begin() + static_cast<std::ptrdiff_t>(begin),
                            active.begin() + static_cast<std::ptrdiff_t>(end));
    message.m_last = end == active.size() ? UpstreamHash(UpstreamRange::max())
                                          : active[end - 1].m_upstream;
    m_send(to, message);
    message.m_first = message.m_last.Next();
    begin = end;
  } while (begin < active.size());
}

bool LoadExchange::Handle(const InstanceId& from,
                          const LoadMessage& message,
                          TimePoint now) {
  if (!IsWellFormed(message)) {
    return false;
  }
  switch (message.m_kind) {
    case LoadMessageKind::kReport:
      // Only a relay knows the loads of the fleet. The sender uses another one
      // when there is no response.
      if (m_role == Role::kRelay) {
        Store(from, message, now);
        if (IsLastPart(message)) {
          RespondToReport(from, message.m_round, now);
        }
      }
      return true;
    case LoadMessageKind::kGroup:
      if (m_role == Role::kRelay) {
        Store(from, message, now);
      }
      return true;
    case LoadMessageKind::kOthers:
      if (m_role == Role::kReporter && from == m_relay &&
          message.m_round == m_round) {
        HandleResponse(message, now);
      }
      return true;
  }
  return false;
}

void LoadExchange::HandleResponse(const LoadMessage& message, TimePoint now) {
  m_missed_responses = 0;
  const bool has_other_sources = m_sources.size() > m_sources.count(m_relay);
  if (has_other_sources) {
    RemoveSources();  // Those of the relay used before count the same requests.
  }
  Store(m_relay, message, now);
}

void LoadExchange::Store(const InstanceId& from,
                         const LoadMessage& message,
                         TimePoint now) {
  Source& source = m_sources[from];
  if (source.m_kind != message.m_kind) {
    source = Source();
  }
  source.m_kind = message.m_kind;
  source.m_received_at = now;
  source.m_age = message.m_age;
  ReplaceRange(&source.m_active, message);
  m_pool->SetPeerActive(from, source.m_active);
}

void LoadExchange::NoteDigest(const InstanceId& from,
                              std::vector<ActiveRequests> active,
                              TimePoint now) {
  if (m_role != Role::kFlat) {
    return;
  }
  m_pool->SetPeerActive(from, active);
  m_sources[from] = {LoadMessageKind::kReport, now, Duration::zero(),
                     std::move(active)};
}

Duration LoadExchange::Age(TimePoint now) const {
  Duration age{};
  for (const auto& [id, source] : m_sources) {
    age = std::max(age, source.m_age + (now - source.m_received_at));
  }
  return age;
}

}  // namespace nutmeghollow
