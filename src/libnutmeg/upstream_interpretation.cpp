// Selection of an upstream of a plain service by interpreted loads.
#include <algorithm>
#include <chrono>

#include "nutmeghollow/hashing.h"
#include "nutmeghollow/load_estimate.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {
namespace {

/// Shortest mean duration of requests, relative to the mean age of the loads,
/// for which loads are interpreted. When requests are shorter, the loads say
/// too little of now: in the model of load_comparison_test.cpp the response
/// times that the instance has seen itself serve callers better then.
constexpr double kMinDurationShare = 0.2;
/// Weight of the newest choice in the statistics.
constexpr double kStatisticsWeight = 0.02;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::optional<UpstreamPool::Interpreted> UpstreamPool::ChooseInterpreted(
    const std::vector<Candidate>& candidates,
    TimePoint now) const {
  if (!m_interpret_loads) {
    return std::nullopt;
  }
  std::vector<const Candidate*> usable;
  std::vector<KnownLoad> loads;
  double requests = 0;
  double mean_response_ms = 0;
  int timed = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.m_limited || candidate.m_leased) {
      return std::nullopt;
    }
    if (candidate.m_backing_off) {
      continue;
    }
    const Upstream& row = *candidate.m_upstream;
    const double capacity = std::max(1, row.m_registration.m_slots);
    const double factor =
        row.m_report
            ? AgedWorkFactor(row.m_report->m_work_factor, now - row.m_report_at)
            : 1.0;
    usable.push_back(&candidate);
    loads.push_back(
        {candidate.m_load, capacity / std::max(candidate.m_slowness, factor)});
    requests += candidate.m_load;
    mean_response_ms += row.m_mean_response_ms;
    timed += row.m_mean_response_ms > 0 ? 1 : 0;
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto mean_duration = Duration(static_cast<Duration::rep>(
      1000.0 * mean_response_ms / std::max(1, timed)));
  const std::optional<double> arrivals =
      ExpectedArrivals(requests, MeanLoadAge(), mean_duration);
  if (!arrivals ||
      Seconds(mean_duration) < kMinDurationShare * Seconds(MeanLoadAge())) {
    return std::nullopt;
  }
  const std::vector<double> probabilities = InterpretLoads(loads, *arrivals);
  const std::size_t drawn =
      DrawIndex(probabilities, RendezvousScore(m_seed, m_choice_count, 1.0));
  return Interpreted{usable[drawn], loads[drawn].m_requests +
                                        probabilities[drawn] * *arrivals};
}

void UpstreamPool::NoteChoice(bool interpreted) {
  const double age = Seconds(MeanLoadAge());
  m_statistics.m_load_age_s +=
      kStatisticsWeight * (age - m_statistics.m_load_age_s);
  m_statistics.m_interpreted_share +=
      kStatisticsWeight *
      ((interpreted ? 1.0 : 0.0) - m_statistics.m_interpreted_share);
}

}  // namespace nutmeghollow
