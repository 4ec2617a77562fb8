/// @file
/// Entry point of the router daemon.

#include <ev.h>
#include <fmt/core.h>
#include <gflags/gflags.h>
#include <sys/resource.h>

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>

#include "libnet/log.h"
#include "nutmegd/daemon.h"
#include "nutmegd/gateway.h"
#include "nutmegd/settings.h"
#include "platform/protocol.h"
#include "platform/rows.h"

DEFINE_string(settings, "", "TOML file with the settings of this instance");
DEFINE_bool(check_settings,
            false,
            "check the settings file, print every finding, and exit");

namespace nutmeghollow {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailed = 1;

/// Loads the settings. Prints all findings to stderr when they are invalid.
/// @return the settings, or nothing when they are invalid.
std::optional<Settings> ReadSettings() {
  return boost::leaf::try_handle_all(
      []() -> boost::leaf::result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(settings, LoadSettings(FLAGS_settings));
        return std::optional<Settings>(std::move(settings));
      },
      [](const SettingsFindings& error) -> std::optional<Settings> {
        for (const SettingsFinding& finding : error.m_findings) {
          fmt::print(stderr, "{}\n", FormatFinding(finding));
        }
        fmt::print(stderr, "{} findings\n", error.m_findings.size());
        return std::nullopt;
      },
      []() -> std::optional<Settings> { return std::nullopt; });
}

/// Raises the soft limit on open file descriptors to the hard limit.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

int RunDaemon(const Settings& settings) {
  net::SetLogLevel(settings.m_log_level);
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit();
  try {
    if (settings.m_gateway.m_enabled) {
      Gateway gateway(ev_default_loop(0), settings, FLAGS_settings,
                      platform::MakeProtocol(), platform::MakeRowFeed);
      return gateway.Run();
    }
    Daemon daemon(ev_default_loop(0), settings);
    return daemon.Run();
  } catch (const std::exception& error) {
    net::Log(net::LogLevel::kError, "start_failed",
             {{"reason", std::string(error.what())}});
    return kExitFailed;
  }
}

}  // namespace
}  // namespace nutmeghollow

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "nutmegd --settings=FILE [--check_settings]\n"
      "Routes callers' requests to model engines and services.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    fmt::print(stderr, "usage: nutmegd --settings=FILE [--check_settings]\n");
    return nutmeghollow::kExitUsage;
  }
  const std::optional<nutmeghollow::Settings> settings =
      nutmeghollow::ReadSettings();
  if (!settings) {
    return nutmeghollow::kExitFailed;
  }
  if (FLAGS_check_settings) {
    fmt::print("{}: no findings\n", FLAGS_settings);
    return 0;
  }
  return nutmeghollow::RunDaemon(*settings);
}
