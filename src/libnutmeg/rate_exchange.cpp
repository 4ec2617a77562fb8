#include "nutmeghollow/rate_exchange.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace nutmeghollow {
namespace {

/// Share of the instances that must be reachable for permits to be granted at
/// the full rate: two parts of a divided fleet cannot both have it.
constexpr double kMajority = 0.5;
/// Longest delay that is stated for a process with a rate near zero.
constexpr Duration kMaxPermitDelay = std::chrono::seconds(2);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

RateExchange::RateExchange(InstanceId self,
                           const EntryDirectory* directory,
                           RateLimits* limits,
                           Hooks hooks,
                           RateExchangeParameters parameters)
    : m_self(std::move(self)),
      m_directory(directory),
      m_limits(limits),
      m_hooks(std::move(hooks)),
      m_parameters(parameters),
      m_allocator(m_self, directory) {}

bool RateExchange::IsAllocator(TimePoint now) {
  const InstanceId before = m_allocator.Current();
  if (m_allocator.Choose(now) != before) {
    m_buckets.clear();
  }
  return m_allocator.Current() == m_self;
}

void RateExchange::Request(std::vector<LimitedProcess> processes,
                           std::function<void()> done,
                           TimePoint now) {
  processes.resize(std::min(processes.size(), kMaxProcessesPerPermitRequest));
  PermitRequest request{PermitRequestId(++m_last_request),
                        std::move(processes)};
  const bool is_allocator = IsAllocator(now);
  m_open.emplace(request.m_id,
                 OpenRequest{m_allocator.Current(), now, std::move(done)});
  if (is_allocator) {
    RespondOrWait({m_self, std::move(request), now}, now);
  } else {
    m_hooks.m_send_request(m_allocator.Current(), request);
  }
}

void RateExchange::CheckTimeouts(TimePoint now) {
  std::vector<std::function<void()>> late;
  bool missed = false;
  for (auto request = m_open.begin(); request != m_open.end();) {
    if (now - request->second.m_sent_at < m_parameters.m_response_timeout) {
      ++request;
      continue;
    }
    // Those that an allocator before did not answer tell nothing about this
    // one.
    missed |= request->second.m_to == m_allocator.Current();
    late.push_back(std::move(request->second.m_done));
    request = m_open.erase(request);
  }
  if (missed) {
    m_allocator.NoteTimeout(now);
  }
  for (const auto& done : late) {
    done();
  }
}

void RateExchange::HandleRequest(const InstanceId& from,
                                 const PermitRequest& request,
                                 TimePoint now) {
  // Without a response the sender uses another allocator.
  if (IsAllocator(now)) {
    RespondOrWait({from, request, now}, now);
  }
}

void RateExchange::RespondOrWait(Waiting waiting, TimePoint now) {
  const PermitResponse response =
      Respond(waiting.m_from, waiting.m_request, now);
  const bool may_wait = m_parameters.m_max_wait > Duration::zero() &&
                        m_waiting.size() < m_parameters.m_max_waiting;
  if (response.m_granted || !may_wait) {
    Send(waiting.m_from, response, now);
  } else {
    m_waiting.push_back(std::move(waiting));
  }
}

void RateExchange::GrantWaiting(const UpstreamProcess& process, TimePoint now) {
  const double share = m_waiting.empty() ? 0 : OwnShare(now);
  std::vector<std::pair<InstanceId, PermitResponse>> granted;
  for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
    const auto& wanted = waiting->m_request.m_processes;
    const auto entry =
        std::find_if(wanted.begin(), wanted.end(),
                     [&](const auto& one) { return one.m_process == process; });
    if (entry == wanted.end()) {
      ++waiting;
      continue;
    }
    if (m_hooks.m_grant(waiting->m_from, *entry, share, now)) {
      break;
    }
    granted.emplace_back(waiting->m_from,
                         PermitResponse{waiting->m_request.m_id, process, {}});
    waiting = m_waiting.erase(waiting);
  }
  for (const auto& [to, response] : granted) {
    Send(to, response, now);
  }
}

void RateExchange::EndWaiting(TimePoint now) {
  while (!m_waiting.empty() &&
         now - m_waiting.front().m_since >= m_parameters.m_max_wait) {
    const Waiting waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    Send(waiting.m_from, Respond(waiting.m_from, waiting.m_request, now), now);
  }
}

void RateExchange::Send(const InstanceId& to,
                        const PermitResponse& response,
                        TimePoint now) {
  if (to == m_self) {
    HandleResponse(m_self, response, now);
  } else {
    m_hooks.m_send_response(to, response);
  }
}

void RateExchange::HandleResponse(const InstanceId& from,
                                  const PermitResponse& response,
                                  TimePoint now) {
  m_allocator.NoteResponse(from);
  Apply(response, now);
  const auto request = m_open.find(response.m_id);
  if (request != m_open.end()) {
    const auto done = std::move(request->second.m_done);
    m_open.erase(request);
    done();
  }
}

void RateExchange::Apply(const PermitResponse& response, TimePoint now) {
  if (response.m_granted) {
    m_limits->AddPermit(*response.m_granted, now);
  }
  for (const PermitDelay& entry : response.m_exhausted) {
    m_limits->NoteExhausted(entry.m_process, now + entry.m_delay);
  }
}

PermitResponse RateExchange::Respond(const InstanceId& from,
                                     const PermitRequest& request,
                                     TimePoint now) {
  std::erase_if(m_buckets, [&](const auto& entry) {
    return now - entry.second.m_filled_at >= m_parameters.m_bucket_expiry;
  });
  PermitResponse response{request.m_id, std::nullopt, {}};
  for (const LimitedProcess& process : request.m_processes) {
    const std::optional<Duration> delay =
        m_hooks.m_grant ? m_hooks.m_grant(from, process, OwnShare(now), now)
                        : Grant(process, now);
    if (!delay) {
      response.m_granted = process.m_process;
      break;
    }
    response.m_exhausted.push_back({process.m_process, *delay});
  }
  return response;
}

std::optional<Duration> RateExchange::Grant(const LimitedProcess& process,
                                            TimePoint now) {
  Bucket& bucket = Fill(process, now);
  if (bucket.m_permits >= 1.0) {
    bucket.m_permits -= 1.0;
    return std::nullopt;
  }
  const double missing = 1.0 - bucket.m_permits;
  const double seconds =
      bucket.m_rate > 0 ? missing / bucket.m_rate : Seconds(kMaxPermitDelay);
  return Duration(static_cast<std::int64_t>(
      1e6 * std::min(seconds, Seconds(kMaxPermitDelay))));
}

RateExchange::Bucket& RateExchange::Fill(const LimitedProcess& process,
                                         TimePoint now) {
  const double rate =
      m_limits->RateOf(process.m_process).value_or(process.m_rate) *
      OwnShare(now);
  const auto [entry, is_new] = m_buckets.try_emplace(
      process.m_process,
      Bucket{1.0 + rate * Seconds(m_parameters.m_first_burst), rate, now});
  Bucket& bucket = entry->second;
  const Duration burst = m_limits->IsCold(process.m_process, now)
                             ? m_parameters.m_cold_burst
                             : m_parameters.m_burst;
  bucket.m_permits =
      std::min(bucket.m_permits + rate * Seconds(now - bucket.m_filled_at),
               1.0 + rate * Seconds(burst));
  bucket.m_rate = rate;
  bucket.m_filled_at = now;
  return bucket;
}

double RateExchange::OwnShare(TimePoint now) const {
  // This instance counts while it stops, too, when it has no entry any more.
  double alive = 1;
  double size = 1;
  for (const auto& [id, instance] : m_directory->Instances()) {
    if (id != m_self) {
      alive += instance.m_alive ? 1 : 0;
      size += 1;
    }
  }
  if (m_allocator.IsContested(now)) {
    return 1.0 / size;
  }
  return alive / size >= kMajority ? 1.0 : alive / size;
}

}  // namespace nutmeghollow
