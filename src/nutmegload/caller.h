/// @file
/// Simulates callers: looks up an entry instance, sends each call with retries,
/// and compares the response with the one expected from the stand-in engine.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"
#include "nutmegload/entry_cache.h"
#include "nutmegload/measurements.h"
#include "nutmegload/workload.h"

namespace nutmeghollow::load {

/// Settings of the simulated callers.
struct CallerOptions {
  /// Addresses of engines to call directly; empty to call the instances.
  std::vector<std::string> m_direct_engines;
  int m_max_attempts = 8;        ///< Per call.
  int m_max_crash_attempts = 6;  ///< Per call that crashes engines.
  Duration m_head_timeout = std::chrono::seconds(60);
  Duration m_idle_timeout = std::chrono::seconds(30);
};

/// Runs calls concurrently.
class Caller {
 public:
  /// Runs at the end of each call. The response is the text of a completed chat
  /// or label call, and empty for service calls and failed calls.
  using DoneCallback =
      std::function<void(const PlannedCall& call, const std::string& response)>;

  Caller(struct ev_loop* loop,
         const CallerOptions& options,
         net::HttpClient& client,
         EntryCache& entry_cache,
         Measurements& measurements,
         DoneCallback on_done);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Starts a call.
  void Start(const PlannedCall& call);
  /// @return calls in progress.
  std::size_t Active() const { return m_calls.size(); }

 private:
  struct CallState;
  using StatePtr = std::shared_ptr<CallState>;

  void StartAttempt(const StatePtr& state);
  void Send(const StatePtr& state, const std::string& address);
  net::HttpCall MakeHttpCall(const CallState& state,
                             const std::string& address) const;
  void EndAttempt(const StatePtr& state, const net::HttpCallResult& end);
  void ClassifyAttempt(CallState& state, const net::HttpCallResult& end) const;
  void Retry(const StatePtr& state);
  void Finish(const StatePtr& state, bool completed);

  struct ev_loop* m_loop;
  CallerOptions m_options;
  net::HttpClient& m_client;
  EntryCache& m_entry_cache;
  Measurements& m_measurements;
  DoneCallback m_on_done;
  TimePoint m_started_at;
  std::map<std::uint64_t, StatePtr> m_calls;
  std::uint64_t m_direct_attempts = 0;
};

}  // namespace nutmeghollow::load
