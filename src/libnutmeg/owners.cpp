#include "nutmeghollow/owners.h"

#include <algorithm>
#include <utility>

#include "nutmeghollow/hashing.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

/// Added to the score of instances near an upstream. The same region outweighs
/// the same data centre, and both outweigh any difference of hash scores.
constexpr double kRegionScore = 2.0;
constexpr double kDataCentreScore = 1.0;

/// An instance that can own upstreams.
struct Owner {
  const InstanceRow* m_row = nullptr;
  std::uint64_t m_hash = 0;
  /// Scores and indexes of the upstreams assigned so far, lowest score first.
  std::vector<std::pair<double, std::size_t>> m_owned;
};

bool IsEligibleOwner(const InstanceRow& row) {
  return row.m_status == InstanceStatus::kAlive ||
         row.m_status == InstanceStatus::kSuspect;
}

std::vector<Owner> EligibleOwners(const World& world) {
  std::vector<Owner> owners;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (IsEligibleOwner(row)) {
      owners.push_back({&row, HashText(id.str()), {}});
    }
  }
  return owners;
}

double OwnerScore(const World& world,
                  const UpstreamRow& upstream,
                  std::uint64_t upstream_hash,
                  const Owner& owner) {
  double score = RendezvousScore(upstream_hash, owner.m_hash, 1.0);
  if (owner.m_row->m_region == upstream.m_region) {
    score += kRegionScore;
  }
  if (world.m_placement_parameters.m_prefer_data_centre &&
      owner.m_row->m_data_centre == upstream.m_data_centre) {
    score += kDataCentreScore;
  }
  return score;
}

/// Assigns upstreams to owners by deferred acceptance (Gale-Shapley): each
/// upstream proposes to owners in descending order of score, and an owner at
/// its share keeps the highest scores. The result does not depend on the order
/// of the upstreams, and a change of one instance moves few of them.
class OwnerAssignment {
 public:
  explicit OwnerAssignment(const World& world)
      : m_world(world), m_owners(EligibleOwners(world)) {
    for (const auto& [id, row] : world.m_upstreams.m_rows) {
      if (row.m_kind == UpstreamKind::kEngine) {
        m_upstreams.push_back(&row);
        m_hashes.push_back(HashText(id.str()));
      }
    }
  }

  std::map<UpstreamId, InstanceId> Run() {
    std::map<UpstreamId, InstanceId> result;
    if (m_owners.empty()) {
      return result;
    }
    m_share = (m_upstreams.size() + m_owners.size() - 1) / m_owners.size();
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
      Assign(index);
    }
    for (const Owner& owner : m_owners) {
      NUTMEG_CHECK(owner.m_owned.size() <= m_share,
                   "no instance owns more than its share");
      for (const auto& [score, index] : owner.m_owned) {
        result[m_upstreams[index]->m_id] = owner.m_row->m_id;
      }
    }
    return result;
  }

 private:
  /// Assigns an owner to an upstream, and then to each upstream that is
  /// displaced by it.
  void Assign(std::size_t index) {
    // An upstream proposes to owners in descending order of score.
    double score_limit = kHighest;
    while (true) {
      const auto [owner, score] = NextOwner(index, score_limit);
      if (owner == nullptr) {
        return;
      }
      const std::pair<double, std::size_t> entry{score, index};
      const auto place =
          std::lower_bound(owner->m_owned.begin(), owner->m_owned.end(), entry);
      owner->m_owned.insert(place, entry);
      if (owner->m_owned.size() <= m_share) {
        return;
      }
      std::tie(score_limit, index) = owner->m_owned.front();
      owner->m_owned.erase(owner->m_owned.begin());
    }
  }

  /// @return the owner with the highest score below score_limit, and that
  /// score; a null pointer when there is none.
  std::pair<Owner*, double> NextOwner(std::size_t index, double score_limit) {
    std::pair<Owner*, double> best{nullptr, 0.0};
    for (Owner& owner : m_owners) {
      const double score =
          OwnerScore(m_world, *m_upstreams[index], m_hashes[index], owner);
      if (score < score_limit &&
          (best.first == nullptr || score > best.second)) {
        best = {&owner, score};
      }
    }
    return best;
  }

  static constexpr double kHighest = 100.0;

  const World& m_world;
  std::vector<Owner> m_owners;
  std::vector<const UpstreamRow*> m_upstreams;
  std::vector<std::uint64_t> m_hashes;
  std::size_t m_share = 0;
};

/// @return a hash of the inputs of ComputeOwners: the configuration revision,
/// the number of upstreams and the eligible instances.
std::uint64_t HashOwnerInputs(const World& world) {
  std::uint64_t hash = HashPair(world.m_configuration.m_revision.value(),
                                world.m_upstreams.m_rows.size());
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (IsEligibleOwner(row)) {
      hash = HashPair(hash, HashText(id.str()));
    }
  }
  return hash;
}

/// @return the sort rank of an instance: alive before suspect.
int StatusRank(const InstanceRow& row) {
  return row.m_status == InstanceStatus::kAlive ? 0 : 1;
}

struct RankedInstance {
  int m_rank = 0;
  double m_score = 0.0;
  const InstanceRow* m_row = nullptr;

  bool operator<(const RankedInstance& other) const {
    return std::pair(m_rank, -m_score) <
           std::pair(other.m_rank, -other.m_score);
  }
};

InstanceId EntryOwner(const World& world,
                      ChatKey chat,
                      const std::optional<RouteId>& route) {
  // Without a route, the only configured route is used.
  const auto found = !route && world.m_routes.size() == 1
                         ? world.m_routes.begin()
                         : world.m_routes.find(route.value_or(RouteId()));
  if (found == world.m_routes.end()) {
    return InstanceId();
  }
  const UpstreamRow* engine =
      world.m_upstreams.Find(EntryEngine(world, found->second, chat));
  return engine == nullptr ? InstanceId() : engine->m_owner;
}

}  // namespace

std::map<UpstreamId, InstanceId> ComputeOwners(const World& world) {
  return OwnerAssignment(world).Run();
}

void UpdateOwners(World& world, TimePoint now) {
  PlacementState& state = world.m_placement;
  if (now < state.m_owners_recheck_at) {
    return;
  }
  state.m_owners_recheck_at =
      now + world.m_placement_parameters.m_owner_recheck;
  const std::uint64_t input_hash = HashOwnerInputs(world);
  if (input_hash == state.m_owners_input_hash) {
    return;
  }
  state.m_owners_input_hash = input_hash;
  const std::map<UpstreamId, InstanceId> owners = ComputeOwners(world);
  for (auto& [id, row] : world.m_upstreams.m_rows) {
    const auto found = owners.find(id);
    const InstanceId owner =
        found == owners.end() ? InstanceId() : found->second;
    if (owner != row.m_owner && owner == world.m_instances.m_self) {
      state.m_owners_changed_at = now;
    }
    row.m_owner = owner;
  }
}

UpstreamId EntryEngine(const World& world,
                       const RouteRow& route,
                       ChatKey chat) {
  const InstanceRow* self = world.m_instances.Find(world.m_instances.m_self);
  const UpstreamRow* best = nullptr;
  double best_score = 0.0;
  for (const UpstreamId& id : route.m_upstreams) {
    const UpstreamRow* row = world.m_upstreams.Find(id);
    if (row == nullptr) {
      continue;
    }
    const double score =
        ChatScore(chat, HashText(id.str()), row->m_weight,
                  self == nullptr || InSameRegion(*self, *row));
    if (best == nullptr || score > best_score) {
      best = row;
      best_score = score;
    }
  }
  return best == nullptr ? UpstreamId() : best->m_id;
}

EntryLookupResult ChooseEntry(const World& world,
                              std::optional<ChatKey> chat,
                              const std::optional<RouteId>& route,
                              TimePoint /*now*/) {
  // Callers that give no chat are distributed at random.
  const std::uint64_t key = chat ? chat->value() : world.m_hooks.m_random();
  const InstanceId owner =
      chat ? EntryOwner(world, *chat, route) : InstanceId();
  const InstanceRow* self = world.m_instances.Find(world.m_instances.m_self);
  std::vector<RankedInstance> ranked;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (!IsEligibleOwner(row)) {
      continue;
    }
    double score = RendezvousScore(key, HashText(id.str()), 1.0);
    if (id == owner) {
      score += 2.0 * kRegionScore;
    }
    if (self != nullptr && row.m_region == self->m_region) {
      score += kRegionScore;
    }
    ranked.push_back({StatusRank(row), score, &row});
  }
  std::sort(ranked.begin(), ranked.end());
  EntryLookupResult lookup{.m_ttl = world.m_placement_parameters.m_entry_ttl,
                           .m_revision = world.m_configuration.m_revision};
  const auto max_addresses =
      static_cast<std::size_t>(world.m_placement_parameters.m_entry_addresses);
  for (const RankedInstance& instance : ranked) {
    // Suspect instances are returned only when no instance is alive.
    const bool has_best_rank = instance.m_rank == ranked.front().m_rank;
    if (has_best_rank && lookup.m_addresses.size() < max_addresses) {
      lookup.m_addresses.push_back(instance.m_row->m_caller_endpoint);
    }
  }
  return lookup;
}

}  // namespace nutmeghollow
