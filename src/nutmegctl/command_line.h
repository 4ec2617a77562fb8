/// @file
/// Parses the command line into a call of the operator interface.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow::ctl {

/// How the response to a call is formatted.
enum class View {
  kChange,
  kObject,
  kObjects,
  kRevision,
  kStatus,
  kInstances,
  kUpstreams,
  kAudit,
  kCommand,
  kExplain,
  kExplainRoute,
  kRequest,
  kDrain,
};

/// One call of the operator interface.
struct Call {
  std::string m_method = "GET";
  std::string m_path;  ///< Not percent-encoded.
  std::map<std::string, std::string> m_query;
  std::string m_body;
  View m_view = View::kObject;
  /// False for calls that are open to all, such as those to a gateway.
  bool m_needs_token = true;

  /// @return true when the call may modify the state of the fleet.
  bool IsModifying() const { return m_method != "GET"; }
};

/// Flags that affect the parsing of the arguments, a file reader and the
/// current time.
struct Options {
  std::string m_json;  ///< Whole object as JSON, or "@FILE".
  std::string m_at;    ///< Time of a planned change.
  std::string m_after;
  std::string m_limit;
  std::string m_customer;
  std::string m_service;
  std::string m_outcome;
  std::string m_prompt;
  std::string m_priority;
  /// Reads a file. @return its content, or nothing when it cannot be read.
  std::function<std::optional<std::string>(const std::string&)> m_read_file;
  WallTime m_now;
};

/// Describes an invalid command line.
struct UsageError {
  std::string m_message;
};

/// Parses the arguments that are not flags.
/// @return the call to make, or why the arguments are invalid.
std::variant<Call, UsageError> ParseArguments(
    const std::vector<std::string>& arguments,
    const Options& options);

/// Parses a time in UTC such as "2026-12-04T06:30:00Z", or a delay from now
/// such as "+90s", "+10m", "+2h" or "+1d".
/// @return milliseconds since 1970, or nothing when the text is invalid.
std::optional<WallTime> ParseTime(const std::string& text, WallTime now);

/// @return a time in UTC, such as "2026-12-04T06:30:00.000Z".
std::string FormatTime(WallTime time);

/// @return the general help text.
std::string HelpText();

}  // namespace nutmeghollow::ctl
