/// @file
/// A feed in memory and a follower of one of its tables, for tests.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "nutmegd/table_follower.h"

namespace nutmeghollow {

/// A feed whose responses are given by the test.
class ScriptedFeed {
 public:
  net::RowFeed Hooks() {
    net::RowFeed feed;
    feed.m_read_all = [this](const std::string&, Duration,
                             const net::FeedCallback& callback) {
      ++m_reads;
      m_pending.push_back(callback);
    };
    feed.m_wait_changes = [this](const std::string&, net::FeedVersion after,
                                 Duration wait, Duration,
                                 const net::FeedCallback& callback) {
      ++m_waits;
      m_wait = wait;
      m_after = after;
      m_pending.push_back(callback);
    };
    feed.m_read_copy = [this](const std::string&, net::FeedVersion after,
                              Duration, const net::FeedCallback& callback) {
      m_copy_after = after;
      m_copies.push_back(callback);
    };
    return feed;
  }

  void Respond(net::FeedStatus status,
               std::uint64_t version = 0,
               std::vector<net::FeedRow> rows = {}) {
    ASSERT_FALSE(m_pending.empty());
    const net::FeedCallback callback = m_pending.front();
    m_pending.pop_front();
    callback(
        {status, std::move(rows), net::FeedVersion(version), "scripted", {}});
  }

  /// Responds with the whole table, as another instance does.
  void RespondWithCopy(std::uint64_t version, std::vector<net::FeedRow> rows) {
    ASSERT_FALSE(m_pending.empty());
    const net::FeedCallback callback = m_pending.front();
    m_pending.pop_front();
    net::FeedResult result{net::FeedStatus::kDone,
                           std::move(rows),
                           net::FeedVersion(version),
                           "",
                           {}};
    result.m_is_whole = true;
    result.m_source = Endpoint("127.0.0.1:9");
    callback(std::move(result));
  }

  /// Responds with changes, as another instance does.
  void RespondWithChanges(std::uint64_t version,
                          std::vector<net::FeedRow> rows) {
    ASSERT_FALSE(m_pending.empty());
    const net::FeedCallback callback = m_pending.front();
    m_pending.pop_front();
    net::FeedResult result{net::FeedStatus::kDone,
                           std::move(rows),
                           net::FeedVersion(version),
                           "",
                           {}};
    result.m_source = Endpoint("127.0.0.1:9");
    callback(std::move(result));
  }

  /// Gives the rows of another instance.
  void RespondWithNewerRows(std::uint64_t version,
                            std::vector<net::FeedRow> rows,
                            bool is_whole = false) {
    ASSERT_FALSE(m_copies.empty());
    const net::FeedCallback callback = m_copies.front();
    m_copies.pop_front();
    net::FeedResult result{net::FeedStatus::kDone,
                           std::move(rows),
                           net::FeedVersion(version),
                           "",
                           {}};
    result.m_is_whole = is_whole;
    result.m_source = Endpoint("127.0.0.1:9");
    callback(std::move(result));
  }

  int m_reads = 0;
  int m_waits = 0;
  net::FeedVersion m_after;
  Duration m_wait{};
  std::deque<net::FeedCallback> m_pending;
  std::deque<net::FeedCallback> m_copies;
  net::FeedVersion m_copy_after;
};

/// Value of a row that the owner of the follower does not use.
inline constexpr const char* kUnusedValue = "unused";

class TableFollowerTest : public testing::Test {
 protected:
  void SetUp() override {
    m_loop = ev_loop_new(0);
    TableFollowerOptions options;
    options.m_table = "table";
    options.m_min_backoff = std::chrono::milliseconds(5);
    options.m_max_backoff = std::chrono::milliseconds(5);
    options.m_min_period = std::chrono::milliseconds(1);
    TableFollowerEvents events;
    events.m_on_row = [this](const net::FeedRow& row) {
      m_seen += (row.m_removed ? "-" : "+") + row.m_key + " ";
      return row.m_value != kUnusedValue;
    };
    events.m_on_confirmed = [this](TimePoint) { ++m_confirmations; };
    events.m_on_lost = [this](const std::string&) { m_seen += "lost "; };
    events.m_on_regained = [this](Duration) { m_seen += "back "; };
    m_follower = std::make_unique<TableFollower>(m_loop, m_feed.Hooks(),
                                                 options, events);
    RunFor(std::chrono::milliseconds(10));
  }

  void TearDown() override {
    m_follower.reset();
    ev_loop_destroy(m_loop);
  }

  void RunFor(Duration duration) {
    net::Timer end(m_loop, [this] { ev_break(m_loop, EVBREAK_ALL); });
    end.Start(duration);
    ev_run(m_loop, 0);
  }

  /// Runs the event loop until a condition holds or about two seconds passed,
  /// so that the test also passes on a busy machine.
  void RunUntil(const std::function<bool()>& condition) {
    constexpr int kMaxPasses = 200;
    for (int pass = 0; pass < kMaxPasses && !condition(); ++pass) {
      RunFor(std::chrono::milliseconds(10));
    }
  }

  /// Requests newer rows, from which the whole table is wanted.
  void RequestCopy() {
    m_follower->RequestCopy(net::FeedVersion(), [](bool) {});
  }

  static net::FeedRow Row(const char* key, std::uint64_t version) {
    return {key, "value", net::FeedVersion(version), false};
  }
  static net::FeedRow Removed(const char* key, std::uint64_t version) {
    return {key, "", net::FeedVersion(version), true};
  }

  struct ev_loop* m_loop = nullptr;
  ScriptedFeed m_feed;
  std::unique_ptr<TableFollower> m_follower;
  std::string m_seen;
  int m_confirmations = 0;
};

}  // namespace nutmeghollow
