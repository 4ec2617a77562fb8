/// @file
/// Which software began each stream, so that a stream is only continued by the
/// same software.
///
/// Upstreams of several software versions may serve side by side, and what two
/// of them generate does not fit together. A caller may resume a stream at any
/// instance, also after the one that relayed it has ended. Therefore the
/// instances record the origins of streams in a table that outlives them, while
/// a service has more than one. A stream whose origin is not known may only be
/// resumed where a single origin is possible.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// A stream, by the hash of the id of the attempt that began it.
using StreamHash = Number<struct StreamHashTag>;

/// @return the compact id of the stream that an attempt began.
StreamHash StreamHashOf(const PublicRequestId& attempt);

/// Origin of a stream whose upstream turned out to be another process than the
/// one registered. No upstream has it, so such a stream is not continued.
inline constexpr OriginHash kUnknownOrigin;

/// The origin of a stream.
struct StreamRecord {
  StreamHash m_stream;
  OriginHash m_origin;
};

/// Streams that an instance reports to the one that records them.
struct StreamReport {
  std::uint32_t m_id = 0;  ///< The confirmation repeats it.
  std::vector<StreamRecord> m_records;
};

/// Maximum records of a report, so that it fits into one datagram.
inline constexpr std::size_t kMaxRecordsPerReport = 50;

/// @return records as the value of a row.
std::string EncodeRecords(const std::vector<StreamRecord>& records);

/// @return the origins of each service as the value of a row.
std::string EncodeOrigins(
    const std::map<ServiceId, std::set<OriginHash>>& origins);
/// @return nothing when the value is malformed.
std::optional<std::map<ServiceId, std::set<OriginHash>>> DecodeOrigins(
    const std::string& value);

/// Settings of the records of streams.
struct StreamOriginsParameters {
  /// A stream that broke off can be resumed for this long.
  Duration m_retention = std::chrono::seconds(30);
  /// An origin without upstreams is possible for this long.
  Duration m_origin_expiry = std::chrono::seconds(60);
  /// Longest time that a stream of a process that ended before this one started
  /// is resumed after the start of this one.
  Duration m_restart_window = std::chrono::seconds(20);
};

/// Origins of the streams that this instance relays or has read about.
class StreamOrigins {
 public:
  explicit StreamOrigins(StreamOriginsParameters parameters = {})
      : m_parameters(parameters) {}

  /// Records the first event of a stream that this instance relays.
  void Begin(StreamHash stream, OriginHash origin);
  /// Records the end of a stream. @param complete false when it broke off.
  void End(StreamHash stream, bool complete, TimePoint now);

  /// Records the origins that a service's upstreams have.
  void NoteServing(const std::map<ServiceId, std::set<OriginHash>>& serving,
                   TimePoint now);
  /// Records the origins that services had before this instance started, or
  /// that other instances saw. @param is_first true for the first reading.
  void NoteHistory(const std::map<ServiceId, std::set<OriginHash>>& history,
                   bool is_first,
                   TimePoint now);
  /// @return the origins that a stream of each service can have.
  std::map<ServiceId, std::set<OriginHash>> Possible(TimePoint now) const;
  /// @return true while a service has more than one possible origin.
  bool NeedsRecords(TimePoint now) const;

  /// @return the streams of this instance that are in progress.
  std::vector<StreamRecord> InProgress() const;
  /// Removes streams that broke off too long ago to be resumed.
  void RemoveExpired(TimePoint now);
  /// Replaces the streams of other processes by the values of their rows, in
  /// the order in which these were written. Of several records of a stream the
  /// last one is used, but an unknown origin stays: the row of the instance
  /// that found it out may have been written before the one with the wrong
  /// record.
  /// @return number of rows that are malformed; they are not used.
  std::size_t ReplaceOthers(const std::vector<std::string>& rows);

  /// @return true for a stream that this instance relays or has relayed.
  bool IsOwn(StreamHash stream) const { return m_own.contains(stream); }
  /// @return the recorded origin of a stream.
  std::optional<OriginHash> Find(StreamHash stream) const;
  /// @return the origin of a stream that no record has, if there is only one
  /// that it can have.
  std::optional<OriginHash> OnlyPossible(const ServiceId& service,
                                         TimePoint now) const;

 private:
  struct Stream {
    OriginHash m_origin;
    TimePoint m_ended_at{};  ///< Unset while it is in progress.
  };

  StreamOriginsParameters m_parameters;
  std::unordered_map<StreamHash, Stream> m_own;
  std::unordered_map<StreamHash, OriginHash> m_others;
  std::map<ServiceId, std::map<OriginHash, TimePoint>> m_last_seen;
  /// Origins before this instance started; unset until they were read.
  std::optional<std::map<ServiceId, std::set<OriginHash>>> m_first_history;
  TimePoint m_first_history_at{};
};

}  // namespace nutmeghollow
