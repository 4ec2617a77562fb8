/// @file
/// Explanation of the choice of an upstream for a request.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/send_rules.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// What the choice considers of a candidate.
struct CandidateExplanation {
  double m_cost = 0;
  int m_rank = 0;              ///< In the prompt's rendezvous order.
  double m_unread_tokens = 0;  ///< Estimated uncached prompt tokens.
  bool m_over_bound = false;   ///< Of the load of an engine.
};

/// One upstream of the request's service.
struct UpstreamExplanation {
  UpstreamId m_id;
  DataCentreId m_data_centre;
  double m_load = 0;  ///< Estimated requests in progress.
  int m_active = 0;   ///< Of these, requests of this instance.
  /// Age of the upstream's own report; unset when none is in use.
  std::optional<Duration> m_report_age;
  /// Remaining time of its cold state, as stated; zero when it is warm.
  Duration m_cold_for{};
  SendVerdict m_verdict;  ///< Includes backoff, which the rules leave out.
  /// Unset when the verdict excludes the upstream from the choice.
  std::optional<CandidateExplanation> m_candidate;
};

/// Upstreams of a service and the one that a request would be sent to.
struct ChoiceExplanation {
  std::vector<UpstreamExplanation> m_upstreams;  ///< By id.
  std::optional<UpstreamChoice> m_choice;        ///< Unset when there is none.
  double m_mean_load = 0;                        ///< Of the candidates.
  double m_bound = 0;                            ///< Of the load of an engine.
  Duration m_peer_load_age{};  ///< Of the loads of other instances.
};

}  // namespace nutmeghollow
