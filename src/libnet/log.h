/// @file
/// Log of the daemon: one JSON object per line on standard output.
///
/// Logging never blocks the daemon. Each event has its own rate limit. Lines
/// above it, and lines that standard output does not accept immediately, are
/// dropped; the next line written for the event contains their number.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Severity of a log line, in ascending order.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// @return the level with the given name, or nothing when there is none.
std::optional<LogLevel> ParseLogLevel(std::string_view word);

/// Field of a log line.
struct LogField {
  std::string_view m_name;
  std::variant<std::int64_t, double, bool, std::string> m_value;
};

/// Sets the minimum level of the lines that are written.
void SetLogLevel(LogLevel level);

/// Writes a line with the time, the level, the event and the fields in order.
/// @param event fixed name of the event in snake_case. Each name has its own
/// rate limit.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields);

/// Formats a line as Log writes it.
/// @param wall_ms milliseconds since the Unix epoch.
/// @return the line without its line break.
std::string FormatLogLine(std::int64_t wall_ms,
                          LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields);

namespace detail {

/// Rate limit of the lines of one event. The default rate is about the requests
/// per second that an instance of the users' fleets serves, and the burst is
/// several seconds of it, so that when all requests fail in an ordinary way,
/// every failure is logged for some seconds.
struct LogRate {
  double m_per_second = 50;  ///< Lines per second in the long term.
  double m_burst = 200;      ///< Lines that may be written at once.
};

/// Limits the rate of log lines with a token bucket per event.
class LogLimiter {
 public:
  explicit LogLimiter(LogRate rate = {}) : m_rate(rate) {}

  /// @return true when a line of the event may be written now.
  bool Admit(std::string_view event, TimePoint now);
  /// Counts an admitted line that could not be written as dropped.
  void RecordDropped(std::string_view event);
  /// @return number of the event's lines dropped since the last call.
  std::int64_t TakeDropped(std::string_view event);

 private:
  struct Bucket {
    double m_tokens = 0;
    TimePoint m_refilled_at{};
    std::int64_t m_dropped = 0;
  };
  /// @return the bucket of an event; a new one is full.
  Bucket& GetBucket(std::string_view event);

  LogRate m_rate;
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

}  // namespace detail
}  // namespace nutmeghollow::net
