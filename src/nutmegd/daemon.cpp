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
#include "nutmegd/request_bodies.h"
#include "nutmegd/world_metrics.h"
#include "nutmeghollow/body_memory.h"
#include "nutmeghollow/check.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/placement.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

/// Maximum time between two ticks, and thus the resolution of the systems'
/// timers.
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
/// Maximum number of ticks in one pass of the loop, so that its other watchers
/// are not starved.
constexpr int kMaxConsecutiveTicks = 8;
/// Bytes of the HTTP, TCP and IP headers of a call to the platform, in each
/// direction.
constexpr std::uint64_t kHeaderBytes = 240;

net::HttpServerOptions CallerServerOptions(
    const Settings& settings,
    const std::shared_ptr<BodyMemory>& body_memory) {
  net::HttpServerOptions options;
  options.m_body_limit = settings.m_callers.m_body_limit;
  options.m_header_limit = settings.m_callers.m_header_limit;
  options.m_stream_high_water = settings.m_callers.m_stream_buffer;
  options.m_connection_limit = settings.m_callers.m_connection_limit;
  options.m_body_memory = body_memory;
  options.m_error_hook = CallerApi::MakeErrorResponse;
  return options;
}

net::PlatformOptions PlatformOptionsOf(const Settings& settings) {
  return {.m_endpoint = settings.m_platform.m_address,
          .m_timeout = settings.m_platform.m_timeout};
}

net::UpstreamClientOptions UpstreamOptionsOf(const Settings& settings) {
  const UpstreamSettings& upstreams = settings.m_upstreams;
  net::UpstreamClientOptions options;
  options.m_timeouts.m_connect = upstreams.m_connect_timeout;
  options.m_timeouts.m_chat_first_byte = upstreams.m_first_byte_timeout;
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

/// Traffic to the platform for a single purpose.
struct PlatformUsage {
  net::PlatformCounters m_counters;
  /// Values of m_counters when they were last recorded in the control budget.
  net::PlatformCounters m_recorded;
};

class Daemon::Impl {
 public:
  Impl(struct ev_loop* loop, const Settings& settings);
  int Run();

 private:
  void SetUpWorld();
  CallerApiHooks MakeCallerHooks();
  net::OperatorApiHooks MakeOperatorHooks();

  /// Schedules a tick before the loop next sleeps.
  void ScheduleTick() { m_tick_pending = true; }
  void RunTicks();
  void ExecuteActions(const std::vector<Action>& actions);
  net::TableStore MakeStore(PlatformUsage* usage);
  net::TableStore& StoreFor(StorePurpose purpose) {
    const bool unbudgeted = purpose == StorePurpose::kClaim ||
                            purpose == StorePurpose::kOperator ||
                            purpose == StorePurpose::kQuarantine;
    return unbudgeted ? m_unbudgeted_store : m_control_store;
  }
  void RecordControlTraffic();
  void RecordPlatformUsage(PlatformUsage* usage, ControlClass control_class);
  void FetchInstanceList();
  void StartDrain(const char* reason);
  void HandleStopSignal();
  void DeliverClaimReplies();
  void SubmitClaimCommand(const net::RequestOutcomeCommand& command,
                          net::OperatorResponseCallback callback);

  // An overload for each alternative of Action.
  void Execute(const DispatchAttempt& action) { m_upstreams.Dispatch(action); }
  void Execute(const CancelAttempt& action) { m_upstreams.Cancel(action); }
  void Execute(const RefuseRequest& action);
  void Execute(const ReplayAnswer& action);
  void Execute(const FinishRelay& action) { m_upstreams.Finish(action); }
  void Execute(const ReadStore& action) {
    StoreFor(action.m_purpose).m_read(action);
  }
  void Execute(const ScanStore& action) {
    StoreFor(action.m_purpose).m_scan(action);
  }
  void Execute(const CommitStore& action) {
    StoreFor(action.m_purpose).m_commit(action);
  }
  void Execute(const ProbeUpstream& action) { m_prober.Probe(action); }
  void Execute(const SendDatagram& action) { m_peers->Send(action); }
  void Execute(const ReserveAtOwner& action) { m_peers->Reserve(action); }
  void Execute(const SendReservationResponse& action) {
    m_peers->RespondToReservation(action);
  }
  void Execute(const FetchConfiguration& action) {
    m_peers->StartConfigurationFetch(action);
  }
  void Execute(const QueryClaimer& action) { m_peers->QueryClaim(action); }
  void Execute(const SendOrder& action) { m_orders.Send(action); }
  void Execute(const ReadEngineState& action) { m_orders.Read(action); }
  void Execute(const CloseOrderConnections& /*action*/) { m_orders.CloseAll(); }
  void Execute(const QueryKeyStatus& action);
  void Execute(const ExitProcess& action);

  struct ev_loop* m_loop;
  Settings m_settings;
  MetricsRegistry m_metrics;
  World m_world;
  std::mt19937_64 m_random{std::random_device()()};
  bool m_tick_pending = true;
  std::optional<int> m_exit_code;
  ChangeLog m_change_log;

  net::HttpClient m_client;
  // Claims and quarantine serve callers' requests, and commands serve
  // operators, so their calls are outside the control budget. All other calls
  // to the platform are control traffic.
  PlatformUsage m_unbudgeted_usage;
  PlatformUsage m_control_usage;
  PlatformUsage m_list_usage;
  net::TableStore m_unbudgeted_store;
  net::TableStore m_control_store;
  net::InstanceList m_instance_list;
  net::UpstreamClient m_upstreams;
  net::UpstreamProber m_prober;
  net::OrderClient m_orders;
  CallerApi m_caller_api;
  net::OperatorApi m_operator_api;
  std::map<CommandId, net::OperatorResponseCallback> m_claim_commands;
  std::uint64_t m_last_claim_command = 0;

  std::unique_ptr<PeerLink> m_peers;
  const std::shared_ptr<BodyMemory> m_caller_body_memory =
      std::make_shared<BodyMemory>();
  net::HttpServer m_caller_server;
  net::HttpServer m_operator_server;
  net::SignalWatcher m_terminate;
  net::SignalWatcher m_interrupt;
  net::Timer m_tick_timer;
  net::Timer m_deferred_tick_timer;
  net::Timer m_list_timer;
  // Started after the servers' own PrepareWatcher watchers, so that it runs
  // before them.
  net::PrepareWatcher m_prepare_watcher;
};

Daemon::Impl::Impl(struct ev_loop* loop, const Settings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_client(loop),
      m_unbudgeted_store(MakeStore(&m_unbudgeted_usage)),
      m_control_store(MakeStore(&m_control_usage)),
      m_instance_list(net::MakeInstanceList(m_client,
                                            PlatformOptionsOf(settings),
                                            m_list_usage.m_counters)),
      m_upstreams(
          m_client,
          UpstreamOptionsOf(settings),
          [this](AttemptEvent event) {
            m_world.m_request_inbox.m_attempts.push_back(std::move(event));
            ScheduleTick();
          }),
      m_prober(m_client,
               BootTime,
               [this](ProbeResult result) {
                 m_world.m_probing_inbox.m_results.push_back(std::move(result));
                 ScheduleTick();
               }),
      m_orders(m_client,
               {},
               BootTime,
               [this](OrderResult result) {
                 m_world.m_orders.m_results.push_back(std::move(result));
                 ScheduleTick();
               }),
      m_caller_api(&m_world, &m_settings, &m_metrics, MakeCallerHooks()),
      m_operator_api(m_world,
                     {.m_token_digests = settings.m_operators},
                     MakeOperatorHooks()),
      m_caller_server(
          loop,
          settings.m_instance.m_caller_address,
          CallerServerOptions(settings, m_caller_body_memory),
          [this](const std::shared_ptr<net::HttpExchange>& exchange) {
            m_caller_api.Handle(exchange);
          }),
      m_operator_server(loop,
                        settings.m_instance.m_operator_address,
                        WithOperatorBodies({}),
                        [this](std::shared_ptr<net::HttpExchange> exchange) {
                          m_operator_api.Handle(std::move(exchange));
                        }),
      m_terminate(loop, SIGTERM, [this] { HandleStopSignal(); }),
      m_interrupt(loop, SIGINT, [this] { HandleStopSignal(); }),
      m_tick_timer(loop, [this] { ScheduleTick(); }),
      m_deferred_tick_timer(loop, [this] { ScheduleTick(); }),
      m_list_timer(loop,
                   [this] {
                     if (ShouldFetchInstanceList(m_world, BootTime())) {
                       FetchInstanceList();
                     }
                   }),
      m_prepare_watcher(loop, [this] {
        if (m_tick_pending) {
          RunTicks();
        }
      }) {
  SetCheckHandler(LogCheckFailure);
  SetUpWorld();
  RegisterWorldMetrics(&m_metrics, &m_world);
  SetUpBodyMemory(m_caller_body_memory, &m_metrics, "nutmeg", m_settings);
  m_peers = std::make_unique<PeerLink>(loop, m_settings, &m_world,
                                       [this] { ScheduleTick(); });
  m_tick_timer.StartRepeating(kTickPeriod);
  m_list_timer.StartRepeating(m_settings.m_platform.m_list_poll);
  FetchInstanceList();
}

void Daemon::Impl::SetUpWorld() {
  m_world.m_hooks.m_random = [this] { return m_random(); };
  m_world.m_hooks.m_wall_time = net::WallClockTime;
  m_world.m_hooks.m_last_received = [this](RequestId id) {
    return m_upstreams.LastReceived(id);
  };
  m_world.m_hooks.m_open_responses =
      std::bind_front(&net::HttpServer::OpenRequests, &m_caller_server);
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
    ScheduleTick();
  };
  hooks.m_caller_disconnected = [this](RequestId request) {
    m_world.m_request_inbox.m_callers_disconnected.push_back(request);
    ScheduleTick();
  };
  hooks.m_caller_writable = [this](RequestId request) {
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
  hooks.m_schedule_tick = [this] { ScheduleTick(); };
  hooks.m_explain = [this](const std::string& chat, const std::string& model) {
    return ExplanationResponse(
        Explain(m_world, ChatKeyFromId(chat), RouteId(model), BootTime()));
  };
  hooks.m_run_outcome_command = [this](
                                    const net::RequestOutcomeCommand& command,
                                    net::OperatorResponseCallback callback) {
    SubmitClaimCommand(command, std::move(callback));
  };
  hooks.m_drain = [this] { StartDrain("operator"); };
  hooks.m_status = [this] { return StatusFields(m_world); };
  return hooks;
}

void Daemon::Impl::SubmitClaimCommand(const net::RequestOutcomeCommand& command,
                                      net::OperatorResponseCallback callback) {
  ClaimCommand claim_command;
  // The suffix makes the id unique in this process, since two operators may
  // send the same one.
  claim_command.m_command = CommandId(
      fmt::format("{}#{}", command.m_command.str(), ++m_last_claim_command));
  claim_command.m_operator = command.m_operator;
  claim_command.m_row_key =
      ClaimRowKey(command.m_customer, command.m_service, command.m_key);
  claim_command.m_resolution = command.m_resolution;
  m_claim_commands[claim_command.m_command] = std::move(callback);
  m_world.m_claim_inbox.m_commands.push_back(std::move(claim_command));
  ScheduleTick();
}

void Daemon::Impl::DeliverClaimReplies() {
  const auto results = std::exchange(m_world.m_claims.m_command_results, {});
  for (const ClaimCommandResult& result : results) {
    auto node = m_claim_commands.extract(result.m_command);
    if (!node.empty()) {
      node.mapped()(ClaimCommandResponse(result));
    }
  }
}

void Daemon::Impl::RunTicks() {
  for (int count = 0; count < kMaxConsecutiveTicks && m_tick_pending; ++count) {
    m_tick_pending = false;
    m_world.m_tick_again = false;
    RecordControlTraffic();
    ExecuteActions(Tick(m_world, BootTime()));
    m_operator_api.DeliverReplies();
    DeliverClaimReplies();
    m_change_log.Write(m_world);
    m_tick_pending = m_tick_pending || m_world.m_tick_again;
  }
  if (m_tick_pending) {
    // Continues in the next pass of the loop, after the other watchers.
    m_deferred_tick_timer.Start(Duration(0));
  }
}

void Daemon::Impl::ExecuteActions(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    std::visit([this](const auto& alternative) { Execute(alternative); },
               action);
  }
}

void Daemon::Impl::Execute(const RefuseRequest& action) {
  m_caller_api.Refuse(action);
  m_upstreams.Unregister(action.m_request);
}

void Daemon::Impl::Execute(const ReplayAnswer& action) {
  m_caller_api.Replay(action);
  m_upstreams.Unregister(action.m_request);
}

void Daemon::Impl::Execute(const QueryKeyStatus& action) {
  m_upstreams.QueryKey(action, [this](KeyStatusResult key_status) {
    m_world.m_claim_inbox.m_services.push_back(std::move(key_status));
    ScheduleTick();
  });
}

void Daemon::Impl::Execute(const ExitProcess& action) {
  Log(action.m_cut_requests == 0 ? LogLevel::kInfo : LogLevel::kWarning,
      "stopped",
      {{"exit_code", std::int64_t{action.m_exit_code}},
       {"cut_requests", std::int64_t{action.m_cut_requests}},
       {"open_responses",
        static_cast<std::int64_t>(m_caller_server.OpenRequests())}});
  m_exit_code = action.m_exit_code;
  ev_break(m_loop, EVBREAK_ALL);
}

net::TableStore Daemon::Impl::MakeStore(PlatformUsage* usage) {
  return net::MakeTableStore(
      m_client, PlatformOptionsOf(m_settings), usage->m_counters,
      [this](StorePurpose purpose, StoreResult result) {
        m_world.m_store_results[static_cast<int>(purpose)].push_back(
            std::move(result));
        ScheduleTick();
      });
}

void Daemon::Impl::RecordControlTraffic() {
  m_peers->RecordTraffic(BootTime());
  RecordPlatformUsage(&m_control_usage, ControlClass::kStorePoll);
  RecordPlatformUsage(&m_list_usage, ControlClass::kListPoll);
}

void Daemon::Impl::RecordPlatformUsage(PlatformUsage* usage,
                                       ControlClass control_class) {
  const net::PlatformCounters& now = usage->m_counters;
  net::PlatformCounters& recorded = usage->m_recorded;
  const std::uint64_t calls = now.m_reads + now.m_commits + now.m_lists -
                              recorded.m_reads - recorded.m_commits -
                              recorded.m_lists;
  const std::uint64_t sent = now.m_bytes_sent - recorded.m_bytes_sent;
  const std::uint64_t received =
      now.m_bytes_received - recorded.m_bytes_received;
  if (calls == 0 && sent == 0 && received == 0) {
    return;
  }
  recorded = now;
  RecordControlBytes(
      m_world, control_class,
      Bytes(static_cast<std::int64_t>(sent + calls * kHeaderBytes)),
      Bytes(static_cast<std::int64_t>(received + calls * kHeaderBytes)),
      BootTime());
}

void Daemon::Impl::FetchInstanceList() {
  m_instance_list.m_fetch([this](std::vector<ListedInstance> listed) {
    m_world.m_membership_inbox.m_listed = std::move(listed);
    ScheduleTick();
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
  ScheduleTick();
}

void Daemon::Impl::HandleStopSignal() {
  if (m_world.m_draining) {
    m_world.m_drain.m_stop_now = true;
    ScheduleTick();
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
