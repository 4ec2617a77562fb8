#include "nutmegd/checked_feed.h"

#include <memory>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedResult;
using net::FeedStatus;
using net::FeedVersion;
using net::Log;
using net::LogLevel;

/// Several times the duration of a transaction; a read that follows it must not
/// be delayed for long while the store is away.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
/// No further transaction is sent for this long after one has failed.
constexpr Duration kProbeBackoff = std::chrono::seconds(2);
/// Reads of several tables share a transaction.
constexpr Duration kMinProbeInterval = std::chrono::milliseconds(200);
/// After a fault of the store, reads may be behind for this long. Changes that
/// are made meanwhile are only known by a transaction.
constexpr Duration kDoubtfulTime = std::chrono::seconds(15);

std::int64_t VersionForLog(FeedVersion position) {
  return static_cast<std::int64_t>(net::VersionInEra(position));
}

std::int64_t EraForLog(FeedVersion position) {
  return net::EraOf(position).value();
}

class CheckedFeed : public std::enable_shared_from_this<CheckedFeed> {
 public:
  CheckedFeed(net::RowFeed feed, CheckedFeedOptions options)
      : m_feed(std::move(feed)), m_options(std::move(options)) {}

  void ReadAll(const std::string& table,
               Duration timeout,
               const net::FeedCallback& callback) {
    RunAfterProbe([=, self = shared_from_this()] {
      self->m_feed.m_read_all(
          table, timeout,
          self->Checked("whole table", table, FeedVersion(), callback));
    });
  }

  void WaitChanges(const std::string& table,
                   FeedVersion after,
                   Duration wait,
                   Duration timeout,
                   const net::FeedCallback& callback) {
    RunAfterProbe([=, self = shared_from_this()] {
      self->m_feed.m_wait_changes(
          table, after, wait, timeout,
          self->Checked("changes", table, after, callback));
    });
  }

  void Write(const net::FeedWrite& write,
             Duration timeout,
             const net::FeedCallback& callback) {
    m_feed.m_write(write, timeout,
                   [self = shared_from_this(), callback](FeedResult result) {
                     self->Note(result.m_version);
                     callback(std::move(result));
                   });
  }

  void Compare(const std::string& table,
               const std::vector<net::FeedRow>& rows,
               Duration timeout,
               const net::FeedCallback& callback) {
    m_feed.m_compare(
        table, rows, timeout,
        [self = shared_from_this(), callback, sent_at = BootTime(),
         held = rows.empty() ? FeedVersion()
                             : rows.front().m_version](FeedResult result) {
          if (result.m_status == FeedStatus::kDone) {
            self->NoteTransaction(result.m_version, sent_at);
          }
          callback(Restated(std::move(result), held));
        });
  }

 private:
  /// Runs the function, after a transaction if one is due.
  void RunAfterProbe(std::function<void()> function) {
    const TimePoint now = BootTime();
    if (m_options.m_fails_elsewhere && m_options.m_fails_elsewhere()) {
      m_doubtful_until = now + kDoubtfulTime;
    }
    const bool is_due =
        now < m_doubtful_until && m_feed.m_compare && now >= m_next_probe_at;
    if (!is_due && m_after_probe.empty()) {
      function();
      return;
    }
    m_after_probe.push_back(std::move(function));
    if (m_after_probe.size() == 1) {
      SendProbe();
    }
  }

  void SendProbe() {
    const net::FeedRow row{m_options.m_probe_key, "", FeedVersion(), false};
    m_feed.m_compare(
        m_options.m_probe_table, {row}, kProbeTimeout,
        [self = shared_from_this(),
         sent_at = BootTime()](const FeedResult& result) {
          const bool is_done = result.m_status == FeedStatus::kDone;
          const FeedVersion newest(self->m_options.m_floor->Newest());
          Log(LogLevel::kInfo, "store_position_read",
              {{"done", is_done},
               {"version", VersionForLog(result.m_version)},
               {"era", EraForLog(result.m_version)},
               {"newest_version", VersionForLog(newest)},
               {"newest_era", EraForLog(newest)}});
          if (is_done) {
            self->NoteTransaction(result.m_version, sent_at);
          }
          self->m_next_probe_at =
              BootTime() + (is_done ? kMinProbeInterval : kProbeBackoff);
          for (const auto& function : std::exchange(self->m_after_probe, {})) {
            function();
          }
        });
  }

  /// @return the callback, called with the checked result of a read that is
  /// sent now.
  /// @param after position after which changes are requested; zero for a whole
  /// table.
  net::FeedCallback Checked(const char* kind,
                            const std::string& table,
                            FeedVersion after,
                            const net::FeedCallback& callback) {
    return [=, self = shared_from_this(),
            sent_at = BootTime()](FeedResult result) {
      callback(self->Check(kind, table, after, sent_at, std::move(result)));
    };
  }

  FeedResult Check(const char* kind,
                   const std::string& table,
                   FeedVersion after,
                   TimePoint sent_at,
                   FeedResult result) {
    if (result.m_status == FeedStatus::kUnknown ||
        result.m_status == FeedStatus::kHistoryNotRetained) {
      m_doubtful_until = BootTime() + kDoubtfulTime;
    }
    if (result.m_status != FeedStatus::kDone) {
      return result;
    }
    const FeedVersion floor(m_options.m_floor->At(sent_at));
    if (result.m_version < floor) {
      m_doubtful_until = BootTime() + kDoubtfulTime;
      m_options.m_metrics->Count("nutmeg_gateway_outdated_store_responses", "");
      Log(LogLevel::kWarning, "store_response_outdated",
          {{"table", table},
           {"kind", std::string(kind)},
           {"version", VersionForLog(result.m_version)},
           {"newest_version", VersionForLog(floor)},
           {"era", EraForLog(result.m_version)},
           {"newest_era", EraForLog(floor)},
           {"rows", static_cast<std::int64_t>(result.m_rows.size())}});
      return {FeedStatus::kOutdated, {}, {}, "the response is outdated", {}};
    }
    Note(result.m_version);
    return Restated(std::move(result), after);
  }

  /// @return the result; without rows when they are of a later era than the
  /// position that they refer to, in which the history before them is not
  /// known.
  static FeedResult Restated(FeedResult result, FeedVersion position) {
    const bool is_later_era =
        result.m_status == FeedStatus::kDone && position > FeedVersion() &&
        net::EraOf(result.m_version) > net::EraOf(position);
    if (is_later_era) {
      return {FeedStatus::kHistoryNotRetained,
              {},
              {},
              "the store has a later era",
              {}};
    }
    return result;
  }

  void Note(FeedVersion position) {
    LogEra(position);
    m_options.m_floor->NoteOwn(position.value(), BootTime());
  }

  void NoteTransaction(FeedVersion position, TimePoint sent_at) {
    if (position == FeedVersion()) {
      return;  // The response stated none.
    }
    LogEra(position);
    const FeedVersion before(m_options.m_floor->Newest());
    if (m_options.m_floor->NoteTransaction(position.value(), sent_at,
                                           BootTime())) {
      Log(LogLevel::kError, "store_position_withdrawn",
          {{"version", VersionForLog(position)},
           {"era", EraForLog(position)},
           {"withdrawn_version", VersionForLog(before)},
           {"withdrawn_era", EraForLog(before)}});
    }
  }

  void LogEra(FeedVersion position) {
    const FeedVersion before(m_options.m_floor->Newest());
    if (net::EraOf(position) > net::EraOf(before)) {
      Log(LogLevel::kWarning, "store_era_began",
          {{"era", EraForLog(position)},
           {"version", VersionForLog(position)},
           {"era_before", EraForLog(before)},
           {"version_before", VersionForLog(before)}});
    }
  }

  net::RowFeed m_feed;
  CheckedFeedOptions m_options;
  TimePoint m_doubtful_until{};  ///< Transactions precede reads until then.
  TimePoint m_next_probe_at{};
  /// Reads that wait for a transaction in progress.
  std::vector<std::function<void()>> m_after_probe;
};

}  // namespace

net::RowFeed MakeCheckedFeed(net::RowFeed feed, CheckedFeedOptions options) {
  const bool compares = static_cast<bool>(feed.m_compare);
  const auto checked =
      std::make_shared<CheckedFeed>(std::move(feed), std::move(options));
  net::RowFeed result;
  result.m_read_all = [checked](const std::string& table, Duration timeout,
                                const net::FeedCallback& callback) {
    checked->ReadAll(table, timeout, callback);
  };
  result.m_wait_changes = [checked](const std::string& table, FeedVersion after,
                                    Duration wait, Duration timeout,
                                    const net::FeedCallback& callback) {
    checked->WaitChanges(table, after, wait, timeout, callback);
  };
  result.m_write = [checked](const net::FeedWrite& write, Duration timeout,
                             const net::FeedCallback& callback) {
    checked->Write(write, timeout, callback);
  };
  if (compares) {
    result.m_compare = [checked](const std::string& table,
                                 const std::vector<net::FeedRow>& rows,
                                 Duration timeout,
                                 const net::FeedCallback& callback) {
      checked->Compare(table, rows, timeout, callback);
    };
  }
  return result;
}

}  // namespace nutmeghollow
