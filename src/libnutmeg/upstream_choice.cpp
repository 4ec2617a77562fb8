// Selection of an upstream for a request.
#include <algorithm>
#include <tuple>
#include <utility>

#include "nutmeghollow/hashing.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

/// Cost per rank in the order of a prompt's engines, in milliseconds. It makes
/// instances without information about each other choose the same engine.
constexpr double kRankCost = 6.0;
/// Rank from which the cost no longer grows.
constexpr int kMaxCostedRank = 4;
/// Cost of an engine in another data centre, in milliseconds. It decides only
/// between engines of otherwise nearly equal cost.
constexpr double kDistanceCost = 1.0;
/// Upper limit of the cost factor of a slow server: its response time over the
/// mean of the service.
constexpr double kSlowFactorLimit = 10.0;

/// Weight of the newest request in the mean length of shared prefixes.
constexpr double kPrefixAverageWeight = 0.02;

double SharedTokens(const std::vector<PromptPart>& prompt) {
  double tokens = 0;
  for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
    tokens += static_cast<double>(prompt[index].m_tokens.value());
  }
  return tokens;
}

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace

double UpstreamPool::EstimatedLoad(const Upstream& upstream,
                                   TimePoint now) const {
  const auto peers = m_peer_total.find(upstream.m_hash);
  double load =
      upstream.m_active + (peers == m_peer_total.end() ? 0 : peers->second);
  if (upstream.m_report &&
      now - upstream.m_report_at < m_parameters.m_max_report_age) {
    const double reported = upstream.m_report->m_running +
                            upstream.m_report->m_waiting + upstream.m_active -
                            upstream.m_active_at_report;
    load = std::max(load, reported);
  }
  return load;
}

bool UpstreamPool::MayTry(const Upstream& upstream, TimePoint now) const {
  const Duration wait = upstream.m_refused_until - upstream.m_refused_at;
  const Duration passed = now - upstream.m_refused_at;
  return !upstream.m_refusal_tried &&
         Milliseconds(passed) >=
             m_parameters.m_refusal_trial_share * Milliseconds(wait);
}

std::vector<UpstreamPool::Candidate> UpstreamPool::Collect(
    const UpstreamQuery& upstream_query,
    bool trials,
    TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, row] : m_upstreams) {
    if (row.m_registration.m_service != upstream_query.m_service) {
      continue;
    }
    SendQuestion question = QuestionFor(row, &upstream_query, now);
    if (trials && MayTry(row, now)) {
      question.m_refused_until = now;
    }
    const SendObstacle obstacle = AllSendRules().Check(question).m_obstacle;
    if (obstacle != SendObstacle::kNone &&
        obstacle != SendObstacle::kNeedsPermit &&
        obstacle != SendObstacle::kNeedsLease) {
      continue;
    }
    Candidate candidate;
    candidate.m_upstream = &row;
    candidate.m_load = EstimatedLoad(row, now);
    candidate.m_limited = m_tables.m_limits.IsLimited(question.m_process);
    candidate.m_needs_permit = obstacle == SendObstacle::kNeedsPermit;
    candidate.m_leased =
        m_tables.m_refusal_limits.IsLimited(question.m_process);
    candidate.m_needs_lease = obstacle == SendObstacle::kNeedsLease;
    candidates.push_back(candidate);
  }
  MarkBackingOff(candidates, now);
  return candidates;
}

void UpstreamPool::MarkBackingOff(std::vector<Candidate>& candidates,
                                  TimePoint now) const {
  std::size_t backing_off_count = 0;
  for (Candidate& candidate : candidates) {
    const Upstream& row = *candidate.m_upstream;
    // After its backoff an upstream gets one request at a time until one is
    // served.
    const bool on_trial = row.m_failures > 0 && row.m_active > 0;
    candidate.m_backing_off = now < row.m_backoff_until || on_trial;
    backing_off_count += candidate.m_backing_off ? 1 : 0;
  }
  const auto most =
      static_cast<std::size_t>(m_parameters.m_max_backoff_share *
                               static_cast<double>(candidates.size()));
  if (backing_off_count <= most) {
    return;
  }
  for (Candidate& candidate : candidates) {
    candidate.m_backing_off = false;
  }
}

bool UpstreamPool::HasPart(const Upstream& upstream,
                           PartId part,
                           TimePoint now) const {
  const auto known = upstream.m_parts.find(part);
  return known != upstream.m_parts.end() &&
         now - known->second < m_parameters.m_max_part_age;
}

double UpstreamPool::UnreadTokens(const Upstream& upstream,
                                  const std::vector<PromptPart>& prompt,
                                  bool assume_shared,
                                  TimePoint now) const {
  // The last part is specific to this request. A cached part implies that all
  // parts before it are cached too.
  std::size_t cached = assume_shared ? prompt.size() - 1 : 0;
  for (std::size_t index = prompt.size() - 1; index > cached; --index) {
    if (HasPart(upstream, prompt[index - 1].m_id, now)) {
      cached = index;
    }
  }
  double unread = 0;
  for (std::size_t index = cached; index < prompt.size(); ++index) {
    unread += static_cast<double>(prompt[index].m_tokens.value());
  }
  return unread;
}

double UpstreamPool::EngineCost(const Candidate& candidate,
                                Duration target) const {
  const Upstream& upstream = *candidate.m_upstream;
  const double prefill_ms =
      candidate.m_unread_tokens / m_parameters.m_prefill_rate;
  double wait_ms = prefill_ms +
                   upstream.m_pending_prefill / m_parameters.m_prefill_rate +
                   candidate.m_load * m_parameters.m_wait_per_request;
  const double slots = std::max(1, upstream.m_registration.m_slots);
  if (candidate.m_load >= slots) {
    wait_ms *= 1.0 + candidate.m_load / slots;
  }
  const double late_ms = std::max(
      0.0, wait_ms - m_parameters.m_free_wait_share * Milliseconds(target));
  const double cost = prefill_ms + m_parameters.m_wait_cost * late_ms +
                      candidate.m_load * m_parameters.m_load_cost +
                      std::min(candidate.m_rank, kMaxCostedRank) * kRankCost;
  return cost * (1.0 + m_parameters.m_failure_cost * upstream.m_failure_rate);
}

void UpstreamPool::CostEngines(std::vector<Candidate>& candidates,
                               const UpstreamQuery& upstream_query,
                               TimePoint now) const {
  const PartId chat = ChatPart(*upstream_query.m_prompt);
  // Engines that back off come last, so that every instance replaces them by
  // the same next engine.
  std::vector<std::tuple<bool, double, Candidate*>> order;
  for (Candidate& candidate : candidates) {
    const UpstreamId& id = candidate.m_upstream->m_registration.m_id;
    order.emplace_back(candidate.m_backing_off,
                       -RendezvousScore(chat.value(), HashText(id.str()), 1.0),
                       &candidate);
  }
  std::sort(order.begin(), order.end());
  // The first engine of the order is assumed to cache the chat only when no
  // engine is known to do so.
  const bool cached_on_any =
      std::any_of(candidates.begin(), candidates.end(), [&](const auto& one) {
        return !one.m_backing_off && HasPart(*one.m_upstream, chat, now);
      });
  const double permit_cost = PermitCost(upstream_query);
  int rank = 0;
  for (const auto& [backing_off, score, candidate] : order) {
    const Upstream& row = *candidate->m_upstream;
    const bool near =
        row.m_registration.m_data_centre == upstream_query.m_data_centre;
    candidate->m_rank = rank;
    candidate->m_unread_tokens = UnreadTokens(row, *upstream_query.m_prompt,
                                              rank == 0 && !cached_on_any, now);
    candidate->m_cost =
        EngineCost(*candidate, upstream_query.m_latency_target) +
        (near ? 0 : kDistanceCost) + (candidate->m_limited ? permit_cost : 0);
    ++rank;
  }
}

double UpstreamPool::Slowness(const Upstream& upstream,
                              double mean_response_ms,
                              double mean_failure_rate) const {
  double slowness = 1.0;
  if (mean_response_ms > 0 && upstream.m_mean_response_ms > 0) {
    slowness = std::clamp(upstream.m_mean_response_ms / mean_response_ms, 1.0,
                          kSlowFactorLimit);
  }
  const double excess =
      std::max(0.0, upstream.m_failure_rate - mean_failure_rate);
  return slowness * (1.0 + m_parameters.m_failure_cost * excess);
}

void UpstreamPool::CostServices(std::vector<Candidate>& candidates) const {
  double mean_response_ms = 0;
  double failure_rate = 0;
  int timed = 0;
  for (const Candidate& candidate : candidates) {
    mean_response_ms += candidate.m_upstream->m_mean_response_ms;
    timed += candidate.m_upstream->m_mean_response_ms > 0 ? 1 : 0;
    failure_rate += candidate.m_upstream->m_failure_rate;
  }
  mean_response_ms /= std::max(1, timed);
  failure_rate /= std::max<double>(1, static_cast<double>(candidates.size()));
  for (Candidate& candidate : candidates) {
    // Requests of plain services end within one digest period, so the loads
    // reported by other instances are outdated. If they were used, all
    // instances would choose the same upstream at the same time.
    const double own_load = candidate.m_upstream->m_active;
    const double slots =
        std::max(1, candidate.m_upstream->m_registration.m_slots);
    candidate.m_slowness =
        Slowness(*candidate.m_upstream, mean_response_ms, failure_rate);
    candidate.m_cost = (own_load + 1.0) / slots * candidate.m_slowness;
    if (candidate.m_limited) {
      candidate.m_cost += m_parameters.m_service_permit_cost / slots;
    }
  }
}

std::size_t UpstreamPool::SpreadOf(PartId chat,
                                   std::size_t engines,
                                   TimePoint now) const {
  const double unseen =
      m_hot.Rate(chat, now) * std::chrono::duration<double>(m_load_age).count();
  return unseen <= m_parameters.m_max_unseen_requests
             ? 1
             : m_hot.Spread(chat, engines);
}

const UpstreamPool::Candidate* UpstreamPool::ChooseSpread(
    const std::vector<Candidate>& candidates,
    PartId chat,
    double bound,
    TimePoint now) const {
  const std::size_t spread = SpreadOf(chat, candidates.size(), now);
  if (spread <= 1) {
    return nullptr;
  }
  // Each instance draws two engines independently, so that not all instances
  // choose the same one.
  const auto first = HashPair(m_seed, m_choice_count) % spread;
  const auto second = HashPair(m_seed, ~m_choice_count) % spread;
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates) {
    const auto rank = static_cast<std::uint64_t>(candidate.m_rank);
    const bool drawn = rank == first || rank == second;
    const bool has_room = candidate.m_load + 1 <= bound;
    if (drawn && has_room && !candidate.m_backing_off &&
        !candidate.m_needs_permit && !candidate.m_needs_lease &&
        (best == nullptr || candidate.m_load < best->m_load)) {
      best = &candidate;
    }
  }
  return best;
}

void UpstreamPool::NotePrefix(const UpstreamQuery& upstream_query) {
  const double tokens = SharedTokens(*upstream_query.m_prompt);
  const auto [entry, is_new] =
      m_mean_prefix.try_emplace(upstream_query.m_service, tokens);
  entry->second += kPrefixAverageWeight * (tokens - entry->second);
}

double UpstreamPool::PermitCost(const UpstreamQuery& upstream_query) const {
  const auto mean = m_mean_prefix.find(upstream_query.m_service);
  const bool is_long = mean != m_mean_prefix.end() &&
                       SharedTokens(*upstream_query.m_prompt) >= mean->second;
  return is_long ? 0 : m_parameters.m_permit_cost;
}

double UpstreamPool::MeanLoad(const std::vector<Candidate>& candidates) {
  // Limited upstreams cannot take their part of the load, so the others have to
  // carry more than the mean of all.
  double sum = 0;
  double sum_unlimited = 0;
  int unlimited = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.m_load;
    sum_unlimited += candidate.m_limited ? 0 : candidate.m_load;
    unlimited += candidate.m_limited ? 0 : 1;
  }
  return unlimited > 0
             ? sum_unlimited / unlimited
             : sum / std::max(1.0, static_cast<double>(candidates.size()));
}

UpstreamPool::Evaluation UpstreamPool::Evaluate(
    const UpstreamQuery& upstream_query,
    TimePoint now) const {
  Evaluation evaluation;
  std::vector<Candidate>& candidates = evaluation.m_candidates;
  candidates = Collect(upstream_query, false, now);
  if (candidates.empty()) {
    candidates = Collect(upstream_query, true, now);
  }
  const bool engines =
      upstream_query.m_prompt != nullptr && !upstream_query.m_prompt->empty();
  if (engines) {
    CostEngines(candidates, upstream_query, now);
  } else {
    CostServices(candidates);
  }
  evaluation.m_mean = MeanLoad(candidates);
  evaluation.m_bound =
      m_parameters.m_load_bound * evaluation.m_mean + m_parameters.m_load_slack;
  for (Candidate& candidate : candidates) {
    candidate.m_is_over = engines && candidate.m_load + 1 > evaluation.m_bound;
  }
  return evaluation;
}

bool UpstreamPool::IsBetter(const Candidate& a, const Candidate& b) {
  return std::tuple(a.m_backing_off, a.m_is_over, a.m_cost) <
         std::tuple(b.m_backing_off, b.m_is_over, b.m_cost);
}

const UpstreamPool::Candidate* UpstreamPool::Best(
    const std::vector<Candidate>& candidates) const {
  const Candidate* best = nullptr;
  const std::size_t start = HashPair(m_seed, m_choice_count) %
                            std::max<std::size_t>(1, candidates.size());
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const Candidate& candidate = candidates[(start + step) % candidates.size()];
    if (!candidate.m_needs_permit && !candidate.m_needs_lease &&
        (best == nullptr || IsBetter(candidate, *best))) {
      best = &candidate;
    }
  }
  return best;
}

std::optional<UpstreamChoice> UpstreamPool::Choose(
    const UpstreamQuery& upstream_query,
    TimePoint now) {
  if (upstream_query.m_prompt != nullptr && !upstream_query.m_prompt->empty()) {
    NotePrefix(upstream_query);
  }
  std::optional<UpstreamChoice> choice =
      ChooseAmong(Evaluate(upstream_query, now), upstream_query, now);
  ++m_choice_count;
  if (choice) {
    NoteChoice(choice->m_interpreted);
  }
  return choice;
}

std::optional<UpstreamChoice> UpstreamPool::ChooseAmong(
    const Evaluation& evaluation,
    const UpstreamQuery& upstream_query,
    TimePoint now) const {
  const std::vector<Candidate>& candidates = evaluation.m_candidates;
  const bool engines =
      upstream_query.m_prompt != nullptr && !upstream_query.m_prompt->empty();
  const Candidate* best =
      engines ? ChooseSpread(candidates, ChatPart(*upstream_query.m_prompt),
                             evaluation.m_bound, now)
              : nullptr;
  const bool spread = best != nullptr;
  const std::optional<Interpreted> interpreted =
      engines ? std::nullopt : ChooseInterpreted(candidates, now);
  if (interpreted) {
    best = interpreted->m_candidate;
  } else if (!spread) {
    best = Best(candidates);
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  UpstreamChoice choice;
  choice.m_id = best->m_upstream->m_registration.m_id;
  choice.m_rank = best->m_rank;
  choice.m_load = best->m_load;
  choice.m_mean_load = evaluation.m_mean;
  choice.m_bound = evaluation.m_bound;
  choice.m_spread = spread;
  choice.m_load_age = m_load_age;
  choice.m_interpreted = interpreted.has_value();
  choice.m_estimate = interpreted ? interpreted->m_estimate : best->m_load;
  choice.m_unread_tokens = best->m_unread_tokens;
  choice.m_limited = best->m_limited;
  choice.m_leased = best->m_leased;
  choice.m_home_over_bound = std::any_of(
      candidates.begin(), candidates.end(),
      [](const auto& one) { return one.m_rank == 0 && one.m_is_over; });
  return choice;
}

}  // namespace nutmeghollow
