// Cost of a log line: written, dropped by its event's rate, and below the
// level.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "libnet/log.h"

namespace nutmeghollow::net {
namespace {

/// Sends standard output to /dev/null while it lives.
class SilencedOutput {
 public:
  SilencedOutput() : m_saved(dup(STDOUT_FILENO)) {
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDOUT_FILENO);
    close(null);
  }
  ~SilencedOutput() {
    dup2(m_saved, STDOUT_FILENO);
    close(m_saved);
  }

 private:
  int m_saved;
};

/// Logs the end of a request, the longest of the frequent lines.
void LogEnd(std::string_view event, LogLevel level) {
  Log(level, event,
      {{"request", std::string("a8bd74660e274488")},
       {"route", std::string("r-83tteh8")},
       {"outcome", std::string("refused")},
       {"status", std::int64_t{503}},
       {"reason", std::string("no upstream")},
       {"attempts", std::int64_t{2}},
       {"upstream", std::string("i-b2486c4cc1")},
       {"first_ms", std::int64_t{-1}},
       {"took_ms", std::int64_t{391}},
       {"revision", std::int64_t{46}},
       {"proof_age_ms", std::int64_t{210}}});
}

void WriteLine(benchmark::State& state) {
  // Each event has its own rate; many of them are never above it.
  constexpr int kEvents = 4096;
  std::vector<std::string> events;
  events.reserve(kEvents);
  for (int index = 0; index < kEvents; ++index) {
    events.push_back(fmt::format("event_{}", index));
  }
  const SilencedOutput silenced;
  std::size_t next = 0;
  for (auto _ : state) {
    LogEnd(events[next++ % events.size()], LogLevel::kInfo);
  }
}
BENCHMARK(WriteLine)->Iterations(100000);

void DropLine(benchmark::State& state) {
  const SilencedOutput silenced;
  for (auto _ : state) {
    LogEnd("frequent_event", LogLevel::kInfo);
  }
}
BENCHMARK(DropLine);

void LineBelowLevel(benchmark::State& state) {
  for (auto _ : state) {
    LogEnd("request_ended", LogLevel::kDebug);
  }
}
BENCHMARK(LineBelowLevel);

}  // namespace
}  // namespace nutmeghollow::net
