/// @file
/// Quarantine of requests that crash upstreams.
///
/// When connections to an upstream break, the requests on them are evaluated
/// after a short delay (the verdict). Unless there is evidence that the process
/// is still running, one crash is counted against each of them and it becomes a
/// suspect. A suspect is dispatched only to an upstream that runs no other
/// suspect, and with a permit, so that only one instance of the fleet runs it
/// at a time (suspect_records.h). After the second crash the request is
/// quarantined: it is refused everywhere until the entry expires. A suspect
/// that completes is cleared.
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
  /// Time from the first broken connection to the verdict.
  Duration m_verdict_delay = std::chrono::milliseconds(250);
  /// Time from the verdict until the caller receives the failure, so that a
  /// suspect reaches the other instances by gossip before its caller retries.
  Duration m_propagation_delay = std::chrono::milliseconds(350);
  /// Crashes of one upstream within this time count as one, unless the request
  /// was sent after the first: an upstream may have restarted after two
  /// seconds.
  Duration m_same_crash_window = std::chrono::seconds(3);
  /// Suspects and quarantined requests expire after this time.
  Duration m_expiry = std::chrono::minutes(10);
  /// Recent entries are announced periodically, for instances that were
  /// unreachable.
  Duration m_announce_period = std::chrono::seconds(3);
  Duration m_announce_duration = std::chrono::seconds(60);
  /// With more entries than this, none is announced repeatedly.
  std::size_t m_announce_limit = 32;
  /// Maximum number of entries; those that expire first are evicted first.
  std::size_t m_limit = 4096;
};

/// A request whose connection broke.
struct BrokenRequest {
  RequestDigest m_digest;
  TimePoint m_dispatched_at{};
};

/// An upstream with broken connections whose verdict is pending.
struct PossibleCrash {
  TimePoint m_broke_at{};
  TimePoint m_verdict_at{};
  std::set<RequestId> m_in_flight;  ///< When the first connection broke.
  std::map<RequestId, BrokenRequest> m_broken;
  bool m_survived = false;  ///< There is evidence that it did not crash.
};

/// State of quarantine.
struct QuarantineState {
  std::map<UpstreamId, PossibleCrash> m_possible_crashes;
  /// The suspect that each upstream runs.
  std::map<UpstreamId, RequestId> m_running_suspects;
  TimePoint m_next_expiry{};
  TimePoint m_next_announcement{};
  std::uint64_t m_crashes = 0;      ///< Crashes detected.
  std::uint64_t m_quarantined = 0;  ///< Requests quarantined here.
  std::uint64_t m_cleared = 0;      ///< Suspects that completed.
};

/// Applies verdicts that are due, announces recent entries again and expires
/// old ones.
void RunQuarantine(World& world, TimePoint now);

/// @return true when a request must be refused.
bool IsQuarantined(const World& world, RequestDigest digest, TimePoint now);

/// @return true when a request may have crashed an upstream.
bool IsSuspect(const World& world, RequestDigest digest, TimePoint now);

/// Result of AcquireSuspectSlot.
enum class SuspectSlot {
  kAcquired,  ///< Dispatch: no suspect, or the only one at its upstream.
  /// Try again later: another suspect runs there, or a verdict, a permit or a
  /// look-up is pending.
  kWait,
  kRunsElsewhere,  ///< Another instance runs it.
};

/// Checks whether a placed request may be dispatched. A suspect needs a permit
/// and takes the only slot for suspects of its upstream.
SuspectSlot AcquireSuspectSlot(World& world,
                               const RequestRow& row,
                               TimePoint now);

/// Releases the slot and the permit of an attempt that ended, for any reason.
void ReleaseSuspectSlot(World& world, const RequestRow& row, TimePoint now);

/// Records that the connection of an attempt broke.
/// @return time before which the caller should not receive the failure.
TimePoint NoteBrokenConnection(World& world,
                               const RequestRow& row,
                               TimePoint now);

/// Records that an upstream still had a stream to resume, so it did not crash.
void NoteStreamRetained(World& world, const UpstreamId& upstream);

/// Records that a request completed: it is no longer a suspect, and its
/// upstream is still running.
void NoteCompletion(World& world, const RequestRow& row, TimePoint now);

}  // namespace nutmeghollow
