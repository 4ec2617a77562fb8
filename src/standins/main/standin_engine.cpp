/// @file
/// Stand-in for a model engine; see docs/design/001-stand-in-protocols.md.
#include <gflags/gflags.h>

#include "standins/engine.h"
#include "standins/program.h"

DEFINE_string(listen, "127.0.0.1:0", "address to serve on, IP:PORT");
DEFINE_double(token_rate, 120.0, "tokens per second of a single stream");
DEFINE_double(batch_half, 16.0, "batch size at which the token rate halves");
DEFINE_double(prefill_rate, 20000, "uncached prompt tokens per second");
DEFINE_int32(batch_limit, 32, "maximum number of streams in the batch");
DEFINE_int32(queue_limit, 256, "maximum number of queued streams");
DEFINE_int64(cache_tokens, 200000, "capacity of the prefix cache in tokens");
DEFINE_int32(health_period_ms, 500, "interval between two load samples");
DEFINE_int32(event_delay_ms, 700, "time until a cache event is visible");
DEFINE_int32(keep_detached_ms,
             5000,
             "how long a stream without a connection is retained");
DEFINE_bool(enforce_fencing, true, "reject orders with an old fencing number");
DEFINE_string(record_file, "", "file that gets a line per run and order");

int main(int argc, char** argv) {
  using std::chrono::milliseconds;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  nutmeghollow::standins::EngineOptions options;
  options.m_token_rate = FLAGS_token_rate;
  options.m_half_rate_batch = FLAGS_batch_half;
  options.m_prefill_rate = FLAGS_prefill_rate;
  options.m_batch_limit = FLAGS_batch_limit;
  options.m_queue_limit = FLAGS_queue_limit;
  options.m_cache_tokens = FLAGS_cache_tokens;
  options.m_load_sample_interval = milliseconds(FLAGS_health_period_ms);
  options.m_cache_event_delay = milliseconds(FLAGS_event_delay_ms);
  options.m_detached_ttl = milliseconds(FLAGS_keep_detached_ms);
  options.m_enforce_fencing = FLAGS_enforce_fencing;
  options.m_record_file = FLAGS_record_file;

  struct ev_loop* loop = EV_DEFAULT;
  nutmeghollow::standins::Engine engine(loop, options);
  nutmeghollow::standins::Serve(
      loop, FLAGS_listen,
      [&engine](const auto& exchange) { engine.Handle(exchange); });
  return 0;
}
