/// @file
/// Health of upstreams: shared probes, verdicts, and evidence from traffic.
///
/// Each upstream is probed by two instances in different data centres. Their
/// verdicts travel with the gossip and are merged alike on every instance.
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

/// The end of a probe, written by the adapter.
struct ProbeResult {
  UpstreamId m_upstream;
  bool m_ok = false;  ///< It answered in time.
  bool m_leaving = false;
  std::optional<LoadReport> m_report;
  Duration m_round_trip{};
  Bytes m_wire_bytes;  ///< Of both directions, headers included.
};

/// What adapters report about probes, emptied each tick.
struct ProbingInbox {
  std::vector<ProbeResult> m_results;
};

/// Settings of probing.
struct ProbingParameters {
  /// Time between two probes of an upstream by one of its probers. The two
  /// probers are half a period apart.
  Duration m_period = std::chrono::milliseconds(2800);
  /// Time to the next probe while the outcome is in doubt.
  Duration m_retry_period = std::chrono::milliseconds(500);
  Duration m_timeout = std::chrono::milliseconds(800);
  /// How long a probe that is due waits for the control budget at most. Within
  /// the 3 s in which a leaving upstream is known, up to 1.4 s pass until a
  /// probe is due and 0.5 s until its finding is told.
  Duration m_budget_wait = std::chrono::milliseconds(300);
  /// Time after the start without probes. A new instance learns of the others
  /// first; until then it takes itself for the only prober of every upstream.
  Duration m_start_delay = std::chrono::seconds(4);
  int m_failures_to_fail = 2;   ///< Failed probes in a row.
  int m_successes_to_pass = 2;  ///< Good probes in a row, after a failure.
  /// Highest share of a route's upstreams that may be ejected.
  double m_ejection_limit = 0.5;
  /// Share of failing probes above which this instance doubts itself.
  double m_self_doubt = 0.5;
  int m_self_doubt_minimum = 3;  ///< Fewest probed upstreams to judge by.
  Duration m_slow_start = std::chrono::seconds(10);
  /// Verdicts older than this no longer count.
  Duration m_verdict_expiry = std::chrono::seconds(30);
  /// A verdict is announced again after this time even when it is unchanged.
  Duration m_announce_period = std::chrono::seconds(3);
  /// Traffic failures in a row that make an upstream suspect here.
  int m_traffic_failures = 3;
  /// Bytes that a probe is expected to cost in both directions.
  Bytes m_expected_bytes{420};
};

/// A verdict of one prober as held here.
struct StoredVerdict {
  ProbeVerdict m_verdict = ProbeVerdict::kOk;
  TimePoint m_taken_at{};
  std::optional<LoadReport> m_report;
};

/// What is known about the health of one upstream.
struct UpstreamHealth {
  std::array<std::optional<StoredVerdict>, 2> m_verdicts;  ///< By prober.
  int m_slot = -1;  ///< Which prober this instance is; -1 for none.
  TimePoint m_next_probe{};
  std::optional<TimePoint> m_waits_since;  ///< For the control budget.
  bool m_in_flight = false;
  TimePoint m_sent_at{};
  int m_failures = 0;      ///< Failed probes in a row.
  int m_successes = 0;     ///< Good probes in a row.
  bool m_failing = false;  ///< Own finding, after failures in a row.
  bool m_leaving = false;  ///< Own finding.
  int m_traffic_failures = 0;
  TimePoint m_failing_since{};
  /// Since when the merged verdicts say that it fails; the maximum if not.
  TimePoint m_bad_since = TimePoint::max();
  TimePoint m_announced_at{};
  int m_announced_running = -1;
};

/// State of probing on this instance.
struct ProbingState {
  ProbingParameters m_parameters;
  std::map<UpstreamId, UpstreamHealth> m_health;
  std::vector<UpstreamId> m_assigned;  ///< Upstreams that this one probes.
  std::uint64_t m_members_version = 0;
  Revision m_revision;
  std::size_t m_upstream_count = 0;
  TimePoint m_next_assignment{};
  TimePoint m_next_due{};
  TimePoint m_send_after{};  ///< No probe is sent before this time.
  TimePoint m_next_merge{};
  bool m_merge_needed = false;
  bool m_doubts_itself = false;
  std::uint64_t m_probes = 0;
  std::uint64_t m_failed_probes = 0;
};

/// Sends probes that are due and merges verdicts into the upstream table.
void RunProbing(World& world, TimePoint now);

/// Notes whether a request reached an upstream; free evidence of its health.
/// @param ok the upstream answered, with any answer but a failure of its own.
void NoteTrafficEvidence(World& world,
                         const UpstreamId& upstream,
                         bool ok,
                         TimePoint now);

}  // namespace nutmeghollow
