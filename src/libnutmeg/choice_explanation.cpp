#include "nutmeghollow/choice_explanation.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {

ChoiceExplanation UpstreamPool::ExplainChoice(
    const UpstreamQuery& upstream_query,
    TimePoint now) const {
  const Evaluation evaluation = Evaluate(upstream_query, now);
  ChoiceExplanation explanation;
  explanation.m_choice = ChooseAmong(evaluation, upstream_query, now);
  explanation.m_mean_load = evaluation.m_mean;
  explanation.m_bound = evaluation.m_bound;
  explanation.m_peer_load_age = m_load_age;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_registration.m_service != upstream_query.m_service) {
      continue;
    }
    UpstreamExplanation one;
    one.m_id = id;
    one.m_data_centre = row.m_registration.m_data_centre;
    one.m_load = EstimatedLoad(row, now);
    one.m_active = row.m_active;
    if (row.m_report && now - row.m_report_at < m_parameters.m_max_report_age) {
      one.m_report_age = now - row.m_report_at;
    }
    one.m_cold_for = std::max(Duration::zero(), row.m_cold_until - now);
    one.m_verdict =
        AllSendRules().Check(QuestionFor(row, &upstream_query, now));
    const auto candidate = std::find_if(evaluation.m_candidates.begin(),
                                        evaluation.m_candidates.end(),
                                        [&row = row](const Candidate& item) {
                                          return item.m_upstream == &row;
                                        });
    if (candidate != evaluation.m_candidates.end()) {
      one.m_candidate = {candidate->m_cost, candidate->m_rank,
                         candidate->m_unread_tokens, candidate->m_is_over};
      if (candidate->m_backing_off &&
          one.m_verdict.m_obstacle == SendObstacle::kNone) {
        one.m_verdict = {SendObstacle::kBackingOff, std::nullopt};
        if (row.m_backoff_until > now) {
          one.m_verdict.m_until = row.m_backoff_until;
        }
      }
    }
    explanation.m_upstreams.push_back(std::move(one));
  }
  return explanation;
}

std::vector<std::pair<UpstreamId, Duration>> UpstreamPool::ColdUpstreams(
    TimePoint now) const {
  std::vector<std::pair<UpstreamId, Duration>> cold;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_cold_until > now) {
      cold.emplace_back(id, row.m_cold_until - now);
    }
  }
  return cold;
}

}  // namespace nutmeghollow
