/// @file
/// Keeps the origins of streams in the platform's tables, where they outlive
/// the instances: one row for each process with the streams that it relays, and
/// one row with the origins of each service.
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
#include "nutmeghollow/stream_origins.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Name of the table.
inline constexpr const char* kStreamTable = "nutmeg_streams";

/// Maintains the rows of this process, and looks up streams of others.
class StreamRecords {
 public:
  using Callback = std::function<void(std::optional<OriginHash>)>;

  /// @param pool must outlive this object.
  /// @param resumable returns the services whose streams may be resumed.
  StreamRecords(struct ev_loop* loop,
                const InstanceId& self,
                net::RowFeed feed,
                const UpstreamPool* pool,
                std::function<std::set<ServiceId>()> resumable);

  StreamOrigins& Origins() { return m_origins; }
  /// Records the origin of a stream.
  /// @param ids of the attempts that a caller may name when it resumes it.
  /// @param done called once, when the record would outlive this process or
  /// after a short time, possibly before this function returns. The stream's
  /// first event is held until then.
  void Record(const std::vector<StreamHash>& ids,
              OriginHash origin,
              std::function<void()> done);
  /// Sets the size of the fleet, on which the period of writes depends.
  void SetInstances(int instances) { m_instances = instances; }
  /// Finds the origin of a stream, in the platform's table if need be.
  /// @param callback called once, possibly before this function returns; with
  /// nothing when the origin cannot be known.
  void Find(StreamHash stream, const ServiceId& service, Callback callback);

 private:
  struct Lookup {
    StreamHash m_stream;
    ServiceId m_service;
    Callback m_callback;
    int m_reads = 0;
    TimePoint m_due{};  ///< Earliest time of the next read.
  };
  using OriginsByService = std::map<ServiceId, std::set<OriginHash>>;

  /// Waits for the own row to be written.
  struct Held {
    TimePoint m_since{};
    std::function<void()> m_done;
  };

  void Update();
  void ScheduleWrite();
  void WriteOwnRow();
  /// @param last number of records, since the start, that the row includes.
  void HandleWritten(const std::string& value,
                     std::size_t last,
                     const net::FeedResult& result);
  void Release(std::size_t count);
  void WriteHistory();
  void StartReadTimer();
  void Read();
  void HandleRows(const net::FeedResult& result);
  void FinishLookups(bool was_read);
  Duration Period() const;
  OriginsByService Serving() const;
  /// Removes the rows of earlier processes of this instance.
  void RemoveOldRows();

  net::RowFeed m_feed;
  const UpstreamPool* m_pool;
  StreamOrigins m_origins;
  std::string m_self;
  std::string m_key;
  std::vector<std::string> m_old_rows;  ///< Keys of earlier processes.
  int m_instances = 1;
  bool m_was_read = false;
  bool m_reading = false;
  bool m_writing = false;
  bool m_writing_history = false;
  bool m_history_due = false;  ///< To be written after the next read.
  TimePoint m_written_at{};
  TimePoint m_retry_at{};
  std::string m_written;
  std::vector<Held> m_held;    ///< In order of arrival.
  std::size_t m_released = 0;  ///< Number released since the start.
  OriginsByService m_history;  ///< As in the table.
  net::FeedVersion m_history_version;
  std::vector<Lookup> m_lookups;  ///< Answered by the read in progress.
  std::vector<Lookup> m_waiting;  ///< For a later read.
  std::function<std::set<ServiceId>()> m_resumable;
  std::mt19937_64 m_random{std::random_device()()};
  net::Timer m_timer;
  net::Timer m_write_timer;
  net::Timer m_read_timer;
  net::Timer m_history_timer;
  net::Timer m_cleanup_timer;
};

}  // namespace nutmeghollow
