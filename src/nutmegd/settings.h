/// @file
/// Settings of the daemon, read from a TOML file.
///
/// All findings in an invalid file are reported together, each with its line
/// and key. The settings reference for operators is docs/operators/settings.md.
#pragma once

#include <boost/leaf/result.hpp>
#include <map>
#include <string>
#include <vector>

#include "libnet/fleet_key.h"
#include "libnet/log.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// One error in a settings file.
struct SettingsFinding {
  std::string m_file;
  int m_line = 0;  ///< From 1; 0 for a missing key or an unreadable file.
  std::string m_key;
  std::string m_message;
};

/// All errors in a settings file; the error type of LoadSettings.
struct SettingsFindings {
  std::vector<SettingsFinding> m_findings;
};

/// [instance]: identity and addresses of this instance.
struct InstanceSettings {
  /// id: unique name of the instance. Required.
  InstanceId m_id;
  /// data_centre: data centre in which the instance runs. Required.
  DataCentreId m_data_centre;
  /// region: region of the data centre. Required.
  RegionId m_region;
  /// caller_address: "IP:PORT" for callers. Required.
  Endpoint m_caller_address;
  /// operator_address: "IP:PORT" for operators. Required.
  Endpoint m_operator_address;
  /// peer_address: "IP:PORT", UDP and TCP, for other instances. Required.
  Endpoint m_peer_address;
  /// advertised_caller_address: address announced to callers. Defaults to
  /// caller_address.
  Endpoint m_advertised_caller_address;
  /// advertised_peer_address: address announced to other instances. Defaults to
  /// peer_address.
  Endpoint m_advertised_peer_address;
  /// link_mbps: bandwidth of the instance's link in Mbit/s. In a fleet with
  /// relays the instances with the fastest links relay loads. Defaults to 0,
  /// not known.
  double m_link_mbps = 0;
  /// memory_mb: memory that the instance may use, in MB of 1,000,000 bytes.
  /// Defaults to 0: that of the machine.
  std::int64_t m_memory_mb = 0;
};

/// [fleet]: communication between instances.
struct FleetSettings {
  /// key_file: file with the fleet keys in hex, one per line. The first key
  /// signs messages; all keys are accepted. Required, except for a gateway.
  std::string m_key_file;
  /// The keys read from the file.
  net::FleetKeys m_keys;
  /// isolation_limit_ms: an instance that has reached neither the platform
  /// nor a peer for this long refuses new requests.
  Duration m_isolation_limit = std::chrono::seconds(30);
  /// control_bytes_per_second: maximum rate of control traffic of this
  /// instance, sent and received together. A fleet of up to seven instances
  /// uses at most 1900.
  Bytes m_control_bytes_per_second{7800};
};

/// [platform]: access to the platform's services.
struct PlatformSettings {
  /// address: "IP:PORT" of the table service and the instance list. Required.
  Endpoint m_address;
  /// poll_ms: interval between polls of the configuration's head revision.
  Duration m_poll = std::chrono::milliseconds(1000);
  /// list_poll_ms: interval between reads of the instance list.
  Duration m_list_poll = std::chrono::seconds(5);
  /// timeout_ms: timeout of a call to the platform.
  Duration m_timeout = std::chrono::seconds(2);
};

/// [placement]: distribution of requests over model engines.
struct PlacementSettings {
  /// policy: "bounded", or one of the baselines "random", "least_loaded",
  /// "two_choices" and "local_only".
  std::string m_policy = "bounded";
};

/// [drain]: graceful shutdown of the instance.
struct DrainSettings {
  /// keep_ms: time for which callers may cache the result of an entry lookup.
  /// A draining instance continues to serve callers for at least this time.
  Duration m_keep = std::chrono::seconds(10);
  /// limit_ms: maximum duration of the drain; then the process exits.
  Duration m_limit = std::chrono::seconds(600);
};

/// [callers]: limits on callers' requests and connections.
struct CallerSettings {
  /// body_limit_bytes: larger request bodies are refused with 413.
  Bytes m_body_limit{8 << 20};
  /// header_limit_bytes: larger request headers are refused with 431.
  Bytes m_header_limit{32 << 10};
  /// stream_buffer_bytes: unsent bytes buffered for a slow caller before
  /// reading from the upstream pauses.
  Bytes m_stream_buffer{256 << 10};
  /// request_timeout_ms: maximum duration of a request, from its arrival.
  Duration m_request_timeout = std::chrono::seconds(600);
  /// connection_limit: maximum number of open connections of callers.
  int m_connection_limit = 20000;
  /// body_memory_share: share of the instance's memory for request bodies of
  /// callers. The default is 56 MB on the smallest machine (160 MB): over 500
  /// bodies of 72,000 bytes, the largest of usual callers.
  double m_body_memory_share = 0.35;
};

/// [upstreams]: timeouts of calls to upstreams.
struct UpstreamSettings {
  /// connect_timeout_ms: maximum time to establish a connection.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// first_byte_timeout_ms: maximum wait for the first byte of a response.
  Duration m_first_byte_timeout = std::chrono::seconds(60);
  /// idle_timeout_ms: maximum time without data within a response.
  Duration m_idle_timeout = std::chrono::seconds(10);
};

/// [regions]: DATA_CENTRE = "REGION", of all data centres in which upstreams
/// run. Requests of routes and customers with home regions reach upstreams in
/// these data centres only.
using RegionSettings = std::map<DataCentreId, RegionId>;

/// [gateway]: serves HTTP routes that operators configure, with upstreams that
/// register themselves. Without this section the instance serves chats.
struct GatewaySettings {
  bool m_enabled = false;  ///< The section is present.
  /// entry_address: "IP:PORT" for callers' entry lookups. Required.
  Endpoint m_entry_address;
  /// keep_seconds: time for which callers may cache the result of an entry
  /// lookup.
  std::int64_t m_keep_seconds = 1;
  /// revocation_limit_ms: maximum time after the revocation of an API key until
  /// every instance rejects it.
  Duration m_revocation_limit = std::chrono::seconds(5);
  /// configuration_limit_ms: maximum time after a change of the configuration
  /// until every instance follows it.
  Duration m_configuration_limit = std::chrono::seconds(3);
  /// registration_limit_ms: maximum time after an upstream's registration says
  /// that it leaves until no instance uses it.
  Duration m_registration_limit = std::chrono::seconds(3);
  /// stop_grace_seconds: time from the start of the drain until the process is
  /// killed.
  Duration m_stop_grace = std::chrono::seconds(8);
  /// retry_ratio: retries allowed per request, fleet-wide.
  double m_retry_ratio = 0.2;
  /// retry_slack: additional retries per window, fleet-wide.
  double m_retry_slack = 50;
  /// retry_window_seconds: length of the sliding window for both.
  Duration m_retry_window = std::chrono::seconds(10);
};

/// Content of a settings file.
struct Settings {
  GatewaySettings m_gateway;
  RegionSettings m_regions;
  InstanceSettings m_instance;
  FleetSettings m_fleet;
  PlatformSettings m_platform;
  PlacementSettings m_placement;
  DrainSettings m_drain;
  CallerSettings m_callers;
  UpstreamSettings m_upstreams;
  /// [operators]: NAME = "SHA-256 of the token, in hex".
  std::map<OperatorId, std::string> m_operators;
  /// [log] level: "debug", "info", "warning" or "error".
  net::LogLevel m_log_level = net::LogLevel::kInfo;
};

/// Reads and validates a settings file and the key file that it names.
/// @return the settings, or the error SettingsFindings.
boost::leaf::result<Settings> LoadSettings(const std::string& file);

/// Parses and validates settings. @param file file name for the findings.
/// @return the settings, or the error SettingsFindings.
boost::leaf::result<Settings> ParseSettings(const std::string& text,
                                            const std::string& file);

/// @return "FILE:LINE: KEY: MESSAGE".
std::string FormatFinding(const SettingsFinding& finding);

}  // namespace nutmeghollow
