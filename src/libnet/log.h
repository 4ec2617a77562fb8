/// @file
/// Log of the daemon: one JSON object a line on standard output.
///
/// The log never holds the daemon up. Each event has its own rate; lines above
/// it, and lines that a reader does not take, are dropped and counted in the
/// next line of the event that is written.
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

namespace detail {

/// Lines of one event that may be written in a second, and at once: about as
/// many as the requests that an instance of the users' fleets serves, so that
/// an ordinary failure of all of them is told whole for some seconds.
struct LogRate {
  double m_per_second = 50;
  double m_burst = 200;
};

/// Admits lines by the rate of their event.
class LogLimiter {
 public:
  explicit LogLimiter(LogRate rate = {}) : m_rate(rate) {}

  /// @return true when a line of the event may be written now.
  bool Admit(std::string_view event, TimePoint now);
  /// Notes that an admitted line was not written after all.
  void NoteLost(std::string_view event);
  /// @return lines of the event dropped since the last call.
  std::int64_t TakeDropped(std::string_view event);

 private:
  struct Bucket {
    double m_tokens = 0;
    TimePoint m_filled_at{};
    std::int64_t m_dropped = 0;
  };
  Bucket& BucketOf(std::string_view event);

  LogRate m_rate;
  std::map<std::string, Bucket, std::less<>> m_buckets;
};

}  // namespace detail
}  // namespace nutmeghollow::net
