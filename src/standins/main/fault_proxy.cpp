/// @file
/// Proxy that injects network faults; see docs/design/050-bench.md.
#include <gflags/gflags.h>

#include "standins/program.h"
#include "standins/proxy.h"

DEFINE_string(listen, "127.0.0.1:0", "address of the control interface");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  // The resolution of epoll_wait() is 1 ms, and the proxy has shorter delays.
  struct ev_loop* loop = ev_default_loop(EVBACKEND_SELECT);
  nutmeghollow::standins::FaultProxy proxy(loop);
  nutmeghollow::standins::Serve(
      loop, FLAGS_listen,
      [&proxy](const auto& exchange) { proxy.Handle(exchange); });
  return 0;
}
