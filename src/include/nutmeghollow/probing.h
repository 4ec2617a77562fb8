/// @file
/// Health checking of upstreams: active probes shared by the fleet, probe
/// verdicts, and passive evidence from traffic.
///
/// Each upstream is probed by two instances, in different data centres if
/// possible. Their verdicts are disseminated by gossip and merged by the same
/// rules on every instance.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "nutmeghollow/gossip.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

struct World;

/// Result of a probe, written by the adapter.
struct ProbeResult {
  UpstreamId m_upstream;
  bool m_ok = false;  ///< It responded within the timeout.
  bool m_leaving = false;
  std::optional<ProbedLoad> m_report;
  Duration m_round_trip{};
  Bytes m_wire_bytes;  ///< Sum of both directions, including headers.
};

/// Probe results reported by the adapters; drained each tick.
struct ProbingInbox {
  std::vector<ProbeResult> m_results;
};

/// Settings of probing.
struct ProbingParameters {
  /// Time between two probes of an upstream by the same prober. The two probers
  /// of an upstream are offset by half a period.
  Duration m_period = std::chrono::milliseconds(2800);
  /// Time to the next probe while a change of the verdict awaits confirmation.
  Duration m_retry_period = std::chrono::milliseconds(500);
  Duration m_timeout = std::chrono::milliseconds(800);
  /// Maximum time that a due probe waits for the control budget. A leaving
  /// upstream must be known within 3 s, of which up to 1.4 s pass until a probe
  /// is due and 0.5 s until its verdict has been disseminated.
  Duration m_budget_wait = std::chrono::milliseconds(300);
  /// Delay of the first probe after the start. Until a new instance has learnt
  /// of the other members, it would assign every upstream to itself.
  Duration m_start_delay = std::chrono::seconds(4);
  int m_failures_to_fail = 2;   ///< Consecutive failed probes.
  int m_successes_to_pass = 2;  ///< Consecutive successes after a failure.
  /// Maximum share of the upstreams of a route or service that may be ejected.
  double m_ejection_limit = 0.5;
  /// Share of failing upstreams above which a fault of this instance is
  /// suspected.
  double m_local_fault_share = 0.5;
  /// Minimum number of probed upstreams for detecting a local fault.
  int m_local_fault_min_probed = 3;
  Duration m_slow_start = std::chrono::seconds(10);
  /// Verdicts older than this are ignored.
  Duration m_verdict_expiry = std::chrono::seconds(30);
  /// An unchanged verdict is announced again after this time.
  Duration m_announce_period = std::chrono::seconds(3);
  /// Consecutive traffic failures after which this instance marks an upstream
  /// as suspect.
  int m_traffic_failures = 3;
  /// Expected bytes of a probe in both directions; adapted to measured probes.
  Bytes m_expected_bytes{420};
};

/// Last verdict of one prober, as known to this instance.
struct StoredVerdict {
  ProbeVerdict m_verdict = ProbeVerdict::kOk;
  TimePoint m_taken_at{};
  std::optional<ProbedLoad> m_report;
};

/// Health state of one upstream.
struct UpstreamHealth {
  std::array<std::optional<StoredVerdict>, 2> m_verdicts;  ///< By prober.
  int m_slot = -1;  ///< Prober index of this instance; -1 when not a prober.
  TimePoint m_next_probe{};
  /// Since when a due probe waits for the control budget.
  std::optional<TimePoint> m_waiting_since;
  bool m_in_flight = false;
  TimePoint m_sent_at{};
  int m_failures = 0;          ///< Consecutive failed probes.
  int m_successes = 0;         ///< Consecutive successful probes.
  bool m_failing = false;      ///< By own probes, after consecutive failures.
  bool m_leaving = false;      ///< By own probes.
  int m_traffic_failures = 0;  ///< Consecutive failed requests.
  TimePoint m_failing_since{};
  /// Since when the merged verdict is unhealthy; the maximum when it is not.
  TimePoint m_unhealthy_since = TimePoint::max();
  TimePoint m_announced_at{};
  int m_announced_running = -1;
};

/// State of probing on this instance.
struct ProbingState {
  ProbingParameters m_parameters;
  std::map<UpstreamId, UpstreamHealth> m_health;
  std::vector<UpstreamId> m_assigned;  ///< Upstreams probed by this instance.
  std::uint64_t m_members_version = 0;
  Revision m_revision;
  std::size_t m_upstream_count = 0;
  TimePoint m_next_assignment{};
  TimePoint m_next_due{};
  TimePoint m_send_after{};  ///< Start of probing.
  TimePoint m_next_merge{};
  bool m_merge_needed = false;
  /// Most own probes fail although other probers reach the same upstreams.
  bool m_local_fault = false;
  std::uint64_t m_probes = 0;
  std::uint64_t m_failed_probes = 0;
};

/// Handles probe results, sends due probes and merges verdicts into the
/// upstream table.
void RunProbing(World& world, TimePoint now);

/// Records whether a request reached an upstream, as passive evidence of its
/// health.
/// @param ok the upstream responded with anything but an error of its own.
void NoteTrafficEvidence(World& world,
                         const UpstreamId& upstream,
                         bool ok,
                         TimePoint now);

}  // namespace nutmeghollow
