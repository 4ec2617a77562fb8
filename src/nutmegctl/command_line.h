/// @file
/// The words of the command line, and the call that they stand for.
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

/// How the answer to a call is shown.
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

  /// @return true when the call changes something.
  bool Changes() const { return m_method != "GET"; }
};

/// Flags that words depend on.
struct Options {
  std::string m_json;  ///< Whole object, or "@FILE".
  std::string m_at;    ///< Time of a planned change.
  std::string m_after;
  std::string m_limit;
  std::string m_customer;
  std::string m_service;
  std::string m_outcome;
  /// Reads a file. @return its content, or nothing.
  std::function<std::optional<std::string>(const std::string&)> m_read_file;
  WallTime m_now;
};

/// Why words make no command.
struct UsageError {
  std::string m_message;
};

/// @return the call that the words stand for.
std::variant<Call, UsageError> ParseWords(const std::vector<std::string>& words,
                                          const Options& options);

/// Reads "2026-12-04T06:30:00Z", or a delay such as "+90s", "+10m" or "+2h".
/// @return milliseconds since 1970, or nothing.
std::optional<WallTime> ParseTime(const std::string& text, WallTime now);

/// @return a time as "2026-12-04T06:30:00.000Z".
std::string FormatTime(WallTime time);

/// @return the general help text.
std::string HelpText();

}  // namespace nutmeghollow::ctl
