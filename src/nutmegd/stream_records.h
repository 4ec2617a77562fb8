/// @file
/// Keeps the origins of streams in the platform's tables, where they outlive
/// the instances.
///
/// The instances report the streams that begin to one of them, the recorder,
/// which writes them in batches, so that the rate of writes does not grow with
/// the fleet. Its rows hold the streams of some seconds each. One more row has
/// the origins of each service.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/row_feed.h"
#include "nutmeghollow/coordinator_choice.h"
#include "nutmeghollow/stream_origins.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Name of the table.
inline constexpr const char* kStreamTable = "nutmeg_streams";

/// What the records need from the rest of an instance.
struct StreamRecordsHooks {
  /// @return the services whose streams may be resumed.
  std::function<std::set<ServiceId>()> m_resumable;
  std::function<void(const InstanceId& to, const StreamReport& report)>
      m_send_report;
  /// Confirms that a report of another instance is recorded.
  std::function<void(const InstanceId& to, std::uint32_t report)>
      m_send_recorded;
};

/// Result of a look-up of a stream's origin.
struct FoundOrigin {
  std::optional<OriginHash> m_origin;  ///< Unset when it cannot be known.
  /// What the result rests on: "own stream", "record", "single origin", "origin
  /// before the start", "not recorded" or "table not read".
  const char* m_source = "";
  int m_reads = 0;  ///< Reads of the table since the look-up began.
};

/// Records the streams of this instance, and looks up those of others.
class StreamRecords {
 public:
  using Callback = std::function<void(const FoundOrigin&)>;

  /// @param directory and @param pool must outlive this object.
  StreamRecords(struct ev_loop* loop,
                const InstanceId& self,
                net::RowFeed feed,
                const EntryDirectory* directory,
                const UpstreamPool* pool,
                StreamRecordsHooks hooks);

  StreamOrigins& Origins() { return m_origins; }
  /// Records the origin of a stream.
  /// @param ids of the attempts that a caller may name when it resumes it.
  /// @param done called once, when the record would outlive all instances or
  /// after a short time, possibly before this function returns. The stream's
  /// first event is held until then.
  void Record(const std::vector<StreamHash>& ids,
              OriginHash origin,
              std::function<void()> done);
  /// Finds the origin of a stream, in the platform's table if need be.
  /// @param callback called once, possibly before this function returns.
  void Find(StreamHash stream, const ServiceId& service, Callback callback);

  /// Records the streams of another instance.
  void HandleReport(const InstanceId& from, const StreamReport& report);
  /// Handles a confirmation of a report of this instance.
  void HandleRecorded(const InstanceId& from, std::uint32_t report);

 private:
  struct Lookup {
    StreamHash m_stream;
    ServiceId m_service;
    Callback m_callback;
    int m_reads = 0;
    TimePoint m_due{};  ///< Earliest time of the next read.
  };
  /// A stream whose first event is held.
  struct HeldStream {
    std::function<void()> m_release;
    TimePoint m_since{};
  };
  /// A report of another instance, which is confirmed once it is written.
  struct ReceivedReport {
    InstanceId m_from;
    std::uint32_t m_id = 0;
  };
  /// Records that are reported or written together.
  struct Batch {
    std::vector<StreamRecord> m_records;
    std::vector<HeldStream> m_held;
    std::vector<ReceivedReport> m_reports;
    TimePoint m_sent_at{};
  };
  /// A row that is no longer written to.
  struct ClosedRow {
    std::string m_key;
    TimePoint m_closed_at{};
  };
  using OriginsByService = std::map<ServiceId, std::set<OriginHash>>;

  void Update();
  void RecordInProgress();
  void SendReports();
  void CheckReports(TimePoint now);
  /// Releases streams that have been held for too long.
  void ReleaseLateStreams(TimePoint now);
  void Enqueue(Batch batch);
  void ScheduleWrite();
  void WriteRow();
  void HandleWritten(const net::FeedResult& result);
  void CloseRow(TimePoint now);
  /// Writes further records into another row.
  void EndRow(TimePoint now);
  void RemoveRow(const std::string& key);
  void WriteHistory();
  void Read();
  void StartReadTimer();
  void HandleRows(const net::FeedResult& result);
  void FinishLookups(bool was_read);
  /// @return the origin of a stream that has no record.
  FoundOrigin WithoutRecord(const ServiceId& service,
                            int reads,
                            TimePoint now) const;
  OriginsByService Serving() const;
  /// @return true while a stream may have an origin that an instance which
  /// reads the table cannot tell without a record of the stream.
  bool NeedsRecords(TimePoint now) const;
  /// @return true when the row of origins has this one.
  bool IsInTable(OriginHash origin) const;

  net::RowFeed m_feed;
  const EntryDirectory* m_directory;
  const UpstreamPool* m_pool;
  StreamRecordsHooks m_hooks;
  StreamOrigins m_origins;
  CoordinatorChoice m_recorder;
  InstanceId m_self;
  std::string m_process_key;  ///< First part of the keys of this process.
  std::mt19937_64 m_random{std::random_device()()};

  Batch m_unsent;  ///< Streams of this instance that are not reported yet.
  std::map<std::uint32_t, Batch> m_reported;  ///< By the id of the report.
  std::uint32_t m_last_report = 0;
  bool m_recorded_in_progress = false;

  Batch m_queued;   ///< To be written.
  Batch m_written;  ///< By the write in progress.
  std::vector<StreamRecord> m_row;
  int m_row_number = 0;
  TimePoint m_row_started_at{};
  TimePoint m_written_at{};
  bool m_writing = false;
  std::vector<ClosedRow> m_closed_rows;

  bool m_was_read = false;
  bool m_reading = false;
  bool m_writing_history = false;
  bool m_history_due = false;  ///< To be written after the next read.
  OriginsByService m_history;  ///< As in the table.
  net::FeedVersion m_history_version;
  std::vector<Lookup> m_lookups;  ///< Answered by the read in progress.
  std::vector<Lookup> m_waiting;  ///< For a later read.

  net::Timer m_timer;
  net::Timer m_report_timer;
  net::Timer m_write_timer;
  net::Timer m_read_timer;
  net::Timer m_history_timer;
};

}  // namespace nutmeghollow
