/// @file
/// Ways to choose an upstream by stale load data, for comparisons in the model
/// of load_model.h.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load_model.h"
#include "nutmeghollow/load_estimate.h"

namespace nutmeghollow::model {

inline bool WasTried(const LoadModel::Request& request, int upstream) {
  return std::find(request.m_tried.begin(), request.m_tried.end(), upstream) !=
         request.m_tried.end();
}

/// @return upstreams that were not tried, in random order.
inline std::vector<int> Candidates(LoadModel& model,
                                   const LoadModel::Request& request) {
  std::vector<int> candidates;
  for (int upstream = 0; upstream < model.Setup().m_upstreams; ++upstream) {
    if (!WasTried(request, upstream)) {
      candidates.push_back(upstream);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), model.Random());
  return candidates;
}

inline int StaleLoad(const LoadModel& model,
                     const LoadModel::Request& request,
                     int upstream) {
  const ModelView& view = model.View(request.m_instance, upstream);
  return view.m_own + view.m_others;
}

inline int LeastOf(const LoadModel& model,
                   const LoadModel::Request& request,
                   const std::vector<int>& candidates) {
  int best = -1;
  for (const int upstream : candidates) {
    if (best < 0 ||
        StaleLoad(model, request, upstream) < StaleLoad(model, request, best)) {
      best = upstream;
    }
  }
  return best;
}

/// Any upstream.
inline int Uniform(LoadModel& model, const LoadModel::Request& request) {
  const auto candidates = Candidates(model, request);
  return candidates.empty() ? -1 : candidates.front();
}

/// (a) Least load by stale data.
inline int LeastLoad(LoadModel& model, const LoadModel::Request& request) {
  return LeastOf(model, request, Candidates(model, request));
}

/// (b) The less loaded of two random upstreams.
inline int TwoChoices(LoadModel& model, const LoadModel::Request& request) {
  auto candidates = Candidates(model, request);
  candidates.resize(std::min<std::size_t>(2, candidates.size()));
  return LeastOf(model, request, candidates);
}

/// (c) Load interpretation. @param use_factors whether stated work factors
/// reduce the capacity. @param shared whether the newest report of the fleet is
/// known after the age of the counts, as if the messages carried it.
inline int Interpret(LoadModel& model,
                     const LoadModel::Request& request,
                     bool use_factors,
                     bool shared) {
  const auto candidates = Candidates(model, request);
  if (candidates.empty()) {
    return -1;
  }
  std::vector<KnownLoad> loads;
  double sum = 0;
  double mean_ms = 0;
  int timed = 0;
  for (const int upstream : candidates) {
    const ModelView& view = model.View(request.m_instance, upstream);
    KnownLoad load{static_cast<double>(view.m_own + view.m_others),
                   static_cast<double>(model.Setup().m_slots)};
    if (use_factors) {
      int reported_at = view.m_report_at;
      LoadReport report = view.m_report;
      const int known =
          model.Now() - static_cast<int>(model.Age(request.m_instance));
      for (int peer = 0; shared && peer < model.Setup().m_instances; ++peer) {
        const ModelView& other = model.View(peer, upstream);
        if (other.m_report_at <= known && other.m_report_at > reported_at) {
          reported_at = other.m_report_at;
          report = other.m_report;
        }
      }
      load.m_capacity /=
          AgedWorkFactor(report.m_work_factor,
                         std::chrono::milliseconds(model.Now() - reported_at));
    }
    loads.push_back(load);
    sum += load.m_requests;
    mean_ms += view.m_mean_ms;
    timed += view.m_mean_ms > 0 ? 1 : 0;
  }
  mean_ms /= std::max(1, timed);
  const auto age =
      Duration(static_cast<std::int64_t>(model.Age(request.m_instance) * 1000));
  const auto mean = Duration(static_cast<std::int64_t>(mean_ms * 1000));
  const auto arrivals = ExpectedArrivals(sum, age, mean);
  const auto probabilities = InterpretLoads(loads, arrivals.value_or(1e6));
  const double point = std::uniform_real_distribution<>(0, 1)(model.Random());
  return candidates[DrawIndex(probabilities, point)];
}

/// (d) The least latency among upstreams that are not hot: a hot one has more
/// requests in progress than four fifths of them.
inline int Latency(LoadModel& model, const LoadModel::Request& request) {
  const auto candidates = Candidates(model, request);
  std::vector<int> loads;
  loads.reserve(candidates.size());
  for (const int upstream : candidates) {
    loads.push_back(StaleLoad(model, request, upstream));
  }
  if (loads.empty()) {
    return -1;
  }
  std::sort(loads.begin(), loads.end());
  const int hot = loads[loads.size() * 4 / 5];
  int best = -1;
  for (const int upstream : candidates) {
    const bool is_cold = StaleLoad(model, request, upstream) < hot;
    const auto latency = [&](int one) {
      return model.View(request.m_instance, one).m_mean_ms;
    };
    if (is_cold && (best < 0 || latency(upstream) < latency(best))) {
      best = upstream;
    }
  }
  return best >= 0 ? best : LeastOf(model, request, candidates);
}

/// UpstreamPool as it is.
inline int Pool(LoadModel& model, const LoadModel::Request& request) {
  UpstreamQuery query;
  query.m_service = ServiceId("service");
  const auto prompt = model.Prompt(request);
  query.m_prompt = prompt.empty() ? nullptr : &prompt;
  const ModelKind& kind =
      model.Setup().m_kinds[static_cast<std::size_t>(request.m_kind)];
  query.m_latency_target =
      std::chrono::milliseconds(static_cast<int>(kind.m_target_ms));
  query.m_priority = kind.m_priority;
  for (const int upstream : request.m_tried) {
    query.m_tried.emplace_back("u" + std::to_string(upstream));
  }
  const auto choice =
      model.Pool(request.m_instance).Choose(query, model.Time());
  return choice ? std::stoi(choice->m_id.str().substr(1)) : -1;
}

struct Policy {
  std::string m_name;
  LoadModel::Choose m_choose;
};

inline std::vector<Policy> AllPolicies() {
  return {
      {"uniform", Uniform},
      {"(a) least", LeastLoad},
      {"(b) two", TwoChoices},
      {"(c) interpreted",
       [](auto& model, const auto& request) {
         return Interpret(model, request, false, false);
       }},
      {"(c) own factors",
       [](auto& model, const auto& request) {
         return Interpret(model, request, true, false);
       }},
      {"(c) shared factors",
       [](auto& model, const auto& request) {
         return Interpret(model, request, true, true);
       }},
      {"(d) latency", Latency},
      {"pool before", Pool},
      {"pool", Pool},
  };
}

/// @return the sum of the results of several seeds; means are taken again.
inline ModelResult RunModel(ModelSetup setup, const Policy& policy, int seeds) {
  const std::uint64_t first = setup.m_seed;
  ModelResult all;
  all.m_by_kind.resize(setup.m_kinds.size());
  for (int seed = 0; seed < seeds; ++seed) {
    setup.m_seed = first + static_cast<std::uint64_t>(seed);
    LoadModel model(setup, policy.m_choose);
    if (policy.m_name.starts_with("pool")) {
      model.UsePools({}, policy.m_name == "pool");
    }
    const ModelResult one = model.Run();
    all.m_requests += one.m_requests;
    all.m_within += one.m_within;
    all.m_refusals += one.m_refusals;
    all.m_lost += one.m_lost;
    all.m_longest_queue = std::max(all.m_longest_queue, one.m_longest_queue);
    all.m_mean_queue += one.m_mean_queue / seeds;
    all.m_busiest += one.m_busiest / seeds;
    all.m_processed += one.m_processed / seeds;
    all.m_load_age_ms += one.m_load_age_ms / seeds;
    for (std::size_t kind = 0; kind < all.m_by_kind.size(); ++kind) {
      all.m_by_kind[kind][0] += one.m_by_kind[kind][0];
      all.m_by_kind[kind][1] += one.m_by_kind[kind][1];
    }
  }
  return all;
}

}  // namespace nutmeghollow::model
