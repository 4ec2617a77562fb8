#include "nutmeghollow/placement_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "nutmeghollow/hashing.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

/// Added to the score of candidates in the own region, so that they come
/// before all others.
constexpr double kRegionScore = 1.0;

/// Load of a candidate relative to its weight, with one more request.
double RelativeLoad(const Candidate& candidate) {
  return (candidate.Load() + 1.0) / candidate.m_row->m_weight;
}

/// Keeps the candidate with the highest score.
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

/// The engines that ran a chat before, as positions in a view.
struct PrefixHolders {
  int m_last = -1;
  int m_previous = -1;
};

/// @return true when an engine may still hold what it cached at a time.
bool MayHoldPrefix(const Candidate& candidate, TimePoint placed_at) {
  const auto& restarted = candidate.m_row->m_slow_start_since;
  return !restarted || *restarted <= placed_at;
}

/// The bounded policy: one pass over the candidates.
class BoundedSearch {
 public:
  explicit BoundedSearch(const PlacementQuery& query)
      : m_query(query), m_totals(SumLoads(query.m_view)) {
    m_memory = query.m_world.m_placement.m_chats.Find(
        query.m_request.m_request.m_chat);
  }

  std::optional<PlacementChoice> Run() {
    const std::vector<Candidate>& candidates = m_query.m_view.m_candidates;
    for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
      Consider(index, candidates[index]);
    }
    return Choose();
  }

 private:
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
    if (load <= limits.m_hard) {
      // Above the inner bound the lowest load counts, not the order.
      m_within_hard.Offer(index, -RelativeLoad(candidate));
    }
    if (load > limits.m_inner) {
      return;
    }
    m_within_inner.Offer(index, score);
    NotePrefix(index, candidate);
    if (load <= limits.m_first_turn) {
      m_within_first_turn.Offer(index, score);
    }
  }

  void NotePrefix(int index, const Candidate& candidate) {
    if (!m_memory || !MayHoldPrefix(candidate, m_memory->m_placed_at)) {
      return;
    }
    if (candidate.m_row->m_id == m_memory->m_last) {
      m_holders.m_last = index;
    } else if (candidate.m_row->m_id == m_memory->m_previous) {
      m_holders.m_previous = index;
    }
  }

  std::optional<PlacementChoice> Choose() const {
    if (m_holders.m_last >= 0) {
      return Choice(m_holders.m_last, PlacementReason::kPrefix);
    }
    if (m_holders.m_previous >= 0) {
      return Choice(m_holders.m_previous, PlacementReason::kOlderPrefix);
    }
    const bool is_new = !m_memory && m_query.m_request.m_request.m_first_turn;
    if (is_new && m_within_first_turn.m_index >= 0) {
      return Choice(m_within_first_turn.m_index, PlacementReason::kHome);
    }
    if (m_within_inner.m_index >= 0) {
      return Choice(m_within_inner.m_index, PlacementReason::kHome);
    }
    if (m_within_hard.m_index >= 0) {
      return Choice(m_within_hard.m_index, PlacementReason::kOverflow);
    }
    return std::nullopt;
  }

  PlacementChoice Choice(int index, PlacementReason reason) const {
    const Candidate& candidate = m_query.m_view.m_candidates[index];
    const CandidateLimits limits =
        LimitsOf(m_query.m_world, m_totals, candidate, m_query.m_bound);
    const int margin =
        m_query.m_world.m_placement_parameters.m_reservation_margin;
    PlacementChoice choice{index, reason,
                           candidate.Load() + 1 > limits.m_inner - margin};
    if (reason == PlacementReason::kHome && index != m_home.m_index) {
      choice.m_reason = m_query.m_request.m_tried.empty()
                            ? PlacementReason::kOverflow
                            : PlacementReason::kRetry;
    }
    return choice;
  }

  const PlacementQuery& m_query;
  LoadTotals m_totals;
  std::optional<ChatPlacement> m_memory;
  PrefixHolders m_holders;
  Best m_home;
  Best m_within_first_turn;
  Best m_within_inner;
  Best m_within_hard;
};

std::optional<PlacementChoice> PlaceBounded(const PlacementQuery& query) {
  return BoundedSearch(query).Run();
}

/// Ignores what others announced: the loads are those of this instance.
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

std::vector<int> Receivers(const PlacementQuery& query) {
  std::vector<int> receivers;
  const std::vector<Candidate>& candidates = query.m_view.m_candidates;
  for (int index = 0; index < static_cast<int>(candidates.size()); ++index) {
    if (MayReceive(query.m_request, candidates[index])) {
      receivers.push_back(index);
    }
  }
  return receivers;
}

int Draw(const PlacementQuery& query, const std::vector<int>& receivers) {
  const std::uint64_t bits = query.m_world.m_hooks.m_random();
  return receivers[bits % receivers.size()];
}

std::optional<PlacementChoice> PlaceRandom(const PlacementQuery& query) {
  const std::vector<int> receivers = Receivers(query);
  if (receivers.empty()) {
    return std::nullopt;
  }
  return PlacementChoice{Draw(query, receivers), PlacementReason::kRandom};
}

/// Ties go to the candidate that the request's id selects, so that instances
/// with the same loads do not all choose the same one.
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
      best.Offer(index,
                 tie * 0.001 - RelativeLoad(candidate) / candidate.m_warmth);
    }
  }
  if (best.m_index < 0) {
    return std::nullopt;
  }
  return PlacementChoice{best.m_index, PlacementReason::kLeastLoaded};
}

std::optional<PlacementChoice> PlaceTwoChoices(const PlacementQuery& query) {
  const std::vector<int> receivers = Receivers(query);
  if (receivers.empty()) {
    return std::nullopt;
  }
  const int first = Draw(query, receivers);
  const int second = Draw(query, receivers);
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
      totals.m_warm_weight += candidate.m_row->m_weight * candidate.m_warmth;
    }
  }
  return totals;
}

CandidateLimits LimitsOf(const World& world,
                         const LoadTotals& totals,
                         const Candidate& candidate,
                         double bound) {
  const PlacementParameters& parameters = world.m_placement_parameters;
  const double weight = candidate.m_row->m_weight;
  const double load = totals.m_load + 1.0;
  const double share = weight / totals.m_weight;
  const double warm_share =
      std::min(share, weight * candidate.m_warmth / totals.m_warm_weight);
  const double floor = parameters.m_least_mean * totals.m_usable * share;
  const double mean = std::max(load * share, floor);
  const double warm_mean =
      std::max(load * warm_share, floor * candidate.m_warmth);
  // A tiny excess over a whole number is an error of rounding.
  constexpr double kRounding = 1e-9;
  CandidateLimits limits;
  limits.m_hard =
      std::max(1, static_cast<int>(std::ceil(bound * mean - kRounding)));
  const double inner = 1.0 + (bound - 1.0) * parameters.m_inner_share;
  limits.m_inner =
      std::max(1, static_cast<int>(std::floor(inner * warm_mean + kRounding)));
  limits.m_inner = std::min(limits.m_inner, limits.m_hard);
  limits.m_first_turn =
      std::min(limits.m_inner,
               std::max(1, static_cast<int>(std::ceil(warm_mean - kRounding))));
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
