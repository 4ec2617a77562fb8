#include "nutmegd/stream_records.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;
using nlohmann::json;

/// Key of the row with the origins of each service. No instance has this name.
constexpr const char* kHistoryKey = "~origins";
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
/// Time between two writes of a process in a small fleet.
constexpr Duration kMinWritePeriod = std::chrono::milliseconds(100);
/// Wait for further streams before a write.
constexpr Duration kWriteDelay = std::chrono::milliseconds(10);
/// Longest time that the first event of a stream is held for its record. After
/// that, being late weighs more.
constexpr Duration kMaxHold = std::chrono::milliseconds(250);
/// The same per instance of a large fleet, which shares the platform's rate.
constexpr Duration kWritePeriodPerInstance = std::chrono::milliseconds(8);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1000);
/// Delay before a failed write is retried.
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(700);
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(300);
/// Random delay per instance of the fleet before the origins are written.
constexpr Duration kHistoryDelayPerInstance = std::chrono::milliseconds(10);
/// Longest wait for another instance to write its row.
constexpr Duration kMaxRecordWait = std::chrono::milliseconds(500);
/// Time after which the streams of an earlier process can no longer be resumed.
constexpr Duration kOldRowRetention = std::chrono::seconds(60);
/// Reads after which a stream without a record is considered unknown. The
/// second one comes after its instance, if it still runs, has written its row.
constexpr int kMaxReads = 2;

json ToJson(const std::map<ServiceId, std::set<OriginHash>>& origins) {
  json object = json::object();
  for (const auto& [service, hashes] : origins) {
    for (const OriginHash hash : hashes) {
      object[service.str()].push_back(hash.value());
    }
  }
  return object;
}

/// @return nothing when the text is malformed.
std::optional<std::map<ServiceId, std::set<OriginHash>>> ReadOrigins(
    const std::string& text) {
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  std::map<ServiceId, std::set<OriginHash>> origins;
  for (const auto& [service, hashes] : object.items()) {
    for (const json& hash : hashes) {
      if (!hash.is_number_unsigned()) {
        return std::nullopt;
      }
      origins[ServiceId(service)].insert(OriginHash(hash.get<std::uint64_t>()));
    }
  }
  return origins;
}

}  // namespace

StreamRecords::StreamRecords(struct ev_loop* loop,
                             const InstanceId& self,
                             net::RowFeed feed,
                             const UpstreamPool* pool,
                             std::function<std::set<ServiceId>()> resumable)
    : m_feed(std::move(feed)),
      m_pool(pool),
      m_self(self.str()),
      m_key(self.str() + "~" + std::to_string(net::WallClockTime().value())),
      m_resumable(std::move(resumable)),
      m_timer(loop, [this] { Update(); }),
      m_write_timer(loop, [this] { WriteOwnRow(); }),
      m_read_timer(loop, [this] { Read(); }),
      m_history_timer(loop,
                      [this] {
                        m_history_due = true;
                        Read();
                      }),
      m_cleanup_timer(loop, [this] { RemoveOldRows(); }) {
  m_timer.StartRepeating(kUpdateInterval);
  Read();
}

Duration StreamRecords::Period() const {
  return std::max(kMinWritePeriod, kWritePeriodPerInstance * m_instances);
}

StreamRecords::OriginsByService StreamRecords::Serving() const {
  OriginsByService serving;
  const std::set<ServiceId> resumable = m_resumable();
  for (const UpstreamId& id : m_pool->Ids()) {
    const RegisteredUpstream* upstream = m_pool->Find(id);
    if (resumable.contains(upstream->m_service)) {
      serving[upstream->m_service].insert(OriginOf(*upstream));
    }
  }
  return serving;
}

void StreamRecords::Update() {
  const TimePoint now = BootTime();
  m_origins.NoteServing(Serving(), now);
  if (m_was_read && !m_history_timer.Active() && !m_history_due &&
      m_origins.Possible(now) != m_history) {
    // Of many instances that notice a new origin, the first writes it, and the
    // others read that before they would.
    std::uniform_int_distribution<Duration::rep> delay(
        0, kHistoryDelayPerInstance.count() * m_instances);
    m_history_timer.Start(Duration(delay(m_random)));
  }
  if (m_origins.NeedsRecords(now) || !m_written.empty()) {
    ScheduleWrite();
  }
  const auto late = std::find_if(
      m_held.begin(), m_held.end(),
      [now](const Held& held) { return now - held.m_since < kMaxHold; });
  Release(static_cast<std::size_t>(late - m_held.begin()));
}

void StreamRecords::Record(const std::vector<StreamHash>& ids,
                           OriginHash origin,
                           std::function<void()> done) {
  const TimePoint now = BootTime();
  for (const StreamHash id : ids) {
    m_origins.Begin(id, origin);
  }
  if (!m_origins.NeedsRecords(now)) {
    done();
    return;
  }
  m_held.push_back({now, std::move(done)});
  ScheduleWrite();
}

void StreamRecords::ScheduleWrite() {
  if (!m_write_timer.Active() && !m_writing) {
    const TimePoint due = std::max(m_written_at + Period(), m_retry_at);
    m_write_timer.Start(std::max(kWriteDelay, due - BootTime()));
  }
}

void StreamRecords::Release(std::size_t count) {
  std::vector<std::function<void()>> released;
  for (std::size_t index = 0; index < count; ++index) {
    released.push_back(std::move(m_held[index].m_done));
  }
  m_released += count;
  m_held.erase(m_held.begin(),
               m_held.begin() + static_cast<std::ptrdiff_t>(count));
  for (const auto& done : released) {
    done();
  }
}

void StreamRecords::WriteOwnRow() {
  const TimePoint now = BootTime();
  const std::string value =
      m_origins.NeedsRecords(now) ? m_origins.EncodeOwn(now) : std::string();
  const std::size_t held = m_held.size();
  if (value == m_written) {
    Release(held);
    return;
  }
  m_writing = true;
  m_written_at = now;
  net::FeedWrite write;
  write.m_table = kStreamTable;
  write.m_key = m_key;
  if (!value.empty()) {
    write.m_value = value;
  }
  m_feed.m_write(
      write, kWriteTimeout,
      [this, value, last = m_released + held](const net::FeedResult& result) {
        HandleWritten(value, last, result);
      });
}

void StreamRecords::HandleWritten(const std::string& value,
                                  std::size_t last,
                                  const net::FeedResult& result) {
  m_writing = false;
  if (result.m_status == net::FeedStatus::kDone) {
    m_written = value;
    Release(last - std::min(last, m_released));
  } else {
    m_retry_at = BootTime() + kWriteRetryDelay;
    Log(LogLevel::kWarning, "stream_records_not_written",
        {{"reason", result.m_detail}});
  }
  if (!m_held.empty()) {
    ScheduleWrite();
  }
}

void StreamRecords::WriteHistory() {
  const OriginsByService possible = m_origins.Possible(BootTime());
  if (m_writing_history || possible == m_history) {
    return;
  }
  m_writing_history = true;
  net::FeedWrite write;
  write.m_table = kStreamTable;
  write.m_key = kHistoryKey;
  write.m_value = ToJson(possible).dump();
  write.m_expected_version = m_history_version;
  m_feed.m_write(write, kWriteTimeout,
                 [this, possible](const net::FeedResult& result) {
                   m_writing_history = false;
                   if (result.m_status == net::FeedStatus::kDone) {
                     m_history = possible;
                   } else if (result.m_status != net::FeedStatus::kConflict) {
                     Log(LogLevel::kWarning, "origins_not_written",
                         {{"reason", result.m_detail}});
                   }
                 });
}

void StreamRecords::Read() {
  if (m_reading) {
    return;
  }
  m_reading = true;
  const TimePoint now = BootTime();
  const auto due = std::stable_partition(
      m_waiting.begin(), m_waiting.end(),
      [now](const Lookup& lookup) { return lookup.m_due > now; });
  std::move(due, m_waiting.end(), std::back_inserter(m_lookups));
  m_waiting.erase(due, m_waiting.end());
  m_feed.m_read_all(kStreamTable, kReadTimeout,
                    [this](const net::FeedResult& result) {
                      m_reading = false;
                      HandleRows(result);
                    });
}

void StreamRecords::StartReadTimer() {
  if (m_waiting.empty()) {
    return;
  }
  const auto first = std::min_element(
      m_waiting.begin(), m_waiting.end(),
      [](const Lookup& a, const Lookup& b) { return a.m_due < b.m_due; });
  m_read_timer.Start(std::max(first->m_due - BootTime(), Duration::zero()));
}

void StreamRecords::HandleRows(const net::FeedResult& result) {
  const bool done = result.m_status == net::FeedStatus::kDone;
  if (!done) {
    Log(LogLevel::kWarning, "stream_records_not_read",
        {{"reason", result.m_detail}});
    m_history_due = false;
    FinishLookups(false);
    if (!m_was_read && !m_read_timer.Active()) {
      m_read_timer.Start(kReadRetryDelay);
    }
    return;
  }
  std::vector<std::string> rows;
  m_history_version = net::FeedVersion(0);
  m_history.clear();
  for (const net::FeedRow& row : result.m_rows) {
    if (row.m_key != kHistoryKey) {
      rows.push_back(row.m_value);
      if (!m_was_read && row.m_key.starts_with(m_self + "~")) {
        m_old_rows.push_back(row.m_key);
      }
      continue;
    }
    m_history_version = row.m_version;
    if (const auto origins = ReadOrigins(row.m_value)) {
      m_history = *origins;
    } else {
      Log(LogLevel::kWarning, "origins_not_used", {{"value", row.m_value}});
    }
  }
  if (!m_was_read && !m_old_rows.empty()) {
    m_cleanup_timer.Start(kOldRowRetention);
  }
  m_origins.NoteHistory(m_history, !m_was_read, BootTime());
  m_was_read = true;
  const std::size_t malformed = m_origins.ReplaceOthers(rows);
  if (malformed > 0) {
    Log(LogLevel::kWarning, "stream_records_not_used",
        {{"rows", static_cast<std::int64_t>(malformed)}});
  }
  if (std::exchange(m_history_due, false)) {
    WriteHistory();
  }
  FinishLookups(true);
}

void StreamRecords::RemoveOldRows() {
  for (const std::string& key : std::exchange(m_old_rows, {})) {
    net::FeedWrite write;
    write.m_table = kStreamTable;
    write.m_key = key;
    m_feed.m_write(write, kWriteTimeout, [](const net::FeedResult& result) {
      if (result.m_status != net::FeedStatus::kDone) {
        Log(LogLevel::kWarning, "stream_records_not_removed",
            {{"reason", result.m_detail}});
      }
    });
  }
}

void StreamRecords::Find(StreamHash stream,
                         const ServiceId& service,
                         Callback callback) {
  const TimePoint now = BootTime();
  m_origins.NoteServing(Serving(), now);
  const auto known = m_origins.Find(stream);
  if (known || (m_was_read && !m_origins.NeedsRecords(now))) {
    callback(known ? known : m_origins.OnlyPossible(service, now));
    return;
  }
  // A read that is in progress may be older than the record.
  m_waiting.push_back({stream, service, std::move(callback), 0, now});
  if (!m_reading) {
    Read();
  }
}

void StreamRecords::FinishLookups(bool was_read) {
  const TimePoint now = BootTime();
  for (Lookup& lookup : std::exchange(m_lookups, {})) {
    ++lookup.m_reads;
    const auto found = m_origins.Find(lookup.m_stream);
    if (found || !was_read || lookup.m_reads >= kMaxReads) {
      lookup.m_callback(found || !was_read
                            ? found
                            : m_origins.OnlyPossible(lookup.m_service, now));
      continue;
    }
    lookup.m_due = now + std::min(Period() + kUpdateInterval, kMaxRecordWait);
    m_waiting.push_back(std::move(lookup));
  }
  StartReadTimer();
}

}  // namespace nutmeghollow
