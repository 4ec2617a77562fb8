/// @file
/// Observes whether this instance reaches the upstreams, and checks it when
/// there is evidence against it.
///
/// A check is a request that names no registered upstream, which each upstream
/// rejects at once without running it. Any response counts: a connection that
/// is accepted and then stays silent or is reset does not reach the upstream.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/reachability.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// What the monitor needs of the gateway.
struct ReachabilityHooks {
  /// @return the upstreams that may be checked.
  std::function<std::vector<RegisteredUpstream>()> m_upstreams;
  /// @return the live instances, other than this one, that reach upstreams.
  std::function<std::vector<InstanceId>()> m_others_reaching;
  /// @return the header of a check.
  std::function<net::HeaderList()> m_check_headers;
  /// Called after each round of checks.
  std::function<void(ReachabilityState before, ReachabilityState now)>
      m_on_round;
};

/// Feeds the decision with evidence and the results of checks.
class ReachabilityMonitor {
 public:
  /// @param client and @param metrics must outlive this object.
  ReachabilityMonitor(struct ev_loop* loop,
                      net::HttpClient* client,
                      MetricsRegistry* metrics,
                      ReachabilityHooks hooks);
  ~ReachabilityMonitor();
  ReachabilityMonitor(const ReachabilityMonitor&) = delete;
  ReachabilityMonitor& operator=(const ReachabilityMonitor&) = delete;

  /// Evidence, see Reachability.
  void NoteSent(net::HttpCallId call);
  void NoteHeard(net::HttpCallId call);
  /// @param health of an attempt that ended.
  void NoteEnd(net::HttpCallId call,
               const UpstreamId& upstream,
               AttemptHealth health);

  /// Checks whether this instance is cut off, unless that is known.
  /// @param decided called once when it is known, possibly before this returns.
  void Verify(std::function<void()> decided);
  /// As Verify, without a check when there is no suspicion.
  void WhenDecided(std::function<void()> decided);

  bool IsCutOff() const {
    return m_reachability.State() == ReachabilityState::kCutOff;
  }
  /// @return true while a failure tells nothing about the upstream.
  bool IsInDoubt() const { return IsCutOff() || AwaitsVerdict(); }
  bool AwaitsVerdict() const { return m_reachability.AwaitsVerdict(); }
  UpstreamReach OwnReach() const { return m_reachability.OwnReach(); }
  /// @return share of requests to send directly to upstreams.
  double DirectShare() const;

 private:
  void Update();
  void StartTimer();
  void StartRound();
  /// Chooses upstreams at random, of as many services as possible, first ones
  /// that have not failed.
  std::vector<RegisteredUpstream> ChooseChecked();
  void HandleCheck(const UpstreamId& upstream, bool responded);
  void EndRound();
  void HandleChange(ReachabilityState before, const ReachabilityRound& round);

  net::HttpClient* m_client;
  MetricsRegistry* m_metrics;
  ReachabilityHooks m_hooks;
  Reachability m_reachability;
  net::Timer m_timer;
  std::mt19937_64 m_random{std::random_device()()};
  std::map<UpstreamId, net::HttpCallId> m_checks;  ///< In progress.
  std::string m_checked;  ///< Upstreams of the round, separated by commas.
  ReachabilityRound m_round;
  TimePoint m_cut_off_since{};
  std::vector<std::function<void()>> m_decided;
};

}  // namespace nutmeghollow
