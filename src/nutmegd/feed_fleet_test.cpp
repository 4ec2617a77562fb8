// Instances of two data centres that follow a table through one another over
// loopback, with a store in memory that refuses some of them.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "nutmegd/gateway_state.h"
#include "nutmegd/peer_feed.h"
#include "nutmegd/peer_http_server.h"
#include "nutmegd/store_reads.h"
#include "nutmegd/table_follower.h"
#include "nutmeghollow/feed_readers.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::FeedResult;
using net::FeedRow;
using net::FeedStatus;
using net::FeedVersion;
using std::chrono::milliseconds;

constexpr int kInstances = 12;
/// Time between two digests of an instance, longer than in a fleet of this
/// size.
constexpr Duration kDigestPeriod = milliseconds(400);
constexpr Duration kSlowReply = milliseconds(1);
/// A change has to be in force, and a removed key out of force, within this.
constexpr Duration kApplyLimit = milliseconds(3000);

/// A store of one table. Waits for changes are held as the platform's are.
class MemoryStore {
 public:
  explicit MemoryStore(struct ev_loop* loop)
      : m_timer(loop, [this] { RespondToDue(); }) {
    m_timer.StartRepeating(milliseconds(10));
  }

  net::RowFeed FeedOf(const InstanceId& id) {
    net::RowFeed feed;
    feed.m_read_all = [this, id](const std::string&, Duration timeout,
                                 const net::FeedCallback& callback) {
      Add(id, FeedVersion(0), Duration::zero(), timeout, callback);
    };
    feed.m_wait_changes = [this, id](const std::string&, FeedVersion after,
                                     Duration wait, Duration timeout,
                                     const net::FeedCallback& callback) {
      Add(id, after, wait, timeout, callback);
    };
    return feed;
  }

  void Put(FeedRow row) {
    row.m_version = m_version = FeedVersion(m_version.value() + 1);
    m_rows.push_back(std::move(row));
  }

  std::set<InstanceId> m_refused;
  std::set<InstanceId> m_unanswered;  ///< Their calls end by the time-out.
  std::map<InstanceId, int> m_calls;
  int m_all_calls = 0;

 private:
  struct Call {
    FeedVersion m_after;
    TimePoint m_due{};
    FeedStatus m_status = FeedStatus::kDone;
    net::FeedCallback m_callback;
  };

  void Add(const InstanceId& id,
           FeedVersion after,
           Duration wait,
           Duration timeout,
           const net::FeedCallback& callback) {
    ++m_calls[id];
    ++m_all_calls;
    Call call{after, BootTime() + wait, FeedStatus::kDone, callback};
    if (m_refused.contains(id)) {
      call.m_status = FeedStatus::kRejected;
      call.m_due = BootTime() + kSlowReply;
    } else if (m_unanswered.contains(id)) {
      call.m_status = FeedStatus::kUnknown;
      call.m_due = BootTime() + timeout;
    }
    m_open.push_back(std::move(call));
  }

  void RespondToDue() {
    std::list<Call> earlier = std::exchange(m_open, {});
    for (Call& call : earlier) {
      const bool done = call.m_status == FeedStatus::kDone;
      const bool changed = done && m_version > call.m_after;
      if (!changed && BootTime() < call.m_due) {
        m_open.push_back(std::move(call));
        continue;
      }
      FeedResult result{call.m_status, {}, m_version, "scripted", {}};
      for (const FeedRow& row : m_rows) {
        if (done && row.m_version > call.m_after) {
          result.m_rows.push_back(row);
        }
      }
      call.m_callback(std::move(result));
    }
  }

  net::Timer m_timer;
  FeedVersion m_version{1};
  std::vector<FeedRow> m_rows;
  std::list<Call> m_open;
};

/// One instance. Its directory of the others is updated as by digests.
class Instance {
 public:
  Instance(struct ev_loop* loop,
           MemoryStore* store,
           const InstanceId& id,
           const DataCentreId& data_centre,
           std::function<void()> on_change)
      : m_id(id),
        m_data_centre(data_centre),
        m_client(loop),
        m_reads(&m_metrics, std::move(on_change)),
        m_server(loop, [this] { return &m_keys; }),
        m_http_server(
            loop,
            Endpoint("127.0.0.1:0"),
            id,
            m_state,
            PeerHttpHooks{
                .m_keys = [this] { return &m_keys; },
                .m_clock_offsets =
                    [](const InstanceId&) { return std::nullopt; },
                .m_feed =
                    [this](const std::shared_ptr<net::HttpExchange>& exchange) {
                      m_server.Handle(exchange);
                    },
                .m_forwarded = [](auto, auto) { FAIL() << "not forwarded"; }}) {
    m_reads.SetInstances(kInstances);
    PeerFeedHooks hooks;
    hooks.m_keys = [this] { return &m_keys; };
    hooks.m_readers = [this] { return Readers(); };
    m_reads.Connect(&hooks);
    m_feed = MakePeerFeed(loop, m_client, store->FeedOf(id), hooks);
    TableFollowerOptions options;
    options.m_table = "op";
    options.m_wait = milliseconds(800);
    TableFollowerEvents events;
    events.m_on_row = [this](const FeedRow& row) {
      m_rows[row.m_key] = !row.m_removed;
      return true;
    };
    events.m_on_confirmed = [this](TimePoint) {
      m_server.RespondToPending("op");
    };
    m_follower = std::make_unique<TableFollower>(loop, m_feed, options, events);
    m_server.Add("op", m_follower.get());
  }

  Duration ProofAge() const { return BootTime() - m_follower->ConfirmedAt(); }
  EntryInstance Digest() const {
    EntryInstance entry{m_id,          Endpoint(m_id.str()),
                        m_data_centre, RegionId("region"),
                        true,          true};
    if (m_follower->ConfirmedAt() != TimePoint()) {
      entry.m_proof_age = ProofAge();
    }
    entry.m_store_fails = m_reads.Fails();
    return entry;
  }
  Endpoint Address() const {
    return Endpoint("127.0.0.1:" + std::to_string(m_http_server.Port()));
  }

  InstanceId m_id;
  DataCentreId m_data_centre;
  EntryDirectory m_directory;
  std::map<InstanceId, Endpoint> m_addresses;
  std::map<std::string, bool> m_rows;  ///< False for removed ones.

 private:
  std::vector<Endpoint> Readers() {
    m_directory.Put(Digest());
    std::vector<Endpoint> addresses;
    for (const InstanceId& id : ChooseSources(m_directory, m_id)) {
      addresses.push_back(m_addresses[id]);
    }
    return addresses;
  }

  net::FleetKeys m_keys{{std::string(32, 'k')}};
  MetricsRegistry m_metrics;
  net::HttpClient m_client;
  StoreReads m_reads;
  PeerFeedServer m_server;
  GatewayState m_state;
  PeerHttpServer m_http_server;
  net::RowFeed m_feed;
  std::unique_ptr<TableFollower> m_follower;
};

class FeedFleetTest : public testing::Test {
 protected:
  void SetUp() override {
    m_loop = ev_loop_new(0);
    m_store = std::make_unique<MemoryStore>(m_loop);
    m_store->Put({"key", "value", {}, false});
    for (int index = 0; index < kInstances; ++index) {
      m_instances.push_back(std::make_unique<Instance>(
          m_loop, m_store.get(), InstanceId("i" + std::to_string(index)),
          DataCentreId(index % 2 == 0 ? "even" : "odd"),
          [this, index] { SendDigest(index); }));
    }
    m_digest_timer = std::make_unique<net::Timer>(m_loop, [this] {
      for (int index = 0; index < kInstances; ++index) {
        SendDigest(index);
      }
    });
    m_digest_timer->StartRepeating(kDigestPeriod);
    for (int index = 0; index < kInstances; ++index) {
      SendDigest(index);
    }
    RunFor(milliseconds(2000));
  }

  void TearDown() override {
    m_digest_timer.reset();
    m_instances.clear();
    m_store.reset();
    ev_loop_destroy(m_loop);
  }

  void SendDigest(int index) {
    for (const auto& receiver : m_instances) {
      const auto& sender = m_instances[static_cast<std::size_t>(index)];
      receiver->m_directory.Put(sender->Digest());
      receiver->m_addresses[sender->m_id] = sender->Address();
    }
  }

  void RunFor(Duration duration) {
    net::Timer end(m_loop, [this] { ev_break(m_loop, EVBREAK_ALL); });
    end.Start(duration);
    ev_run(m_loop, 0);
  }

  /// Runs for a time.
  /// @return the greatest age of a proof of any instance in it.
  Duration RunAndWatch(Duration duration) {
    Duration oldest{};
    const TimePoint end = BootTime() + duration;
    while (BootTime() < end) {
      RunFor(milliseconds(20));
      for (const auto& instance : m_instances) {
        oldest = std::max(oldest, instance->ProofAge());
      }
    }
    return oldest;
  }

  struct ev_loop* m_loop = nullptr;
  std::unique_ptr<MemoryStore> m_store;
  std::vector<std::unique_ptr<Instance>> m_instances;
  std::unique_ptr<net::Timer> m_digest_timer;
};

struct StoreFailure {
  const char* m_name;
  std::set<InstanceId> MemoryStore::*m_failing;
};

class FailingReaders : public FeedFleetTest,
                       public testing::WithParamInterface<StoreFailure> {};

// Failure: the store refused both readers of a data centre. They remained
// elected, every other instance there called the store itself up to 20 times a
// second, and a removed key was in force for over 3 s.
TEST_P(FailingReaders, AreReplacedBeforeTheCopiesAreTooOld) {
  const auto& directory = m_instances.front()->m_directory;
  const auto readers = ChooseReaders(directory, DataCentreId("even"));
  ASSERT_EQ(readers.size(), kReadersPerDataCentre);
  (m_store.get()->*GetParam().m_failing).insert(readers.begin(), readers.end());
  m_store->m_all_calls = 0;
  m_store->m_calls.clear();
  const TimePoint refused_at = BootTime();
  RunAndWatch(milliseconds(100));
  m_store->Put({"key", "", {}, true});
  const TimePoint removed_at = BootTime();
  const auto knows = [](const auto& instance) {
    return !instance->m_rows["key"];
  };
  Duration oldest{};
  while (!std::all_of(m_instances.begin(), m_instances.end(), knows) &&
         BootTime() - removed_at < kApplyLimit) {
    oldest = std::max(oldest, RunAndWatch(milliseconds(20)));
  }
  EXPECT_TRUE(std::all_of(m_instances.begin(), m_instances.end(), knows));
  oldest = std::max(oldest, RunAndWatch(milliseconds(4000)));
  EXPECT_LT(oldest, kApplyLimit);
  // Two primary readers make 1.25 calls a second each; the rest is for the
  // refused calls and those of the followers while the readers change.
  const double seconds =
      std::chrono::duration<double>(BootTime() - refused_at).count();
  EXPECT_LE(m_store->m_all_calls, 2 * 1.25 * seconds + 2 * kInstances);
  for (const InstanceId& id : readers) {
    EXPECT_LE(m_store->m_calls[id], 4) << id.str();
  }
  RecordProperty("calls", m_store->m_all_calls);
  RecordProperty("oldest_ms", static_cast<int>(oldest.count() / 1000));
}

INSTANTIATE_TEST_SUITE_P(
    Failures,
    FailingReaders,
    testing::Values(StoreFailure{"Refused", &MemoryStore::m_refused},
                    StoreFailure{"NotAnswered", &MemoryStore::m_unanswered}),
    [](const auto& info) { return std::string(info.param.m_name); });

// Failure: after an outage of the store for all, no instance is elected; one
// that waited for a reader to appear would stay stale. Calls stay bounded
// meanwhile (store_access_test has the bounds for large fleets).
TEST_F(FeedFleetTest, CallsABoundedNumberOfTimesWhileTheStoreRefusesAll) {
  for (const auto& instance : m_instances) {
    m_store->m_refused.insert(instance->m_id);
  }
  RunFor(milliseconds(1500));
  m_store->m_all_calls = 0;
  RunFor(milliseconds(2000));
  // 40 calls a second, 25% more for the variation.
  EXPECT_LE(m_store->m_all_calls, 100);
  m_store->m_refused.clear();
  RunFor(milliseconds(1500));
  for (const auto& instance : m_instances) {
    EXPECT_LT(instance->ProofAge(), milliseconds(1500)) << instance->m_id.str();
  }
}

}  // namespace
}  // namespace nutmeghollow
