// A long randomised run of request flow, claims and quarantine on three
// instances: kills, pauses, store outages, late and lost commits, broken,
// silent and refused calls. Every run is repeated by its seed.
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
constexpr std::int64_t kAnswerBytes = 1000;

/// A request as the simulation tells it from all others.
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
    Every(seconds(7), [this] { Disturb(); });
    RunUntil(start + kRunTime);
    m_quiet = true;
    m_store.m_down = false;
    RunUntil(start + kRunTime + kQuietTime);
  }

  /// Broken promises, empty when there are none.
  std::set<std::string> m_broken;
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
    int m_life = 0;
    TimePoint m_paused_until{};
  };
  struct Order {
    std::string m_key;
    int m_instance = 0;
    int m_life = 0;
    RequestId m_request;
    int m_tries = 0;
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

  /// Does something on an instance unless it was replaced; a paused one does
  /// it when it wakes.
  void On(int index, int life, const std::function<void(FlowWorld&)>& work) {
    Instance& instance = m_instances[index];
    if (instance.m_life != life) {
      return;
    }
    if (instance.m_paused_until > m_now) {
      At(instance.m_paused_until - m_now,
         [this, index, life, work] { On(index, life, work); });
      return;
    }
    instance.m_flow->m_now = m_now;
    work(*instance.m_flow);
    instance.m_flow->Settle();
    CarryOut(index);
  }
  void Later(Duration delay,
             int index,
             const std::function<void(FlowWorld&)>& work) {
    const int life = m_instances[index].m_life;
    At(delay, [this, index, life, work] { On(index, life, work); });
  }

  void TickAll() {
    for (int index = 0; index < kInstances; ++index) {
      On(index, m_instances[index].m_life, [](FlowWorld&) {});
    }
  }

  void Restart(int index) {
    Instance& instance = m_instances[index];
    ++instance.m_life;
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
        EndTry(order);
      }
    }
  }

  void Disturb() {
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
           std::to_string(m_instances[index].m_life) + "/" +
           std::to_string(id.value());
  }

  void SendOrder() {
    if (m_quiet) {
      return;
    }
    const std::string key = "key-" + std::to_string(++m_last_key);
    m_orders[key].m_key = key;
    Try(key);
  }

  void Try(const std::string& key) {
    Order& order = m_orders[key];
    const int index = Draw(kInstances);
    ++order.m_tries;
    order.m_ended = false;
    order.m_instance = index;
    order.m_life = m_instances[index].m_life;
    order.m_request = RequestId();
    Later(milliseconds(1), index, [this, key, index](FlowWorld& flow) {
      Order& waiting = m_orders[key];
      if (waiting.m_ended) {
        return;
      }
      waiting.m_request = flow.Submit(flow.Order("POST", key));
      m_key_of[NameOf(index, waiting.m_request)] = key;
    });
    if (Chance(5)) {
      Later(DrawTime(seconds(2)), index, [this, key](FlowWorld& flow) {
        const Order& waiting = m_orders[key];
        if (!waiting.m_ended && waiting.m_request != RequestId()) {
          flow.m_world.m_request_inbox.m_callers_gone.push_back(
              waiting.m_request);
        }
      });
    }
  }

  void EndTry(Order& order) {
    order.m_ended = true;
    if (!order.m_completed && order.m_tries < 12) {
      At(DrawTime(seconds(30)), [this, key = order.m_key] { Try(key); });
    }
  }

  void Answered(int index, RequestId id, bool completed) {
    const RequestName name = NameOf(index, id);
    if (!m_answered.insert(name).second) {
      m_broken.insert("answered twice: " + name);
    }
    const auto key = m_key_of.find(name);
    if (key == m_key_of.end()) {
      return;
    }
    Order& order = m_orders[key->second];
    if (completed && m_runs_of_key[key->second] != 1) {
      m_broken.insert("completed without a run: " + key->second);
    }
    m_completed += completed && !order.m_completed ? 1 : 0;
    order.m_completed = order.m_completed || completed;
    if (!order.m_ended && order.m_request == id) {
      EndTry(order);
    }
  }

  // Upstreams.

  void RunOrder(const RequestName& name, const std::string& key) {
    ++m_runs;
    if (++m_runs_of_key[key] > 1) {
      m_broken.insert("doubled: " + key);
    }
    if (m_told_not_run.contains(name)) {
      m_broken.insert("ran after not-run: " + name);
    }
    m_ran.insert(name);
  }

  void Report(int index, const DispatchAttempt& attempt, AttemptEvent event) {
    event.m_request = attempt.m_request;
    event.m_attempt = attempt.m_attempt;
    Later(milliseconds(1), index, [event](FlowWorld& flow) {
      flow.m_world.m_request_inbox.m_attempts.push_back(event);
    });
  }
  void Report(int index, const DispatchAttempt& attempt, Kind kind) {
    AttemptEvent event;
    event.m_kind = kind;
    Report(index, attempt, event);
  }

  /// The network sends the first byte, or not. Runs on a live instance.
  void Dispatch(int index, const DispatchAttempt& attempt) {
    Later(DrawTime(milliseconds(5)), index,
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
    // The bytes are under way for a while, whatever becomes of the sender.
    At(DrawTime(seconds(2)), [this, name, key] { RunOrder(name, key); });
    const int fate = Draw(100);
    AttemptEvent event;
    event.m_kind = fate < 80   ? Kind::kComplete
                   : fate < 90 ? Kind::kBroken
                   : fate < 95 ? Kind::kTimeout
                               : Kind::kWrongRequestId;
    event.m_body = "result of " + key;
    event.m_status = 200;
    event.m_held_bytes = static_cast<std::int64_t>(event.m_body.size());
    Later(seconds(2) + DrawTime(milliseconds(50)), index,
          [this, index, attempt, event](FlowWorld&) {
            Report(index, attempt, event);
          });
  }

  /// An engine sends a part of an answer and then breaks, or its rest.
  void RunChat(int index, const DispatchAttempt& attempt) {
    const std::int64_t left = kAnswerBytes - attempt.m_resume_offset;
    const int fate = Draw(100);
    AttemptEvent event;
    event.m_kind = fate < 70   ? Kind::kComplete
                   : fate < 80 ? Kind::kBroken
                   : fate < 88 ? Kind::kTimeout
                   : fate < 94 ? Kind::kRefused
                   : fate < 97 ? Kind::kWrongRequestId
                               : Kind::kNotKept;
    if (attempt.m_resume && event.m_kind == Kind::kRefused) {
      event.m_kind = Kind::kBroken;
    }
    if (event.m_kind == Kind::kComplete) {
      event.m_bytes = left;
    } else if (event.m_kind == Kind::kBroken ||
               event.m_kind == Kind::kTimeout) {
      event.m_bytes = Draw(static_cast<int>(left) + 1);
    }
    Later(DrawTime(seconds(2)), index,
          [this, index, attempt, event](FlowWorld&) {
            Report(index, attempt, event);
          });
  }

  // Actions.

  void Do(int index, const RefuseRequest& action) {
    const RequestName name = NameOf(index, action.m_request);
    if (action.m_outcome == Outcome::kNotRun) {
      ++m_not_run;
      m_told_not_run.insert(name);
      if (m_ran.contains(name)) {
        m_broken.insert("told not-run after a run: " + name);
      }
    }
    Answered(index, action.m_request, false);
  }
  void Do(int index, const ReplayAnswer& action) {
    ++m_replays;
    const std::string& key = m_key_of[NameOf(index, action.m_request)];
    if (action.m_body != "result of " + key) {
      m_broken.insert("replayed another answer: " + key);
    }
    Answered(index, action.m_request, true);
  }
  void Do(int index, const FinishRelay& action) {
    const bool completed = action.m_outcome == Outcome::kCompleted;
    const bool chat = !m_key_of.contains(NameOf(index, action.m_request));
    m_chats_completed += completed && chat ? 1 : 0;
    Answered(index, action.m_request, completed);
  }
  void Do(int index, const DispatchAttempt& action) { Dispatch(index, action); }
  void Do(int index, const CommitStore& action) {
    const Duration there = Chance(3) ? seconds(5) : DrawTime(milliseconds(90));
    const Duration back = Chance(3) ? seconds(5) : DrawTime(milliseconds(90));
    const int life = m_instances[index].m_life;
    At(there, [this, index, life, action, there, back] {
      StoreResult result = m_store.Commit(action);
      Duration wait = back;
      if (there + back > kStoreTimeout) {
        wait = std::max(kStoreTimeout - there, Duration::zero());
        result = {action.m_operation, StoreStatus::kUnknown, {}};
      }
      At(wait, [this, index, life, action, result] {
        On(index, life, [action, result](FlowWorld& flow) {
          TableStore::Answer(flow, action.m_purpose, result);
        });
      });
    });
  }
  void Do(int index, const ReadStore& action) {
    Later(DrawTime(milliseconds(90)), index, [this, action](FlowWorld& flow) {
      TableStore::Answer(flow, action.m_purpose, m_store.Read(action));
    });
  }
  void Do(int index, const ScanStore& action) {
    Later(DrawTime(milliseconds(90)), index, [this, action](FlowWorld& flow) {
      TableStore::Answer(flow, action.m_purpose, m_store.Scan(action));
    });
  }
  void Do(int index, const QueryClaimer& action) {
    const int claimer = action.m_claimer.str().back() - '1';
    const Instance& asked = m_instances[claimer];
    ClaimAnswer answer{action.m_request, ClaimerAnswer::kUnreachable};
    if (asked.m_paused_until <= m_now && !Chance(10)) {
      answer.m_answer = AnswerClaimQuestion(
          asked.m_flow->m_world, action.m_claim_key, action.m_claim_token);
    }
    Later(DrawTime(milliseconds(20)), index, [answer](FlowWorld& flow) {
      flow.m_world.m_claim_inbox.m_claimers.push_back(answer);
    });
  }
  void Do(int index, const QueryKeyStatus& action) {
    const std::string key = action.m_path.substr(action.m_path.rfind('/') + 1);
    ServiceAnswer answer{action.m_request, ServiceKeyState::kNever};
    if (Chance(20)) {
      answer.m_state = ServiceKeyState::kUnreachable;
    } else if (m_runs_of_key[key] > 0) {
      answer = {action.m_request, ServiceKeyState::kDone, 200, "",
                "result of " + key};
    }
    Later(DrawTime(milliseconds(20)), index, [answer](FlowWorld& flow) {
      flow.m_world.m_claim_inbox.m_services.push_back(answer);
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
    Later(milliseconds(1), index,
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
  std::set<RequestName> m_answered;
  std::set<RequestName> m_told_not_run;
  std::set<RequestName> m_ran;
};

class RandomRuns : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomRuns, KeepEveryPromise) {
  RandomRun run(GetParam());
  run.Run();
  for (const std::string& broken : run.m_broken) {
    ADD_FAILURE() << broken;
  }
  EXPECT_EQ(run.OpenRequests(), 0);
  EXPECT_EQ(run.UnsettledClaims(), 0);
  // The run did exercise what it is for.
  EXPECT_GT(run.m_completed, 1000);
  EXPECT_GT(run.m_chats_completed, 1000);
  EXPECT_GT(run.m_replays, 50);
  EXPECT_GT(run.m_not_run, 100);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomRuns, ::testing::Range(1UL, 5UL));

}  // namespace
}  // namespace nutmeghollow
