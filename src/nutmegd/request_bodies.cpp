#include "nutmegd/request_bodies.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <utility>

#include "nutmegd/problem.h"

namespace nutmeghollow {
namespace {

constexpr int kStatusUnavailable = 503;
/// Limit of a body whatever the configuration says.
constexpr Bytes kMaxBody{16 << 20};
/// Retry-After of requests that the server itself refuses. Memory is free again
/// when upstreams have responded to the requests that hold it.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// malloc gives larger blocks back to the system as soon as they are freed. Its
/// own threshold grows to 32 MB and leaves freed bodies in the process.
constexpr int kMmapThreshold = 128 << 10;
/// Used when neither the settings nor the machine state the memory.
constexpr std::int64_t kSmallestMachineBytes = 160'000'000;
/// Budget for operators' bodies. Three quarters of it are open to large bodies:
/// one of the default limit, 8 MiB, fits.
constexpr std::size_t kOperatorBodyBytes = 12 << 20;
/// Share of the memory that the connections of callers may use.
constexpr double kConnectionMemoryShare = 0.25;
/// Descriptors for servers, other instances and the platform.
constexpr std::int64_t kOtherDescriptors = 64;
constexpr std::int64_t kMinConnections = 16;
constexpr std::int64_t kMaxConnections = 20'000;

/// @return memory of the machine in bytes; 0 if it cannot be read.
std::int64_t MachineMemory() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::int64_t kilobytes = 0;
  file >> name >> kilobytes;
  return name == "MemTotal:" ? kilobytes << 10 : 0;
}

std::int64_t MemoryOf(const Settings& settings) {
  constexpr std::int64_t kBytesPerMegabyte = 1'000'000;
  if (settings.m_instance.m_memory_mb > 0) {
    return settings.m_instance.m_memory_mb * kBytesPerMegabyte;
  }
  const std::int64_t bytes = MachineMemory();
  return bytes > 0 ? bytes : kSmallestMachineBytes;
}

}  // namespace

void SetUpBodyMemory(const std::shared_ptr<BodyMemory>& memory,
                     MetricsRegistry* metrics,
                     const std::string& prefix,
                     const Settings& settings) {
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  BodyMemoryParameters parameters;
  parameters.m_total =
      static_cast<std::size_t>(static_cast<double>(MemoryOf(settings)) *
                               settings.m_callers.m_body_memory_share);
  memory->SetParameters(parameters);
  metrics->SetGauge(prefix + "_body_bytes", "", [memory] {
    return static_cast<double>(memory->Reserved());
  });
  metrics->SetGauge(prefix + "_body_refusals", "", [memory] {
    return static_cast<double>(memory->Refused() + memory->Dropped());
  });
}

net::HttpServerOptions WithOperatorBodies(net::HttpServerOptions options) {
  BodyMemoryParameters parameters;
  parameters.m_total = kOperatorBodyBytes;
  options.m_body_memory = std::make_shared<BodyMemory>(parameters);
  return options;
}

int CallerConnectionLimit(const Settings& settings, Bytes per_connection) {
  auto limit = static_cast<std::int64_t>(
      static_cast<double>(MemoryOf(settings)) * kConnectionMemoryShare /
      static_cast<double>(per_connection.value()));
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 &&
      descriptors.rlim_cur != RLIM_INFINITY) {
    // A request in progress has a connection to its upstream, too.
    const auto most = static_cast<std::int64_t>(descriptors.rlim_cur);
    limit = std::min(limit, (most - kOtherDescriptors) / 2);
  }
  return static_cast<int>(std::clamp(limit, kMinConnections, kMaxConnections));
}

net::HttpServerOptions WithCallerBodies(net::HttpServerOptions options,
                                        const GatewayState& state) {
  options.m_body_limit = kMaxBody;
  options.m_body_memory = state.m_body_memory;
  options.m_discard_limit = kBodyDiscardLimit;
  options.m_current_body_limit = [&state] {
    return state.m_configuration == nullptr
               ? CallerLimits().m_body
               : state.m_configuration->m_limits.m_body;
  };
  options.m_error_hook = [&state](int status, const std::string& detail) {
    Problem problem;
    problem.m_status = status;
    problem.m_type = "route";
    problem.m_title = "Request not served";
    problem.m_detail = detail;
    problem.m_outcome = Outcome::kNotRun;
    net::HttpErrorResponse response{ProblemHeaders(problem),
                                    ProblemBody(problem, PublicRequestId())};
    if (status == kStatusUnavailable) {
      response.m_headers.emplace_back(
          "Retry-After", state.m_protocol.m_write_retry_after(kRetryAfter));
    }
    return response;
  };
  return options;
}

}  // namespace nutmeghollow
