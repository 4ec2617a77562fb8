// Model of a fleet, see load_model.h, and tests of its parts.
#include "load_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {
namespace {

/// Period of the messages about loads, and their delay between relays.
constexpr int kPeriodMs = 200;
constexpr int kRelayDelayMs = 100;
constexpr int kPastStepMs = 10;
/// Results of the first seconds are not counted: all is idle then.
constexpr int kWarmUpMs = 2000;
/// Time without arrivals at the end, in which the last requests end.
constexpr int kDrainMs = 4000;
constexpr double kTokensPerMs = 56;

UpstreamId IdOf(int upstream) {
  return UpstreamId("u" + std::to_string(upstream));
}

}  // namespace

LoadModel::LoadModel(ModelSetup setup, Choose choose)
    : m_setup(std::move(setup)),
      m_choose(std::move(choose)),
      m_random(m_setup.m_seed),
      m_arrivals(m_setup.m_seed + 1) {
  const auto upstreams = static_cast<std::size_t>(m_setup.m_upstreams);
  const auto instances = static_cast<std::size_t>(m_setup.m_instances);
  m_servers.resize(upstreams);
  m_views.resize(upstreams * instances);
  m_reported.resize(upstreams * instances);
  m_fleet.resize(upstreams);
  m_result.m_by_kind.resize(m_setup.m_kinds.size());
  for (std::size_t instance = 0; instance < instances; ++instance) {
    m_refreshed.push_back(-static_cast<int>(m_random() % kPeriodMs));
  }
}

void LoadModel::UsePools(const UpstreamPoolParameters& parameters,
                         bool interpret) {
  m_interpret = interpret;
  for (int instance = 0; instance < m_setup.m_instances; ++instance) {
    UpstreamPool& pool = m_pools.emplace_back(parameters);
    pool.SetSeed(HashPair(m_setup.m_seed, static_cast<unsigned>(instance)));
    for (int upstream = 0; upstream < m_setup.m_upstreams; ++upstream) {
      RegisteredUpstream row;
      row.m_id = IdOf(upstream);
      row.m_service = ServiceId("service");
      row.m_endpoint = Endpoint("10.0.0.1:80");
      row.m_slots = m_setup.m_slots;
      pool.Put(row, Time());
    }
  }
}

std::vector<PromptPart> LoadModel::Prompt(const Request& request) const {
  const ModelKind& kind =
      m_setup.m_kinds[static_cast<std::size_t>(request.m_kind)];
  if (kind.m_shared_tokens == 0) {
    return {};
  }
  const auto chat = static_cast<std::uint64_t>(request.m_chat);
  return {{PartId(HashPair(1, chat)), Tokens(kind.m_shared_tokens)},
          {PartId(HashPair(chat, static_cast<unsigned>(request.m_arrived))),
           Tokens(kind.m_own_tokens)}};
}

double LoadModel::Age(int instance) const {
  const int since = m_now - m_refreshed[static_cast<std::size_t>(instance)];
  return IsFlat() ? kPeriodMs / 2.0 : since + kPeriodMs / 2.0 + kRelayDelayMs;
}

void LoadModel::ChangeSpeeds() {
  if (m_setup.m_slow_factor <= 1.0 || m_now % m_setup.m_slow_ms != 0) {
    return;
  }
  for (Server& server : m_servers) {
    server.m_factor = 1.0;
  }
  for (int count = std::max(1, m_setup.m_upstreams / 7); count > 0; --count) {
    m_servers[m_arrivals() % m_servers.size()].m_factor = m_setup.m_slow_factor;
  }
}

void LoadModel::Exchange() {
  if (m_now % kPastStepMs == 0) {
    m_past.push_front(m_fleet);
    if (m_past.size() > kRelayDelayMs / kPastStepMs + 1) {
      m_past.pop_back();
    }
  }
  for (int instance = 0; instance < m_setup.m_instances; ++instance) {
    const bool is_due =
        m_now - m_refreshed[static_cast<std::size_t>(instance)] >= kPeriodMs;
    if (is_due) {
      m_refreshed[static_cast<std::size_t>(instance)] = m_now;
      for (int upstream = 0; upstream < m_setup.m_upstreams; ++upstream) {
        int& reported = m_reported[Index(instance, upstream)];
        const int own = View(instance, upstream).m_own;
        m_fleet[static_cast<std::size_t>(upstream)] += own - reported;
        reported = own;
      }
    }
    // In a flat fleet counts arrive at any time. Taking them every 20 ms is
    // enough.
    if (!is_due && !(IsFlat() && m_now % 20 == 0)) {
      continue;
    }
    std::vector<ActiveRequests> others;
    const std::vector<int>& sums =
        IsFlat() || m_past.empty() ? m_fleet : m_past.back();
    for (int upstream = 0; upstream < m_setup.m_upstreams; ++upstream) {
      ModelView& view = m_views[Index(instance, upstream)];
      view.m_others = std::max(0, sums[static_cast<std::size_t>(upstream)] -
                                      m_reported[Index(instance, upstream)]);
      if (view.m_others > 0) {
        others.push_back({HashOf(IdOf(upstream)), view.m_others});
      }
    }
    if (!m_pools.empty()) {
      std::sort(others.begin(), others.end());
      Pool(instance).SetPeerActive(InstanceId("others"), others);
      Pool(instance).SetLoadAge(std::chrono::milliseconds(
          IsFlat() ? kPeriodMs : 2 * (kPeriodMs + kRelayDelayMs)));
      Pool(instance).SetInterpretLoads(m_interpret && !IsFlat());
    }
  }
}

void LoadModel::Arrive() {
  const double factor = m_now % 1000 < 300 ? m_setup.m_burst : 1.0;
  std::poisson_distribution<int> count(m_setup.m_rate * factor / 1000.0);
  for (int left = count(m_arrivals); left > 0; --left) {
    Request request;
    double point = std::uniform_real_distribution<>(0, 1)(m_arrivals);
    for (std::size_t kind = 0; kind + 1 < m_setup.m_kinds.size(); ++kind) {
      point -= m_setup.m_kinds[kind].m_share;
      if (point < 0) {
        break;
      }
      ++request.m_kind;
    }
    const ModelKind& kind =
        m_setup.m_kinds[static_cast<std::size_t>(request.m_kind)];
    const auto chat =
        static_cast<int>(m_arrivals() % static_cast<unsigned>(kind.m_chats));
    const int age = m_now + chat * kind.m_chat_ms / kind.m_chats;
    request.m_chat =
        request.m_kind * 1000000 + chat + age / kind.m_chat_ms * kind.m_chats;
    request.m_instance = static_cast<int>(
        m_arrivals() % static_cast<unsigned>(m_setup.m_instances));
    request.m_arrived = m_now;
    request.m_work_left =
        kind.m_work_ms * std::uniform_real_distribution<>(0.5, 1.5)(m_arrivals);
    if (m_now >= kWarmUpMs) {
      ++m_result.m_requests;
      ++m_result.m_by_kind[static_cast<std::size_t>(request.m_kind)][0];
      m_result.m_load_age_ms += Age(request.m_instance);
    }
    Send(std::move(request));
  }
}

void LoadModel::Send(Request request) {
  const int upstream = m_choose(*this, request);
  if (upstream < 0) {
    m_result.m_lost += request.m_arrived >= kWarmUpMs ? 1 : 0;
    return;
  }
  Server& server = m_servers[static_cast<std::size_t>(upstream)];
  if (server.Load() >= m_setup.m_slots + m_setup.m_queue) {
    m_result.m_refusals += request.m_arrived >= kWarmUpMs ? 1 : 0;
    request.m_tried.push_back(upstream);
    Send(std::move(request));
    return;
  }
  request.m_sent = m_now;
  ++m_views[Index(request.m_instance, upstream)].m_own;
  if (!m_pools.empty()) {
    const std::vector<PromptPart> prompt = Prompt(request);
    Pool(request.m_instance)
        .NoteSent(IdOf(upstream), prompt.empty() ? nullptr : &prompt, Time());
    // Instances hear of placements with the digests, every 200 ms in a flat
    // fleet and later in others; the model tells the next instances at once.
    for (const auto& placement : Pool(request.m_instance).TakePlacements()) {
      for (int step = 1; step < std::min(m_setup.m_instances, 8); ++step) {
        Pool((request.m_instance + step) % m_setup.m_instances)
            .NotePeerPlacement(placement, Time());
      }
    }
  }
  if (static_cast<int>(server.m_running.size()) < m_setup.m_slots) {
    Start(upstream, std::move(request));
  } else {
    server.m_waiting.push_back(std::move(request));
  }
}

void LoadModel::Start(int upstream, Request request) {
  Server& server = m_servers[static_cast<std::size_t>(upstream)];
  const ModelKind& kind =
      m_setup.m_kinds[static_cast<std::size_t>(request.m_kind)];
  int tokens = kind.m_own_tokens;
  if (kind.m_shared_tokens > 0 &&
      server.m_cached.insert(request.m_chat).second) {
    tokens += kind.m_shared_tokens;
    if (m_now >= kWarmUpMs) {
      m_result.m_processed += kind.m_shared_tokens;
    }
  }
  request.m_prompt_left = tokens / kTokensPerMs;
  server.m_running.push_back(std::move(request));
}

void LoadModel::NoteStarted(Request* request) {
  request->m_started = true;
  const ModelKind& kind =
      m_setup.m_kinds[static_cast<std::size_t>(request->m_kind)];
  if (kind.m_first_token && request->m_arrived >= kWarmUpMs &&
      m_now - request->m_arrived <= kind.m_target_ms) {
    ++m_result.m_within;
    ++m_result.m_by_kind[static_cast<std::size_t>(request->m_kind)][1];
  }
}

void LoadModel::Advance(int upstream) {
  Server& server = m_servers[static_cast<std::size_t>(upstream)];
  const double step = 1.0 / server.m_factor;
  double prompt_step = step;  // Prompts are processed one after the other.
  for (std::size_t index = 0; index < server.m_running.size();) {
    Request& request = server.m_running[index];
    if (request.m_prompt_left > 0) {
      const double done = std::min(prompt_step, request.m_prompt_left);
      request.m_prompt_left -= done;
      prompt_step -= done;
      ++index;
      continue;
    }
    if (!request.m_started) {
      NoteStarted(&request);
      if (!m_pools.empty()) {
        const std::vector<PromptPart> prompt = Prompt(request);
        Pool(request.m_instance)
            .NoteFirstResponse(IdOf(upstream),
                               prompt.empty() ? nullptr : &prompt);
      }
    }
    request.m_work_left -= step;
    if (request.m_work_left > 0) {
      ++index;
      continue;
    }
    const Request ended = std::move(request);
    server.m_running.erase(server.m_running.begin() +
                           static_cast<std::ptrdiff_t>(index));
    End(upstream, ended);
  }
  while (!server.m_waiting.empty() &&
         static_cast<int>(server.m_running.size()) < m_setup.m_slots) {
    Request next = std::move(server.m_waiting.front());
    server.m_waiting.pop_front();
    Start(upstream, std::move(next));
  }
}

void LoadModel::End(int upstream, const Request& request) {
  const ModelKind& kind =
      m_setup.m_kinds[static_cast<std::size_t>(request.m_kind)];
  const int total = m_now - request.m_arrived;
  if (!kind.m_first_token && request.m_arrived >= kWarmUpMs &&
      total <= kind.m_target_ms) {
    ++m_result.m_within;
    ++m_result.m_by_kind[static_cast<std::size_t>(request.m_kind)][1];
  }
  const Server& server = m_servers[static_cast<std::size_t>(upstream)];
  ModelView& view = m_views[Index(request.m_instance, upstream)];
  --view.m_own;
  const double duration = m_now - request.m_sent + 1;
  view.m_mean_ms =
      view.m_mean_ms == 0 ? duration : 0.85 * view.m_mean_ms + 0.15 * duration;
  view.m_report = {static_cast<int>(server.m_running.size()),
                   static_cast<int>(server.m_waiting.size()), m_setup.m_slots,
                   WorkFactor(server.m_factor)};
  view.m_report_at = m_now;
  if (!m_pools.empty()) {
    const std::vector<PromptPart> prompt = Prompt(request);
    UpstreamPool& pool = Pool(request.m_instance);
    pool.NoteEnd(
        IdOf(upstream), AttemptHealth::kServed,
        std::chrono::microseconds(static_cast<std::int64_t>(duration * 1000)),
        prompt.empty() ? nullptr : &prompt, request.m_started, Time());
    pool.NoteLoad(IdOf(upstream), view.m_report, Time());
  }
}

void LoadModel::Sample() {
  if (m_now < kWarmUpMs || m_now % 5 != 0) {
    return;
  }
  int busiest = 0;
  int queue = 0;
  double sum = 0;
  for (const Server& server : m_servers) {
    busiest = std::max(busiest, server.Load());
    queue = std::max(queue, static_cast<int>(server.m_waiting.size()));
    sum += server.Load();
  }
  m_result.m_longest_queue = std::max(m_result.m_longest_queue, queue);
  if (sum > 0) {
    m_result.m_busiest += busiest * m_setup.m_upstreams / sum;
    m_result.m_mean_queue += queue;
    ++m_samples;
  }
}

ModelResult LoadModel::Run() {
  for (; m_now < m_setup.m_duration_ms + kDrainMs; ++m_now) {
    ChangeSpeeds();
    for (int upstream = 0; upstream < m_setup.m_upstreams; ++upstream) {
      Advance(upstream);
    }
    Exchange();
    if (m_now < m_setup.m_duration_ms) {
      Arrive();
      Sample();
    }
  }
  m_result.m_busiest /= std::max(1, m_samples);
  m_result.m_mean_queue /= std::max(1, m_samples);
  m_result.m_processed /= std::max(1, m_result.m_requests);
  m_result.m_load_age_ms /= std::max(1, m_result.m_requests);
  return m_result;
}

}  // namespace nutmeghollow
