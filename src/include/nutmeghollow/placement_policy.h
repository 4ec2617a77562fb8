/// @file
/// Policies that choose an upstream for a request.
///
/// The policy is selected by name in the settings, so that the default can be
/// compared with simpler policies in the same program.
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "nutmeghollow/chats.h"
#include "nutmeghollow/loads.h"
#include "nutmeghollow/requests.h"

namespace nutmeghollow {

struct World;

/// Input of a policy.
struct PlacementQuery {
  const World& m_world;
  const RequestRow& m_request;
  const DestinationView& m_view;
  /// Load bound of the route, as a multiple of the mean.
  double m_bound = 1.25;
  TimePoint m_now{};
};

/// Decision of a policy.
struct PlacementChoice {
  int m_candidate = 0;  ///< Index in the view.
  PlacementReason m_reason = PlacementReason::kNone;
  /// The upstream is near its bound, so that a reservation is needed when its
  /// owner is another instance.
  bool m_near_bound = false;
  /// The request should wait for capacity at an engine that holds its prefix.
  bool m_wait = false;
};

/// Chooses an upstream. @return unset when the request has to wait.
using PlacementPolicy =
    std::function<std::optional<PlacementChoice>(const PlacementQuery&)>;

/// @return the policy with a name, or an empty function. Names: bounded,
/// local_only, random, least_loaded, two_choices.
PlacementPolicy FindPlacementPolicy(std::string_view name);

/// @return the names of all policies.
std::vector<std::string_view> PlacementPolicyNames();

/// Sums over the usable upstreams of a destination.
struct LoadTotals {
  int m_usable = 0;
  double m_load = 0.0;
  double m_load_root = 0.0;  ///< Square root of the load plus one request.
  double m_weight = 0.0;
  /// Sum of the weights, each scaled by its slow start factor.
  double m_slow_start_weight = 0.0;
};

/// @return the sums over the usable candidates.
LoadTotals SumLoads(const DestinationView& view);

/// Upper limits on the number of requests at a candidate.
struct CandidateLimits {
  /// The bound of the route: never exceeded.
  int m_hard = 1;
  /// The bound that applies while any candidate is below it. It is lower than
  /// m_hard, because the mean falls when requests elsewhere end.
  int m_inner = 1;
  /// The mean load: the bound for requests that have no prefix to lose, such as
  /// the first turn of a chat.
  int m_flexible = 1;
  /// Half way between m_flexible and m_inner: for requests whose prefix is
  /// cheap to recompute.
  int m_cheap_prefix = 1;
};

/// @return the limits of a candidate, with one more request counted into the
/// load of the route.
/// @param bound load bound of the route, as a multiple of the mean.
CandidateLimits LimitsOf(const World& world,
                         const LoadTotals& totals,
                         const Candidate& candidate,
                         double bound);

/// @return the score of an engine for a chat; the highest is its home.
/// @param engine_hash HashText of the engine's id.
double ChatScore(ChatKey chat,
                 std::uint64_t engine_hash,
                 double weight,
                 bool same_region);

/// @return true when another request may be sent to a candidate.
bool MayReceive(const RequestRow& request, const Candidate& candidate);

}  // namespace nutmeghollow
