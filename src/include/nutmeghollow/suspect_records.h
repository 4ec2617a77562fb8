/// @file
/// Records of suspects in the table service, for partitioned instances.
///
/// Gossip distributes suspects within milliseconds, but not across a partition.
/// Each crash is therefore also added to a row of the table service. A suspect
/// is dispatched only with a permit: an entry in that row that one instance
/// owns at a time. Only suspects are looked up, so that other requests cause no
/// reads.
///
/// An instance that does not know of a suspect dispatches it without a permit.
/// A suspect therefore also waits until each peer has confirmed that it knows
/// it, or until a caller that retries immediately has had time to reach a peer
/// that does not. An instance that has lost a peer looks up each request
/// before dispatch.
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

/// Settings of suspect records and permits.
struct SuspectRecordParameters {
  /// How long a permit excludes other instances when its holder fails. Crashes
  /// happen early in a response, so a longer time would only delay retries.
  Duration m_permit_lifetime = std::chrono::seconds(30);
  /// Longest wait for the table service before the decision on a suspect is
  /// made without it: two slow responses, 400 ms each in the fault tests.
  Duration m_store_timeout = std::chrono::seconds(1);
  /// Minimum interval between queries to the peers: some round trips, so that
  /// lost datagrams are repeated within m_store_timeout.
  Duration m_query_interval = std::chrono::milliseconds(150);
  /// Time since the last crash after which a suspect may run without
  /// confirmation of every peer: callers that retry immediately have done so,
  /// and the crashes they caused are in the row.
  Duration m_unreachable_peer_grace = std::chrono::seconds(5);
  /// How long each request is looked up after the loss of a peer. A peer that
  /// is absent for longer has been replaced rather than partitioned, so further
  /// reads of the table service would be wasted.
  Duration m_lookup_period = std::chrono::seconds(60);
  /// Longest wait for such a look-up: several times a typical read. Requests
  /// must not be blocked when both peers and the table service are unreachable.
  Duration m_lookup_timeout = std::chrono::milliseconds(100);
  /// Delay before the retry of a failed operation of the table service.
  Duration m_retry_delay = std::chrono::milliseconds(200);
  /// Maximum number of rows in one read or transaction.
  std::size_t m_batch_limit = 64;
};

/// A crash of an upstream that ran the request.
struct CrashRecord {
  UpstreamId m_upstream;
  WallTime m_crashed_at;
  WallTime m_sent_at;  ///< When the request was sent; not stored in the row.
};

/// Content of the row of a suspect in the table service.
struct SuspectRecord {
  std::vector<CrashRecord> m_crashes;
  InstanceId m_holder;    ///< Instance with the permit; empty for none.
  WallTime m_held_until;  ///< The permit expires at this time.
  WallTime m_expires;     ///< The row is ignored from this time on.
};

/// Whether a suspect may be dispatched.
enum class SuspectPermit {
  kWaiting,       ///< Not decided yet.
  kGranted,       ///< May run; no other instance runs it.
  kRunsElsewhere  ///< Another instance runs it, or may, unknown to this one.
};

/// Pending work of this instance on one row.
struct SuspectWork {
  /// Progress of the request that needs the permit.
  enum class Stage { kNone, kRequested, kDenied, kGranted, kRunning };

  std::vector<CrashRecord> m_new_crashes;  ///< To be added to the row.
  Stage m_stage = Stage::kNone;
  RequestId m_request;
  TimePoint m_requested_since{};
  std::optional<TimePoint> m_release_at;  ///< When to release the permit.
  bool m_clear = false;                   ///< The request completed.
  bool m_read_requested = false;          ///< The row is to be read.
  TimePoint m_read_at{};                  ///< Start of the last read.
  bool m_in_flight = false;               ///< An operation is under way.
  TimePoint m_not_before{};               ///< Of the next operation.
};

/// A query to a peer, which confirms that it knows the suspects.
struct PeerQuery {
  InstanceId m_peer;
  TimePoint m_queried_at{};
};

/// A pending write of one row.
struct SuspectWrite {
  RequestDigest m_digest;
  std::size_t m_crashes_added = 0;
  bool m_permit_acquired = false;  ///< It acquired the permit.
  bool m_permit_released = false;  ///< It released the permit.
  bool m_deleted = false;
};

/// State of suspect records on this instance.
struct SuspectRecordState {
  SuspectRecordParameters m_parameters;
  std::map<RequestDigest, SuspectWork> m_work;
  std::map<StoreOperationId, std::vector<RequestDigest>> m_reads;
  std::map<StoreOperationId, std::vector<SuspectWrite>> m_commits;
  /// Start time of the last completed read, by request.
  std::map<RequestDigest, TimePoint> m_looked_up;
  std::map<std::uint32_t, PeerQuery> m_peer_queries;  ///< By probe number.
  std::map<InstanceId, TimePoint> m_confirmed;        ///< Time of the query.
  TimePoint m_last_query_at{};
  std::set<RequestDigest> m_written_rows;  ///< Rows to check once they expire.
  std::uint64_t m_operations = 0;          ///< Reads and transactions so far.
  std::uint64_t m_refused = 0;             ///< Permits refused.
  std::uint64_t m_malformed = 0;           ///< Rows that could not be parsed.
};

/// @return the key of the row of a suspect.
std::string SuspectRowKey(RequestDigest digest);
/// @return the stored value of a row.
std::string FormatSuspect(const SuspectRecord& record);
/// @return the record of a row, or nothing when it is malformed.
std::optional<SuspectRecord> ParseSuspect(const std::string& text);

/// Adds a crash to the row. A scheduled release of the permit becomes due, so
/// that the same write does both.
/// @param run_time time since the request was sent.
void RecordCrash(World& world,
                 RequestDigest digest,
                 const UpstreamId& upstream,
                 Duration run_time,
                 TimePoint now);

/// Requests the permit to dispatch a suspect. To be called again until the
/// result is not kWaiting.
SuspectPermit RequestSuspectPermit(World& world,
                                   const RequestRow& row,
                                   TimePoint now);

/// Looks up a request that is no suspect on this instance, if a peer was lost
/// recently.
/// @return true when it may run; to be called again until then.
bool EnsureLookedUp(World& world, const RequestRow& row, TimePoint now);

/// Schedules the release of the permit of a request whose attempt ended, for
/// any reason.
void ReleaseSuspectPermit(World& world, const RequestRow& row, TimePoint now);

/// Records that a peer acknowledged a probe: it has received the suspects that
/// were sent with it.
void NoteProbeAck(World& world, std::uint32_t probe);

/// Deletes the row of a request that completed.
void ClearSuspectRecord(World& world, RequestDigest digest);

/// Checks the row of a suspect that expired on this instance; it is deleted if
/// no other instance has added a crash since.
void NoteSuspectExpired(World& world, RequestDigest digest);

/// Handles the results of operations of the table service.
void HandleSuspectResults(World& world, TimePoint now);
/// Starts the reads that are due.
void FlushSuspectRecords(World& world, TimePoint now);

}  // namespace nutmeghollow
