#include "nutmegd/stream_records.h"

#include <algorithm>
#include <utility>

#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

/// Key of the row with the origins of each service. No instance has this name.
constexpr const char* kHistoryKey = "~origins";
constexpr Duration kUpdateInterval = std::chrono::milliseconds(50);
/// Wait for further streams before they are reported.
constexpr Duration kReportDelay = std::chrono::milliseconds(5);
/// Time after which a report that was not confirmed is recorded by this
/// instance itself.
constexpr Duration kReportTimeout = std::chrono::milliseconds(120);
/// Time between two writes.
constexpr Duration kWritePeriod = std::chrono::milliseconds(50);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1000);
/// Delay before a failed write is retried.
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(700);
/// Longest time that the first event of a stream is held for its record. After
/// that, being late weighs more.
constexpr Duration kMaxHold = std::chrono::milliseconds(250);
/// Time for which streams are added to one row.
constexpr Duration kRowPeriod = std::chrono::seconds(5);
/// Streams of a row, so that its value stays below the platform's limit.
constexpr std::size_t kMaxRowRecords = 2500;
/// Time after which the streams of a row can no longer be resumed.
constexpr Duration kRowRetention = std::chrono::seconds(60);
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(300);
/// Random delay per instance of the fleet before the origins are written.
constexpr Duration kHistoryDelayPerInstance = std::chrono::milliseconds(10);
/// Wait for streams that another instance is about to record.
constexpr Duration kRecordWait = std::chrono::milliseconds(300);
/// Reads after which a stream without a record is considered unknown.
constexpr int kMaxReads = 2;

}  // namespace

StreamRecords::StreamRecords(struct ev_loop* loop,
                             const InstanceId& self,
                             net::RowFeed feed,
                             const EntryDirectory* directory,
                             const UpstreamPool* pool,
                             StreamRecordsHooks hooks)
    : m_feed(std::move(feed)),
      m_directory(directory),
      m_pool(pool),
      m_hooks(std::move(hooks)),
      m_recorder(self, directory),
      m_self(self),
      m_process_key(self.str() + "~" +
                    std::to_string(net::WallClockTime().value()) + "~"),
      m_timer(loop, [this] { Update(); }),
      m_report_timer(loop, [this] { SendReports(); }),
      m_write_timer(loop, [this] { WriteRow(); }),
      m_read_timer(loop, [this] { Read(); }),
      m_history_timer(loop, [this] {
        m_history_due = true;
        Read();
      }) {
  m_timer.StartRepeating(kUpdateInterval);
  Read();
}

StreamRecords::OriginsByService StreamRecords::Serving() const {
  OriginsByService serving;
  const std::set<ServiceId> resumable = m_hooks.m_resumable();
  for (const UpstreamId& id : m_pool->Ids()) {
    const RegisteredUpstream* upstream = m_pool->Find(id);
    if (resumable.contains(upstream->m_service)) {
      serving[upstream->m_service].insert(OriginOf(*upstream));
    }
  }
  return serving;
}

bool StreamRecords::NeedsRecords(TimePoint now) const {
  if (!m_was_read || m_origins.NeedsRecords(now)) {
    return true;
  }
  const OriginsByService possible = m_origins.Possible(now);
  return std::any_of(possible.begin(), possible.end(), [this](const auto& one) {
    return !std::all_of(
        one.second.begin(), one.second.end(),
        [this](OriginHash origin) { return IsInTable(origin); });
  });
}

bool StreamRecords::IsInTable(OriginHash origin) const {
  return std::any_of(
      m_history.begin(), m_history.end(),
      [origin](const auto& one) { return one.second.contains(origin); });
}

void StreamRecords::Update() {
  const TimePoint now = BootTime();
  m_origins.NoteServing(Serving(), now);
  m_origins.RemoveExpired(now);
  if (m_was_read && !m_history_timer.Active() && !m_history_due &&
      m_origins.Possible(now) != m_history) {
    // Of many instances that notice a new origin, the first writes it, and the
    // others read that before they would.
    const auto instances = static_cast<Duration::rep>(m_directory->size());
    std::uniform_int_distribution<Duration::rep> delay(
        0, kHistoryDelayPerInstance.count() * instances);
    m_history_timer.Start(Duration(delay(m_random)));
  }
  const bool needed = NeedsRecords(now);
  if (needed && !m_recorded_in_progress) {
    RecordInProgress();
  }
  m_recorded_in_progress = needed;
  CheckReports(now);
  CloseRow(now);
}

void StreamRecords::RecordInProgress() {
  const std::vector<StreamRecord> records = m_origins.InProgress();
  if (records.empty()) {
    return;
  }
  m_unsent.m_records.insert(m_unsent.m_records.end(), records.begin(),
                            records.end());
  m_report_timer.Start(kReportDelay);
}

void StreamRecords::Record(const std::vector<StreamHash>& ids,
                           OriginHash origin,
                           std::function<void()> done) {
  for (const StreamHash id : ids) {
    m_origins.Begin(id, origin);
  }
  const TimePoint now = BootTime();
  // The table never has an unknown origin, and other instances may have a wrong
  // record of such a stream.
  if (IsInTable(origin) && !NeedsRecords(now)) {
    done();
    return;
  }
  for (const StreamHash id : ids) {
    m_unsent.m_records.push_back({id, origin});
  }
  m_unsent.m_held.push_back({std::move(done), now});
  if (!m_report_timer.Active()) {
    m_report_timer.Start(kReportDelay);
  }
}

void StreamRecords::SendReports() {
  const TimePoint now = BootTime();
  Batch batch = std::exchange(m_unsent, {});
  batch.m_sent_at = now;
  if (m_recorder.Choose(now) == m_self) {
    Enqueue(std::move(batch));
    return;
  }
  // The last message of a batch releases its streams: they are sent in order,
  // and a lost one is noticed by its own missing confirmation.
  while (batch.m_records.size() > kMaxRecordsPerReport) {
    Batch part;
    part.m_sent_at = now;
    const auto end = batch.m_records.begin() +
                     static_cast<std::ptrdiff_t>(kMaxRecordsPerReport);
    part.m_records.assign(batch.m_records.begin(), end);
    batch.m_records.erase(batch.m_records.begin(), end);
    m_hooks.m_send_report(m_recorder.Current(),
                          {++m_last_report, part.m_records});
    m_reported.emplace(m_last_report, std::move(part));
  }
  m_hooks.m_send_report(m_recorder.Current(),
                        {++m_last_report, batch.m_records});
  m_reported.emplace(m_last_report, std::move(batch));
}

void StreamRecords::CheckReports(TimePoint now) {
  std::vector<Batch> late;
  for (auto report = m_reported.begin(); report != m_reported.end();) {
    if (now - report->second.m_sent_at < kReportTimeout) {
      ++report;
      continue;
    }
    late.push_back(std::move(report->second));
    report = m_reported.erase(report);
  }
  if (!late.empty()) {
    m_recorder.NoteTimeout(now);
  }
  for (Batch& batch : late) {
    Enqueue(std::move(batch));
  }
  ReleaseLateStreams(now);
}

void StreamRecords::ReleaseLateStreams(TimePoint now) {
  std::vector<HeldStream> late;
  for (Batch* batch : {&m_queued, &m_written}) {
    const auto first_late =
        std::stable_partition(batch->m_held.begin(), batch->m_held.end(),
                              [now](const HeldStream& held) {
                                return now - held.m_since < kMaxHold;
                              });
    std::move(first_late, batch->m_held.end(), std::back_inserter(late));
    batch->m_held.erase(first_late, batch->m_held.end());
  }
  for (const HeldStream& held : late) {
    held.m_release();
  }
}

void StreamRecords::HandleReport(const InstanceId& from,
                                 const StreamReport& report) {
  Batch batch;
  batch.m_records = report.m_records;
  batch.m_reports.push_back({from, report.m_id});
  Enqueue(std::move(batch));
}

void StreamRecords::HandleRecorded(const InstanceId& from,
                                   std::uint32_t report) {
  m_recorder.NoteResponse(from);
  const auto found = m_reported.find(report);
  if (found == m_reported.end()) {
    return;
  }
  const Batch batch = std::move(found->second);
  m_reported.erase(found);
  for (const HeldStream& held : batch.m_held) {
    held.m_release();
  }
}

void StreamRecords::Enqueue(Batch batch) {
  m_queued.m_records.insert(m_queued.m_records.end(), batch.m_records.begin(),
                            batch.m_records.end());
  std::move(batch.m_held.begin(), batch.m_held.end(),
            std::back_inserter(m_queued.m_held));
  std::move(batch.m_reports.begin(), batch.m_reports.end(),
            std::back_inserter(m_queued.m_reports));
  ScheduleWrite();
}

void StreamRecords::ScheduleWrite() {
  if (!m_writing && !m_write_timer.Active() && !m_queued.m_records.empty()) {
    m_write_timer.Start(
        std::max(m_written_at + kWritePeriod - BootTime(), Duration::zero()));
  }
}

void StreamRecords::WriteRow() {
  const TimePoint now = BootTime();
  CloseRow(now);
  if (m_row.empty()) {
    m_row_started_at = now;
  }
  m_written = std::exchange(m_queued, {});
  m_row.insert(m_row.end(), m_written.m_records.begin(),
               m_written.m_records.end());
  m_writing = true;
  m_written_at = now;
  net::FeedWrite write;
  write.m_table = kStreamTable;
  write.m_key = m_process_key + std::to_string(m_row_number);
  write.m_value = EncodeRecords(m_row);
  m_feed.m_write(write, kWriteTimeout, [this](const net::FeedResult& result) {
    HandleWritten(result);
  });
}

void StreamRecords::HandleWritten(const net::FeedResult& result) {
  m_writing = false;
  if (result.m_status == net::FeedStatus::kDone) {
    const Batch written = std::exchange(m_written, {});
    for (const ReceivedReport& report : written.m_reports) {
      m_hooks.m_send_recorded(report.m_from, report.m_id);
    }
    for (const HeldStream& held : written.m_held) {
      held.m_release();
    }
    ScheduleWrite();
    return;
  }
  Log(LogLevel::kWarning, "stream_records_not_written",
      {{"reason", result.m_detail}});
  Batch failed = std::exchange(m_written, {});
  m_row.resize(m_row.size() - std::min(m_row.size(), failed.m_records.size()));
  if (result.m_status == net::FeedStatus::kUnknown) {
    // The write may take effect later, and must not replace a newer value.
    EndRow(BootTime());
  }
  Enqueue(std::move(failed));
  m_write_timer.Start(kWriteRetryDelay);
}

void StreamRecords::CloseRow(TimePoint now) {
  const bool full = m_row.size() >= kMaxRowRecords;
  if (!m_writing && !m_row.empty() &&
      (full || now - m_row_started_at >= kRowPeriod)) {
    EndRow(now);
  }
  while (!m_closed_rows.empty() &&
         now - m_closed_rows.front().m_closed_at >= kRowRetention) {
    RemoveRow(m_closed_rows.front().m_key);
    m_closed_rows.erase(m_closed_rows.begin());
  }
}

void StreamRecords::EndRow(TimePoint now) {
  m_closed_rows.push_back({m_process_key + std::to_string(m_row_number), now});
  ++m_row_number;
  m_row.clear();
}

void StreamRecords::RemoveRow(const std::string& key) {
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

void StreamRecords::WriteHistory() {
  const OriginsByService possible = m_origins.Possible(BootTime());
  if (m_writing_history || possible == m_history) {
    return;
  }
  m_writing_history = true;
  net::FeedWrite write;
  write.m_table = kStreamTable;
  write.m_key = kHistoryKey;
  write.m_value = EncodeOrigins(possible);
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
  std::map<net::FeedVersion, std::vector<std::string>> rows_by_version;
  m_history_version = net::FeedVersion(0);
  m_history.clear();
  for (const net::FeedRow& row : result.m_rows) {
    if (row.m_key != kHistoryKey) {
      rows_by_version[row.m_version].push_back(row.m_value);
      if (!m_was_read && row.m_key.starts_with(m_self.str() + "~")) {
        m_closed_rows.push_back({row.m_key, BootTime()});
      }
      continue;
    }
    m_history_version = row.m_version;
    if (const auto origins = DecodeOrigins(row.m_value)) {
      m_history = *origins;
    } else {
      Log(LogLevel::kWarning, "origins_not_used", {{"value", row.m_value}});
    }
  }
  m_origins.NoteHistory(m_history, !m_was_read, BootTime());
  m_was_read = true;
  std::vector<std::string> rows;
  for (auto& [version, values] : rows_by_version) {
    std::move(values.begin(), values.end(), std::back_inserter(rows));
  }
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

void StreamRecords::Find(StreamHash stream,
                         const ServiceId& service,
                         Callback callback) {
  const TimePoint now = BootTime();
  m_origins.NoteServing(Serving(), now);
  if (m_origins.IsOwn(stream)) {
    callback({m_origins.Find(stream), "own stream", 0});
    return;
  }
  // This instance may not know yet of an origin that others use, and a record
  // that it has read may have been replaced: only a read that begins now is
  // certain.
  m_waiting.push_back({stream, service, std::move(callback), 0, now});
  if (!m_reading) {
    Read();
  }
}

FoundOrigin StreamRecords::WithoutRecord(const ServiceId& service,
                                         int reads,
                                         TimePoint now) const {
  const auto only = m_origins.OnlyPossible(service, now);
  // The first event of a stream may have been released without a record while
  // its origin was not in the table either.
  if (!only || !IsInTable(*only)) {
    return {std::nullopt, "not recorded", reads};
  }
  const OriginsByService possible = m_origins.Possible(now);
  const auto origins = possible.find(service);
  const bool is_single =
      origins != possible.end() && origins->second.size() == 1;
  return {only, is_single ? "single origin" : "origin before the start", reads};
}

void StreamRecords::FinishLookups(bool was_read) {
  const TimePoint now = BootTime();
  for (Lookup& lookup : std::exchange(m_lookups, {})) {
    ++lookup.m_reads;
    const auto found = m_origins.Find(lookup.m_stream);
    if (found) {
      lookup.m_callback({found, "record", lookup.m_reads});
    } else if (!was_read) {
      lookup.m_callback({std::nullopt, "table not read", lookup.m_reads});
    } else if (lookup.m_reads >= kMaxReads || !NeedsRecords(now)) {
      lookup.m_callback(WithoutRecord(lookup.m_service, lookup.m_reads, now));
    } else {
      lookup.m_due = now + kRecordWait;
      m_waiting.push_back(std::move(lookup));
    }
  }
  StartReadTimer();
}

}  // namespace nutmeghollow
