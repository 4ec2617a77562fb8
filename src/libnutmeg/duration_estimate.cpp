#include "nutmeghollow/duration_estimate.h"

#include <cmath>

namespace nutmeghollow {
namespace {

// As in RFC 6298, which estimates round-trip times.
constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kDeviations = 4.0;

}  // namespace

void DurationEstimate::Note(Duration duration) {
  const auto sample = static_cast<double>(duration.count());
  if (!m_mean_us) {
    m_mean_us = sample;
    m_deviation_us = sample / 2;
    return;
  }
  m_deviation_us +=
      kDeviationWeight * (std::abs(sample - *m_mean_us) - m_deviation_us);
  *m_mean_us += kMeanWeight * (sample - *m_mean_us);
}

std::optional<Duration> DurationEstimate::UpperBound() const {
  if (!m_mean_us) {
    return std::nullopt;
  }
  return Duration(
      static_cast<std::int64_t>(*m_mean_us + kDeviations * m_deviation_us));
}

}  // namespace nutmeghollow
