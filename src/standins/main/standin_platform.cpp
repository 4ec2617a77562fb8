/// @file
/// Stand-in for the platform; see docs/design/001-stand-in-protocols.md.
#include <gflags/gflags.h>

#include "standins/platform.h"
#include "standins/program.h"

DEFINE_string(listen, "127.0.0.1:0", "address to serve on, IP:PORT");
DEFINE_double(writes_per_second,
              400,
              "maximum commits per second; 503 above it");
DEFINE_double(reads_per_second,
              2000,
              "maximum reads and scans per second; 503 above it");
DEFINE_double(weight_loads_per_second,
              2,
              "maximum weight requests per second; 503 above it");
DEFINE_int32(list_lag_ms, 2000, "delay until a new instance list is visible");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  nutmeghollow::standins::PlatformOptions options;
  options.m_writes_per_second = FLAGS_writes_per_second;
  options.m_reads_per_second = FLAGS_reads_per_second;
  options.m_weight_loads_per_second = FLAGS_weight_loads_per_second;
  options.m_list_lag = std::chrono::milliseconds(FLAGS_list_lag_ms);

  struct ev_loop* loop = EV_DEFAULT;
  nutmeghollow::standins::Platform platform(loop, options);
  nutmeghollow::standins::Serve(
      loop, FLAGS_listen,
      [&platform](const auto& exchange) { platform.Handle(exchange); });
  return 0;
}
