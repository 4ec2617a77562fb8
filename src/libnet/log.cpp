#include "libnet/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <type_traits>

#include "libnet/event_loop.h"

namespace nutmeghollow::net {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info",
                                                      "warning", "error"};

LogLevel& CurrentLevel() {
  static LogLevel level = LogLevel::kInfo;
  return level;
}

/// Quotes a text; bytes that are not UTF-8 are replaced.
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

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < CurrentLevel()) {
    return;
  }
  fmt::print(stderr, "{}\n",
             FormatLogLine(CivilTime().value(), level, event, fields));
}

}  // namespace nutmeghollow::net
