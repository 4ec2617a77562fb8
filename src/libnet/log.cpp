#include "libnet/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <climits>
#include <iterator>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "libnet/event_loop.h"

namespace nutmeghollow::net {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info",
                                                      "warning", "error"};

LogLevel& CurrentLevel() {
  static LogLevel level = LogLevel::kInfo;
  return level;
}

/// @return the text as a JSON string; invalid UTF-8 is replaced by U+FFFD.
std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

void AppendField(fmt::memory_buffer* line, const LogField& field) {
  auto out = std::back_inserter(*line);
  fmt::format_to(out, ",{}:", Quote(field.m_name));
  std::visit(
      [&](const auto& value) {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, std::string>) {
          fmt::format_to(out, "{}", Quote(value));
        } else {
          fmt::format_to(out, "{}", value);
        }
      },
      field.m_value);
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view word) {
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames[index] == word) {
      return static_cast<LogLevel>(index);
    }
  }
  return std::nullopt;
}

void SetLogLevel(LogLevel level) {
  CurrentLevel() = level;
}

std::string FormatLogLine(std::int64_t wall_ms,
                          LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields) {
  fmt::memory_buffer line;
  const std::time_t seconds = wall_ms / 1000;
  fmt::format_to(std::back_inserter(line),
                 R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}",)"
                 R"("event":{})",
                 fmt::gmtime(seconds), wall_ms % 1000,
                 kLevelNames[static_cast<int>(level)], Quote(event));
  for (const LogField& field : fields) {
    AppendField(&line, field);
  }
  line.push_back('}');
  return fmt::to_string(line);
}

namespace detail {

LogLimiter::Bucket& LogLimiter::GetBucket(std::string_view event) {
  const auto found = m_buckets.find(event);
  if (found != m_buckets.end()) {
    return found->second;
  }
  Bucket bucket;
  bucket.m_tokens = m_rate.m_burst;
  return m_buckets.emplace(event, bucket).first->second;
}

bool LogLimiter::Admit(std::string_view event, TimePoint now) {
  Bucket& bucket = GetBucket(event);
  const double elapsed =
      std::chrono::duration<double>(now - bucket.m_refilled_at).count();
  bucket.m_tokens =
      std::min(m_rate.m_burst, bucket.m_tokens + elapsed * m_rate.m_per_second);
  bucket.m_refilled_at = now;
  if (bucket.m_tokens < 1) {
    ++bucket.m_dropped;
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

void LogLimiter::RecordDropped(std::string_view event) {
  ++GetBucket(event).m_dropped;
}

std::int64_t LogLimiter::TakeDropped(std::string_view event) {
  return std::exchange(GetBucket(event).m_dropped, 0);
}

}  // namespace detail

namespace {

/// Writes a line unless the write would block.
/// @return false when the line was not written completely.
bool WriteLine(const std::string& line) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking. No
  // event of this daemon has longer lines.
  if (poll(&output, 1, 0) != 1 || line.size() > PIPE_BUF) {
    return false;
  }
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  static detail::LogLimiter limiter;
  if (level < CurrentLevel() || !limiter.Admit(event, BootTime())) {
    return;
  }
  const std::int64_t dropped = limiter.TakeDropped(event);
  std::string line =
      FormatLogLine(WallClockTime().value(), level, event, fields);
  if (dropped > 0) {
    line.pop_back();
    line += fmt::format(R"(,"dropped_before":{}}})", dropped);
  }
  line += '\n';
  if (!WriteLine(line)) {
    limiter.RecordDropped(event);
  }
}

}  // namespace nutmeghollow::net
