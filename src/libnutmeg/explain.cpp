#include "nutmeghollow/explain.h"

#include <algorithm>
#include <utility>

#include "nutmeghollow/owners.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

std::optional<Duration> PeerAge(const World& world,
                                const UpstreamId& upstream,
                                TimePoint now) {
  const auto found = world.m_peers.m_loads.find(upstream);
  if (found == world.m_peers.m_loads.end()) {
    return std::nullopt;
  }
  std::optional<Duration> age;
  for (const auto& [instance, load] : found->second) {
    const Duration load_age = now - load.m_received_at;
    age = age ? std::min(*age, load_age) : load_age;
  }
  return age;
}

ExplainedEngine ExplainEngine(const World& world,
                              const Candidate& candidate,
                              const LoadTotals& totals,
                              double bound,
                              TimePoint now) {
  const UpstreamRow& row = *candidate.m_row;
  ExplainedEngine engine{.m_id = row.m_id,
                         .m_status = row.m_status,
                         .m_owner = row.m_owner,
                         .m_local_running = row.m_local_running,
                         .m_remote_running = candidate.m_remote,
                         .m_capacity = row.m_capacity,
                         .m_slow_start_factor = candidate.m_slow_start_factor};
  if (totals.m_usable > 0) {
    const CandidateLimits limits = LimitsOf(world, totals, candidate, bound);
    engine.m_inner_limit = limits.m_inner;
    engine.m_bound_limit = limits.m_hard;
  }
  if (row.m_report) {
    engine.m_report_age = now - row.m_report->m_taken_at;
  }
  engine.m_peer_age = PeerAge(world, row.m_id, now);
  return engine;
}

std::vector<const Candidate*> RendezvousOrder(const DestinationView& view,
                                              ChatKey chat) {
  std::vector<std::pair<double, const Candidate*>> scored;
  for (const Candidate& candidate : view.m_candidates) {
    const double score =
        ChatScore(chat, candidate.m_hash, candidate.m_row->m_weight,
                  candidate.m_same_region);
    scored.emplace_back(-score, &candidate);
  }
  std::sort(scored.begin(), scored.end());
  std::vector<const Candidate*> order;
  order.reserve(scored.size());
  for (const auto& [score, candidate] : scored) {
    order.push_back(candidate);
  }
  return order;
}

}  // namespace

Explanation Explain(World& world,
                    ChatKey chat,
                    const RouteId& route,
                    TimePoint now) {
  Explanation explanation;
  const auto found = world.m_routes.find(route);
  if (found == world.m_routes.end()) {
    return explanation;
  }
  explanation.m_route_found = true;
  explanation.m_bound = found->second.m_bound;
  explanation.m_entry_engine = EntryEngine(world, found->second, chat);
  if (const UpstreamRow* engine =
          world.m_upstreams.Find(explanation.m_entry_engine)) {
    explanation.m_entry_owner = engine->m_owner;
  }
  explanation.m_entry_owner_is_self =
      explanation.m_entry_owner == world.m_instances.m_self;
  const DestinationView& view =
      ViewOf(world, {RequestKind::kChat, route, ServiceId()}, now);
  const LoadTotals totals = SumLoads(view);
  if (totals.m_usable > 0) {
    explanation.m_mean_load = totals.m_load / totals.m_usable;
  }
  for (const Candidate* candidate : RendezvousOrder(view, chat)) {
    if (explanation.m_home.empty() && candidate->IsUsable()) {
      explanation.m_home = candidate->m_row->m_id;
    }
    explanation.m_order.push_back(
        ExplainEngine(world, *candidate, totals, explanation.m_bound, now));
  }
  explanation.m_last = world.m_placement.m_chats.Find(chat);
  if (explanation.m_last) {
    explanation.m_last_age = now - explanation.m_last->m_placed_at;
    for (const UpstreamIndex index : explanation.m_last->m_holders) {
      if (index != 0) {
        explanation.m_holders.push_back(
            world.m_placement.m_chats.NameOf(index));
      }
    }
  }
  return explanation;
}

}  // namespace nutmeghollow
