#include "nutmegd/settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <utility>

#include "libnet/socket_address.h"

namespace nutmeghollow {
namespace {

constexpr std::size_t kDigestHexLength = 64;

bool IsHex(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

/// Reads one section of the file and appends its findings.
class SectionReader {
 public:
  SectionReader(const toml::table& root,
                std::string section,
                std::string file,
                std::vector<SettingsFinding>* findings)
      : m_section(std::move(section)),
        m_file(std::move(file)),
        m_findings(findings) {
    const toml::node* node = root.get(m_section);
    if (node == nullptr) {
      return;
    }
    m_table = node->as_table();
    if (m_table == nullptr) {
      AddFinding(node, "", "must be a table");
    }
  }

  /// Reports the keys of the section that were not read.
  ~SectionReader() {
    if (m_table == nullptr) {
      return;
    }
    for (const auto& [key, node] : *m_table) {
      if (m_known.count(std::string(key.str())) == 0) {
        AddFinding(&node, std::string(key.str()), "unknown key");
      }
    }
  }
  SectionReader(const SectionReader&) = delete;
  SectionReader& operator=(const SectionReader&) = delete;

  template <typename Tag>
  void Read(const char* key, Name<Tag>* target, bool required = false) {
    std::string text = target->str();
    Read(key, &text, required);
    *target = Name<Tag>(text);
  }

  void Read(const char* key, std::string* target, bool required = false) {
    const toml::node* node = FindKey(key, required);
    if (node == nullptr) {
      return;
    }
    const std::optional<std::string> value = node->value_exact<std::string>();
    if (!value || value->empty()) {
      AddFinding(node, key, "must be a text that is not empty");
      return;
    }
    *target = *value;
  }

  void ReadEndpoint(const char* key, Endpoint* target, bool required = false) {
    Read(key, target, required);
    if (!target->empty() && !net::ParseEndpoint(*target)) {
      AddFinding(m_table->get(key), key, "must be \"IP:PORT\"");
    }
  }

  /// Reads an integer.
  /// @return nothing when the key is absent, or when its value is not an
  /// integer from `min` to `max`, which adds a finding.
  std::optional<std::int64_t> ReadNumber(const char* key,
                                         std::int64_t min,
                                         std::int64_t max) {
    const toml::node* node = FindKey(key, false);
    if (node == nullptr) {
      return std::nullopt;
    }
    const std::optional<std::int64_t> value = node->value_exact<std::int64_t>();
    if (!value || *value < min || *value > max) {
      AddFinding(node, key,
                 fmt::format("must be a whole number from {} to {}", min, max));
      return std::nullopt;
    }
    return value;
  }

  /// Reads an integer or floating-point number; otherwise like ReadNumber.
  std::optional<double> ReadReal(const char* key, double min, double max) {
    const toml::node* node = FindKey(key, false);
    if (node == nullptr) {
      return std::nullopt;
    }
    const std::optional<double> value = node->value<double>();
    if (!value || *value < min || *value > max) {
      AddFinding(node, key,
                 fmt::format("must be a number from {} to {}", min, max));
      return std::nullopt;
    }
    return value;
  }

  void ReadSeconds(const char* key, Duration* target) {
    constexpr double kMaxSeconds = 86'400;
    if (const auto value = ReadReal(key, 0, kMaxSeconds)) {
      *target = Duration(static_cast<std::int64_t>(*value * 1e6));
    }
  }

  void ReadMilliseconds(const char* key,
                        Duration* target,
                        std::int64_t min = 1) {
    constexpr std::int64_t kMaxMilliseconds = 86'400'000;
    if (const auto value = ReadNumber(key, min, kMaxMilliseconds)) {
      *target = std::chrono::milliseconds(*value);
    }
  }

  void ReadBytes(const char* key, Bytes* target, std::int64_t min) {
    constexpr std::int64_t kMaxBytes = 1 << 30;
    if (const auto value = ReadNumber(key, min, kMaxBytes)) {
      *target = Bytes(*value);
    }
  }

  /// Calls a function for each key and marks the key as known. The value is
  /// empty when it is not a string.
  void ForEachString(
      const std::function<void(const std::string& key,
                               const std::string& value,
                               const toml::node& node)>& callback) {
    if (m_table == nullptr) {
      return;
    }
    for (const auto& [key, node] : *m_table) {
      const std::string name(key.str());
      m_known.insert(name);
      callback(name, node.value_exact<std::string>().value_or(""), node);
    }
  }

  void AddFinding(const toml::node* node,
                  const std::string& key,
                  const std::string& message) {
    SettingsFinding finding;
    finding.m_file = m_file;
    finding.m_line =
        node == nullptr ? 0 : static_cast<int>(node->source().begin.line);
    finding.m_key = key.empty() ? m_section : m_section + "." + key;
    finding.m_message = message;
    m_findings->push_back(std::move(finding));
  }

  const toml::node* Node(const char* key) const {
    return m_table == nullptr ? nullptr : m_table->get(key);
  }

 private:
  const toml::node* FindKey(const char* key, bool required) {
    m_known.insert(key);
    const toml::node* node = Node(key);
    if (node == nullptr && required) {
      AddFinding(nullptr, key, "is required");
    }
    return node;
  }

  std::string m_section;
  std::string m_file;
  std::vector<SettingsFinding>* m_findings;
  const toml::table* m_table = nullptr;
  std::set<std::string> m_known;
};

/// Reads all sections of a parsed file.
class SettingsReader {
 public:
  SettingsReader(const toml::table& root, std::string file)
      : m_root(root), m_file(std::move(file)) {}

  Settings Read() {
    ReadGateway();
    ReadInstance();
    ReadRegions();
    ReadFleet();
    ReadPlatform();
    ReadPlacement();
    ReadDrain();
    ReadCallers();
    ReadUpstreams();
    ReadOperators();
    ReadLog();
    FindUnknownSections();
    return std::move(m_settings);
  }

  std::vector<SettingsFinding> TakeFindings() { return std::move(m_findings); }

 private:
  SectionReader Open(const char* section) {
    m_known_sections.insert(section);
    return SectionReader(m_root, section, m_file, &m_findings);
  }

  void ReadInstance() {
    InstanceSettings& target = m_settings.m_instance;
    SectionReader reader = Open("instance");
    reader.Read("id", &target.m_id, true);
    reader.Read("data_centre", &target.m_data_centre, true);
    reader.Read("region", &target.m_region, true);
    reader.ReadEndpoint("caller_address", &target.m_caller_address, true);
    reader.ReadEndpoint("operator_address", &target.m_operator_address, true);
    reader.ReadEndpoint("peer_address", &target.m_peer_address, true);
    reader.ReadEndpoint("advertised_caller_address",
                        &target.m_advertised_caller_address);
    reader.ReadEndpoint("advertised_peer_address",
                        &target.m_advertised_peer_address);
    target.m_link_mbps = reader.ReadReal("link_mbps", 0, 1e9).value_or(0);
    target.m_memory_mb = static_cast<std::int64_t>(
        reader.ReadReal("memory_mb", 0, 1e7).value_or(0));
    if (target.m_advertised_caller_address.empty()) {
      target.m_advertised_caller_address = target.m_caller_address;
    }
    if (target.m_advertised_peer_address.empty()) {
      target.m_advertised_peer_address = target.m_peer_address;
    }
  }

  void ReadRegions() {
    SectionReader reader = Open("regions");
    reader.ForEachString([&](const std::string& data_centre,
                             const std::string& region,
                             const toml::node& node) {
      if (region.empty()) {
        reader.AddFinding(&node, data_centre,
                          "must be a text that is not empty");
        return;
      }
      m_settings.m_regions[DataCentreId(data_centre)] = RegionId(region);
    });
    const InstanceSettings& self = m_settings.m_instance;
    m_settings.m_regions.emplace(self.m_data_centre, self.m_region);
  }

  void ReadGateway() {
    GatewaySettings& target = m_settings.m_gateway;
    target.m_enabled = m_root.contains("gateway");
    if (!target.m_enabled) {
      return;
    }
    SectionReader reader = Open("gateway");
    reader.ReadEndpoint("entry_address", &target.m_entry_address, true);
    reader.ReadMilliseconds("revocation_limit_ms", &target.m_revocation_limit);
    reader.ReadMilliseconds("configuration_limit_ms",
                            &target.m_configuration_limit);
    reader.ReadMilliseconds("registration_limit_ms",
                            &target.m_registration_limit);
    reader.ReadSeconds("stop_grace_seconds", &target.m_stop_grace);
    reader.ReadSeconds("retry_window_seconds", &target.m_retry_window);
    const auto read_number = [&](const char* key, double* number) {
      *number = reader.ReadReal(key, 0, 1e6).value_or(*number);
    };
    read_number("retry_ratio", &target.m_retry_ratio);
    read_number("retry_slack", &target.m_retry_slack);
    if (const auto keep = reader.ReadNumber("keep_seconds", 1, 3600)) {
      target.m_keep_seconds = *keep;
    }
  }

  void ReadFleet() {
    FleetSettings& target = m_settings.m_fleet;
    SectionReader reader = Open("fleet");
    reader.Read("key_file", &target.m_key_file,
                !m_settings.m_gateway.m_enabled);
    ReadKey(&reader);
    reader.ReadMilliseconds("isolation_limit_ms", &target.m_isolation_limit);
    reader.ReadBytes("control_bytes_per_second",
                     &target.m_control_bytes_per_second, 500);
  }

  void ReadKey(SectionReader* reader) {
    FleetSettings& target = m_settings.m_fleet;
    if (target.m_key_file.empty()) {
      return;
    }
    const auto report = [&](const std::string& message) {
      reader->AddFinding(reader->Node("key_file"), "key_file", message);
    };
    std::ifstream file(target.m_key_file);
    if (!file) {
      report("the file cannot be read");
      return;
    }
    std::stringstream text;
    text << file.rdbuf();
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_ASSIGN(target.m_keys, net::ParseFleetKeys(text.str()));
          return {};
        },
        [&](const net::BadFleetKey& error) {
          report(fmt::format("line {} of the file: {}", error.m_line,
                             error.m_reason));
        },
        [&] { report("the file cannot be used"); });
  }

  void ReadPlatform() {
    PlatformSettings& target = m_settings.m_platform;
    SectionReader reader = Open("platform");
    reader.ReadEndpoint("address", &target.m_address, true);
    reader.ReadMilliseconds("poll_ms", &target.m_poll, 50);
    reader.ReadMilliseconds("list_poll_ms", &target.m_list_poll, 50);
    reader.ReadMilliseconds("timeout_ms", &target.m_timeout);
  }

  void ReadPlacement() {
    static const std::set<std::string> policies{
        "bounded", "random", "least_loaded", "two_choices", "local_only"};
    SectionReader reader = Open("placement");
    reader.Read("policy", &m_settings.m_placement.m_policy);
    if (policies.count(m_settings.m_placement.m_policy) == 0) {
      reader.AddFinding(
          reader.Node("policy"), "policy",
          fmt::format("must be one of {}", fmt::join(policies, ", ")));
    }
  }

  void ReadDrain() {
    DrainSettings& target = m_settings.m_drain;
    SectionReader reader = Open("drain");
    reader.ReadMilliseconds("keep_ms", &target.m_keep);
    reader.ReadMilliseconds("limit_ms", &target.m_limit);
  }

  void ReadCallers() {
    CallerSettings& target = m_settings.m_callers;
    SectionReader reader = Open("callers");
    reader.ReadBytes("body_limit_bytes", &target.m_body_limit, 1024);
    reader.ReadBytes("header_limit_bytes", &target.m_header_limit, 1024);
    reader.ReadBytes("stream_buffer_bytes", &target.m_stream_buffer, 1024);
    reader.ReadMilliseconds("request_timeout_ms", &target.m_request_timeout);
    target.m_body_memory_share = reader.ReadReal("body_memory_share", 0.01, 0.9)
                                     .value_or(target.m_body_memory_share);
    if (const auto limit = reader.ReadNumber("connection_limit", 1, 1 << 20)) {
      target.m_connection_limit = static_cast<int>(*limit);
    }
  }

  void ReadUpstreams() {
    UpstreamSettings& target = m_settings.m_upstreams;
    SectionReader reader = Open("upstreams");
    reader.ReadMilliseconds("connect_timeout_ms", &target.m_connect_timeout);
    reader.ReadMilliseconds("first_byte_timeout_ms",
                            &target.m_first_byte_timeout);
    reader.ReadMilliseconds("idle_timeout_ms", &target.m_idle_timeout);
  }

  void ReadOperators() {
    SectionReader reader = Open("operators");
    reader.ForEachString([&](const std::string& name, const std::string& digest,
                             const toml::node& node) {
      if (digest.size() != kDigestHexLength || !IsHex(digest)) {
        reader.AddFinding(&node, name, "must be a SHA-256 in hex");
        return;
      }
      m_settings.m_operators[OperatorId(name)] = digest;
    });
  }

  void ReadLog() {
    SectionReader reader = Open("log");
    std::string level_name = "info";
    reader.Read("level", &level_name);
    if (const auto level = net::ParseLogLevel(level_name)) {
      m_settings.m_log_level = *level;
    } else {
      reader.AddFinding(reader.Node("level"), "level",
                        "must be debug, info, warning or error");
    }
  }

  void FindUnknownSections() {
    for (const auto& [key, node] : m_root) {
      const std::string name(key.str());
      if (m_known_sections.count(name) == 0) {
        m_findings.push_back({m_file,
                              static_cast<int>(node.source().begin.line), name,
                              "unknown section"});
      }
    }
  }

  const toml::table& m_root;
  std::string m_file;
  Settings m_settings;
  std::set<std::string> m_known_sections;
  std::vector<SettingsFinding> m_findings;
};

}  // namespace

boost::leaf::result<Settings> ParseSettings(const std::string& text,
                                            const std::string& file) {
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    const auto line = static_cast<int>(error.source().begin.line);
    return boost::leaf::new_error(
        SettingsFindings{{{file, line, "", std::string(error.description())}}});
  }
  SettingsReader reader(root, file);
  Settings settings = reader.Read();
  std::vector<SettingsFinding> findings = reader.TakeFindings();
  if (findings.empty()) {
    return settings;
  }
  std::stable_sort(findings.begin(), findings.end(),
                   [](const SettingsFinding& a, const SettingsFinding& b) {
                     return a.m_line < b.m_line;
                   });
  return boost::leaf::new_error(SettingsFindings{std::move(findings)});
}

boost::leaf::result<Settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return boost::leaf::new_error(
        SettingsFindings{{{file, 0, "", "the file cannot be read"}}});
  }
  std::stringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file);
}

std::string FormatFinding(const SettingsFinding& finding) {
  if (finding.m_key.empty()) {
    return fmt::format("{}:{}: {}", finding.m_file, finding.m_line,
                       finding.m_message);
  }
  return fmt::format("{}:{}: {}: {}", finding.m_file, finding.m_line,
                     finding.m_key, finding.m_message);
}

}  // namespace nutmeghollow
