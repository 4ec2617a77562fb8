/// @file
/// Stand-in of the platform; see docs/design/001-stand-in-protocols.md.
#include <gflags/gflags.h>

#include "standins/platform.h"
#include "standins/program.h"

DEFINE_string(listen, "127.0.0.1:0", "address to serve on, IP:PORT");
DEFINE_double(writes_per_second, 400, "commits a second; above, 503");
DEFINE_double(reads_per_second, 2000, "reads and scans a second; above, 503");
DEFINE_double(weight_loads_per_second, 2, "weight reads a second; above, 503");
DEFINE_int32(list_lag_ms, 2000, "age of the instance list");

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
