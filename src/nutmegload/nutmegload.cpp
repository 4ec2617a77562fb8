/// @file
/// Load generator: simulates many callers and prints the measurements as JSON.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"
#include "nutmegload/caller.h"
#include "nutmegload/entry_cache.h"
#include "nutmegload/measurements.h"
#include "nutmegload/workload.h"
#include "standins/program.h"

DEFINE_string(entries, "", "instances to send entry lookups to, IP:PORT,...");
DEFINE_string(address_map, "", "connect to B in place of A, A=B,...");
DEFINE_string(direct, "", "engines to call without the router, IP:PORT,...");
DEFINE_string(customers, "customer-a:1", "customers and weights, NAME:W,...");
DEFINE_string(models, "model-a", "models to request, NAME,...");
DEFINE_string(services, "", "services to call, NAME,...");
DEFINE_string(mix,
              "long:1,short:1,label:1",
              "relative shares of the kinds of calls");
DEFINE_double(rate, 20, "calls started per second; 0 for a closed loop");
DEFINE_int32(closed, 8, "concurrent callers of a closed loop");
DEFINE_double(seconds, 10, "time during which calls are started");
DEFINE_double(finish_seconds, 30, "maximum wait for the last calls");
DEFINE_uint64(seed, 1, "seed of the random load");
DEFINE_double(pause_seconds, 3, "mean pause between turns of a chat");
DEFINE_int32(turns, 12, "turns per chat");
DEFINE_double(size_factor, 1, "multiplies the size of generated messages");
DEFINE_string(surge_customer,
              "",
              "customer that sends half of the calls in a surge");
DEFINE_double(surge_from, 0, "start of the surge in seconds");
DEFINE_double(surge_to, 0, "end of the surge in seconds");
DEFINE_int32(crash_calls, 0, "calls that crash the engine that runs them");
DEFINE_int32(most_tries, 8, "maximum attempts per call");
DEFINE_int32(first_byte_timeout_ms,
             60000,
             "maximum wait for the head of a response");
DEFINE_int32(idle_timeout_ms,
             30000,
             "maximum time without data within a response");
DEFINE_string(trace_file,
              "",
              "file that receives a line per completed chat call");
DEFINE_string(output,
              "",
              "file for the measurements; standard output if empty");

namespace nutmeghollow::load {
namespace {

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    const auto end = std::min(text.find(separator, start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

WorkloadOptions WorkloadOptionsFromFlags() {
  WorkloadOptions options;
  options.m_seed = FLAGS_seed;
  options.m_models = Split(FLAGS_models, ',');
  options.m_services = Split(FLAGS_services, ',');
  options.m_mean_pause = Seconds(FLAGS_pause_seconds);
  options.m_turns = FLAGS_turns;
  options.m_size_factor = FLAGS_size_factor;
  options.m_surge_customer = FLAGS_surge_customer;
  for (const auto& entry : Split(FLAGS_customers, ',')) {
    const auto parts = Split(entry, ':');
    options.m_customers.push_back({parts[0], std::stod(parts.at(1))});
  }
  for (const auto& entry : Split(FLAGS_mix, ',')) {
    const auto parts = Split(entry, ':');
    for (int kind = 0; kind < static_cast<int>(CallKind::kCount); ++kind) {
      if (parts[0] == CallKindName(static_cast<CallKind>(kind))) {
        options.m_mix[static_cast<CallKind>(kind)] = std::stod(parts.at(1));
      }
    }
  }
  return options;
}

EntryOptions EntryOptionsFromFlags() {
  EntryOptions options;
  options.m_lookup_addresses = Split(FLAGS_entries, ',');
  for (const auto& entry : Split(FLAGS_address_map, ',')) {
    const auto parts = Split(entry, '=');
    options.m_address_map[parts[0]] = parts.at(1);
  }
  return options;
}

CallerOptions CallerOptionsFromFlags() {
  CallerOptions options;
  options.m_direct_engines = Split(FLAGS_direct, ',');
  options.m_max_attempts = FLAGS_most_tries;
  options.m_head_timeout =
      std::chrono::milliseconds(FLAGS_first_byte_timeout_ms);
  options.m_idle_timeout = std::chrono::milliseconds(FLAGS_idle_timeout_ms);
  return options;
}

/// Starts calls until the end of the run and waits for the last ones.
class LoadRun {
 public:
  explicit LoadRun(struct ev_loop* loop)
      : m_loop(loop),
        m_client(loop),
        m_workload(WorkloadOptionsFromFlags()),
        m_entry_cache(m_client, EntryOptionsFromFlags(), FLAGS_seed),
        m_measurements(FLAGS_trace_file),
        m_caller(loop,
                 CallerOptionsFromFlags(),
                 m_client,
                 m_entry_cache,
                 m_measurements,
                 [this](const PlannedCall& call, const std::string& response) {
                   OnDone(call, response);
                 }),
        m_arrival_timer(loop, [this] { OnArrival(); }),
        m_crash_timer(loop, [this] { StartCrash(); }),
        m_end_timer(loop, [this] { CheckEnd(); }),
        m_started_at(net::BootTime()) {}

  void Start() {
    if (FLAGS_rate > 0) {
      OnArrival();
    } else {
      for (int i = 0; i < FLAGS_closed; ++i) {
        StartCall();
      }
    }
    if (FLAGS_crash_calls > 0) {
      m_crash_timer.StartRepeating(
          Seconds(FLAGS_seconds / (FLAGS_crash_calls + 1)));
    }
    m_end_timer.StartRepeating(std::chrono::milliseconds(50));
  }

  nlohmann::json Result() const {
    auto result = m_measurements.Result();
    result["unfinished"] = m_caller.Active();
    result["lookups"] = m_entry_cache.LookupCount();
    result["failed_lookups"] = m_entry_cache.FailedLookupCount();
    result["elapsed_seconds"] = ElapsedSeconds();
    return result;
  }

 private:
  double ElapsedSeconds() const {
    return std::chrono::duration<double>(net::BootTime() - m_started_at)
        .count();
  }

  bool InSurge() const {
    const double now = ElapsedSeconds();
    return now >= FLAGS_surge_from && now < FLAGS_surge_to;
  }

  void StartCall() {
    m_caller.Start(m_workload.Next(net::BootTime(), InSurge()));
  }

  // During a surge the rate doubles; the surge customer sends the added half.
  void OnArrival() {
    if (ElapsedSeconds() >= FLAGS_seconds) {
      return;
    }
    StartCall();
    const double rate = FLAGS_rate * (InSurge() ? 2 : 1);
    m_arrival_timer.Start(m_workload.DrawPause(Seconds(1.0 / rate)));
  }

  void StartCrash() {
    if (m_crash_calls < FLAGS_crash_calls && ElapsedSeconds() < FLAGS_seconds) {
      ++m_crash_calls;
      m_caller.Start(m_workload.NextCrash());
    }
  }

  void OnDone(const PlannedCall& call, const std::string& response) {
    m_workload.Finish(call, response, net::BootTime());
    const bool closed = FLAGS_rate <= 0 && call.m_kind != CallKind::kCrash;
    if (closed && ElapsedSeconds() < FLAGS_seconds) {
      StartCall();
    }
  }

  void CheckEnd() {
    const double seconds_past_end = ElapsedSeconds() - FLAGS_seconds;
    if (seconds_past_end > FLAGS_finish_seconds ||
        (seconds_past_end > 0 && m_caller.Active() == 0)) {
      ev_break(m_loop, EVBREAK_ALL);
    }
  }

  struct ev_loop* m_loop;
  net::HttpClient m_client;
  Workload m_workload;
  EntryCache m_entry_cache;
  Measurements m_measurements;
  Caller m_caller;
  net::Timer m_arrival_timer;
  net::Timer m_crash_timer;
  net::Timer m_end_timer;
  TimePoint m_started_at;
  int m_crash_calls = 0;
};

int Main() {
  struct ev_loop* loop = EV_DEFAULT;
  LoadRun run(loop);
  run.Start();
  standins::RunUntilSignal(loop);
  const std::string result = run.Result().dump(1) + "\n";
  std::FILE* output =
      FLAGS_output.empty() ? stdout : std::fopen(FLAGS_output.c_str(), "w");
  if (output == nullptr) {
    fmt::print(stderr, "cannot write {}\n", FLAGS_output);
    return 1;
  }
  std::fwrite(result.data(), 1, result.size(), output);
  std::fflush(output);
  return 0;
}

}  // namespace
}  // namespace nutmeghollow::load

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "simulates callers and prints the measurements as JSON");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return nutmeghollow::load::Main();
}
