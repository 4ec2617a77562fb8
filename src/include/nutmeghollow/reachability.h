/// @file
/// Decides whether this instance is cut off from the upstreams.
///
/// From one instance, a failed upstream and a lost path to it look alike. This
/// instance suspects itself when requests fail at different upstreams in a
/// short time, or when no upstream sends anything while requests wait. Checks
/// of some other upstreams then decide at once. It is cut off only if none of
/// them responds while another instance reaches upstreams; otherwise the
/// upstreams themselves are down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// What an instance says about its own paths to upstreams.
enum class UpstreamReach {
  kUnknown,  ///< An older build does not say.
  kReached,
  kCutOff,  ///< None of the checked upstreams responded to it.
};

/// What this instance believes about its own paths.
enum class ReachabilityState {
  kReached,
  kSuspected,  ///< Checks are in progress, or no instance reaches upstreams.
  kCutOff,
  kReturning,  ///< Reached again; the share of requests sent directly grows.
};

/// @return name of a state in logs.
const char* ReachabilityStateName(ReachabilityState state);

/// Settings of the decision.
struct ReachabilityParameters {
  /// Time within which failures at different upstreams count together.
  Duration m_failure_window = std::chrono::milliseconds(1000);
  /// Different upstreams with a failure that raise a suspicion.
  std::size_t m_failed_upstreams = 2;
  /// Time without a byte from any upstream, while a request waits, that raises
  /// a suspicion. Longer than the usual time to the first byte.
  Duration m_quiet_time = std::chrono::milliseconds(400);
  /// The quiet time is doubled, up to this, after checks that found nothing.
  Duration m_max_quiet_time = std::chrono::milliseconds(1600);
  /// The quiet time is shortened again when it caused no checks for this long.
  Duration m_quiet_time_reset = std::chrono::seconds(60);
  /// Minimum time between two suspicions due to failures.
  Duration m_suspicion_interval = std::chrono::milliseconds(500);
  /// Time between two rounds of checks.
  Duration m_round_interval = std::chrono::milliseconds(250);
  /// Maximum time between two rounds while no instance reaches upstreams.
  Duration m_max_round_interval = std::chrono::seconds(2);
  /// Upstreams to check in a round. While cut off, a single one is checked
  /// until one responds.
  int m_checks = 3;
  /// Upstreams that must have been checked without a response.
  int m_min_checked = 2;
  /// Consecutive rounds in which most upstreams respond, until requests are
  /// sent to them again.
  int m_healing_rounds = 3;
  /// Time until all requests are sent directly again.
  Duration m_return_time = std::chrono::milliseconds(1000);
  /// Share of requests sent directly when that time begins.
  double m_first_share = 0.1;
};

/// Result of one round of checks.
struct ReachabilityRound {
  int m_checked = 0;
  int m_responded = 0;
  /// Other live instances that say that they reach upstreams.
  int m_others_reaching = 0;
};

/// Decides whether this instance is cut off. Calls are identified by numbers
/// that are not used twice.
class Reachability {
 public:
  explicit Reachability(ReachabilityParameters parameters = {});

  /// Records that a request is being sent to an upstream.
  void NoteSent(std::uint64_t call, TimePoint now);
  /// Records that an upstream sent something.
  /// @param new_connection true if the call opened its connection.
  void NoteHeard(std::uint64_t call, bool new_connection, TimePoint now);
  /// Records that a call ended, in whatever way.
  void NoteEnd(std::uint64_t call);
  /// Records that no connection to an upstream was opened, or that one broke or
  /// stayed silent.
  void NoteFailure(const UpstreamId& upstream, TimePoint now);
  /// Begins checks without further evidence.
  void Suspect(TimePoint now);

  /// @return true when a round of checks is to begin. Call it often while
  /// IsActive.
  bool IsRoundDue(TimePoint now);
  void NoteRoundBegan(TimePoint now);
  /// @return number of upstreams to check in the next round.
  int ChecksWanted() const;
  void NoteRound(const ReachabilityRound& round, TimePoint now);

  /// @return true while time alone may change the state.
  bool IsActive() const;
  /// @return true until the first round of a suspicion has ended.
  bool AwaitsVerdict() const;
  ReachabilityState State() const { return m_state; }
  /// @return what this instance says to others.
  UpstreamReach OwnReach() const;
  /// @return share of requests to send directly, 0 to 1.
  double DirectShare(TimePoint now) const;
  /// @return upstreams with failures since the suspicion arose or before it.
  std::vector<UpstreamId> FailedUpstreams() const;
  /// @return when the evidence of the suspicion began.
  TimePoint EvidenceSince() const { return m_evidence_since; }
  /// @return requests that wait for the first byte of a response.
  std::size_t Waiting() const { return m_waiting.size(); }

 private:
  /// @return true when the evidence raises a suspicion.
  bool HasEvidence(TimePoint now);
  void BecomeReached(ReachabilityState state, TimePoint now);
  void NoteRoundWhenSuspected(const ReachabilityRound& round, TimePoint now);
  void NoteRoundWhenCutOff(const ReachabilityRound& round, TimePoint now);

  ReachabilityParameters m_parameters;
  ReachabilityState m_state = ReachabilityState::kReached;
  std::map<std::uint64_t, TimePoint> m_waiting;  ///< Time of sending, by call.
  std::map<UpstreamId, TimePoint> m_failures;    ///< Time of the latest.
  TimePoint m_last_heard_at{};
  Duration m_quiet_time;
  TimePoint m_quiet_at{};  ///< Of the latest suspicion due to silence.
  TimePoint m_evidence_since{};
  TimePoint m_next_suspicion{};
  TimePoint m_next_round{};
  bool m_round_in_progress = false;
  int m_failed_rounds = 0;  ///< Of the suspicion.
  int m_good_rounds = 0;    ///< Consecutive, while cut off.
  TimePoint m_returning_since{};
};

}  // namespace nutmeghollow
