#include "nutmeghollow/reachability.h"

#include <algorithm>

namespace nutmeghollow {

const char* ReachabilityStateName(ReachabilityState state) {
  static constexpr const char* kNames[] = {"reached", "suspected", "cut_off",
                                           "returning"};
  return kNames[static_cast<int>(state)];
}

Reachability::Reachability(ReachabilityParameters parameters)
    : m_parameters(parameters), m_quiet_time(parameters.m_quiet_time) {}

void Reachability::NoteSent(std::uint64_t call, TimePoint now) {
  m_waiting.emplace(call, now);
}

void Reachability::NoteHeard(std::uint64_t call,
                             bool new_connection,
                             TimePoint now) {
  const bool is_first = m_waiting.erase(call) > 0;
  m_last_heard_at = now;
  if (m_state != ReachabilityState::kReached &&
      m_state != ReachabilityState::kReturning) {
    return;  // Connections that were open before the cut may live on.
  }
  if (now - m_quiet_at > m_parameters.m_quiet_time_reset) {
    m_quiet_time = m_parameters.m_quiet_time;
  }
  if (is_first && new_connection) {
    m_failures.clear();
  }
}

void Reachability::NoteEnd(std::uint64_t call) {
  m_waiting.erase(call);
}

void Reachability::NoteFailure(const UpstreamId& upstream, TimePoint now) {
  m_failures[upstream] = now;
  if (IsRoundDue(now)) {
    m_next_round = now;
  }
}

void Reachability::Suspect(TimePoint now) {
  if (m_state == ReachabilityState::kReached ||
      m_state == ReachabilityState::kReturning) {
    m_state = ReachabilityState::kSuspected;
    m_failed_rounds = 0;
    m_evidence_since = now;
    m_next_round = now;
  }
}

bool Reachability::HasEvidence(TimePoint now) {
  std::erase_if(m_failures, [&](const auto& entry) {
    return now - entry.second > m_parameters.m_failure_window;
  });
  if (m_failures.size() >= m_parameters.m_failed_upstreams &&
      now >= m_next_suspicion) {
    m_evidence_since = std::min_element(m_failures.begin(), m_failures.end(),
                                        [](const auto& a, const auto& b) {
                                          return a.second < b.second;
                                        })
                           ->second;
    return true;
  }
  if (m_waiting.empty()) {
    return false;
  }
  const TimePoint oldest = std::min_element(m_waiting.begin(), m_waiting.end(),
                                            [](const auto& a, const auto& b) {
                                              return a.second < b.second;
                                            })
                               ->second;
  const TimePoint quiet_since = std::max(oldest, m_last_heard_at);
  if (now - quiet_since < m_quiet_time) {
    return false;
  }
  m_evidence_since = quiet_since;
  m_quiet_at = now;
  m_quiet_time = std::min(m_quiet_time * 2, m_parameters.m_max_quiet_time);
  return true;
}

bool Reachability::IsRoundDue(TimePoint now) {
  if (m_state == ReachabilityState::kReturning &&
      now - m_returning_since >= m_parameters.m_return_time) {
    m_state = ReachabilityState::kReached;
  }
  const bool believes_reached = m_state == ReachabilityState::kReached ||
                                m_state == ReachabilityState::kReturning;
  if (believes_reached && HasEvidence(now)) {
    const TimePoint since = m_evidence_since;
    Suspect(now);
    m_evidence_since = since;
  }
  return m_state != ReachabilityState::kReached &&
         m_state != ReachabilityState::kReturning && !m_round_in_progress &&
         now >= m_next_round;
}

void Reachability::NoteRoundBegan(TimePoint now) {
  m_round_in_progress = true;
  m_next_round = now + m_parameters.m_round_interval;
}

int Reachability::ChecksWanted() const {
  const bool is_cut_off = m_state == ReachabilityState::kCutOff;
  return is_cut_off && m_good_rounds == 0 ? 1 : m_parameters.m_checks;
}

void Reachability::NoteRound(const ReachabilityRound& round, TimePoint now) {
  m_round_in_progress = false;
  if (m_state == ReachabilityState::kSuspected) {
    NoteRoundWhenSuspected(round, now);
  } else if (m_state == ReachabilityState::kCutOff) {
    NoteRoundWhenCutOff(round, now);
  }
}

void Reachability::NoteRoundWhenSuspected(const ReachabilityRound& round,
                                          TimePoint now) {
  if (round.m_responded > 0 || round.m_checked < m_parameters.m_min_checked) {
    BecomeReached(ReachabilityState::kReached, now);
    return;
  }
  ++m_failed_rounds;
  if (round.m_others_reaching > 0) {
    m_state = ReachabilityState::kCutOff;
    m_good_rounds = 0;
    return;
  }
  // Upstreams that come back must not be met by checks of the whole fleet.
  m_next_round =
      std::max(m_next_round,
               now + std::min(m_parameters.m_round_interval * m_failed_rounds,
                              m_parameters.m_max_round_interval));
}

void Reachability::NoteRoundWhenCutOff(const ReachabilityRound& round,
                                       TimePoint now) {
  const bool most_responded = 2 * round.m_responded > round.m_checked;
  m_good_rounds = most_responded ? m_good_rounds + 1 : 0;
  if (m_good_rounds >= m_parameters.m_healing_rounds) {
    BecomeReached(ReachabilityState::kReturning, now);
    m_returning_since = now;
  } else if (round.m_responded == 0 && round.m_others_reaching == 0) {
    m_state = ReachabilityState::kSuspected;  // The upstreams are down.
  }
}

void Reachability::BecomeReached(ReachabilityState state, TimePoint now) {
  m_state = state;
  m_failures.clear();
  m_last_heard_at = now;
  m_next_suspicion = now + m_parameters.m_suspicion_interval;
}

bool Reachability::IsActive() const {
  return m_state != ReachabilityState::kReached || !m_waiting.empty();
}

bool Reachability::AwaitsVerdict() const {
  return m_state == ReachabilityState::kSuspected && m_failed_rounds == 0;
}

UpstreamReach Reachability::OwnReach() const {
  const bool none_responded =
      m_state == ReachabilityState::kCutOff ||
      (m_state == ReachabilityState::kSuspected && m_failed_rounds > 0);
  return none_responded ? UpstreamReach::kCutOff : UpstreamReach::kReached;
}

double Reachability::DirectShare(TimePoint now) const {
  if (m_state == ReachabilityState::kCutOff) {
    return 0;
  }
  if (m_state != ReachabilityState::kReturning) {
    return 1;
  }
  const double passed = static_cast<double>((now - m_returning_since).count()) /
                        static_cast<double>(m_parameters.m_return_time.count());
  return std::clamp(
      m_parameters.m_first_share + (1 - m_parameters.m_first_share) * passed,
      0.0, 1.0);
}

std::vector<UpstreamId> Reachability::FailedUpstreams() const {
  std::vector<UpstreamId> failed;
  for (const auto& [upstream, time] : m_failures) {
    failed.push_back(upstream);
  }
  return failed;
}

}  // namespace nutmeghollow
