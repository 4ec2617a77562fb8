/// @file
/// Suspects in the table service, for instances that do not hear each other.
///
/// Gossip tells of suspects within milliseconds, but not across a partition.
/// Each crash is therefore also added to a row of the table service. A suspect
/// runs only with a permit: a mark in that row, which one instance holds at a
/// time. Only suspects are looked up; all other requests cost nothing.
///
/// An instance that knows nothing of a suspect runs it without asking. So a
/// suspect also waits until each peer confirmed that it knows, or until a
/// caller who repeats at once has had time to reach one that does not. And an
/// instance that has lost a peer looks up each request before it runs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of the records.
struct SuspectRecordParameters {
  /// How long a permit keeps other instances out when its holder dies. A
  /// crash comes early in an answer, so longer would only delay repeats.
  Duration m_permit_life = std::chrono::seconds(30);
  /// Longest wait for the table service before a suspect is decided about
  /// without it: two of its slow answers, 400 ms each in the fault runs.
  Duration m_store_wait = std::chrono::seconds(1);
  /// Shortest time between two questions to the peers: some round trips, so
  /// that lost datagrams are made up for within m_store_wait.
  Duration m_ask_period = std::chrono::milliseconds(150);
  /// Time since the last crash after which a suspect may run though a peer is
  /// not heard: callers who repeat at once have done so, and what they took
  /// down is in the row.
  Duration m_unheard_grace = std::chrono::seconds(5);
  /// How long after a peer was lost each request is looked up. A peer that
  /// stays away for longer has been replaced rather than cut off, and the
  /// table service is spared the reads.
  Duration m_look_up_for = std::chrono::seconds(60);
  /// Longest wait for such a look-up: several usual reads. Requests must not
  /// stand still because both peers and the table service are away.
  Duration m_look_up_wait = std::chrono::milliseconds(100);
  /// Pause after an operation that the table service did not carry out.
  Duration m_retry_delay = std::chrono::milliseconds(200);
  /// Most rows of one read or transaction.
  std::size_t m_batch_limit = 64;
};

/// A crash of an upstream that ran the request.
struct CrashRecord {
  UpstreamId m_upstream;
  WallTime m_at;
  WallTime m_sent;  ///< When the request was sent; not kept in the row.
};

/// The row of a suspect in the table service.
struct SuspectRecord {
  std::vector<CrashRecord> m_crashes;
  InstanceId m_holder;    ///< Instance with the permit; empty for none.
  WallTime m_held_until;  ///< The permit is void from then on.
  WallTime m_expires;     ///< The row counts for nothing from then on.
};

/// Whether a suspect may be dispatched.
enum class SuspectPermit {
  kWaiting,       ///< Not known yet.
  kGranted,       ///< May run; no other instance runs it.
  kRunsElsewhere  ///< Another instance runs it, or may, unseen from here.
};

/// What this instance has to do about one row.
struct SuspectWork {
  /// Progress of the request that asked for the permit.
  enum class Stage { kNone, kWanted, kHeldElsewhere, kGranted, kRunning };

  std::vector<CrashRecord> m_new_crashes;  ///< To be added to the row.
  Stage m_stage = Stage::kNone;
  RequestId m_request;
  TimePoint m_wanted_since{};
  std::optional<TimePoint> m_release_at;  ///< When to give the permit back.
  bool m_clear = false;                   ///< The request completed.
  bool m_look = false;                    ///< The row is to be read.
  TimePoint m_read_at{};                  ///< Start of the last read.
  bool m_in_flight = false;               ///< An operation is under way.
  TimePoint m_not_before{};               ///< Of the next operation.
};

/// A question to a peer whether it knows the suspects.
struct PeerQuestion {
  InstanceId m_peer;
  TimePoint m_asked_at{};
};

/// A write whose end is awaited.
struct SuspectWrite {
  RequestDigest m_digest;
  std::size_t m_crashes_added = 0;
  bool m_marked = false;    ///< It took the permit.
  bool m_released = false;  ///< It gave the permit back.
  bool m_deleted = false;
};

/// State of the records on this instance.
struct SuspectRecordState {
  SuspectRecordParameters m_parameters;
  std::map<RequestDigest, SuspectWork> m_work;
  std::map<StoreOperationId, std::vector<RequestDigest>> m_reads;
  std::map<StoreOperationId, std::vector<SuspectWrite>> m_commits;
  /// Requests whose rows were read: the start of the read.
  std::map<RequestDigest, TimePoint> m_looked_up;
  std::map<std::uint32_t, PeerQuestion> m_questions;  ///< By probe number.
  std::map<InstanceId, TimePoint> m_confirmed;        ///< Time of the question.
  TimePoint m_asked_at{};                             ///< Last questions.
  std::set<RequestDigest> m_written;  ///< Rows to look at once they expire.
  std::uint64_t m_operations = 0;     ///< Reads and transactions so far.
  std::uint64_t m_refused = 0;        ///< Permits refused.
  std::uint64_t m_malformed = 0;      ///< Rows that could not be read.
};

/// @return the key of the row of a suspect.
std::string SuspectRowKey(RequestDigest digest);
/// @return the value of a row.
std::string FormatSuspect(const SuspectRecord& record);
/// @return the record of a row, or nothing when it is malformed.
std::optional<SuspectRecord> ParseSuspect(const std::string& text);

/// Adds a crash to the row, and gives back a permit that is held.
/// @param ran how long ago the request had been sent.
void RecordCrash(World& world,
                 RequestDigest digest,
                 const UpstreamId& upstream,
                 Duration ran,
                 TimePoint now);

/// Asks for the permit to dispatch a suspect. To be called again until the
/// answer is another than kWaiting.
SuspectPermit AskSuspectPermit(World& world,
                               const RequestRow& row,
                               TimePoint now);

/// Looks a request up that nobody here suspects, if a peer was lost lately.
/// @return true when it may run; to be called again until then.
bool LookedUp(World& world, const RequestRow& row, TimePoint now);

/// Notes that the attempt of a request ended, in whatever way.
void ReturnSuspectPermit(World& world, const RequestRow& row, TimePoint now);

/// Notes that a peer answered a probe, and so knows what came with it.
void NoteProbeAck(World& world, std::uint32_t probe);

/// Deletes the row of a request that completed.
void ClearSuspectRecord(World& world, RequestDigest digest);

/// Looks at the row of a suspect that expired here, and deletes it if no other
/// instance has counted a crash since.
void NoteSuspectExpired(World& world, RequestDigest digest);

/// Handles the ends of operations.
void HandleSuspectResults(World& world, TimePoint now);
/// Starts the operations that are due.
void FlushSuspectRecords(World& world, TimePoint now);

}  // namespace nutmeghollow
