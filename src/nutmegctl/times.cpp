#include <fmt/core.h>

#include <charconv>
#include <ctime>

#include "nutmegctl/command_line.h"

namespace nutmeghollow::ctl {
namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::optional<std::int64_t> SecondsOfUnit(char unit) {
  switch (unit) {
    case 's':
      return 1;
    case 'm':
      return 60;
    case 'h':
      return 3600;
    case 'd':
      return 86400;
    default:
      return std::nullopt;
  }
}

/// Parses "+", a number and a unit, relative to now.
std::optional<WallTime> ParseDelay(const std::string& text, WallTime now) {
  std::int64_t amount = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + 1, end, amount);
  if (error != std::errc() || stop + 1 != end) {
    return std::nullopt;
  }
  const std::optional<std::int64_t> unit_seconds = SecondsOfUnit(*stop);
  if (!unit_seconds) {
    return std::nullopt;
  }
  return WallTime(now.value() +
                  amount * *unit_seconds * kMillisecondsPerSecond);
}

}  // namespace

std::optional<WallTime> ParseTime(const std::string& text, WallTime now) {
  if (text.size() > 2 && text.front() == '+') {
    return ParseDelay(text, now);
  }
  std::tm fields{};
  const char* stop = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &fields);
  if (stop == nullptr || *stop != '\0') {
    return std::nullopt;
  }
  return WallTime(timegm(&fields) * kMillisecondsPerSecond);
}

std::string FormatTime(WallTime time) {
  const std::time_t seconds = time.value() / kMillisecondsPerSecond;
  std::tm fields{};
  gmtime_r(&seconds, &fields);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     fields.tm_year + 1900, fields.tm_mon + 1, fields.tm_mday,
                     fields.tm_hour, fields.tm_min, fields.tm_sec,
                     time.value() % kMillisecondsPerSecond);
}

}  // namespace nutmeghollow::ctl
