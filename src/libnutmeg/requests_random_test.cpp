// Randomised simulation of request flow, claims and quarantine on three
// instances: crashes, pauses, store outages, late and lost commits, broken,
// timed out and refused calls. A run is reproducible from its seed.
// Guards against requests that run or end twice or report a wrong outcome.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "flow_world.h"
#include "table_store.h"

namespace nutmeghollow {
namespace {

using Kind = AttemptEventKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 3;
constexpr Duration kRunTime = std::chrono::minutes(20);
constexpr Duration kQuietTime = std::chrono::minutes(10);
constexpr Duration kStoreTimeout = seconds(1);
constexpr std::int64_t kResponseBytes = 1000;

/// Identifies a request among all instances and their restarts.
using RequestName = std::string;

class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : m_random(seed) {
    for (int index = 0; index < kInstances; ++index) {
      Restart(index);
    }
  }

  void Run() {
    const TimePoint start = m_now;
    Every(milliseconds(20), [this] { TickAll(); });
    Every(milliseconds(150), [this] { SendOrder(); });
    Every(milliseconds(200), [this] { SendChat(); });
    Every(seconds(7), [this] { InjectFault(); });
    RunUntil(start + kRunTime);
    m_quiet = true;
    m_store.m_down = false;
    RunUntil(start + kRunTime + kQuietTime);
  }

  /// Violated guarantees; empty when there are none.
  std::set<std::string> m_violations;
  int m_runs = 0;
  int m_completed = 0;
  int m_chats_completed = 0;
  int m_replays = 0;
  int m_not_run = 0;

  int UnsettledClaims() const {
    int unsettled = 0;
    for (const Instance& instance : m_instances) {
      unsettled += instance.m_flow->m_world.m_claims.m_unsettled;
    }
    return unsettled;
  }

  int OpenRequests() const {
    int open = 0;
    for (const Instance& instance : m_instances) {
      open += static_cast<int>(instance.m_flow->m_world.m_requests.size());
    }
    return open;
  }

 private:
  struct Instance {
    std::unique_ptr<FlowWorld> m_flow;
    int m_epoch = 0;
    TimePoint m_paused_until{};
  };
  struct Order {
    std::string m_key;
    int m_instance = 0;
    int m_epoch = 0;
    RequestId m_request;
    int m_attempts = 0;
    bool m_ended = true;
    bool m_completed = false;
  };

  int Draw(int limit) { return static_cast<int>(m_random() % limit); }
  bool Chance(int percent) { return Draw(100) < percent; }
  Duration DrawTime(Duration limit) {
    return Duration(m_random() % (limit.count() + 1));
  }

  void At(Duration delay, std::function<void()> work) {
    m_events.emplace(m_now + delay, std::move(work));
  }
  void Every(Duration period, const std::function<void()>& work) {
    At(period, [this, period, work] {
      work();
      Every(period, work);
    });
  }
  void RunUntil(TimePoint end) {
    while (m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = std::max(m_now, event.key());
      event.mapped()();
    }
  }

  /// Runs work on an instance unless it was restarted. Work for a paused
  /// instance is delayed until the end of the pause.
  void On(int index, int epoch, const std::function<void(FlowWorld&)>& work) {
    Instance& instance = m_instances[index];
    if (instance.m_epoch != epoch) {
      return;
    }
    if (instance.m_paused_until > m_now) {
      At(instance.m_paused_until - m_now,
         [this, index, epoch, work] { On(index, epoch, work); });
      return;
    }
    instance.m_flow->m_now = m_now;
    work(*instance.m_flow);
    instance.m_flow->Settle();
    CarryOut(index);
  }
  void After(Duration delay,
             int index,
             const std::function<void(FlowWorld&)>& work) {
    const int epoch = m_instances[index].m_epoch;
    At(delay, [this, index, epoch, work] { On(index, epoch, work); });
  }

  void TickAll() {
    for (int index = 0; index < kInstances; ++index) {
      On(index, m_instances[index].m_epoch, [](FlowWorld&) {});
    }
  }

  void Restart(int index) {
    Instance& instance = m_instances[index];
    ++instance.m_epoch;
    instance.m_paused_until = {};
    instance.m_flow = std::make_unique<FlowWorld>(
        "i" + std::to_string(index + 1), m_random());
    World& world = instance.m_flow->m_world;
    world.m_services[ServiceId("orders")].m_status_path = "/status/{key}";
    const auto skew = Draw(2000) - 1000;
    world.m_hooks.m_wall_time = [this, skew] {
      return WallTime(m_now.time_since_epoch().count() / 1000 + skew);
    };
    for (auto& [key, order] : m_orders) {
      if (order.m_instance == index && !order.m_ended) {
        EndAttempt(order);
      }
    }
  }

  void InjectFault() {
    if (m_quiet) {
      return;
    }
    const int index = Draw(kInstances);
    switch (Draw(4)) {
      case 0:
        Restart(index);
        break;
      case 1:
        m_instances[index].m_paused_until = m_now + DrawTime(seconds(60));
        break;
      case 2:
        m_store.m_down = true;
        At(DrawTime(seconds(20)), [this] { m_store.m_down = false; });
        break;
      default:
        break;
    }
  }

  // Callers.

  RequestName NameOf(int index, RequestId id) const {
    return std::to_string(index) + "/" +
           std::to_string(m_instances[index].m_epoch) + "/" +
           std::to_string(id.value());
  }

  void SendOrder() {
    if (m_quiet) {
      return;
    }
    const std::string key = "key-" + std::to_string(++m_last_key);
    m_orders[key].m_key = key;
    StartAttempt(key);
  }

  void StartAttempt(const std::string& key) {
    Order& order = m_orders[key];
    const int index = Draw(kInstances);
    ++order.m_attempts;
    order.m_ended = false;
    order.m_instance = index;
    order.m_epoch = m_instances[index].m_epoch;
    order.m_request = RequestId();
    After(milliseconds(1), index, [this, key, index](FlowWorld& flow) {
      Order& waiting = m_orders[key];
      if (waiting.m_ended) {
        return;
      }
      waiting.m_request = flow.Submit(flow.Order("POST", key));
      m_key_of[NameOf(index, waiting.m_request)] = key;
    });
    if (Chance(5)) {
      After(DrawTime(seconds(2)), index, [this, key](FlowWorld& flow) {
        const Order& waiting = m_orders[key];
        if (!waiting.m_ended && waiting.m_request != RequestId()) {
          flow.m_world.m_request_inbox.m_callers_disconnected.push_back(
              waiting.m_request);
        }
      });
    }
  }

  void EndAttempt(Order& order) {
    order.m_ended = true;
    if (!order.m_completed && order.m_attempts < 12) {
      At(DrawTime(seconds(30)),
         [this, key = order.m_key] { StartAttempt(key); });
    }
  }

  void HandleEnd(int index, RequestId id, bool completed) {
    const RequestName name = NameOf(index, id);
    if (!m_ended_requests.insert(name).second) {
      m_violations.insert("ended twice: " + name);
    }
    const auto key = m_key_of.find(name);
    if (key == m_key_of.end()) {
      return;
    }
    Order& order = m_orders[key->second];
    if (completed && m_runs_of_key[key->second] != 1) {
      m_violations.insert("completed without a run: " + key->second);
    }
    m_completed += completed && !order.m_completed ? 1 : 0;
    order.m_completed = order.m_completed || completed;
    if (!order.m_ended && order.m_request == id) {
      EndAttempt(order);
    }
  }

  // Upstreams.

  void RunOrder(const RequestName& name, const std::string& key) {
    ++m_runs;
    if (++m_runs_of_key[key] > 1) {
      m_violations.insert("ran more than once: " + key);
    }
    if (m_reported_not_run.contains(name)) {
      m_violations.insert("ran after not-run: " + name);
    }
    m_ran.insert(name);
  }

  void Report(int index, const DispatchAttempt& attempt, AttemptEvent event) {
    event.m_request = attempt.m_request;
    event.m_attempt = attempt.m_attempt;
    After(milliseconds(1), index, [event](FlowWorld& flow) {
      flow.m_world.m_request_inbox.m_attempts.push_back(event);
    });
  }
  void Report(int index, const DispatchAttempt& attempt, Kind kind) {
    AttemptEvent event;
    event.m_kind = kind;
    Report(index, attempt, event);
  }

  /// Sends the first byte of an attempt or fails it, unless restarted before.
  void Dispatch(int index, const DispatchAttempt& attempt) {
    After(DrawTime(milliseconds(5)), index,
          [this, index, attempt](FlowWorld& flow) {
            const RequestRow* row =
                flow.m_world.m_requests.Find(attempt.m_request);
            if (row == nullptr || row->m_attempt != attempt.m_attempt) {
              return;  // Cancelled before the first byte.
            }
            const bool late =
                attempt.m_not_after && m_now >= *attempt.m_not_after;
            if (late || Chance(5)) {
              Report(index, attempt, Kind::kConnectFailed);
              return;
            }
            flow.m_world.m_request_inbox.m_attempts.push_back(
                {attempt.m_request, attempt.m_attempt, Kind::kBytesSent});
            if (row->m_request.m_kind == RequestKind::kChat) {
              RunChat(index, attempt);
            } else {
              SendToService(index, attempt,
                            row->m_request.m_idempotency_key.str());
            }
          });
  }

  void SendToService(int index,
                     const DispatchAttempt& attempt,
                     const std::string& key) {
    const RequestName name = NameOf(index, attempt.m_request);
    if (Chance(10)) {
      Report(index, attempt, Kind::kRefused);
      return;
    }
    // The bytes arrive after a delay, even when the sender crashes meanwhile.
    At(DrawTime(seconds(2)), [this, name, key] { RunOrder(name, key); });
    const int percent = Draw(100);
    AttemptEvent event;
    event.m_kind = percent < 80   ? Kind::kComplete
                   : percent < 90 ? Kind::kBroken
                   : percent < 95 ? Kind::kTimeout
                                  : Kind::kWrongRequestId;
    event.m_body = "result of " + key;
    event.m_status = 200;
    event.m_buffered_bytes = static_cast<std::int64_t>(event.m_body.size());
    After(seconds(2) + DrawTime(milliseconds(50)), index,
          [this, index, attempt, event](FlowWorld&) {
            Report(index, attempt, event);
          });
  }

  /// Simulates an engine that sends the remaining response, or sends a part of
  /// it and fails, or refuses.
  void RunChat(int index, const DispatchAttempt& attempt) {
    const std::int64_t left = kResponseBytes - attempt.m_resume_offset;
    const int percent = Draw(100);
    AttemptEvent event;
    event.m_kind = percent < 70   ? Kind::kComplete
                   : percent < 80 ? Kind::kBroken
                   : percent < 88 ? Kind::kTimeout
                   : percent < 94 ? Kind::kRefused
                   : percent < 97 ? Kind::kWrongRequestId
                                  : Kind::kStreamNotRetained;
    if (attempt.m_resume && event.m_kind == Kind::kRefused) {
      event.m_kind = Kind::kBroken;
    }
    if (event.m_kind == Kind::kComplete) {
      event.m_bytes = left;
    } else if (event.m_kind == Kind::kBroken ||
               event.m_kind == Kind::kTimeout) {
      event.m_bytes = Draw(static_cast<int>(left) + 1);
    }
    After(DrawTime(seconds(2)), index,
          [this, index, attempt, event](FlowWorld&) {
            Report(index, attempt, event);
          });
  }

  // Actions.

  void Do(int index, const RefuseRequest& action) {
    const RequestName name = NameOf(index, action.m_request);
    if (action.m_outcome == Outcome::kNotRun) {
      ++m_not_run;
      m_reported_not_run.insert(name);
      if (m_ran.contains(name)) {
        m_violations.insert("reported not-run after a run: " + name);
      }
    }
    HandleEnd(index, action.m_request, false);
  }
  void Do(int index, const ReplayAnswer& action) {
    ++m_replays;
    const std::string& key = m_key_of[NameOf(index, action.m_request)];
    if (action.m_body != "result of " + key) {
      m_violations.insert("replayed another response: " + key);
    }
    HandleEnd(index, action.m_request, true);
  }
  void Do(int index, const FinishRelay& action) {
    const bool completed = action.m_outcome == Outcome::kCompleted;
    const bool chat = !m_key_of.contains(NameOf(index, action.m_request));
    m_chats_completed += completed && chat ? 1 : 0;
    HandleEnd(index, action.m_request, completed);
  }
  void Do(int index, const DispatchAttempt& action) { Dispatch(index, action); }
  void Do(int index, const CommitStore& action) {
    const Duration there = Chance(3) ? seconds(5) : DrawTime(milliseconds(90));
    const Duration back = Chance(3) ? seconds(5) : DrawTime(milliseconds(90));
    const int epoch = m_instances[index].m_epoch;
    At(there, [this, index, epoch, action, there, back] {
      StoreResult result = m_store.Commit(action);
      Duration wait = back;
      if (there + back > kStoreTimeout) {
        wait = std::max(kStoreTimeout - there, Duration::zero());
        result = {action.m_operation, StoreStatus::kUnknown, {}};
      }
      At(wait, [this, index, epoch, action, result] {
        On(index, epoch, [action, result](FlowWorld& flow) {
          TableStore::Deliver(flow, action.m_purpose, result);
        });
      });
    });
  }
  void Do(int index, const ReadStore& action) {
    After(DrawTime(milliseconds(90)), index, [this, action](FlowWorld& flow) {
      TableStore::Deliver(flow, action.m_purpose, m_store.Read(action));
    });
  }
  void Do(int index, const ScanStore& action) {
    After(DrawTime(milliseconds(90)), index, [this, action](FlowWorld& flow) {
      TableStore::Deliver(flow, action.m_purpose, m_store.Scan(action));
    });
  }
  void Do(int index, const QueryClaimer& action) {
    const int claimer = action.m_claimer.str().back() - '1';
    const Instance& queried = m_instances[claimer];
    ClaimQueryResult result{action.m_request, ClaimQueryStatus::kUnreachable};
    if (queried.m_paused_until <= m_now && !Chance(10)) {
      result.m_status = HandleClaimQuery(
          queried.m_flow->m_world, action.m_claim_key, action.m_claim_token);
    }
    After(DrawTime(milliseconds(20)), index, [result](FlowWorld& flow) {
      flow.m_world.m_claim_inbox.m_claimers.push_back(result);
    });
  }
  void Do(int index, const QueryKeyStatus& action) {
    const std::string key = action.m_path.substr(action.m_path.rfind('/') + 1);
    KeyStatusResult result{action.m_request, ServiceKeyState::kNever};
    if (Chance(20)) {
      result.m_state = ServiceKeyState::kUnreachable;
    } else if (m_runs_of_key[key] > 0) {
      result = {action.m_request, ServiceKeyState::kDone, 200, "",
                "result of " + key};
    }
    After(DrawTime(milliseconds(20)), index, [result](FlowWorld& flow) {
      flow.m_world.m_claim_inbox.m_services.push_back(result);
    });
  }
  template <typename Other>
  void Do(int /*index*/, const Other& /*action*/) {}

  void CarryOut(int index) {
    FlowWorld& flow = *m_instances[index].m_flow;
    const std::vector<Action> actions = std::exchange(flow.m_actions, {});
    for (const Action& action : actions) {
      std::visit([this, index](const auto& one) { Do(index, one); }, action);
    }
  }

  void SendChat() {
    if (m_quiet) {
      return;
    }
    const int index = Draw(kInstances);
    const std::uint64_t digest = m_random();
    After(milliseconds(1), index,
          [digest](FlowWorld& flow) { flow.Submit(flow.Chat(digest)); });
  }

  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::array<Instance, kInstances> m_instances;
  TableStore m_store;
  bool m_quiet = false;
  int m_last_key = 0;
  std::map<std::string, Order> m_orders;
  std::map<RequestName, std::string> m_key_of;
  std::map<std::string, int> m_runs_of_key;
  std::set<RequestName> m_ended_requests;
  std::set<RequestName> m_reported_not_run;
  std::set<RequestName> m_ran;
};

class RandomRuns : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomRuns, KeepEveryGuarantee) {
  RandomRun run(GetParam());
  run.Run();
  for (const std::string& violation : run.m_violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_EQ(run.OpenRequests(), 0);
  EXPECT_EQ(run.UnsettledClaims(), 0);
  // The run exercised the cases that it is meant to test.
  EXPECT_GT(run.m_completed, 1000);
  EXPECT_GT(run.m_chats_completed, 1000);
  EXPECT_GT(run.m_replays, 50);
  EXPECT_GT(run.m_not_run, 100);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomRuns, ::testing::Range(1UL, 5UL));

}  // namespace
}  // namespace nutmeghollow
