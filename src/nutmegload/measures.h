/// @file
/// What nutmegload measures, and its result as JSON.
#pragma once

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"
#include "nutmegload/workload.h"

namespace nutmeghollow::load {

/// How one try of a call ended.
enum class TryEnd {
  kWhole,    ///< The whole answer, and the right one.
  kWrong,    ///< A whole answer that belongs to another request.
  kCut,      ///< The answer began and ended early.
  kNotRun,   ///< Told that the request did not run.
  kUnknown,  ///< Told that it may have run, or told nothing.
  kRefused,  ///< Refused for good, such as a quarantined request.
  kCount,
};

/// One try of a call.
struct TryResult {
  TryEnd m_end = TryEnd::kUnknown;
  int m_status = 0;
  std::string m_request_id;
  Duration m_retry_after{};
  bool m_connect_failed = false;
  std::string m_answer;
  Duration m_first_token{};  ///< From the start of the call; zero if none.
  Duration m_first_token_since_send{};  ///< From the start of this try.
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  std::string m_detail;
};

/// Collects the results of all calls.
class Measures {
 public:
  /// @param trace_file file that gets a line per completed chat call.
  explicit Measures(const std::string& trace_file);

  void AddTry(const PlannedCall& call, const TryResult& result);
  /// @param completed whether the call ended with its whole answer.
  /// @param tries tries that it took.
  /// @param at time since the start of the run.
  void AddCall(const PlannedCall& call,
               const TryResult& last,
               bool completed,
               int tries,
               Duration duration,
               Duration at);

  /// @return all measures.
  nlohmann::json Result() const;

 private:
  struct CustomerMeasures {
    std::int64_t m_calls = 0;
    std::int64_t m_completed = 0;
    std::vector<double> m_first_token_ms;
  };
  struct Second {
    std::int64_t m_prompt_tokens = 0;
    std::int64_t m_cached_tokens = 0;
    std::int64_t m_calls = 0;
  };

  void AddCompletedChat(const PlannedCall& call,
                        const TryResult& last,
                        Duration at);
  void NoteProblem(const PlannedCall& call, const TryResult& result);

  std::ofstream m_trace;
  std::map<std::string, std::int64_t> m_tries;
  std::map<std::string, std::int64_t> m_started;
  std::map<std::string, std::int64_t> m_completed;
  std::map<std::string, std::int64_t> m_statuses;
  std::map<std::string, CustomerMeasures> m_customers;
  std::map<std::int64_t, Second> m_seconds;
  std::vector<double> m_first_token_ms;
  std::vector<double> m_since_send_ms;
  std::vector<double> m_call_ms;
  std::vector<std::string> m_not_run_ids;
  std::vector<std::string> m_completed_keys;
  std::vector<std::string> m_unresolved_keys;
  nlohmann::json m_problems = nlohmann::json::array();
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  int m_most_tries = 0;
};

/// @param values sorted or not; copied.
/// @return the value below which a share lies; 0 without values.
double Percentile(std::vector<double> values, double share);

}  // namespace nutmeghollow::load
