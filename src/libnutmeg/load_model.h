/// @file
/// Model of a fleet that chooses upstreams by stale load data; for tests.
///
/// The load of each upstream is simulated in steps of one millisecond. An
/// instance knows its own requests exactly, those of the others as the messages
/// of LoadExchange carry them, and the reports in its own responses.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Kind of requests of a model.
struct ModelKind {
  double m_share = 1;          ///< Of all requests.
  int m_shared_tokens = 0;     ///< Of the chat, processed unless cached.
  int m_own_tokens = 0;        ///< Always processed.
  int m_chats = 1;             ///< Chats of this kind at a time.
  int m_chat_ms = 5000;        ///< Time after which another chat follows.
  double m_work_ms = 15;       ///< Mean duration after the prompt.
  double m_target_ms = 120;    ///< From the arrival to the response.
  bool m_first_token = false;  ///< The target is for the first token.
  int m_priority = 0;
};

struct ModelSetup {
  std::string m_name;
  int m_instances = 81;
  int m_upstreams = 3;
  int m_slots = 6;
  int m_queue = 24;  ///< Requests beyond the slots; more are refused.
  double m_rate = 303;
  std::vector<ModelKind> m_kinds = {ModelKind()};
  double m_slow_factor = 1.0;  ///< Of a seventh of the upstreams, 1 at least.
  int m_slow_ms = 600;         ///< Then others are slow.
  /// In each second the first 300 ms have this many times the rate.
  double m_burst = 1.0;
  int m_duration_ms = 32000;
  std::uint64_t m_seed = 1;
};

struct ModelResult {
  int m_requests = 0;
  int m_within = 0;    ///< Served within the target.
  int m_refusals = 0;  ///< By upstreams, whether or not another one served.
  int m_lost = 0;      ///< Refused by all that were tried.
  int m_longest_queue = 0;
  double m_mean_queue = 0;  ///< Of the upstream with the longest one.
  double m_busiest = 0;     ///< Highest load over mean load, mean of moments.
  double m_processed = 0;   ///< Tokens of shared parts, for each request.
  double m_load_age_ms = 0;
  std::vector<std::array<int, 2>> m_by_kind;  ///< Requests, and within target.
  double Share() const {
    return static_cast<double>(m_within) / std::max(1, m_requests);
  }
};

/// What an instance knows of an upstream.
struct ModelView {
  int m_own = 0;
  int m_others = 0;  ///< Stale.
  double m_mean_ms = 0;
  LoadReport m_report;
  int m_report_at = std::numeric_limits<int>::min() / 2;
};

class LoadModel {
 public:
  struct Request {
    int m_kind = 0;
    int m_chat = 0;
    int m_instance = 0;
    int m_arrived = 0;
    int m_sent = 0;
    double m_prompt_left = 0;  ///< Milliseconds at the usual speed.
    double m_work_left = 0;
    bool m_started = false;
    std::vector<int> m_tried;
  };
  /// Chooses an upstream that was not tried; -1 for none.
  using Choose = std::function<int(LoadModel& model, const Request& request)>;

  LoadModel(ModelSetup setup, Choose choose);
  ModelResult Run();

  const ModelSetup& Setup() const { return m_setup; }
  const ModelView& View(int instance, int upstream) const {
    return m_views[Index(instance, upstream)];
  }
  /// @return mean age of the counts of others, in milliseconds.
  double Age(int instance) const;
  int Now() const { return m_now; }
  std::mt19937_64& Random() { return m_random; }
  TimePoint Time() const {
    return TimePoint(std::chrono::seconds(100)) +
           std::chrono::milliseconds(m_now);
  }
  /// Gives each instance a real pool. @param interpret whether the pools
  /// interpret loads in large fleets.
  void UsePools(const UpstreamPoolParameters& parameters, bool interpret);
  UpstreamPool& Pool(int instance) {
    return m_pools[static_cast<std::size_t>(instance)];
  }
  std::vector<PromptPart> Prompt(const Request& request) const;

 private:
  struct Server {
    double m_factor = 1;
    std::vector<Request> m_running;
    std::deque<Request> m_waiting;
    std::set<int> m_cached;
    int Load() const {
      return static_cast<int>(m_running.size() + m_waiting.size());
    }
  };
  std::size_t Index(int instance, int upstream) const {
    return static_cast<std::size_t>(instance) *
               static_cast<std::size_t>(m_setup.m_upstreams) +
           static_cast<std::size_t>(upstream);
  }
  bool IsFlat() const { return m_setup.m_instances <= 20; }
  void ChangeSpeeds();
  void Exchange();
  void Arrive();
  void Send(Request request);
  void Advance(int upstream);
  void Start(int upstream, Request request);
  void NoteStarted(Request* request);
  void End(int upstream, const Request& request);
  void Sample();

  ModelSetup m_setup;
  Choose m_choose;
  std::mt19937_64 m_random;    ///< For choices.
  std::mt19937_64 m_arrivals;  ///< The same for each way of choosing.
  std::vector<Server> m_servers;
  std::vector<ModelView> m_views;
  std::vector<int> m_reported;          ///< Counts last sent by an instance.
  std::vector<int> m_fleet;             ///< Sum of them.
  std::deque<std::vector<int>> m_past;  ///< Sums, every 10 ms.
  std::vector<int> m_refreshed;
  std::vector<UpstreamPool> m_pools;
  bool m_interpret = false;
  ModelResult m_result;
  int m_now = 0;
  int m_samples = 0;
};

}  // namespace nutmeghollow
