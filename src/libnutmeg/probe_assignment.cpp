#include "libnutmeg/probe_assignment.h"

#include <xxhash.h>

#include <algorithm>

namespace nutmeghollow::detail {
namespace {

constexpr std::uint64_t kMixMultiplier = 0x9E3779B97F4A7C15ULL;

/// A candidate prober.
struct Prober {
  const InstanceRow* m_row = nullptr;
  std::uint64_t m_hash = 0;
  int m_assigned = 0;
};

std::uint64_t HashText(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

/// @return rendezvous weight of a pair of uniform hashes.
std::uint64_t Weight(std::uint64_t upstream, std::uint64_t instance) {
  std::uint64_t mixed = (upstream ^ instance) * kMixMultiplier;
  mixed ^= mixed >> 32U;
  return mixed * kMixMultiplier;
}

std::vector<Prober> LiveProbers(const World& world) {
  std::vector<Prober> probers;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (row.m_status == InstanceStatus::kAlive) {
      probers.push_back({.m_row = &row, .m_hash = HashText(id.str())});
    }
  }
  return probers;
}

/// Chooses the instance with the highest weight among those with fewer than
/// `limit` upstreams, preferring other data centres than that of the first
/// prober.
/// @param first prober already assigned, or null.
/// @return null when no other instance is below the limit.
Prober* Choose(std::vector<Prober>& probers,
               std::uint64_t upstream,
               int limit,
               const Prober* first) {
  Prober* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (Prober& prober : probers) {
    if (&prober == first || prober.m_assigned >= limit) {
      continue;
    }
    const bool other_data_centre =
        first == nullptr ||
        prober.m_row->m_data_centre != first->m_row->m_data_centre;
    const std::pair<bool, std::uint64_t> rank{other_data_centre,
                                              Weight(upstream, prober.m_hash)};
    if (best == nullptr || rank > best_rank) {
      best = &prober;
      best_rank = rank;
    }
  }
  return best;
}

Prober* FindProber(std::vector<Prober>& probers, const InstanceId& id) {
  for (Prober& prober : probers) {
    if (prober.m_row->m_id == id) {
      return &prober;
    }
  }
  return nullptr;
}

}  // namespace

std::map<UpstreamId, Probers> ChooseProbers(const World& world) {
  std::map<UpstreamId, Probers> chosen;
  std::vector<Prober> probers = LiveProbers(world);
  if (probers.empty()) {
    return chosen;
  }
  const std::size_t wanted = 2 * world.m_upstreams.m_rows.size();
  const int limit =
      static_cast<int>((wanted + probers.size() - 1) / probers.size()) + 1;
  // Owners are assigned first, so that the other assignments balance the load
  // around them.
  std::map<UpstreamId, Prober*> primaries;
  for (const auto& [id, row] : world.m_upstreams.m_rows) {
    Prober* owner =
        row.m_owner.empty() ? nullptr : FindProber(probers, row.m_owner);
    if (owner != nullptr) {
      ++owner->m_assigned;
      primaries[id] = owner;
    }
  }
  for (const auto& [id, row] : world.m_upstreams.m_rows) {
    const std::uint64_t hash = HashText(id.str());
    Prober*& primary = primaries[id];
    if (primary == nullptr) {
      primary = Choose(probers, hash, limit, nullptr);
      primary = primary == nullptr ? &probers[hash % probers.size()] : primary;
      ++primary->m_assigned;
    }
    chosen[id][0] = primary->m_row->m_id;
  }
  for (const auto& [id, row] : world.m_upstreams.m_rows) {
    Prober* secondary =
        Choose(probers, HashText(id.str()), limit, primaries[id]);
    if (secondary != nullptr) {
      ++secondary->m_assigned;
      chosen[id][1] = secondary->m_row->m_id;
    }
  }
  return chosen;
}

void AssignProbers(World& world, TimePoint now) {
  ProbingState& probing = world.m_probing;
  const InstanceId& self = world.m_instances.m_self;
  probing.m_assigned.clear();
  for (const auto& [id, probers] : ChooseProbers(world)) {
    int slot = -1;
    if (probers[0] == self) {
      slot = 0;
    } else if (probers[1] == self) {
      slot = 1;
    }
    auto found = probing.m_health.find(id);
    if (slot < 0 && found == probing.m_health.end()) {
      continue;
    }
    UpstreamHealth& health = probing.m_health[id];
    if (health.m_slot != slot && slot >= 0) {
      // Spreads the first probes over half a period.
      const auto span =
          static_cast<std::uint64_t>(probing.m_parameters.m_period.count() / 2);
      health.m_next_probe =
          now +
          Duration(static_cast<std::int64_t>(world.m_hooks.m_random() % span));
    }
    health.m_slot = slot;
    // Keeps probing upstreams that this instance found failing, also when they
    // are assigned to other probers.
    if (slot >= 0 || health.m_failures > 0 || health.m_failing ||
        health.m_traffic_failures > 0) {
      probing.m_assigned.push_back(id);
    }
  }
  probing.m_next_due = now;
}

}  // namespace nutmeghollow::detail
