/// @file
/// Makes calls as a caller would: entry look-up, sending, retries, and the
/// comparison of each answer with the one that the engine must give.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"
#include "nutmegload/entries.h"
#include "nutmegload/measures.h"
#include "nutmegload/workload.h"

namespace nutmeghollow::load {

/// How calls are made.
struct CallerOptions {
  /// Engines to call directly; empty to go through the instances.
  std::vector<std::string> m_direct;
  int m_most_tries = 8;
  int m_crash_tries = 6;  ///< Tries of a call that crashes engines.
  Duration m_head_timeout = std::chrono::seconds(60);
  Duration m_idle_timeout = std::chrono::seconds(30);
};

/// Runs calls side by side.
class Caller {
 public:
  /// Called at the end of each call. The answer is empty when there is none.
  using DoneHook =
      std::function<void(const PlannedCall& call, const std::string& answer)>;

  Caller(struct ev_loop* loop,
         const CallerOptions& options,
         net::HttpClient& client,
         EntryBook& entries,
         Measures& measures,
         DoneHook on_done);
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

  void Try(const StatePtr& state);
  void Send(const StatePtr& state, const std::string& address);
  net::HttpCall MakeHttpCall(const CallState& state,
                             const std::string& address) const;
  void EndTry(const StatePtr& state, const net::HttpCallResult& end);
  void JudgeTry(CallState& state, const net::HttpCallResult& end) const;
  void Retry(const StatePtr& state);
  void Finish(const StatePtr& state, bool completed);

  struct ev_loop* m_loop;
  CallerOptions m_options;
  net::HttpClient& m_client;
  EntryBook& m_entries;
  Measures& m_measures;
  DoneHook m_on_done;
  TimePoint m_started_at;
  std::map<std::uint64_t, StatePtr> m_calls;
  std::uint64_t m_direct_calls = 0;
};

}  // namespace nutmeghollow::load
