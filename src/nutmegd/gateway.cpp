#include "nutmegd/gateway.h"

#include <malloc.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "libnet/log.h"
#include "nutmegd/checked_feed.h"
#include "nutmegd/evacuation_rows.h"
#include "nutmegd/fleet_link.h"
#include "nutmegd/forwarding_setup.h"
#include "nutmegd/gateway_impl.h"
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
/// Maximum wait of a request for changes of the registrations.
constexpr Duration kMaxRegistrationWait = std::chrono::milliseconds(2000);
/// Share of the time within which a change must be in force that one request
/// may wait. A copy that follows a reader is confirmed up to two waits late,
/// and a silent reader is given up 0.4 s after its wait.
constexpr double kWaitShareOfLimit = 0.35;
/// Time that a change may take to reach this instance after another one. Above
/// it the rows are requested from that one.
constexpr Duration kConfigurationTolerance = std::chrono::milliseconds(300);
/// Changes of the registrations are read in batches, by a reader and its
/// followers.
constexpr Duration kRegistrationTolerance = std::chrono::milliseconds(600);
/// Interval between checks of the settings file for changes.
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(1);
/// Memory of a connection with a request, beyond the header limit.
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

Duration WaitForLimit(Duration limit) {
  return std::chrono::duration_cast<Duration>(limit * kWaitShareOfLimit);
}

/// @return for how long a change has been known, in seconds; zero if there is
/// none.
double SecondsKnown(const std::optional<MissingChange>& change) {
  return change ? std::chrono::duration<double>(change->m_known_for).count()
                : 0;
}

/// @return the wait of one request for configuration changes. The latest
/// confirmation is up to two waits old just before the next response, and one
/// lost response must not stop the service of requests with a key.
Duration ConfigurationWait(const Settings& settings) {
  constexpr int kWaitsPerRevocationLimit = 4;
  const GatewaySettings& gateway = settings.m_gateway;
  return std::min({kMaxConfigurationWait,
                   gateway.m_revocation_limit / kWaitsPerRevocationLimit,
                   WaitForLimit(gateway.m_configuration_limit)});
}

/// @return the wait of one request for changes of the registrations.
Duration RegistrationWait(const Settings& settings) {
  return std::min(kMaxRegistrationWait,
                  WaitForLimit(settings.m_gateway.m_registration_limit));
}

net::HttpServerOptions ServerOptions() {
  net::HttpServerOptions options;
  options.m_body_limit = kSmallBodyLimit;
  options.m_discard_limit = kBodyDiscardLimit;
  options.m_header_limit = kHeaderLimit;
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
      m_feed(MakeCheckedFeed(
          m_store_reads.Counted(
              make_feed(m_client,
                        [this] { return m_settings.m_platform.m_address; })),
          {.m_probe_table = kInstanceTable,
           .m_probe_key = settings.m_instance.m_id.str(),
           .m_floor = &m_store_floor,
           .m_fails_elsewhere = [this] { return StoreFailsElsewhere(); },
           .m_metrics = &m_state.m_metrics})),
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
               .m_revision = [this] { return m_state.RevisionInForce(); },
               .m_on_revision =
                   std::bind_front(&Impl::HandleRevisionElsewhere, this),
               .m_reach = [this] { return m_reachability.OwnReach(); },
               .m_proof_age = [this] { return m_state.ProofAge(BootTime()); },
               .m_registrations_age =
                   [this] {
                     return m_state.AgesOfCopies(BootTime()).m_registrations;
                   },
               .m_store_fails = [this] { return m_store_reads.Fails(); },
               .m_registrations_version =
                   [this] {
                     // Others would remove upstreams that are about to come
                     // back.
                     if (m_registrations.AwaitsRegistrations(BootTime())) {
                       return RowVersion();
                     }
                     return RowVersion(
                         m_registration_follower.NewestChange().value());
                   },
               .m_on_registrations_version =
                   std::bind_front(&Impl::HandleRegistrationsElsewhere, this),
               .m_store_position =
                   [this] { return RowVersion(m_store_floor.Newest()); },
               .m_on_store_position =
                   [this](RowVersion position) {
                     m_store_floor.NoteElsewhere(position.value(), BootTime());
                   },
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
                        SetOutdatedDelays(instances);
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
                               .m_wait = RegistrationWait(settings),
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
      m_trim_timer(loop, ReleaseFreeMemory),
      m_configuration_copies(loop,
                             &m_configuration_follower,
                             kConfigurationTolerance,
                             ConfigurationCopies()),
      m_registration_copies(loop,
                            &m_registration_follower,
                            kRegistrationTolerance,
                            RegistrationCopies()) {
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
  m_state.m_use_of_copies = [this](TimePoint now) {
    return CheckUseOfCopies(now);
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
  metrics.SetGauge("nutmeg_gateway_newest_revision", "", [this] {
    return static_cast<double>(m_state.m_freshness.NewestElsewhere().value());
  });
  metrics.SetGauge("nutmeg_gateway_proof_age_seconds", "", [this] {
    const auto age = m_state.ProofAge(BootTime());
    return age ? std::chrono::duration<double>(*age).count() : -1.0;
  });
  metrics.SetGauge("nutmeg_gateway_registrations_age_seconds", "", [this] {
    const auto age = m_state.AgesOfCopies(BootTime()).m_registrations;
    return age ? std::chrono::duration<double>(*age).count() : -1.0;
  });
  metrics.SetGauge("nutmeg_gateway_configuration_outdated_seconds", "", [this] {
    return SecondsKnown(m_state.m_freshness.OldestMissing(BootTime()));
  });
  metrics.SetGauge("nutmeg_gateway_registrations_outdated_seconds", "", [this] {
    return SecondsKnown(UpdateRegistrationsLag().OldestMissing(BootTime()));
  });
  metrics.SetGauge("nutmeg_gateway_store_era", "", [this] {
    return static_cast<double>(
        net::EraOf(net::FeedVersion(m_store_floor.Newest())).value());
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
  metrics.SetGauge("nutmeg_gateway_malformed_requests", "", [this] {
    return static_cast<double>(m_caller_server.MalformedRequests());
  });
  SetUpBodyMemory(m_state.m_body_memory, &metrics, "nutmeg_gateway",
                  m_settings);
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
