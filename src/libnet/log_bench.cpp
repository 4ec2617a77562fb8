// Cost of a log line that is written, dropped by its event's rate limit, or
// below the minimum level.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "libnet/log.h"

namespace nutmeghollow::net {
namespace {

/// Redirects standard output to /dev/null during its lifetime.
class ScopedNullOutput {
 public:
  ScopedNullOutput() : m_saved(dup(STDOUT_FILENO)) {
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, STDOUT_FILENO);
    close(null);
  }
  ~ScopedNullOutput() {
    dup2(m_saved, STDOUT_FILENO);
    close(m_saved);
  }

 private:
  int m_saved;
};

/// Logs the end of a request, which is the longest of the frequent lines.
void LogRequestEnd(std::string_view event, LogLevel level) {
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
  // Each event has its own rate limit; with this many events none reaches it.
  constexpr int kEvents = 4096;
  std::vector<std::string> events;
  events.reserve(kEvents);
  for (int index = 0; index < kEvents; ++index) {
    events.push_back(fmt::format("event_{}", index));
  }
  const ScopedNullOutput null_output;
  std::size_t next = 0;
  for (auto _ : state) {
    LogRequestEnd(events[next++ % events.size()], LogLevel::kInfo);
  }
}
BENCHMARK(WriteLine)->Iterations(100000);

void DropLine(benchmark::State& state) {
  const ScopedNullOutput null_output;
  for (auto _ : state) {
    LogRequestEnd("frequent_event", LogLevel::kInfo);
  }
}
BENCHMARK(DropLine);

void LineBelowLevel(benchmark::State& state) {
  for (auto _ : state) {
    LogRequestEnd("request_ended", LogLevel::kDebug);
  }
}
BENCHMARK(LineBelowLevel);

}  // namespace
}  // namespace nutmeghollow::net
