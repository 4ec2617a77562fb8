#include "nutmegd/table_follower.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {

namespace {

/// Doublings of the pause after which it is at its longest.
constexpr int kMostDoublings = 4;
/// Changes kept for instances that follow through this one: more than come
/// while one of them misses a few answers.
constexpr std::size_t kMostChanges = 512;

}  // namespace

TableFollower::TableFollower(struct ev_loop* loop,
                             net::RowFeed feed,
                             TableFollowerOptions options,
                             TableFollowerEvents events)
    : m_feed(std::move(feed)),
      m_options(std::move(options)),
      m_events(std::move(events)),
      m_timer(loop, [this] { Ask(); }),
      m_last_answer(net::BootTime()) {
  m_timer.Start(Duration::zero());
}

TableFollower::~TableFollower() = default;

void TableFollower::Ask() {
  const TimePoint asked_at = net::BootTime();
  const std::weak_ptr<bool> alive = m_alive;
  if (!m_has_all) {
    m_feed.m_read_all(m_options.m_table, m_options.m_answer_margin,
                      [this, alive, asked_at](const net::FeedResult& result) {
                        if (!alive.expired()) {
                          HandleAll(result, asked_at);
                        }
                      });
    return;
  }
  // After a loss the copy has to be proven current without a wait.
  const Duration wait = m_failures > 0 ? Duration::zero() : m_options.m_wait;
  m_feed.m_wait_changes(m_options.m_table, m_version, wait,
                        wait + m_options.m_answer_margin,
                        [this, alive, asked_at](const net::FeedResult& result) {
                          if (!alive.expired()) {
                            HandleChanges(result, asked_at);
                          }
                        });
}

void TableFollower::AskAgainIfLost() {
  if (m_failures > 0) {
    m_alive = std::make_shared<bool>(true);
    m_timer.Start(Duration::zero());
  }
}

void TableFollower::HandleAll(const net::FeedResult& result,
                              TimePoint asked_at) {
  if (result.m_status != net::FeedStatus::kDone) {
    NoteFailure(result.m_detail);
    return;
  }
  NoteAnswer();
  std::map<std::string, net::FeedRow> gone = m_rows;
  for (const net::FeedRow& row : result.m_rows) {
    gone.erase(row.m_key);
    HandleRow(row);
  }
  for (const auto& [key, row] : gone) {
    HandleRow({key, "", result.m_version, true});
  }
  m_has_all = true;
  m_version = result.m_version;
  m_changes.clear();
  m_changes_after = m_version;
  NoteCurrent(result, asked_at);
}

void TableFollower::HandleChanges(const net::FeedResult& result,
                                  TimePoint asked_at) {
  if (result.m_status == net::FeedStatus::kHistoryNotRetained) {
    m_has_all = false;
    Ask();
    return;
  }
  if (result.m_status != net::FeedStatus::kDone) {
    NoteFailure(result.m_detail);
    return;
  }
  NoteAnswer();
  for (const net::FeedRow& row : result.m_rows) {
    m_changes.push_back(row);
    HandleRow(row);
  }
  while (m_changes.size() > kMostChanges) {
    m_changes_after = m_changes.front().m_version;
    m_changes.pop_front();
  }
  m_version = std::max(m_version, result.m_version);
  NoteCurrent(result, asked_at);
}

void TableFollower::HandleRow(const net::FeedRow& row) {
  if (row.m_removed) {
    m_rows.erase(row.m_key);
  } else {
    m_rows[row.m_key] = row;
  }
  m_events.m_on_row(row);
}

void TableFollower::NoteAnswer() {
  const TimePoint now = net::BootTime();
  if (std::exchange(m_failures, 0) > 0 && m_events.m_on_regained) {
    m_events.m_on_regained(now - m_last_answer);
  }
  m_last_answer = now;
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
  if (after < m_changes_after) {
    result.m_status = net::FeedStatus::kHistoryNotRetained;
    return result;
  }
  for (const net::FeedRow& row : m_changes) {
    if (row.m_version > after) {
      result.m_rows.push_back(row);
    }
  }
  return result;
}

void TableFollower::NoteCurrent(const net::FeedResult& result,
                                TimePoint asked_at) {
  m_current_at = std::max(m_current_at, result.m_current_at.value_or(asked_at));
  if (m_events.m_on_current) {
    m_events.m_on_current(m_current_at);
  }
  const Duration rest = asked_at + m_options.m_least_period - net::BootTime();
  m_timer.Start(std::max(rest, Duration::zero()));
}

void TableFollower::NoteFailure(const std::string& reason) {
  if (m_failures == 0 && m_events.m_on_lost) {
    m_events.m_on_lost(reason);
  }
  const Duration pause =
      std::min(m_options.m_pause * (1 << std::min(m_failures, kMostDoublings)),
               m_options.m_longest_pause);
  ++m_failures;
  m_timer.Start(pause);
}

}  // namespace nutmeghollow
