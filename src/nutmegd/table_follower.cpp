#include "nutmegd/table_follower.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "libnet/log.h"

namespace nutmeghollow {

using net::Log;
using net::LogLevel;

namespace {

/// Maximum number of doublings of the backoff.
constexpr int kMaxDoublings = 4;
/// Maximum number of changes retained for the instances that follow the table
/// through this one: more than occur while one of them misses a few responses.
constexpr std::size_t kMaxRetainedChanges = 512;

}  // namespace

TableFollower::TableFollower(struct ev_loop* loop,
                             net::RowFeed feed,
                             TableFollowerOptions options,
                             TableFollowerEvents events)
    : m_feed(std::move(feed)),
      m_options(std::move(options)),
      m_events(std::move(events)),
      m_timer(loop, [this] { SendRequest(); }),
      m_last_success_at(net::BootTime()) {
  m_timer.Start(Duration::zero());
}

TableFollower::~TableFollower() = default;

void TableFollower::SendRequest() {
  const TimePoint requested_at = net::BootTime();
  const std::weak_ptr<bool> alive = m_alive;
  if (!m_loaded) {
    m_feed.m_read_all(
        m_options.m_table, m_options.m_timeout_margin,
        [this, alive, requested_at](const net::FeedResult& result) {
          if (!alive.expired()) {
            HandleAllRows(result, requested_at);
          }
        });
    return;
  }
  // After a failure, the copy must be confirmed to be current without a wait.
  const Duration wait = m_failures > 0 ? Duration::zero() : m_options.m_wait;
  m_feed.m_wait_changes(
      m_options.m_table, m_version, wait, wait + m_options.m_timeout_margin,
      [this, alive, requested_at](const net::FeedResult& result) {
        if (!alive.expired()) {
          HandleChanges(result, requested_at);
        }
      });
}

void TableFollower::HandleOutdated(const std::string& reason) {
  // Rows that were added meanwhile are only found by a read.
  m_loaded = false;
  if (!m_feed.m_compare || m_rows.empty()) {
    HandleFailure(reason);
    return;
  }
  m_feed.m_compare(
      m_options.m_table, AllRows().m_rows, m_options.m_timeout_margin,
      [this, alive = std::weak_ptr<bool>(m_alive),
       requested_at = net::BootTime()](const net::FeedResult& result) {
        if (!alive.expired()) {
          HandleComparison(result, requested_at);
        }
      });
}

void TableFollower::HandleComparison(const net::FeedResult& result,
                                     TimePoint requested_at) {
  if (result.m_status != net::FeedStatus::kDone) {
    HandleFailure(result.m_detail);
    return;
  }
  HandleSuccess();
  m_source = {};
  Log(LogLevel::kInfo, "table_compared",
      {{"table", m_options.m_table},
       {"era", static_cast<std::int64_t>(net::EraOf(result.m_version).value())},
       {"version",
        static_cast<std::int64_t>(net::VersionInEra(result.m_version))},
       {"changed_rows", static_cast<std::int64_t>(result.m_rows.size())}});
  for (const net::FeedRow& row : result.m_rows) {
    Retain(row);
    HandleRow(row);
  }
  m_compared_version = std::max(m_compared_version, result.m_version);
  NoteConfirmed(requested_at);
  m_timer.Start(m_options.m_outdated_delay);
}

void TableFollower::RetryIfLost() {
  if (m_failures > 0) {
    m_alive = std::make_shared<bool>(true);
    m_timer.Start(Duration::zero());
  }
}

void TableFollower::RequestCopy(net::FeedVersion after,
                                std::function<void(bool is_read)> done) {
  // A copy that was never confirmed has no age, which bounds its use.
  if (m_confirmed_at == TimePoint() || !m_feed.m_read_copy) {
    Log(LogLevel::kWarning, "copy_not_read",
        {{"table", m_options.m_table},
         {"reason", std::string("the table has not been read yet")}});
    done(false);
    return;
  }
  m_feed.m_read_copy(
      m_options.m_table, after, m_options.m_timeout_margin,
      [this, exists = std::weak_ptr<bool>(m_exists),
       done = std::move(done)](const net::FeedResult& result) {
        if (exists.expired()) {
          return;
        }
        const bool is_read = result.m_status == net::FeedStatus::kDone;
        if (is_read) {
          HandleCopy(result);
        } else {
          Log(LogLevel::kWarning, "copy_not_read",
              {{"table", m_options.m_table}, {"reason", result.m_detail}});
        }
        done(is_read);
      });
}

void TableFollower::HandleCopy(const net::FeedResult& result) {
  m_source = result.m_source;
  std::vector<net::FeedRow> newer;
  std::set<std::string> keys;
  net::FeedVersion version = result.m_version;
  for (const net::FeedRow& row : result.m_rows) {
    keys.insert(row.m_key);
    version = std::max(version, row.m_version);
    if (IsNewerInCopy(row)) {
      newer.push_back(row);
    }
  }
  if (result.m_is_whole && result.m_version > IncludedVersion()) {
    for (const auto& [key, row] : m_rows) {
      if (!keys.contains(key) && row.m_version <= result.m_version) {
        newer.push_back(
            {key, "", result.m_version, true,
             net::EraOf(result.m_version) > net::EraOf(row.m_version)});
      }
    }
  }
  Log(LogLevel::kInfo, "copy_read",
      {{"table", m_options.m_table},
       {"source", m_source.str()},
       {"newer_rows", static_cast<std::int64_t>(newer.size())},
       {"version", static_cast<std::int64_t>(net::VersionInEra(version))},
       {"era", static_cast<std::int64_t>(net::EraOf(version).value())}});
  for (const net::FeedRow& row : newer) {
    Retain(row);
    HandleRow(row);
  }
  m_copied_version = std::max(m_copied_version, version);
  m_copied_at = net::BootTime();
}

bool TableFollower::IsNewerInCopy(const net::FeedRow& row) const {
  const std::optional<net::FeedVersion> version = VersionOf(row.m_key);
  if (!version) {
    // An older one was removed here.
    return !row.m_removed && row.m_version > IncludedVersion();
  }
  const auto own = m_rows.find(row.m_key);
  // A row of the same version may have been damaged on its way here.
  const bool is_other = own != m_rows.end() && !row.m_removed &&
                        row.m_version == *version &&
                        row.m_value != own->second.m_value;
  return row.m_version > *version || is_other;
}

std::optional<net::FeedVersion> TableFollower::VersionOf(
    const std::string& key) const {
  const auto row = m_rows.find(key);
  if (row != m_rows.end()) {
    return row->second.m_version;
  }
  const auto change =
      std::find_if(m_changes.begin(), m_changes.end(),
                   [&key](const Change& one) { return one.m_key == key; });
  return change == m_changes.end() ? std::nullopt
                                   : std::optional(change->m_version);
}

bool TableFollower::MayPrecedeCopies(const net::FeedResult& result,
                                     TimePoint requested_at) const {
  return std::max(m_copied_version, m_newest_change) > m_version &&
         (!result.m_source.empty() || requested_at <= m_copied_at);
}

void TableFollower::HandleAllRows(const net::FeedResult& result,
                                  TimePoint requested_at) {
  if (result.m_status == net::FeedStatus::kOutdated) {
    HandleOutdated(result.m_detail);
    return;
  }
  if (result.m_status != net::FeedStatus::kDone) {
    HandleFailure(result.m_detail);
    return;
  }
  if (!result.m_source.empty() && result.m_version < m_version) {
    HandleFailure("the copy of another instance is older");
    return;
  }
  HandleSuccess();
  m_source = result.m_source;
  const bool may_be_older =
      !result.m_source.empty() || MayPrecedeCopies(result, requested_at);
  if (!may_be_older) {
    m_copied_version = {};
    m_newest_change = {};
  }
  std::map<std::string, net::FeedRow> missing = m_rows;
  for (const net::FeedRow& row : result.m_rows) {
    missing.erase(row.m_key);
    if (!may_be_older || row.m_version >= VersionOf(row.m_key)) {
      if (row.m_version > result.m_version) {
        Retain(row);  // The reader has it from a copy of another instance.
      }
      HandleRow(row);
    }
  }
  const bool is_later_era =
      net::EraOf(result.m_version) > net::EraOf(m_version);
  std::int64_t removed = 0;
  for (const auto& [key, row] : missing) {
    if (!may_be_older || row.m_version <= result.m_version) {
      HandleRow({key, "", result.m_version, true, is_later_era});
      ++removed;
    }
  }
  Log(LogLevel::kInfo, "table_read",
      {{"table", m_options.m_table},
       {"source", m_source.empty() ? std::string("platform") : m_source.str()},
       {"era", static_cast<std::int64_t>(net::EraOf(result.m_version).value())},
       {"version",
        static_cast<std::int64_t>(net::VersionInEra(result.m_version))},
       {"rows", static_cast<std::int64_t>(result.m_rows.size())},
       {"removed_rows", removed}});
  m_loaded = true;
  m_version = result.m_version;
  // Those of copies of other instances may be newer. What is above the version
  // of a later response of the platform has been lost there.
  std::erase_if(m_changes, [this, may_be_older](const Change& change) {
    return !may_be_older || change.m_version <= m_version;
  });
  m_changes_after = m_version;
  Confirm(result, requested_at);
}

void TableFollower::HandleChanges(const net::FeedResult& result,
                                  TimePoint requested_at) {
  if (result.m_status == net::FeedStatus::kHistoryNotRetained) {
    m_loaded = false;
    SendRequest();
    return;
  }
  if (result.m_status == net::FeedStatus::kOutdated) {
    HandleOutdated(result.m_detail);
    return;
  }
  if (result.m_status != net::FeedStatus::kDone) {
    HandleFailure(result.m_detail);
    return;
  }
  if (result.m_is_whole) {
    HandleAllRows(result, requested_at);
    return;
  }
  const bool may_be_older = MayPrecedeCopies(result, requested_at);
  const net::FeedVersion before = may_be_older ? m_version : IncludedVersion();
  if (result.m_source.empty() && result.m_version < before) {
    // The platform's version went back, or the response is an old one.
    Log(LogLevel::kWarning, "table_version_went_back",
        {{"table", m_options.m_table},
         {"version",
          static_cast<std::int64_t>(net::VersionInEra(result.m_version))},
         {"era",
          static_cast<std::int64_t>(net::EraOf(result.m_version).value())},
         {"before", static_cast<std::int64_t>(net::VersionInEra(before))},
         {"before_from_copy", m_copied_version > m_version}});
    m_loaded = false;
    SendRequest();
    return;
  }
  HandleSuccess();
  m_source = result.m_source;
  for (const net::FeedRow& row : result.m_rows) {
    if (row.m_version >= VersionOf(row.m_key)) {
      Retain(row);
      HandleRow(row);
    }
  }
  m_version = std::max(m_version, result.m_version);
  if (m_newest_change > m_version) {
    // The source has rows from a copy, and so has this instance now.
    m_copied_at = net::BootTime();
  }
  Confirm(result, requested_at);
}

void TableFollower::Retain(const net::FeedRow& row) {
  // Whoever asks for the changes after an older one of the same row needs only
  // the newest.
  std::erase_if(m_changes, [&row](const Change& change) {
    return change.m_key == row.m_key;
  });
  // A row from another instance may be older than the newest change here.
  const auto later =
      std::upper_bound(m_changes.begin(), m_changes.end(), row.m_version,
                       [](net::FeedVersion version, const Change& change) {
                         return version < change.m_version;
                       });
  m_changes.insert(later, {row.m_key, row.m_version});
  while (m_changes.size() > kMaxRetainedChanges) {
    m_changes_after = m_changes.front().m_version;
    m_changes.pop_front();
  }
}

void TableFollower::HandleRow(const net::FeedRow& row) {
  const bool is_used = m_events.m_on_row(row);
  if (row.m_removed) {
    m_rows.erase(row.m_key);
  } else if (is_used || !m_rows.contains(row.m_key)) {
    m_rows[row.m_key] = row;
  } else if (net::FeedRow& own = m_rows[row.m_key];
             net::EraOf(row.m_version) > net::EraOf(own.m_version)) {
    // The value from before replaces the restored one for others too.
    own.m_version = row.m_version;
  }
  m_newest_change = std::max(m_newest_change, row.m_version);
  ++m_updates;
}

void TableFollower::HandleSuccess() {
  const TimePoint now = net::BootTime();
  if (std::exchange(m_failures, 0) > 0 && m_events.m_on_regained) {
    m_events.m_on_regained(now - m_last_success_at);
  }
  m_last_success_at = now;
}

net::FeedResult TableFollower::AllRows() const {
  net::FeedResult result{net::FeedStatus::kDone, {}, m_version, "", {}};
  for (const auto& [key, row] : m_rows) {
    result.m_rows.push_back(row);
  }
  return result;
}

net::FeedResult TableFollower::ChangesAfter(net::FeedVersion after) const {
  net::FeedResult result{net::FeedStatus::kDone, {}, m_version, "", {}};
  if (!Retains(after)) {
    result.m_status = net::FeedStatus::kHistoryNotRetained;
    return result;
  }
  for (const Change& change : m_changes) {
    if (change.m_version <= after) {
      continue;
    }
    const auto row = m_rows.find(change.m_key);
    if (row == m_rows.end()) {
      result.m_rows.push_back({change.m_key, "", change.m_version, true});
    } else {
      result.m_rows.push_back(row->second);
    }
  }
  return result;
}

void TableFollower::Confirm(const net::FeedResult& result,
                            TimePoint requested_at) {
  NoteConfirmed(result.m_confirmed_at.value_or(requested_at));
  const Duration delay =
      requested_at + m_options.m_min_period - net::BootTime();
  m_timer.Start(std::max(delay, Duration::zero()));
}

void TableFollower::NoteConfirmed(TimePoint confirmed_at) {
  m_confirmed_at = std::max(m_confirmed_at, confirmed_at);
  if (m_events.m_on_confirmed) {
    m_events.m_on_confirmed(m_confirmed_at);
  }
}

void TableFollower::HandleFailure(const std::string& reason) {
  if (m_failures == 0 && m_events.m_on_lost) {
    m_events.m_on_lost(reason);
  }
  const Duration backoff = std::min(
      m_options.m_min_backoff * (1 << std::min(m_failures, kMaxDoublings)),
      m_options.m_max_backoff);
  ++m_failures;
  m_timer.Start(backoff);
}

}  // namespace nutmeghollow
