/// @file
/// Stand-in for a plain service; see docs/design/001-stand-in-protocols.md.
#include <gflags/gflags.h>

#include "standins/program.h"
#include "standins/service.h"

DEFINE_string(listen, "127.0.0.1:0", "address to serve on, IP:PORT");
DEFINE_string(name, "server", "name of this server within the service");
DEFINE_string(ledger_file,
              "",
              "log of the calls that ran, shared by the service's servers");
DEFINE_int32(run_time_ms, 20, "duration of a call");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  nutmeghollow::standins::ServiceOptions options;
  options.m_name = FLAGS_name;
  options.m_ledger_file = FLAGS_ledger_file;
  options.m_run_time = std::chrono::milliseconds(FLAGS_run_time_ms);

  struct ev_loop* loop = EV_DEFAULT;
  nutmeghollow::standins::Service service(loop, options);
  nutmeghollow::standins::Serve(
      loop, FLAGS_listen,
      [&service](const auto& exchange) { service.Handle(exchange); });
  return 0;
}
