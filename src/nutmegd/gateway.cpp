#include "nutmegd/gateway.h"

#include <malloc.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "libnet/log.h"
#include "nutmegd/evacuation_rows.h"
#include "nutmegd/fleet_link.h"
#include "nutmegd/forwarding_setup.h"
#include "nutmegd/gateway_state.h"
#include "nutmegd/instance_rows.h"
#include "nutmegd/peer_feed.h"
#include "nutmegd/peer_http_server.h"
#include "nutmegd/reachability_monitor.h"
#include "nutmegd/registrations.h"
#include "nutmegd/request_bodies.h"
#include "nutmegd/route_configuration.h"
#include "nutmegd/route_explanation.h"
#include "nutmegd/route_relay.h"
#include "nutmegd/store_reads.h"
#include "nutmegd/table_follower.h"
#include "nutmeghollow/entry_directory.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;
using nlohmann::json;

/// Maximum wait of a request for configuration changes. Confirmations are at
/// most twice as old, so that unknown routes and keys can be denied, and
/// changes are in force within two seconds even when one response is lost.
constexpr Duration kMaxConfigurationWait = std::chrono::milliseconds(800);
/// Interval between checks of the settings file for changes.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(1);
/// Interval between checks whether the drain is complete.
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
/// Maximum number of addresses in an entry response.
constexpr std::size_t kMaxEntryAddresses = 64;
/// Memory of the HTTP library per connection, beyond the header limit.
constexpr Bytes kConnectionMemory{8 << 10};
/// Limit of the HTTP server. The configuration's own limit is meant to be lower
/// and is checked for each request.
constexpr Bytes kHeaderLimit{20 << 10};
/// Entry look-ups and operators' requests need no body.
constexpr Bytes kSmallBodyLimit{4 << 10};
/// Reading from an upstream pauses while the stream of a slow caller has this
/// many unsent bytes.
constexpr Bytes kStreamHighWater{64 << 10};
/// Longer than any caller waits before it reuses an idle connection.
constexpr Duration kCallerIdleTimeout = std::chrono::seconds(120);

/// Time from a change of the configuration to the return of free memory: by
/// then its document and the responses to the followers have been freed.
constexpr Duration kTrimDelay = std::chrono::seconds(2);

/// Returns free memory to the system. The allocator keeps what was freed
/// between other blocks: after a document of 300 kB, 2.3 MB.
void ReleaseFreeMemory() {
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

std::string ReadFile(const std::string& name) {
  std::ifstream stream(name);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

/// @return the wait of one request for configuration changes. The latest
/// confirmation is up to two waits old just before the next response, and one
/// lost response must not stop the service of requests with a key.
Duration ConfigurationWait(const Settings& settings) {
  constexpr int kWaitsPerRevocationLimit = 4;
  return std::min(kMaxConfigurationWait, settings.m_gateway.m_revocation_limit /
                                             kWaitsPerRevocationLimit);
}

net::HttpServerOptions ServerOptions() {
  net::HttpServerOptions options;
  options.m_body_limit = kSmallBodyLimit;
  options.m_discard_limit = kBodyDiscardLimit;
  options.m_header_limit = kHeaderLimit;
  options.m_connection_memory = kConnectionMemory;
  options.m_stream_high_water = kStreamHighWater;
  options.m_idle_timeout = kCallerIdleTimeout;
  return options;
}

net::HttpServerOptions CallerServerOptions(const Settings& settings,
                                           const GatewayState& state) {
  net::HttpServerOptions options = WithCallerBodies(ServerOptions(), state);
  options.m_connection_limit = CallerConnectionLimit(
      settings, Bytes(kHeaderLimit.value() + kConnectionMemory.value()));
  return options;
}

void LogColdChange(const UpstreamPool::ColdChange& change) {
  if (!change.m_is_used) {
    Log(LogLevel::kWarning, "cold_time_not_used",
        {{"upstream", change.m_id.str()},
         {"remaining_ms", change.m_remaining.count() / 1000}});
    return;
  }
  Log(LogLevel::kInfo, change.m_is_cold ? "upstream_cold" : "upstream_warm",
      {{"upstream", change.m_id.str()},
       {"remaining_ms", change.m_remaining.count() / 1000}});
}

}  // namespace

class Gateway::Impl {
 public:
  Impl(struct ev_loop* loop,
       const Settings& settings,
       std::string settings_file,
       net::RouteProtocol protocol,
       const RowFeedFactory& make_feed);
  int Run();

 private:
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void ApplySettings();
  void RegisterGauges();
  void ReloadSettings(const char* cause);
  void HandleCaller(const Exchange& exchange);
  void StartRelay(const Exchange& exchange,
                  std::optional<net::ForwardedRequest> forwarded);
  void HandleEntry(const Exchange& exchange);
  void HandleOperator(const Exchange& exchange);
  bool Ready() const;
  /// @return true when another instance accepts callers.
  bool OthersReady() const;
  /// @return the services whose streams may be resumed.
  std::set<ServiceId> ResumableServices() const;

  void HandleReachability(ReachabilityState before, ReachabilityState state);

  /// Retries the lost tables at once, since the platform responds again.
  void RetryLostTables();
  /// @return the hooks of the feed through other instances.
  PeerFeedHooks FeedHooks();
  TableFollowerEvents ConfigurationEvents();
  TableFollowerEvents RegistrationEvents();
  TableFollowerEvents InstanceEvents();

  void StartDrain(const char* cause);
  void CheckDrain();
  /// Ends the requests in progress; until the exit, not those whose upstream
  /// may have ended its response while the caller reads slowly.
  void EndRequests(DrainStep step);

  struct ev_loop* m_loop;
  Settings m_settings;
  std::string m_settings_file;
  std::string m_settings_text;
  net::HttpClient m_client;
  GatewayState m_state;
  StoreReads m_store_reads;
  net::RowFeed m_feed;
  net::RowFeed m_peer_feed;
  Registrations m_registrations;
  RegistrationReader m_registration_reader;
  EntryDirectory m_directory;
  ReachabilityMonitor m_reachability;
  UpstreamReach m_told_reach = UpstreamReach::kReached;
  CrashDetector m_crash_detector;
  StreamRecords m_streams;
  FleetLink m_fleet;
  InstanceRows m_instance_rows;
  std::map<std::uint64_t, std::shared_ptr<RouteRelay>> m_relays;
  std::uint64_t m_last_relay_id = 0;
  bool m_registrations_read = false;
  int m_exit_code = 0;

  PeerFeedServer m_peer_feed_server;
  PeerHttpServer m_peer_http_server;
  TableFollower m_configuration_follower;
  TableFollower m_registration_follower;
  TableFollower m_instance_follower;
  net::HttpServer m_caller_server;
  net::HttpServer m_entry_server;
  net::HttpServer m_operator_server;
  net::SignalWatcher m_terminate;
  net::SignalWatcher m_interrupt;
  net::SignalWatcher m_hangup;
  net::Timer m_settings_timer;
  net::Timer m_drain_timer;
  net::Timer m_trim_timer;
};

Gateway::Impl::Impl(struct ev_loop* loop,
                    const Settings& settings,
                    std::string settings_file,
                    net::RouteProtocol protocol,
                    const RowFeedFactory& make_feed)
    : m_loop(loop),
      m_settings(settings),
      m_settings_file(std::move(settings_file)),
      m_settings_text(ReadFile(m_settings_file)),
      m_client(loop),
      m_store_reads(&m_state.m_metrics, [this] { m_fleet.SendDigestNow(); }),
      m_feed(m_store_reads.Counted(
          make_feed(m_client,
                    [this] { return m_settings.m_platform.m_address; }))),
      m_peer_feed(MakePeerFeed(loop, m_client, m_feed, FeedHooks())),
      m_registrations(loop, &m_state.m_pool, protocol.m_read_registration),
      m_registration_reader(m_feed,
                            protocol.m_registration_table,
                            protocol.m_read_registration),
      m_reachability(loop,
                     &m_client,
                     &m_state.m_metrics,
                     MakeReachabilityHooks(&m_state,
                                           &m_directory,
                                           [this](ReachabilityState before,
                                                  ReachabilityState state) {
                                             HandleReachability(before, state);
                                           })),
      m_crash_detector(
          loop,
          &m_state.m_metrics,
          [this](const std::function<void(bool)>& decided) {
            m_reachability.Verify(
                [this, decided] { decided(m_reachability.IsCutOff()); });
          },
          [this] { m_fleet.SendEvents(); }),
      m_streams(loop,
                settings.m_instance.m_id,
                m_feed,
                &m_directory,
                &m_state.m_pool,
                {.m_resumable = [this] { return ResumableServices(); },
                 .m_send_report =
                     [this](const InstanceId& to, const StreamReport& report) {
                       m_fleet.SendStreamReport(to, report);
                     },
                 .m_send_recorded =
                     [this](const InstanceId& to, std::uint32_t report) {
                       m_fleet.SendRecorded(to, report);
                     }}),
      m_fleet(loop,
              settings.m_instance.m_id,
              settings.m_instance.m_peer_address,
              m_feed,
              kInstanceTable,
              &m_directory,
              &m_state.m_pool,
              &m_crash_detector,
              {.m_ready = [this] { return Ready(); },
               .m_revision =
                   [this] {
                     return m_state.m_configuration == nullptr
                                ? Revision()
                                : m_state.m_configuration->m_revision;
                   },
               .m_reach = [this] { return m_reachability.OwnReach(); },
               .m_proof_age = [this] { return m_state.ProofAge(BootTime()); },
               .m_store_fails = [this] { return m_store_reads.Fails(); },
               .m_on_stream_report =
                   [this](const InstanceId& from, const StreamReport& report) {
                     m_streams.HandleReport(from, report);
                   },
               .m_on_recorded =
                   [this](const InstanceId& from, std::uint32_t report) {
                     m_streams.HandleRecorded(from, report);
                   }}),
      m_instance_rows(loop,
                      &m_settings,
                      m_feed,
                      &m_directory,
                      &m_fleet,
                      [this](int instances) {
                        m_state.m_allowance.SetInstances(instances);
                        m_store_reads.SetInstances(instances);
                      }),
      m_peer_feed_server(loop, [this] { return m_fleet.Keys(); }),
      m_peer_http_server(loop,
                         settings.m_instance.m_peer_address,
                         settings.m_instance.m_id,
                         m_state,
                         {.m_keys = [this] { return m_fleet.Keys(); },
                          .m_clock_offsets =
                              [this](const InstanceId& sender) {
                                return m_fleet.ClockOffsetOf(sender);
                              },
                          .m_feed =
                              [this](const Exchange& exchange) {
                                m_peer_feed_server.Handle(exchange);
                              },
                          .m_forwarded =
                              [this](const Exchange& exchange,
                                     net::ForwardedRequest forwarded) {
                                StartRelay(exchange, std::move(forwarded));
                              }}),
      m_configuration_follower(loop,
                               m_peer_feed,
                               {.m_table = protocol.m_configuration_table,
                                .m_wait = ConfigurationWait(settings)},
                               ConfigurationEvents()),
      m_registration_follower(loop,
                              m_peer_feed,
                              {.m_table = protocol.m_registration_table,
                               .m_wait = std::chrono::milliseconds(2000),
                               .m_min_period = std::chrono::milliseconds(250)},
                              RegistrationEvents()),
      m_instance_follower(loop,
                          m_peer_feed,
                          {.m_table = kInstanceTable,
                           .m_wait = std::chrono::milliseconds(4000),
                           .m_min_period = std::chrono::milliseconds(1000)},
                          InstanceEvents()),
      m_caller_server(
          loop,
          settings.m_instance.m_caller_address,
          CallerServerOptions(settings, m_state),
          [this](const Exchange& exchange) { HandleCaller(exchange); }),
      m_entry_server(
          loop,
          settings.m_gateway.m_entry_address,
          ServerOptions(),
          [this](const Exchange& exchange) { HandleEntry(exchange); }),
      m_operator_server(
          loop,
          settings.m_instance.m_operator_address,
          ServerOptions(),
          [this](const Exchange& exchange) { HandleOperator(exchange); }),
      m_terminate(loop, SIGTERM, [this] { StartDrain("SIGTERM"); }),
      m_interrupt(loop, SIGINT, [this] { StartDrain("SIGINT"); }),
      m_hangup(loop, SIGHUP, [this] { ReloadSettings("SIGHUP"); }),
      m_settings_timer(loop,
                       [this] {
                         if (ReadFile(m_settings_file) != m_settings_text) {
                           ReloadSettings("file changed");
                         }
                       }),
      m_drain_timer(loop, [this] { CheckDrain(); }),
      m_trim_timer(loop, ReleaseFreeMemory) {
  m_state.m_loop = loop;
  m_state.m_client = &m_client;
  m_state.m_crash_detector = &m_crash_detector;
  m_state.m_streams = &m_streams;
  m_state.m_reachability = &m_reachability;
  m_state.m_forwarding = MakeForwardingState(&m_state, &m_directory, &m_fleet);
  m_state.m_others_ready = [this] { return OthersReady(); };
  m_state.m_registration_reader = &m_registration_reader;
  m_state.m_store_failed_recently = [this] {
    return m_store_reads.FailedRecently();
  };
  m_state.m_on_refusal_limit = [this] { m_fleet.NoteRefusalLimit(); };
  m_state.m_request_permit = [this](std::vector<LimitedProcess> processes,
                                    std::function<void()> done) {
    m_fleet.RequestPermit(std::move(processes), std::move(done));
  };
  m_state.m_protocol = std::move(protocol);
  m_peer_feed_server.Add(m_state.m_protocol.m_configuration_table,
                         &m_configuration_follower);
  m_peer_feed_server.Add(m_state.m_protocol.m_registration_table,
                         &m_registration_follower);
  m_peer_feed_server.Add(kInstanceTable, &m_instance_follower);
  m_state.m_settings = &m_settings;
  m_state.m_pool.SetSeed(m_state.m_random());
  m_state.m_pool.SetRegions(m_settings.m_regions);
  m_state.m_pool.OnColdChange(LogColdChange);
  ApplySettings();
  RegisterGauges();
  m_settings_timer.StartRepeating(kSettingsCheckInterval);
  m_instance_rows.WriteOwnRow();
}

int Gateway::Impl::Run() {
  Log(LogLevel::kInfo, "started",
      {{"instance", m_settings.m_instance.m_id.str()},
       {"data_centre", m_settings.m_instance.m_data_centre.str()}});
  ev_run(m_loop, 0);
  return m_exit_code;
}

void Gateway::Impl::RegisterGauges() {
  MetricsRegistry& metrics = m_state.m_metrics;
  metrics.SetGauge("nutmeg_gateway_ready", "",
                   [this] { return Ready() ? 1.0 : 0.0; });
  metrics.SetGauge("nutmeg_gateway_requests_open", "",
                   [this] { return static_cast<double>(m_relays.size()); });
  metrics.SetGauge("nutmeg_gateway_revision", "", [this] {
    return m_state.m_configuration == nullptr
               ? 0.0
               : static_cast<double>(
                     m_state.m_configuration->m_revision.value());
  });
  metrics.SetGauge("nutmeg_gateway_proof_age_seconds", "", [this] {
    const auto age = m_state.ProofAge(BootTime());
    return age ? std::chrono::duration<double>(*age).count() : -1.0;
  });
  metrics.SetGauge("nutmeg_gateway_upstreams", "", [this] {
    return static_cast<double>(m_state.m_pool.Ids().size());
  });
  metrics.SetGauge("nutmeg_gateway_evacuated_upstreams", "", [this] {
    return static_cast<double>(m_state.m_pool.EvacuatedUpstreams());
  });
  metrics.SetGauge("nutmeg_gateway_cold_upstreams", "", [this] {
    return static_cast<double>(
        m_state.m_pool.Limits().ColdProcesses(BootTime()));
  });
  metrics.SetGauge("nutmeg_gateway_crash_suspects", "", [this] {
    return static_cast<double>(m_crash_detector.Suspects().size());
  });
  SetUpBodyMemory(&m_state, m_settings);
  m_fleet.RegisterGauges(&metrics);
}

void Gateway::Impl::ApplySettings() {
  RetryAllowanceParameters allowance;
  allowance.m_ratio = m_settings.m_gateway.m_retry_ratio;
  allowance.m_slack = m_settings.m_gateway.m_retry_slack;
  allowance.m_window = m_settings.m_gateway.m_retry_window;
  m_state.m_allowance.SetParameters(allowance);
  net::SetLogLevel(m_settings.m_log_level);
}

void Gateway::Impl::ReloadSettings(const char* cause) {
  const std::string text = ReadFile(m_settings_file);
  m_settings_text = text;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(settings, ParseSettings(text, m_settings_file));
        // The endpoints listened on change only at the next start.
        m_settings.m_platform = settings.m_platform;
        m_settings.m_gateway = settings.m_gateway;
        m_settings.m_log_level = settings.m_log_level;
        ApplySettings();
        Log(LogLevel::kInfo, "settings_reloaded",
            {{"cause", std::string(cause)}});
        return {};
      },
      [&](const SettingsFindings& error) {
        for (const SettingsFinding& finding : error.m_findings) {
          Log(LogLevel::kError, "settings_not_used",
              {{"cause", std::string(cause)},
               {"finding", FormatFinding(finding)}});
        }
      },
      [&] {
        Log(LogLevel::kError, "settings_not_used",
            {{"cause", std::string(cause)}});
      });
}

bool Gateway::Impl::Ready() const {
  return !m_state.m_drain && m_state.m_configuration != nullptr &&
         m_registrations_read &&
         (!m_state.m_configuration->RequiresKeys() ||
          m_state.MayServeKeyedRequests(BootTime()));
}

bool Gateway::Impl::OthersReady() const {
  const auto& instances = m_directory.Instances();
  return std::any_of(instances.begin(), instances.end(), [&](const auto& one) {
    const EntryInstance& instance = one.second;
    return instance.m_id != m_settings.m_instance.m_id && instance.m_ready &&
           instance.m_alive;
  });
}

std::set<ServiceId> Gateway::Impl::ResumableServices() const {
  return m_state.m_configuration == nullptr
             ? std::set<ServiceId>()
             : m_state.m_configuration->ResumableServices();
}

void Gateway::Impl::HandleReachability(ReachabilityState before,
                                       ReachabilityState state) {
  if (m_told_reach != m_reachability.OwnReach()) {
    m_told_reach = m_reachability.OwnReach();
    m_fleet.SendDigestNow();
  }
  if (state == ReachabilityState::kReturning && state != before) {
    m_state.m_pool.ForgetFailures();
  }
  if (state == ReachabilityState::kCutOff && state != before) {
    // A relay removes itself when it ends.
    const auto relays = m_relays;
    for (const auto& [id, relay] : relays) {
      relay->HandleCutOff();
    }
  }
}

void Gateway::Impl::HandleCaller(const Exchange& exchange) {
  StartRelay(exchange, std::nullopt);
}

void Gateway::Impl::StartRelay(const Exchange& exchange,
                               std::optional<net::ForwardedRequest> forwarded) {
  const std::uint64_t id = ++m_last_relay_id;
  auto relay = std::make_shared<RouteRelay>(
      &m_state, exchange, [this, id] { m_relays.erase(id); },
      std::move(forwarded));
  m_relays.emplace(id, relay);
  relay->Start();
}

void Gateway::Impl::HandleEntry(const Exchange& exchange) {
  const net::HttpRequest& request = exchange->Request();
  if (request.m_path != "/v1/entry") {
    exchange->Respond(404, {{"Content-Type", "text/plain"}}, "unknown path\n");
    return;
  }
  const auto parameter = [&](const char* name) {
    const auto found = request.m_query.find(name);
    return found == request.m_query.end() ? std::string() : found->second;
  };
  EntryInstance* self = m_directory.Find(m_settings.m_instance.m_id);
  if (self != nullptr) {
    self->m_ready = Ready();
    self->m_reach = m_reachability.OwnReach();
  }
  json addresses = json::array();
  for (const Endpoint& endpoint : m_directory.Choose(
           RegionId(parameter("region")),
           DataCentreId(parameter("data_centre")), kMaxEntryAddresses)) {
    addresses.push_back(endpoint.str());
  }
  if (addresses.empty()) {
    addresses.push_back(
        m_settings.m_instance.m_advertised_caller_address.str());
  }
  const json body{{"addresses", addresses},
                  {"keep_seconds", m_settings.m_gateway.m_keep_seconds}};
  exchange->Respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

void Gateway::Impl::HandleOperator(const Exchange& exchange) {
  const std::string& path = exchange->Request().m_path;
  const net::HeaderList text{{"Content-Type", "text/plain"}};
  if (path == "/livez") {
    exchange->Respond(200, text, "ok\n");
  } else if (path == "/readyz") {
    const bool ready = Ready();
    exchange->Respond(ready ? 200 : 503, text, ready ? "ok\n" : "not ready\n");
  } else if (path == "/metrics") {
    exchange->Respond(200, text, m_state.m_metrics.Render());
  } else if (path == kExplainRoutePath) {
    RouteExplanation explanation =
        ExplainRoute(m_state, exchange->Request(), BootTime());
    exchange->Respond(explanation.m_status,
                      {{"Content-Type", "application/json"}},
                      std::move(explanation.m_body));
  } else {
    exchange->Respond(404, text, "unknown path\n");
  }
}

void Gateway::Impl::RetryLostTables() {
  for (TableFollower* follower :
       {&m_configuration_follower, &m_registration_follower,
        &m_instance_follower}) {
    follower->RetryIfLost();
  }
}

PeerFeedHooks Gateway::Impl::FeedHooks() {
  PeerFeedHooks hooks;
  hooks.m_keys = [this] { return m_fleet.Keys(); };
  hooks.m_readers = [this] { return m_instance_rows.Readers(); };
  m_store_reads.Connect(&hooks);
  return hooks;
}

TableFollowerEvents Gateway::Impl::ConfigurationEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    if (!HandleEvacuationRow(m_state, row)) {
      AdoptConfigurationRow(m_state, row);
      m_trim_timer.Start(kTrimDelay);
    }
  };
  events.m_on_confirmed = [this](TimePoint confirmed_at) {
    m_state.m_freshness.Confirm(confirmed_at);
    m_peer_feed_server.RespondToPending(
        m_state.m_protocol.m_configuration_table);
  };
  events.m_on_lost = [](const std::string& reason) {
    Log(LogLevel::kWarning, "configuration_feed_lost", {{"reason", reason}});
  };
  events.m_on_regained = [this](Duration outage) {
    Log(LogLevel::kInfo, "configuration_feed_regained",
        {{"outage_ms", outage.count() / 1000}});
    RetryLostTables();
  };
  return events;
}

TableFollowerEvents Gateway::Impl::RegistrationEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    m_registrations.HandleRow(row);
  };
  events.m_on_confirmed = [this](TimePoint /*confirmed_at*/) {
    m_registrations_read = true;
    m_peer_feed_server.RespondToPending(
        m_state.m_protocol.m_registration_table);
  };
  events.m_on_lost = [](const std::string& reason) {
    Log(LogLevel::kWarning, "registration_feed_lost", {{"reason", reason}});
  };
  events.m_on_regained = [this](Duration outage) {
    m_registrations.HandleRegained(outage);
    RetryLostTables();
  };
  return events;
}

TableFollowerEvents Gateway::Impl::InstanceEvents() {
  TableFollowerEvents events;
  events.m_on_row = [this](const net::FeedRow& row) {
    m_instance_rows.HandleRow(row);
  };
  events.m_on_confirmed = [this](TimePoint /*confirmed_at*/) {
    m_fleet.ScheduleKeyProposal();
    m_peer_feed_server.RespondToPending(kInstanceTable);
  };
  events.m_on_regained = [this](Duration /*outage*/) { RetryLostTables(); };
  return events;
}

void Gateway::Impl::StartDrain(const char* cause) {
  if (m_state.m_drain) {
    return;
  }
  GatewayDrainParameters parameters;
  parameters.m_grace = m_settings.m_gateway.m_stop_grace;
  parameters.m_entry_ttl =
      std::chrono::seconds(m_settings.m_gateway.m_keep_seconds);
  m_state.m_drain.emplace(BootTime(), parameters);
  Log(LogLevel::kInfo, "drain_started",
      {{"cause", std::string(cause)},
       {"requests", static_cast<std::int64_t>(m_relays.size())},
       {"others_ready", OthersReady()}});
  m_caller_server.CloseAfterResponses();
  m_fleet.SendDigestNow();
  m_instance_rows.RemoveOwnRow();
  m_drain_timer.StartRepeating(kDrainCheckInterval);
}

void Gateway::Impl::CheckDrain() {
  const auto now = BootTime();
  const DrainStep step = m_state.m_drain->Next(
      now, m_relays.size(),
      m_caller_server.OpenRequests() + m_peer_http_server.OpenForwarded());
  if (step == DrainStep::kServe) {
    return;
  }
  m_caller_server.StopListening();
  if (step == DrainStep::kEndRequests || step == DrainStep::kExit) {
    EndRequests(step);
  }
  if (step != DrainStep::kExit) {
    return;
  }
  const Duration elapsed = now - m_state.m_drain->StartedAt();
  Log(LogLevel::kInfo, "stopped",
      {{"cut_responses",
        static_cast<std::int64_t>(m_caller_server.OpenRequests())},
       {"after_ms", elapsed.count() / 1000}});
  m_drain_timer.Stop();
  ev_break(m_loop, EVBREAK_ALL);
}

void Gateway::Impl::EndRequests(DrainStep step) {
  // A relay removes itself when it ends.
  const auto relays = m_relays;
  for (const auto& [id, relay] : relays) {
    const bool at_once = step == DrainStep::kExit;
    if (at_once || !relay->WaitsForCaller()) {
      relay->Stop(at_once);
    }
  }
}

Gateway::Gateway(struct ev_loop* loop,
                 const Settings& settings,
                 std::string settings_file,
                 net::RouteProtocol protocol,
                 const RowFeedFactory& make_feed)
    : m_impl(std::make_unique<Impl>(loop,
                                    settings,
                                    std::move(settings_file),
                                    std::move(protocol),
                                    make_feed)) {}

Gateway::~Gateway() = default;

int Gateway::Run() {
  return m_impl->Run();
}

}  // namespace nutmeghollow
