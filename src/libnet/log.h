/// @file
/// Log of the daemon: one JSON object a line on standard error.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmeghollow::net {

/// How much a log line matters.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// @return the level that a word names, if any.
std::optional<LogLevel> ParseLogLevel(std::string_view word);

/// One field of a log line.
struct LogField {
  std::string_view m_name;
  std::variant<std::int64_t, double, bool, std::string> m_value;
};

/// Lines below this level are not written.
void SetLogLevel(LogLevel level);

/// Writes one line: time, level, event, and the fields in order.
/// @param event short fixed words in snake_case that name what happened.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields);

/// @return the line that Log writes, without its end.
std::string FormatLogLine(std::int64_t wall_ms,
                          LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

}  // namespace nutmeghollow::net
