#include "nutmegd/reachability_monitor.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libnet/log.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr Duration kUpdateInterval = std::chrono::milliseconds(50);
/// A rejection takes a round trip and no slot of the upstream.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(250);
constexpr Bytes kCheckBodyLimit{4 << 10};

std::int64_t Milliseconds(Duration duration) {
  return duration.count() / 1000;
}

template <typename Id>
std::string Join(const std::vector<Id>& ids, std::size_t limit) {
  std::string text;
  for (std::size_t index = 0; index < std::min(limit, ids.size()); ++index) {
    text += (text.empty() ? "" : ",") + ids[index].str();
  }
  return text;
}

/// Maximum number of ids in a line of the log.
constexpr std::size_t kMaxLoggedIds = 5;

}  // namespace

ReachabilityMonitor::ReachabilityMonitor(struct ev_loop* loop,
                                         net::HttpClient* client,
                                         MetricsRegistry* metrics,
                                         ReachabilityHooks hooks)
    : m_client(client),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_timer(loop, [this] { Update(); }) {
  metrics->SetGauge("nutmeg_gateway_reachability", "", [this] {
    return static_cast<double>(m_reachability.State());
  });
}

ReachabilityMonitor::~ReachabilityMonitor() {
  for (const auto& [upstream, call] : m_checks) {
    m_client->Cancel(call);
  }
}

void ReachabilityMonitor::NoteSent(net::HttpCallId call) {
  m_reachability.NoteSent(call.value(), BootTime());
  StartTimer();
}

void ReachabilityMonitor::NoteHeard(net::HttpCallId call) {
  m_reachability.NoteHeard(call.value(), !m_client->IsOnReusedConnection(call),
                           BootTime());
}

void ReachabilityMonitor::NoteEnd(net::HttpCallId call,
                                  const UpstreamId& upstream,
                                  AttemptHealth health) {
  m_reachability.NoteEnd(call.value());
  if (IsPathFailure(health)) {
    m_reachability.NoteFailure(upstream, BootTime());
    StartTimer();
  }
}

void ReachabilityMonitor::Verify(std::function<void()> decided) {
  m_reachability.Suspect(BootTime());
  WhenDecided(std::move(decided));
}

void ReachabilityMonitor::WhenDecided(std::function<void()> decided) {
  if (!AwaitsVerdict()) {
    decided();
    return;
  }
  m_decided.push_back(std::move(decided));
  m_timer.Start(Duration::zero());
}

double ReachabilityMonitor::DirectShare() const {
  return m_reachability.DirectShare(BootTime());
}

void ReachabilityMonitor::StartTimer() {
  if (!m_timer.Active()) {
    m_timer.Start(m_reachability.AwaitsVerdict() ? Duration::zero()
                                                 : kUpdateInterval);
  }
}

void ReachabilityMonitor::Update() {
  if (m_reachability.IsRoundDue(BootTime())) {
    StartRound();
  }
  if (m_reachability.IsActive()) {
    m_timer.Start(kUpdateInterval);
  }
}

std::vector<RegisteredUpstream> ReachabilityMonitor::ChooseChecked() {
  std::vector<RegisteredUpstream> upstreams = m_hooks.m_upstreams();
  std::shuffle(upstreams.begin(), upstreams.end(), m_random);
  std::set<ServiceId> services;
  std::stable_partition(upstreams.begin(), upstreams.end(),
                        [&](const RegisteredUpstream& upstream) {
                          return services.insert(upstream.m_service).second;
                        });
  const std::vector<UpstreamId> failed = m_reachability.FailedUpstreams();
  std::stable_partition(upstreams.begin(), upstreams.end(),
                        [&](const RegisteredUpstream& upstream) {
                          return std::find(failed.begin(), failed.end(),
                                           upstream.m_id) == failed.end();
                        });
  upstreams.resize(
      std::min(upstreams.size(),
               static_cast<std::size_t>(m_reachability.ChecksWanted())));
  return upstreams;
}

void ReachabilityMonitor::StartRound() {
  const std::vector<RegisteredUpstream> upstreams = ChooseChecked();
  m_reachability.NoteRoundBegan(BootTime());
  m_metrics->Count("nutmeg_gateway_reachability_rounds");
  m_round = {};
  m_round.m_checked = static_cast<int>(upstreams.size());
  std::vector<UpstreamId> ids;
  for (const RegisteredUpstream& upstream : upstreams) {
    ids.push_back(upstream.m_id);
    net::HttpCall call;
    call.m_endpoint = upstream.m_endpoint;
    call.m_headers = m_hooks.m_check_headers();
    call.m_connect_timeout = kCheckTimeout;
    call.m_head_timeout = kCheckTimeout;
    call.m_total_timeout = kCheckTimeout;
    call.m_dedicated_connection = true;
    m_checks[upstream.m_id] =
        net::Fetch(*m_client, std::move(call), kCheckBodyLimit,
                   [this, id = upstream.m_id](const net::HttpResponse& result) {
                     HandleCheck(id, result.m_status != 0);
                   });
  }
  m_checked = Join(ids, kMaxLoggedIds);
  if (m_checks.empty()) {
    EndRound();
  }
}

void ReachabilityMonitor::HandleCheck(const UpstreamId& upstream,
                                      bool responded) {
  m_checks.erase(upstream);
  m_round.m_responded += responded ? 1 : 0;
  const bool decided =
      responded && m_reachability.State() == ReachabilityState::kSuspected;
  if (m_checks.empty() || decided) {
    EndRound();
  }
}

void ReachabilityMonitor::EndRound() {
  for (const auto& [upstream, call] : m_checks) {
    m_client->Cancel(call);
  }
  m_checks.clear();
  m_round.m_others_reaching =
      static_cast<int>(m_hooks.m_others_reaching().size());
  const ReachabilityState before = m_reachability.State();
  const std::vector<UpstreamId> failed = m_reachability.FailedUpstreams();
  m_reachability.NoteRound(m_round, BootTime());
  if (m_reachability.State() == ReachabilityState::kCutOff &&
      before != ReachabilityState::kCutOff) {
    Log(LogLevel::kWarning, "cut_off_from_upstreams",
        {{"failed", Join(failed, kMaxLoggedIds)},
         {"failed_upstreams", static_cast<std::int64_t>(failed.size())},
         {"waiting", static_cast<std::int64_t>(m_reachability.Waiting())},
         {"evidence_age_ms",
          Milliseconds(BootTime() - m_reachability.EvidenceSince())},
         {"checked", m_checked},
         {"others_reaching", std::int64_t{m_round.m_others_reaching}},
         {"such_as", Join(m_hooks.m_others_reaching(), kMaxLoggedIds)}});
  }
  HandleChange(before, m_round);
}

void ReachabilityMonitor::HandleChange(ReachabilityState before,
                                       const ReachabilityRound& round) {
  const ReachabilityState state = m_reachability.State();
  if (state == ReachabilityState::kCutOff && state != before) {
    m_cut_off_since = BootTime();
    m_metrics->Count("nutmeg_gateway_cut_off");
  }
  if (before == ReachabilityState::kCutOff && state != before) {
    Log(LogLevel::kInfo,
        state == ReachabilityState::kReturning
            ? "upstreams_reachable_again"
            : "no_instance_reaches_upstreams",
        {{"cut_off_ms", Milliseconds(BootTime() - m_cut_off_since)},
         {"checked", m_checked},
         {"responded", std::int64_t{round.m_responded}}});
  }
  m_hooks.m_on_round(before, state);
  if (!AwaitsVerdict()) {
    for (const auto& decided : std::exchange(m_decided, {})) {
      decided();
    }
  }
}

}  // namespace nutmeghollow
