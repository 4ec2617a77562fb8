/// @file
/// Collects the measurements of nutmegload and exports them as JSON.
#pragma once

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"
#include "nutmegload/workload.h"

namespace nutmeghollow::load {

/// How one attempt of a call ended.
enum class AttemptOutcome {
  kCorrect,    ///< Complete response with the expected content.
  kMismatch,   ///< Complete response with other content, as of another request.
  kTruncated,  ///< The response ended early or was malformed.
  kNotRun,     ///< Reported as not run, or no connection was made.
  kUnknown,    ///< May have run: reported so, or no usable response.
  kRefused,    ///< Permanently refused, such as a quarantined request.
  kCount,
};

/// Result of one attempt of a call.
struct AttemptResult {
  AttemptOutcome m_outcome = AttemptOutcome::kUnknown;
  int m_status = 0;
  std::string m_request_id;
  Duration m_retry_after{};
  bool m_connect_failed = false;
  std::string m_response_text;
  /// Time to first token, from the start of the call; zero if none.
  Duration m_time_to_first_token{};
  /// Time to first token, from the sending of this attempt, after its entry
  /// lookup.
  Duration m_time_from_send_to_first_token{};
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  std::string m_detail;
};

/// Collects the results of all calls and attempts.
class Measurements {
 public:
  /// @param trace_file file that receives one line per completed chat call;
  /// empty for none.
  explicit Measurements(const std::string& trace_file);

  void AddAttempt(const PlannedCall& call, const AttemptResult& result);
  /// @param last result of the last attempt.
  /// @param completed whether the call ended with the expected response.
  /// @param attempts number of attempts.
  /// @param duration time since the start of the call.
  /// @param at time since the start of the run.
  void AddCall(const PlannedCall& call,
               const AttemptResult& last,
               bool completed,
               int attempts,
               Duration duration,
               Duration at);

  /// @return all measurements as a JSON object.
  nlohmann::json Result() const;

 private:
  struct CustomerMeasurements {
    std::int64_t m_calls = 0;
    std::int64_t m_completed = 0;
    std::vector<double> m_time_to_first_token_ms;
  };
  struct SecondTotals {
    std::int64_t m_prompt_tokens = 0;
    std::int64_t m_cached_tokens = 0;
    std::int64_t m_calls = 0;
  };

  void AddCompletedChat(const PlannedCall& call,
                        const AttemptResult& last,
                        Duration at);
  void AddProblem(const PlannedCall& call, const AttemptResult& result);

  std::ofstream m_trace;
  std::map<std::string, std::int64_t> m_attempts;
  std::map<std::string, std::int64_t> m_started;
  std::map<std::string, std::int64_t> m_completed;
  std::map<std::string, std::int64_t> m_statuses;
  std::map<std::string, CustomerMeasurements> m_customers;
  std::map<std::int64_t, SecondTotals> m_seconds;
  std::vector<double> m_time_to_first_token_ms;
  std::vector<double> m_time_from_send_to_first_token_ms;
  std::vector<double> m_call_ms;
  std::vector<std::string> m_not_run_ids;
  std::vector<std::string> m_completed_keys;
  std::vector<std::string> m_unresolved_keys;
  nlohmann::json m_problems = nlohmann::json::array();
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  int m_max_attempts_of_call = 0;
};

/// @param values in any order.
/// @param share of the values, from 0 to 1.
/// @return the smallest value that at least this share of the values does not
/// exceed (nearest rank); 0 without values.
double Percentile(std::vector<double> values, double share);

}  // namespace nutmeghollow::load
