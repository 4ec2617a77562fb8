/// @file
/// Requests that crash upstreams.
///
/// When connections to an upstream break, the requests in flight there are
/// looked at after a short time. Unless something proves that the process
/// lives on, each of them counts one crash and is a suspect. A suspect runs
/// only where no other suspect runs, and with a permit, so that one instance
/// of the fleet runs it at a time (suspect_records.h). At the second crash the
/// request is quarantined: it is refused everywhere until the entry expires. A
/// suspect that completes is cleared.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of quarantine.
struct QuarantineParameters {
  /// Crashes after which a request is refused.
  int m_crash_limit = 2;
  /// From a broken connection to the verdict.
  Duration m_verdict_delay = std::chrono::milliseconds(250);
  /// From the verdict until the failure is told, so that other instances hear
  /// of a suspect before its caller sends it again.
  Duration m_spread_delay = std::chrono::milliseconds(350);
  /// Breaks of one upstream within this time are one crash, unless the request
  /// was sent after the first: an upstream may be back after two seconds.
  Duration m_same_crash = std::chrono::seconds(3);
  /// Suspects and quarantined requests are forgotten after this time.
  Duration m_expiry = std::chrono::minutes(10);
  /// Entries of the last minute are announced again and again, for instances
  /// that were out of reach.
  Duration m_announce_period = std::chrono::seconds(3);
  Duration m_announce_for = std::chrono::seconds(60);
  /// With more entries than this, none is announced again.
  std::size_t m_announce_limit = 32;
  /// Most entries kept; the ones nearest to their expiry go first.
  std::size_t m_limit = 4096;
};

/// A request whose connection broke.
struct BrokenRequest {
  RequestDigest m_digest;
  TimePoint m_dispatched_at{};
};

/// An upstream whose connections broke and whose verdict is open.
struct PossibleCrash {
  TimePoint m_broke_at{};
  TimePoint m_verdict_at{};
  std::set<RequestId> m_in_flight;  ///< When the first connection broke.
  std::map<RequestId, BrokenRequest> m_broken;
  bool m_lives_on = false;  ///< Something proved that it did not crash.
};

/// State of quarantine.
struct QuarantineState {
  std::map<UpstreamId, PossibleCrash> m_possible_crashes;
  /// Suspect that runs at an upstream.
  std::map<UpstreamId, RequestId> m_running_suspects;
  TimePoint m_next_expiry{};
  TimePoint m_next_announcement{};
  std::uint64_t m_crashes = 0;      ///< Crashes found.
  std::uint64_t m_quarantined = 0;  ///< Requests quarantined here.
  std::uint64_t m_cleared = 0;      ///< Suspects that completed.
};

/// Gives verdicts that are due and expires entries.
void RunQuarantine(World& world, TimePoint now);

/// @return true when a request must be refused.
bool IsQuarantined(const World& world, RequestDigest digest, TimePoint now);

/// @return true when a request may have crashed an upstream.
bool IsSuspect(const World& world, RequestDigest digest, TimePoint now);

/// What a placed request that may be a suspect has to do.
enum class SuspectSlot {
  kAcquired,          ///< Go on; no suspect, or the only one at its upstream.
  kWait,           ///< Another suspect runs there, or the permit is not here.
  kRunsElsewhere,  ///< Another instance runs it.
};

/// Takes the place of the only suspect at the upstream of a placed request.
SuspectSlot AcquireSuspectSlot(World& world,
                              const RequestRow& row,
                              TimePoint now);

/// Notes that an attempt ended, in whatever way.
void ReleaseSuspectSlot(World& world, const RequestRow& row, TimePoint now);

/// Notes that the connection of an attempt broke.
/// @return time before which the failure should not be told.
TimePoint NoteBrokenConnection(World& world, const RequestRow& row, TimePoint now);

/// Notes that an upstream still held a stream, so it did not crash.
void NoteStreamRetained(World& world, const UpstreamId& upstream);

/// Notes that a request completed: it is no suspect any more, and its upstream
/// lives on.
void NoteCompletion(World& world, const RequestRow& row, TimePoint now);

}  // namespace nutmeghollow
