#include "nutmegd/daemon.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"
#include "libnet/http_server.h"
#include "libnet/log.h"
#include "libnet/operator_api.h"
#include "libnet/order_client.h"
#include "libnet/platform_client.h"
#include "libnet/upstream_client.h"
#include "libnet/upstream_prober.h"
#include "nutmegd/caller_api.h"
#include "nutmegd/change_log.h"
#include "nutmegd/digest.h"
#include "nutmegd/operator_views.h"
#include "nutmegd/peer_link.h"
#include "nutmegd/world_metrics.h"
#include "nutmeghollow/check.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/placement.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

/// Longest time between two ticks; timers of the systems are this exact.
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
/// Ticks in a row before other watchers get their turn.
constexpr int kTicksInARow = 8;
/// HTTP, TCP and IP header bytes of a call to the platform, each way.
constexpr std::uint64_t kRequestHeaderBytes = 240;
constexpr std::uint64_t kAnswerHeaderBytes = 240;

net::HttpServerOptions CallerServerOptions(const Settings& settings) {
  net::HttpServerOptions options;
  options.m_body_limit = settings.m_callers.m_body_limit;
  options.m_header_limit = settings.m_callers.m_header_limit;
  options.m_stream_high_water = settings.m_callers.m_stream_buffer;
  options.m_connection_limit = settings.m_callers.m_connection_limit;
  options.m_error_hook = CallerApi::ServerError;
  return options;
}

net::PlatformOptions PlatformOptionsOf(const Settings& settings) {
  net::PlatformOptions options;
  options.m_endpoint = settings.m_platform.m_address;
  options.m_timeout = settings.m_platform.m_timeout;
  return options;
}

net::UpstreamClientOptions UpstreamOptionsOf(const Settings& settings) {
  const UpstreamSettings& upstreams = settings.m_upstreams;
  net::UpstreamClientOptions options;
  options.m_timeouts.m_connect = upstreams.m_connect_timeout;
  options.m_timeouts.m_chat_first_byte = upstreams.m_head_timeout;
  options.m_timeouts.m_idle = upstreams.m_idle_timeout;
  return options;
}

InstanceRow SelfRow(const Settings& settings) {
  InstanceRow row;
  row.m_id = settings.m_instance.m_id;
  row.m_caller_endpoint = settings.m_instance.m_advertised_caller_address;
  row.m_peer_endpoint = settings.m_instance.m_advertised_peer_address;
  row.m_data_centre = settings.m_instance.m_data_centre;
  row.m_region = settings.m_instance.m_region;
  return row;
}

}  // namespace

/// Use of the platform for one purpose.
struct PlatformUse {
  net::PlatformCounters m_counters;
  net::PlatformCounters m_noted;  ///< What the control budget has seen.
};

class Daemon::Impl {
 public:
  Impl(struct ev_loop* loop, const Settings& settings);
  int Run();

 private:
  void SetUpWorld();
  CallerApiHooks MakeCallerHooks();
  net::OperatorApiHooks MakeOperatorHooks();

  /// Asks for a tick before the loop sleeps.
  void Wake() { m_dirty = true; }
  void RunTicks();
  void CarryOut(const std::vector<Action>& actions);
  net::TableStore MakeStore(PlatformUse* use);
  net::TableStore& StoreFor(StorePurpose purpose) {
    const bool work = purpose == StorePurpose::kClaim ||
                      purpose == StorePurpose::kOperator ||
                      purpose == StorePurpose::kQuarantine;
    return work ? m_work_store : m_control_store;
  }
  void NoteControlTraffic();
  void NotePlatformUse(PlatformUse* use, ControlClass control_class);
  void FetchInstanceList();
  void StartDrain(const char* reason);
  void HandleStopSignal();
  void AnswerClaimCommands();
  void AskAboutRequest(const net::RequestQuestion& question,
                       net::OperatorAnswerCallback callback);

  // One for each kind of action.
  void Do(const DispatchAttempt& action) { m_upstreams.Dispatch(action); }
  void Do(const CancelAttempt& action) { m_upstreams.Cancel(action); }
  void Do(const RefuseRequest& action);
  void Do(const ReplayAnswer& action);
  void Do(const FinishRelay& action) { m_upstreams.Finish(action); }
  void Do(const ReadStore& action) {
    StoreFor(action.m_purpose).m_read(action);
  }
  void Do(const ScanStore& action) {
    StoreFor(action.m_purpose).m_scan(action);
  }
  void Do(const CommitStore& action) {
    StoreFor(action.m_purpose).m_commit(action);
  }
  void Do(const ProbeUpstream& action) { m_prober.Probe(action); }
  void Do(const SendDatagram& action) { m_peers->Send(action); }
  void Do(const ReserveAtOwner& action) { m_peers->Reserve(action); }
  void Do(const SendReservationResponse& action) { m_peers->Answer(action); }
  void Do(const FetchConfiguration& action) { m_peers->Fetch(action); }
  void Do(const QueryClaimer& action) { m_peers->Ask(action); }
  void Do(const SendOrder& action) { m_orders.Send(action); }
  void Do(const ReadEngineState& action) { m_orders.Read(action); }
  void Do(const CloseOrderConnections& /*action*/) { m_orders.CloseAll(); }
  void Do(const QueryKeyStatus& action);
  void Do(const ExitProcess& action);

  struct ev_loop* m_loop;
  Settings m_settings;
  MetricsRegistry m_metrics;
  World m_world;
  std::mt19937_64 m_random{std::random_device()()};
  bool m_dirty = true;
  std::optional<int> m_exit_code;
  ChangeLog m_change_log;

  net::HttpClient m_client;
  // Claims are callers' work and commands are operators' work; all else at
  // the platform is control traffic.
  PlatformUse m_work_use;
  PlatformUse m_control_use;
  PlatformUse m_list_use;
  net::TableStore m_work_store;
  net::TableStore m_control_store;
  net::InstanceList m_instance_list;
  net::UpstreamClient m_upstreams;
  net::UpstreamProber m_prober;
  net::OrderClient m_orders;
  CallerApi m_caller_api;
  net::OperatorApi m_operator_api;
  std::map<CommandId, net::OperatorAnswerCallback> m_claim_commands;
  std::uint64_t m_last_claim_command = 0;

  std::unique_ptr<PeerLink> m_peers;
  net::HttpServer m_caller_server;
  net::HttpServer m_operator_server;
  net::SignalWatcher m_terminate;
  net::SignalWatcher m_interrupt;
  net::Timer m_tick_timer;
  net::Timer m_soon;
  net::Timer m_list_timer;
  // Started last, so that it runs before the servers' own calls.
  net::BeforeSleep m_before_sleep;
};

Daemon::Impl::Impl(struct ev_loop* loop, const Settings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_client(loop),
      m_work_store(MakeStore(&m_work_use)),
      m_control_store(MakeStore(&m_control_use)),
      m_instance_list(net::MakeInstanceList(m_client,
                                            PlatformOptionsOf(settings),
                                            m_list_use.m_counters)),
      m_upstreams(
          m_client,
          UpstreamOptionsOf(settings),
          [this](AttemptEvent event) {
            m_world.m_request_inbox.m_attempts.push_back(std::move(event));
            Wake();
          }),
      m_prober(m_client,
               BootTime,
               [this](ProbeResult result) {
                 m_world.m_probing_inbox.m_results.push_back(std::move(result));
                 Wake();
               }),
      m_orders(m_client,
               {},
               BootTime,
               [this](OrderResult result) {
                 m_world.m_orders.m_results.push_back(std::move(result));
                 Wake();
               }),
      m_caller_api(&m_world, &m_settings, &m_metrics, MakeCallerHooks()),
      m_operator_api(m_world,
                     {.m_token_digests = settings.m_operators},
                     MakeOperatorHooks()),
      m_caller_server(
          loop,
          settings.m_instance.m_caller_address,
          CallerServerOptions(settings),
          [this](const std::shared_ptr<net::HttpExchange>& exchange) {
            m_caller_api.Handle(exchange);
          }),
      m_operator_server(loop,
                        settings.m_instance.m_operator_address,
                        {},
                        [this](std::shared_ptr<net::HttpExchange> exchange) {
                          m_operator_api.Handle(std::move(exchange));
                        }),
      m_terminate(loop, SIGTERM, [this] { HandleStopSignal(); }),
      m_interrupt(loop, SIGINT, [this] { HandleStopSignal(); }),
      m_tick_timer(loop, [this] { Wake(); }),
      m_soon(loop, [this] { Wake(); }),
      m_list_timer(loop,
                   [this] {
                     if (ShouldFetchInstanceList(m_world, BootTime())) {
                       FetchInstanceList();
                     }
                   }),
      m_before_sleep(loop, [this] {
        if (m_dirty) {
          RunTicks();
        }
      }) {
  SetCheckHandler(LogCheckFailure);
  SetUpWorld();
  RegisterWorldMetrics(&m_metrics, &m_world);
  m_peers = std::make_unique<PeerLink>(loop, m_settings, &m_world,
                                       [this] { Wake(); });
  m_tick_timer.StartRepeating(kTickPeriod);
  m_list_timer.StartRepeating(m_settings.m_platform.m_list_poll);
  FetchInstanceList();
}

void Daemon::Impl::SetUpWorld() {
  m_world.m_hooks.m_random = [this] { return m_random(); };
  m_world.m_hooks.m_wall_time = net::CivilTime;
  m_world.m_hooks.m_last_received = [this](RequestId id) {
    return m_upstreams.LastReceived(id);
  };
  ConfigurationParameters& configuration =
      m_world.m_configuration_state.m_parameters;
  configuration.m_poll_period = m_settings.m_platform.m_poll;
  configuration.m_isolation_limit = m_settings.m_fleet.m_isolation_limit;
  BudgetParameters& budget = m_world.m_budget.m_parameters;
  budget.m_rate_limit = m_settings.m_fleet.m_control_bytes_per_second;
  budget.m_rate = std::min(budget.m_rate, budget.m_rate_limit);
  m_world.m_placement_parameters.m_policy = m_settings.m_placement.m_policy;
  m_world.m_placement_parameters.m_entry_ttl = m_settings.m_drain.m_keep;
  m_world.m_drain_parameters.m_keep = m_settings.m_drain.m_keep;
  m_world.m_drain_parameters.m_limit = m_settings.m_drain.m_limit;
  m_world.m_claims.m_process_name =
      fmt::format("{}-{:x}", m_settings.m_instance.m_id.str(), m_random());
  m_world.m_probing.m_send_after =
      BootTime() + m_world.m_probing.m_parameters.m_start_delay;
  StartMembership(m_world, SelfRow(m_settings), BootTime());
}

CallerApiHooks Daemon::Impl::MakeCallerHooks() {
  CallerApiHooks hooks;
  hooks.m_submit = [this](const NewRequest& request,
                          net::OutgoingRequest outgoing,
                          net::ResponseSink sink) {
    m_upstreams.Register(request.m_id, std::move(outgoing), std::move(sink));
    m_world.m_request_inbox.m_new.push_back(request);
    Wake();
  };
  hooks.m_caller_disconnected = [this](RequestId request) {
    m_world.m_request_inbox.m_callers_disconnected.push_back(request);
    Wake();
  };
  hooks.m_caller_ready = [this](RequestId request) {
    m_upstreams.HandleSinkDrained(request);
  };
  hooks.m_choose_entry = [this](const std::optional<ChatKey>& chat,
                                const std::optional<RouteId>& route) {
    return ChooseEntry(m_world, chat, route, BootTime()).m_addresses;
  };
  return hooks;
}

net::OperatorApiHooks Daemon::Impl::MakeOperatorHooks() {
  net::OperatorApiHooks hooks;
  hooks.m_digest = Sha256Hex;
  hooks.m_now = BootTime;
  hooks.m_wake = [this] { Wake(); };
  hooks.m_explain = [this](const std::string& chat, const std::string& model) {
    return ExplanationAnswer(
        Explain(m_world, ChatKeyOfName(chat), RouteId(model), BootTime()));
  };
  hooks.m_request = [this](const net::RequestQuestion& question,
                           net::OperatorAnswerCallback callback) {
    AskAboutRequest(question, std::move(callback));
  };
  hooks.m_drain = [this] { StartDrain("operator"); };
  hooks.m_status = [this] { return StatusFields(m_world); };
  return hooks;
}

void Daemon::Impl::AskAboutRequest(const net::RequestQuestion& question,
                                   net::OperatorAnswerCallback callback) {
  ClaimCommand command;
  // Unique in this process: two operators may have sent the same id.
  command.m_command = CommandId(
      fmt::format("{}#{}", question.m_command.str(), ++m_last_claim_command));
  command.m_operator = question.m_operator;
  command.m_row_key =
      ClaimRowKey(question.m_customer, question.m_service, question.m_key);
  command.m_resolution = question.m_resolution;
  m_claim_commands[command.m_command] = std::move(callback);
  m_world.m_claim_inbox.m_commands.push_back(std::move(command));
  Wake();
}

void Daemon::Impl::AnswerClaimCommands() {
  const auto results = std::exchange(m_world.m_claims.m_command_results, {});
  for (const ClaimCommandResult& result : results) {
    auto node = m_claim_commands.extract(result.m_command);
    if (!node.empty()) {
      node.mapped()(ClaimAnswerForOperator(result));
    }
  }
}

void Daemon::Impl::RunTicks() {
  for (int count = 0; count < kTicksInARow && m_dirty; ++count) {
    m_dirty = false;
    m_world.m_tick_again = false;
    NoteControlTraffic();
    CarryOut(Tick(m_world, BootTime()));
    m_operator_api.DeliverReplies();
    AnswerClaimCommands();
    m_change_log.Write(m_world);
    m_dirty = m_dirty || m_world.m_tick_again;
  }
  if (m_dirty) {
    // Other watchers get their turn before the rest.
    m_soon.Start(Duration(0));
  }
}

void Daemon::Impl::CarryOut(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit([this](const auto& one) { Do(one); }, action);
  }
}

void Daemon::Impl::Do(const RefuseRequest& action) {
  m_caller_api.Refuse(action);
  m_upstreams.Forget(action.m_request);
}

void Daemon::Impl::Do(const ReplayAnswer& action) {
  m_caller_api.Replay(action);
  m_upstreams.Forget(action.m_request);
}

void Daemon::Impl::Do(const QueryKeyStatus& action) {
  m_upstreams.Ask(action, [this](KeyStatusResult answer) {
    m_world.m_claim_inbox.m_services.push_back(std::move(answer));
    Wake();
  });
}

void Daemon::Impl::Do(const ExitProcess& action) {
  Log(action.m_cut_requests == 0 ? LogLevel::kInfo : LogLevel::kWarning,
      "stopped",
      {{"exit_code", std::int64_t{action.m_exit_code}},
       {"cut_requests", std::int64_t{action.m_cut_requests}}});
  m_exit_code = action.m_exit_code;
  ev_break(m_loop, EVBREAK_ALL);
}

net::TableStore Daemon::Impl::MakeStore(PlatformUse* use) {
  return net::MakeTableStore(
      m_client, PlatformOptionsOf(m_settings), use->m_counters,
      [this](StorePurpose purpose, StoreResult result) {
        m_world.m_store_results[static_cast<int>(purpose)].push_back(
            std::move(result));
        Wake();
      });
}

void Daemon::Impl::NoteControlTraffic() {
  m_peers->NoteTraffic(BootTime());
  NotePlatformUse(&m_control_use, ControlClass::kStorePoll);
  NotePlatformUse(&m_list_use, ControlClass::kListPoll);
}

void Daemon::Impl::NotePlatformUse(PlatformUse* use,
                                   ControlClass control_class) {
  const net::PlatformCounters& now = use->m_counters;
  net::PlatformCounters& noted = use->m_noted;
  const std::uint64_t calls = now.m_reads + now.m_commits + now.m_lists -
                              noted.m_reads - noted.m_commits - noted.m_lists;
  const std::uint64_t sent = now.m_bytes_sent - noted.m_bytes_sent;
  const std::uint64_t received = now.m_bytes_received - noted.m_bytes_received;
  if (calls == 0 && sent == 0 && received == 0) {
    return;
  }
  noted = now;
  RecordControlBytes(
      m_world, control_class,
      Bytes(static_cast<std::int64_t>(sent + calls * kRequestHeaderBytes)),
      Bytes(static_cast<std::int64_t>(received + calls * kAnswerHeaderBytes)),
      BootTime());
}

void Daemon::Impl::FetchInstanceList() {
  m_instance_list.m_fetch([this](std::vector<ListedInstance> listed) {
    m_world.m_membership_inbox.m_listed = std::move(listed);
    Wake();
  });
}

void Daemon::Impl::StartDrain(const char* reason) {
  if (m_world.m_draining) {
    return;
  }
  Log(LogLevel::kInfo, "planned_stop_started",
      {{"reason", std::string(reason)},
       {"requests", static_cast<std::int64_t>(m_world.m_requests.size())}});
  m_world.m_draining = true;
  Wake();
}

void Daemon::Impl::HandleStopSignal() {
  if (m_world.m_draining) {
    m_world.m_drain.m_stop_now = true;
    Wake();
    return;
  }
  StartDrain("signal");
}

int Daemon::Impl::Run() {
  Log(LogLevel::kInfo, "started",
      {{"instance", m_settings.m_instance.m_id.str()},
       {"callers", m_settings.m_instance.m_caller_address.str()},
       {"operators", m_settings.m_instance.m_operator_address.str()},
       {"peers", m_settings.m_instance.m_peer_address.str()}});
  while (!m_exit_code) {
    ev_run(m_loop, EVRUN_ONCE);
  }
  return *m_exit_code;
}

Daemon::Daemon(struct ev_loop* loop, const Settings& settings)
    : m_impl(std::make_unique<Impl>(loop, settings)) {}

Daemon::~Daemon() = default;

int Daemon::Run() {
  return m_impl->Run();
}

}  // namespace nutmeghollow
