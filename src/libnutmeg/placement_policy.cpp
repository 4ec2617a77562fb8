#include "nutmeghollow/placement_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "nutmeghollow/hashing.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

/// Added to the score of candidates in this instance's region, so that they
/// rank before all others.
constexpr double kRegionScore = 1.0;

/// @return the load of a candidate plus one request, relative to its weight.
double RelativeLoad(const Candidate& candidate) {
  return (candidate.Load() + 1.0) / candidate.m_row->m_weight;
}

/// Rounds a limit up to a whole request, and to at least one. An excess below
/// kRoundingError is a floating-point error and is ignored.
int RoundUp(double limit) {
  constexpr double kRoundingError = 1e-9;
  return std::max(1, static_cast<int>(std::ceil(limit - kRoundingError)));
}

/// Tracks the candidate with the highest score.
struct Best {
  int m_index = -1;
  double m_score = 0.0;

  void Offer(int index, double score) {
    if (m_index < 0 || score > m_score) {
      m_index = index;
      m_score = score;
    }
  }
};

/// @return true when an engine may still have a prefix cached that it computed
/// at `placed_at`; false when it restarted since.
bool MayHoldPrefix(const Candidate& candidate, TimePoint placed_at) {
  const auto& restarted_at = candidate.m_row->m_slow_start_since;
  return !restarted_at || *restarted_at <= placed_at;
}

/// @return the time to recompute a request's prefix. A body of unknown size
/// counts as one hour, so that its prefix is always worth keeping.
Duration PrefixCost(const PlacementQuery& query) {
  const Bytes size = query.m_request.m_request.m_body_size;
  if (size.value() <= 0) {
    return std::chrono::hours(1);
  }
  const Bytes rate = query.m_world.m_placement_parameters.m_prefill_rate;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(size.value()) / static_cast<double>(rate.value())));
}

/// The bounded policy, evaluated in one pass over the candidates.
class BoundedSearch {
 public:
  explicit BoundedSearch(const PlacementQuery& query)
      : m_query(query),
        m_parameters(query.m_world.m_placement_parameters),
        m_totals(SumLoads(query.m_view)),
        m_memory(query.m_world.m_placement.m_chats.Find(
            query.m_request.m_request.m_chat)),
        m_has_cheap_prefix(PrefixCost(query) < m_parameters.m_cheap_prefix) {}

  std::optional<PlacementChoice> Run() {
    const std::vector<Candidate>& candidates = m_query.m_view.m_candidates;
    for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
      Consider(index, candidates[index]);
    }
    return Choose();
  }

 private:
  /// The best candidates within one of the limits.
  struct BestWithin {
    Best m_in_order;  ///< The first in the chat's rendezvous order.
    Best m_holder;    ///< The one with the most recent prefix.
  };

  void Consider(int index, const Candidate& candidate) {
    if (!candidate.IsUsable()) {
      return;
    }
    const double score =
        ChatScore(m_query.m_request.m_request.m_chat, candidate.m_hash,
                  candidate.m_row->m_weight, candidate.m_same_region);
    m_home.Offer(index, score);
    if (!MayReceive(m_query.m_request, candidate)) {
      return;
    }
    const CandidateLimits limits =
        LimitsOf(m_query.m_world, m_totals, candidate, m_query.m_bound);
    const int load = candidate.Load() + 1;
    const int age = AgeOfPrefix(candidate);
    if (load <= limits.m_hard) {
      // Above the inner bound, candidates are ranked by load instead of the
      // rendezvous order.
      m_within_hard.Offer(index, -RelativeLoad(candidate));
    }
    if (load <= limits.m_inner) {
      Offer(m_within_inner, index, score, age);
    } else {
      m_holder_is_full = m_holder_is_full || age >= 0;
    }
    const int flexible = age >= 0 ? limits.m_cheap_prefix : limits.m_flexible;
    if (load <= flexible) {
      // A request with a cheap prefix need not reach its home: without a holder
      // of the prefix it goes to the least loaded candidate.
      Offer(m_within_flexible, index,
            m_has_cheap_prefix ? -RelativeLoad(candidate) : score, age);
    }
  }

  static void Offer(BestWithin& within, int index, double score, int age) {
    within.m_in_order.Offer(index, score);
    if (age >= 0) {
      within.m_holder.Offer(index, -age);
    }
  }

  /// @return the number of upstreams that ran the chat after this one; -1 when
  /// this one does not hold the prefix.
  int AgeOfPrefix(const Candidate& candidate) const {
    if (!m_memory || !MayHoldPrefix(candidate, m_memory->m_placed_at)) {
      return -1;
    }
    const auto& holders = m_memory->m_holders;
    const auto found =
        std::find(holders.begin(), holders.end(), candidate.m_memory_index);
    return found == holders.end() ? -1
                                  : static_cast<int>(found - holders.begin());
  }

  /// @return true when no engine holds a prefix of the chat. An instance that
  /// owned the home engine for long enough has seen all of its recent chats.
  bool IsNewChat() const {
    if (m_memory) {
      return false;
    }
    if (m_query.m_request.m_request.m_first_turn) {
      return true;
    }
    const PlacementState& state = m_query.m_world.m_placement;
    return m_home.m_index >= 0 &&
           m_query.m_view.m_candidates[m_home.m_index].m_row->m_owner ==
               m_query.m_world.m_instances.m_self &&
           m_query.m_now - state.m_owners_changed_at >=
               m_parameters.m_memory_warmup;
  }

  /// @return true while the request should wait for capacity at an engine that
  /// holds its prefix.
  bool ShouldWait() const {
    const Duration limit =
        std::min(PrefixCost(m_query) * m_parameters.m_prefix_wait_factor,
                 m_parameters.m_prefix_wait);
    return m_holder_is_full && !m_has_cheap_prefix &&
           m_query.m_now - m_query.m_request.m_phase_since < limit;
  }

  std::optional<PlacementChoice> Choose() const {
    const bool is_flexible = m_has_cheap_prefix || IsNewChat();
    if (is_flexible) {
      if (const auto choice = ChooseWithin(m_within_flexible)) {
        return choice;
      }
    }
    if (m_within_inner.m_holder.m_index < 0 && ShouldWait()) {
      return PlacementChoice{.m_wait = true};
    }
    if (const auto choice = ChooseWithin(m_within_inner)) {
      return choice;
    }
    if (m_within_hard.m_index >= 0) {
      return Choice(m_within_hard.m_index, PlacementReason::kOverflow);
    }
    return std::nullopt;
  }

  std::optional<PlacementChoice> ChooseWithin(const BestWithin& within) const {
    if (within.m_holder.m_index >= 0) {
      return Choice(within.m_holder.m_index,
                    within.m_holder.m_score == 0.0
                        ? PlacementReason::kPrefix
                        : PlacementReason::kOlderPrefix);
    }
    const int index = within.m_in_order.m_index;
    if (index < 0) {
      return std::nullopt;
    }
    if (index == m_home.m_index) {
      return Choice(index, PlacementReason::kHome);
    }
    return Choice(index, m_query.m_request.m_tried.empty()
                             ? PlacementReason::kOverflow
                             : PlacementReason::kRetry);
  }

  PlacementChoice Choice(int index, PlacementReason reason) const {
    const Candidate& candidate = m_query.m_view.m_candidates[index];
    const CandidateLimits limits =
        LimitsOf(m_query.m_world, m_totals, candidate, m_query.m_bound);
    return {.m_candidate = index,
            .m_reason = reason,
            .m_near_bound = candidate.Load() + 1 >
                            limits.m_inner - m_parameters.m_reservation_margin};
  }

  const PlacementQuery& m_query;
  const PlacementParameters& m_parameters;
  LoadTotals m_totals;
  std::optional<ChatPlacement> m_memory;
  bool m_has_cheap_prefix;
  Best m_home;
  BestWithin m_within_flexible;
  BestWithin m_within_inner;
  Best m_within_hard;  ///< The least loaded within the bound of the route.
  bool m_holder_is_full = false;
};

std::optional<PlacementChoice> PlaceBounded(const PlacementQuery& query) {
  return BoundedSearch(query).Run();
}

/// Bounded policy on the loads of this instance alone, without estimates of
/// other instances.
std::optional<PlacementChoice> PlaceLocalOnly(const PlacementQuery& query) {
  DestinationView view = query.m_view;
  for (Candidate& candidate : view.m_candidates) {
    candidate.m_remote = 0;
  }
  std::optional<PlacementChoice> choice = PlaceBounded(
      {query.m_world, query.m_request, view, query.m_bound, query.m_now});
  if (choice) {
    choice->m_near_bound = false;
  }
  return choice;
}

std::vector<int> FindReceivers(const PlacementQuery& query) {
  std::vector<int> receivers;
  const std::vector<Candidate>& candidates = query.m_view.m_candidates;
  for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
    if (MayReceive(query.m_request, candidates[index])) {
      receivers.push_back(index);
    }
  }
  return receivers;
}

int DrawReceiver(const PlacementQuery& query,
                 const std::vector<int>& receivers) {
  const std::uint64_t bits = query.m_world.m_hooks.m_random();
  return receivers[bits % receivers.size()];
}

std::optional<PlacementChoice> PlaceRandom(const PlacementQuery& query) {
  const std::vector<int> receivers = FindReceivers(query);
  if (receivers.empty()) {
    return std::nullopt;
  }
  return PlacementChoice{DrawReceiver(query, receivers),
                         PlacementReason::kRandom};
}

/// Ties are broken by a hash of the request's id, so that instances with the
/// same loads do not all choose the same candidate.
std::optional<PlacementChoice> PlaceLeastLoaded(const PlacementQuery& query) {
  Best best;
  const std::vector<Candidate>& candidates = query.m_view.m_candidates;
  const std::uint64_t key =
      HashText(query.m_request.m_request.m_public_id.str());
  const std::uint64_t salt =
      HashPair(key, query.m_request.m_request.m_id.value());
  for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
    const Candidate& candidate = candidates[index];
    if (MayReceive(query.m_request, candidate)) {
      const double tie = RendezvousScore(salt, candidate.m_hash, 1.0);
      best.Offer(index, tie * 0.001 - RelativeLoad(candidate) /
                                          candidate.m_slow_start_factor);
    }
  }
  if (best.m_index < 0) {
    return std::nullopt;
  }
  return PlacementChoice{best.m_index, PlacementReason::kLeastLoaded};
}

std::optional<PlacementChoice> PlaceTwoChoices(const PlacementQuery& query) {
  const std::vector<int> receivers = FindReceivers(query);
  if (receivers.empty()) {
    return std::nullopt;
  }
  const int first = DrawReceiver(query, receivers);
  const int second = DrawReceiver(query, receivers);
  const std::vector<Candidate>& candidates = query.m_view.m_candidates;
  const bool first_is_lower =
      RelativeLoad(candidates[first]) <= RelativeLoad(candidates[second]);
  return PlacementChoice{first_is_lower ? first : second,
                         PlacementReason::kLeastLoaded};
}

using PolicyFunction =
    std::optional<PlacementChoice> (*)(const PlacementQuery&);

constexpr std::array<std::pair<std::string_view, PolicyFunction>, 5> kPolicies{{
    {"bounded", PlaceBounded},
    {"local_only", PlaceLocalOnly},
    {"random", PlaceRandom},
    {"least_loaded", PlaceLeastLoaded},
    {"two_choices", PlaceTwoChoices},
}};

}  // namespace

PlacementPolicy FindPlacementPolicy(std::string_view name) {
  for (const auto& [policy_name, function] : kPolicies) {
    if (policy_name == name) {
      return function;
    }
  }
  return nullptr;
}

std::vector<std::string_view> PlacementPolicyNames() {
  std::vector<std::string_view> names;
  names.reserve(kPolicies.size());
  for (const auto& [policy_name, function] : kPolicies) {
    names.push_back(policy_name);
  }
  return names;
}

LoadTotals SumLoads(const DestinationView& view) {
  LoadTotals totals;
  for (const Candidate& candidate : view.m_candidates) {
    if (candidate.IsUsable()) {
      ++totals.m_usable;
      totals.m_load += candidate.Load();
      totals.m_weight += candidate.m_row->m_weight;
      totals.m_slow_start_weight +=
          candidate.m_row->m_weight * candidate.m_slow_start_factor;
    }
  }
  totals.m_load_root = std::sqrt(totals.m_load + 1.0);
  return totals;
}

CandidateLimits LimitsOf(const World& world,
                         const LoadTotals& totals,
                         const Candidate& candidate,
                         double bound) {
  const PlacementParameters& parameters = world.m_placement_parameters;
  const double weight = candidate.m_row->m_weight;
  const double share = weight / totals.m_weight;
  const double warm_share =
      std::min(share, weight * candidate.m_slow_start_factor /
                          totals.m_slow_start_weight);
  const double load = totals.m_load + 1.0;
  const double least_load = parameters.m_min_mean_load * totals.m_usable;
  // The load of the route is a sum of many independent requests: during the
  // run time of one request, the sum falls by about its square root.
  const double lower_load = std::max(
      load - parameters.m_load_margin * totals.m_load_root, least_load);
  CandidateLimits limits;
  limits.m_hard = RoundUp(bound * std::max(load, least_load) * share);
  limits.m_inner =
      std::min(limits.m_hard, RoundUp(bound * lower_load * warm_share));
  limits.m_flexible = std::min(
      limits.m_inner, RoundUp(std::max(load, least_load) * warm_share));
  limits.m_cheap_prefix = (limits.m_flexible + limits.m_inner) / 2;
  return limits;
}

double ChatScore(ChatKey chat,
                 std::uint64_t engine_hash,
                 double weight,
                 bool same_region) {
  const double score = RendezvousScore(chat.value(), engine_hash, weight);
  return same_region ? score + kRegionScore : score;
}

bool MayReceive(const RequestRow& request, const Candidate& candidate) {
  return candidate.IsUsable() && candidate.HasCapacity() &&
         (request.m_tried.empty() ||
          !request.m_tried.contains(candidate.m_row->m_id));
}

}  // namespace nutmeghollow
