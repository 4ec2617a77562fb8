// Property test: a follower of a table whose responses are late, behind, or of
// an earlier era, over random histories.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"
#include "nutmegd/checked_feed.h"
#include "nutmegd/table_follower.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedEra;
using net::FeedResult;
using net::FeedRow;
using net::FeedStatus;
using net::FeedVersion;
using std::chrono::milliseconds;

constexpr int kKeys = 5;
constexpr int kSteps = 400;

/// The table at one moment, with the changes since the era began.
struct State {
  std::uint16_t m_era = 1;
  std::uint64_t m_version = 1;
  std::map<std::string, FeedRow> m_rows;
  std::vector<FeedRow> m_changes;

  FeedVersion Position() const {
    return net::MakeFeedVersion(FeedEra(m_era), m_version);
  }
};

class RandomHistory : public testing::TestWithParam<unsigned> {
 protected:
  RandomHistory() : m_random(GetParam()) {
    m_loop = ev_loop_new(0);
    TableFollowerOptions options;
    options.m_table = "table";
    options.m_min_backoff = options.m_max_backoff = milliseconds(1);
    options.m_outdated_delay = options.m_min_period = milliseconds(1);
    TableFollowerEvents events;
    events.m_on_row = [this](const FeedRow& row) {
      HandleRow(row);
      return true;
    };
    m_follower = std::make_unique<TableFollower>(
        m_loop,
        WithCopies(MakeCheckedFeed(Feed(), {.m_probe_table = "table",
                                            .m_probe_key = "a",
                                            .m_floor = &m_floor,
                                            .m_metrics = &m_metrics})),
        options, events);
  }

  ~RandomHistory() override {
    m_follower.reset();
    ev_loop_destroy(m_loop);
  }

  /// A call that has not been answered.
  struct Call {
    enum { kAll, kChanges, kCompare, kCopy } m_kind;
    FeedVersion m_after;
    std::vector<FeedRow> m_rows;
    State m_state;  ///< When it was sent.
    net::FeedCallback m_callback;
  };

  net::RowFeed Feed() {
    net::RowFeed feed;
    feed.m_read_all = [this](const std::string&, Duration,
                             const net::FeedCallback& callback) {
      m_calls.push_back({Call::kAll, {}, {}, m_state, callback});
    };
    feed.m_wait_changes = [this](const std::string&, FeedVersion after,
                                 Duration, Duration,
                                 const net::FeedCallback& callback) {
      m_calls.push_back({Call::kChanges, after, {}, m_state, callback});
    };
    feed.m_compare = [this](const std::string&,
                            const std::vector<FeedRow>& rows, Duration,
                            const net::FeedCallback& callback) {
      m_calls.push_back({Call::kCompare, {}, rows, m_state, callback});
    };
    return feed;
  }

  net::RowFeed WithCopies(net::RowFeed feed) {
    feed.m_read_copy = [this](const std::string&, FeedVersion after, Duration,
                              const net::FeedCallback& callback) {
      m_calls.push_back({Call::kCopy, after, {}, m_state, callback});
    };
    return feed;
  }

  void HandleRow(const FeedRow& row) {
    FeedVersion& last = m_last[row.m_key];
    EXPECT_GE(row.m_version, last) << row.m_key << " went back";
    last = std::max(last, row.m_version);
  }

  int Draw(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(m_random);
  }

  void RunFor(Duration duration) {
    net::Timer end(m_loop, [this] { ev_break(m_loop, EVBREAK_ALL); });
    end.Start(duration);
    ev_run(m_loop, 0);
  }

  void Write() {
    m_past.push_back(m_state);
    ++m_state.m_version;
    const std::string key(1, static_cast<char>('a' + Draw(kKeys)));
    FeedRow row{key, std::to_string(++m_writes), m_state.Position(), false};
    if (Draw(4) == 0) {
      row.m_removed = true;
      m_state.m_rows.erase(key);
    } else {
      m_state.m_rows[key] = row;
    }
    m_state.m_changes.push_back(row);
  }

  /// Comes back from an earlier copy of the same era.
  void Return() {
    std::vector<const State*> copies;
    for (const State& past : m_past) {
      if (past.m_era == m_state.m_era) {
        copies.push_back(&past);
      }
    }
    if (copies.empty()) {
      return;
    }
    State copy = *copies[static_cast<std::size_t>(
        Draw(static_cast<int>(copies.size())))];
    m_past.push_back(m_state);
    copy.m_era = static_cast<std::uint16_t>(m_state.m_era + 1);
    copy.m_changes.clear();
    for (auto& [key, row] : copy.m_rows) {
      row.m_version = net::MakeFeedVersion(FeedEra(copy.m_era),
                                           net::VersionInEra(row.m_version));
    }
    m_state = std::move(copy);
    m_era_began_at = m_state.m_version;
  }

  FeedResult Rows(const Call& call, const State& state) const {
    FeedResult result{FeedStatus::kDone, {}, state.Position(), "", {}};
    const bool is_known = net::EraOf(call.m_after) == FeedEra(state.m_era) &&
                          net::VersionInEra(call.m_after) >= m_era_began_at;
    if (call.m_kind == Call::kChanges && !is_known) {
      result.m_status = FeedStatus::kHistoryNotRetained;
      return result;
    }
    if (call.m_kind != Call::kChanges) {
      for (const auto& [key, row] : state.m_rows) {
        result.m_rows.push_back(row);
      }
      return result;
    }
    for (const FeedRow& row : state.m_changes) {
      if (row.m_version > call.m_after) {
        result.m_rows.push_back(row);
      }
    }
    return result;
  }

  FeedResult Comparison(const Call& call) const {
    FeedResult result{FeedStatus::kDone, {}, m_state.Position(), "", {}};
    for (const FeedRow& row : call.m_rows) {
      const auto found = m_state.m_rows.find(row.m_key);
      if (found == m_state.m_rows.end()) {
        result.m_rows.push_back({row.m_key, "", m_state.Position(), true});
      } else if (found->second.m_version != row.m_version) {
        result.m_rows.push_back(found->second);
      }
    }
    return result;
  }

  /// Answers the oldest call.
  void Answer(bool is_sound) {
    if (m_calls.empty()) {
      return;
    }
    const Call call = std::move(m_calls.front());
    m_calls.erase(m_calls.begin());
    if (call.m_kind == Call::kCopy) {
      const State& state = m_past.empty() || Draw(2) == 0
                               ? m_state
                               : m_past[static_cast<std::size_t>(
                                     Draw(static_cast<int>(m_past.size())))];
      FeedResult result = Rows(call, state);
      result.m_is_whole = true;
      result.m_source = Endpoint("127.0.0.1:9");
      m_floor.NoteElsewhere(state.Position().value(), BootTime());
      call.m_callback(result);
    } else if (!is_sound && Draw(8) == 0) {
      call.m_callback({FeedStatus::kUnknown, {}, {}, "no response", {}});
    } else if (call.m_kind == Call::kCompare) {
      call.m_callback(Comparison(call));
    } else if (!is_sound && Draw(3) == 0 && !m_past.empty()) {
      call.m_callback(Rows(call, m_past[static_cast<std::size_t>(
                                     Draw(static_cast<int>(m_past.size())))]));
    } else {
      call.m_callback(
          Rows(call, !is_sound && Draw(4) == 0 ? call.m_state : m_state));
    }
  }

  std::mt19937 m_random;
  struct ev_loop* m_loop = nullptr;
  PositionFloor m_floor;
  MetricsRegistry m_metrics;
  State m_state;
  std::vector<State> m_past;
  std::uint64_t m_era_began_at = 0;
  int m_writes = 0;
  std::vector<Call> m_calls;
  std::map<std::string, FeedVersion> m_last;  ///< Handled, by key.
  std::unique_ptr<TableFollower> m_follower;
};

// Failure: an older response replaced newer rows, again and again.
TEST_P(RandomHistory, NeverGoesBackAndEndsAtTheRowsOfTheStore) {
  for (int step = 0; step < kSteps; ++step) {
    const int draw = Draw(100);
    if (draw < 30) {
      Write();
    } else if (draw < 32) {
      Return();
    } else if (draw < 40) {
      m_follower->RequestCopy(m_follower->IncludedVersion(), [](bool) {});
    } else if (draw < 48) {
      m_floor.NoteElsewhere(m_state.Position().value(), BootTime());
    } else {
      Answer(false);
    }
    RunFor(Draw(3) == 0 ? milliseconds(2) : Duration(100));
  }
  Write();
  for (int step = 0; step < 30; ++step) {
    Answer(true);
    RunFor(milliseconds(3));
  }
  std::map<std::string, std::string> held;
  for (const FeedRow& row : m_follower->AllRows().m_rows) {
    held[row.m_key] = row.m_value;
  }
  std::map<std::string, std::string> stored;
  for (const auto& [key, row] : m_state.m_rows) {
    stored[key] = row.m_value;
  }
  EXPECT_EQ(held, stored);
  EXPECT_TRUE(m_follower->IsCurrent());
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomHistory, testing::Range(1U, 31U));

}  // namespace
}  // namespace nutmeghollow
