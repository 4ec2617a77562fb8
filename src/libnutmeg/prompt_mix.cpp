#include "nutmeghollow/prompt_mix.h"

#include <algorithm>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

/// Least weight of the newest request in the averages, and requests from which
/// they are used.
constexpr double kAverageWeight = 0.005;
constexpr int kMinRequests = 30;
/// Least size of the shared parts of a long prompt relative to the mean.
constexpr double kLongFactor = 1.5;
/// Part of the engines for short urgent prompts.
constexpr double kEngineShare = 0.25;
/// Shares of the requests within which the loads of both parts stay about
/// equal with the weights below.
constexpr double kMinShortShare = 0.2;
constexpr double kMaxShortShare = 0.5;
constexpr double kMinLongShare = 0.15;
/// Weights in that part. In the model of load_comparison_test.cpp 3 and 0.1
/// made hardly a difference to short urgent prompts.
constexpr double kShortWeight = 8.0;
constexpr double kLongWeight = 0.02;
constexpr std::uint64_t kSalt = 77;

}  // namespace

void PromptMix::Note(int priority, double shared_tokens) {
  m_first_rank = m_count == 0 ? priority : std::min(m_first_rank, priority);
  m_count = std::min(m_count + 1, static_cast<int>(1.0 / kAverageWeight));
  const double weight = 1.0 / m_count;
  m_mean_tokens += weight * (shared_tokens - m_mean_tokens);
  const PromptClass prompt = ClassOf(priority, shared_tokens);
  const auto average = [&](PromptClass counted, double* share) {
    *share += weight * ((prompt == counted ? 1.0 : 0.0) - *share);
  };
  average(PromptClass::kShortUrgent, &m_short_urgent);
  average(PromptClass::kLong, &m_long);
}

PromptClass PromptMix::ClassOf(int priority, double shared_tokens) const {
  const bool is_urgent = priority == m_first_rank;
  if (is_urgent && shared_tokens < m_mean_tokens) {
    return PromptClass::kShortUrgent;
  }
  return !is_urgent && shared_tokens >= kLongFactor * m_mean_tokens
             ? PromptClass::kLong
             : PromptClass::kOther;
}

bool PromptMix::IsMixed() const {
  return m_count >= kMinRequests && m_short_urgent >= kMinShortShare &&
         m_short_urgent <= kMaxShortShare && m_long >= kMinLongShare;
}

double ClassWeight(PromptClass prompt, std::uint64_t engine_hash) {
  if (RendezvousScore(kSalt, engine_hash, 1.0) >= kEngineShare) {
    return 1.0;
  }
  switch (prompt) {
    case PromptClass::kShortUrgent:
      return kShortWeight;
    case PromptClass::kLong:
      return kLongWeight;
    case PromptClass::kOther:
      return 1.0;
  }
  return 1.0;
}

}  // namespace nutmeghollow
