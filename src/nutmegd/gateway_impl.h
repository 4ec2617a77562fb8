/// @file
/// The parts of a gateway and how they are connected. Included by the source
/// files of the gateway only.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "nutmegd/copy_requests.h"
#include "nutmegd/fleet_link.h"
#include "nutmegd/gateway.h"
#include "nutmegd/gateway_state.h"
#include "nutmegd/instance_rows.h"
#include "nutmegd/peer_feed.h"
#include "nutmegd/peer_http_server.h"
#include "nutmegd/reachability_monitor.h"
#include "nutmegd/registrations.h"
#include "nutmegd/route_relay.h"
#include "nutmegd/store_reads.h"
#include "nutmegd/table_follower.h"
#include "nutmeghollow/copy_lag.h"
#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/position_floor.h"

namespace nutmeghollow {

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

  /// @return the requests that may be decided from the copies of the tables;
  /// logs a change.
  CopyUse CheckUseOfCopies(TimePoint now);
  /// Retries the lost tables at once, since the platform responds again.
  void RetryLostTables();
  /// Handles a revision that another live instance has in force.
  /// @param confirmed_at when it was confirmed there to be current.
  void HandleRevisionElsewhere(Revision revision,
                               std::optional<TimePoint> confirmed_at);
  /// Handles the version of another live instance's copy of the registrations.
  /// @param confirmed_at when that was confirmed there to be current.
  void HandleRegistrationsElsewhere(RowVersion version,
                                    std::optional<TimePoint> confirmed_at);
  /// Notes the registrations that are here now.
  /// @return how far they are behind those elsewhere.
  CopyLag& UpdateRegistrationsLag();
  /// @return the hooks of the requests for newer configurations.
  CopyRequestHooks ConfigurationCopies();
  /// @return the hooks of the requests for newer registrations.
  CopyRequestHooks RegistrationCopies();
  /// @return peer addresses of live instances with newer rows of a table.
  std::vector<Endpoint> SourcesOfNewerRows(const std::string& table) const;
  /// @return the hooks of the feed through other instances.
  PeerFeedHooks FeedHooks();
  /// @return true when a live instance says that the store fails for it.
  bool StoreFailsElsewhere() const;
  /// Sets how often the tables are read while responses are outdated.
  void SetOutdatedDelays(int instances);
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
  PositionFloor m_store_floor;
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
  CopyRequests m_configuration_copies;
  CopyRequests m_registration_copies;
  CopyLag m_registrations_lag;
  CopyUse m_last_copy_use = CopyUse::kAll;
};

}  // namespace nutmeghollow
