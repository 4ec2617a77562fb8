/// @file
/// Registry, passive health tracking and selection of the upstreams of all
/// services.
///
/// Health is derived from ordinary traffic. An upstream that is unreachable or
/// breaks connections gets no requests for an exponentially growing backoff,
/// and then a single trial request. When more than m_max_backoff_share of the
/// candidates of a request would back off, the backoff is ignored for all of
/// them, since the cause is then likely local to this instance.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "nutmeghollow/attempt_health.h"
#include "nutmeghollow/hot_parts.h"
#include "nutmeghollow/leaving_upstreams.h"
#include "nutmeghollow/priority_demand.h"
#include "nutmeghollow/rate_exchange.h"
#include "nutmeghollow/rate_limits.h"
#include "nutmeghollow/room_leases.h"
#include "nutmeghollow/routing.h"
#include "nutmeghollow/send_rules.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool_parameters.h"

namespace nutmeghollow {

/// Number of requests of an instance in progress at an upstream.
struct ActiveRequests {
  UpstreamHash m_upstream;
  int m_count = 0;

  /// Order by upstream.
  friend bool operator<(const ActiveRequests& a, const ActiveRequests& b) {
    return a.m_upstream < b.m_upstream;
  }
};

/// Record that a part of a prompt was sent to an upstream.
struct PartPlacement {
  PartId m_part;
  UpstreamHash m_upstream;
};

/// A part of a prompt, in the order of the prompt.
struct PromptPart {
  PartId m_id;
  Tokens m_tokens;
};

/// @param prompt non-empty prompt.
/// @return the last part that further requests of the chat share: the chat's
/// history. The part after it is specific to the request.
PartId ChatPart(const std::vector<PromptPart>& prompt);

/// Registration of an upstream.
struct RegisteredUpstream {
  UpstreamId m_id;
  std::int64_t m_start_time_ms = 0;  ///< Wall-clock start of its process.
  ServiceId m_service;
  Endpoint m_endpoint;
  DataCentreId m_data_centre;
  SoftwareVersion m_version;  ///< Empty when not stated.
  int m_slots = 1;
  bool m_draining = false;
  /// Time for which it stays cold; unset: not stated.
  std::optional<Duration> m_cold = Duration::zero();
};

/// @return the origin of an upstream's responses. The version is that of the
/// software; an upstream that states none is an origin by itself.
OriginHash OriginOf(const RegisteredUpstream& upstream);

/// Load reported by an upstream.
struct LoadReport {
  int m_running = 0;
  int m_waiting = 0;
  int m_slots = 1;
  /// Speed of the upstream's machine when it reported; unset: not stated.
  std::optional<WorkFactor> m_work_factor = std::nullopt;
};

/// Criteria for choosing an upstream for a request.
struct UpstreamQuery {
  ServiceId m_service;
  const std::vector<PromptPart>* m_prompt = nullptr;  ///< Null for none.
  std::vector<UpstreamId> m_tried;                    ///< Not to be chosen.
  DataCentreId m_data_centre;   ///< Tie-breaker: preferred location.
  Duration m_latency_target{};  ///< For the time to first token.
  int m_priority = 0;           ///< Rank; 0 is the most urgent.
  /// Origin that the upstream must have; unset for any.
  std::optional<OriginHash> m_origin;
  HomeRegions m_homes;  ///< Regions that the request may reach.
};

/// Chosen upstream and the figures behind the choice.
struct UpstreamChoice {
  UpstreamId m_id;
  int m_rank = 0;              ///< In the prompt's rendezvous order.
  double m_load = 0;           ///< Estimated requests in progress.
  double m_mean_load = 0;      ///< Of the service's upstreams.
  double m_unread_tokens = 0;  ///< Estimated uncached prompt tokens.
  double m_bound = 0;          ///< Of the load of an engine.
  /// The first engine of the order was over the load bound.
  bool m_home_over_bound = false;
  bool m_spread =
      false;  ///< One of the engines that a hot chat is spread over.
  Duration m_load_age{};  ///< Of the oldest loads of other instances.
  /// Requests in progress that are expected there now, with those that other
  /// instances are expected to have sent since the loads were counted.
  double m_estimate = 0;
  bool m_interpreted = false;  ///< Drawn by load interpretation.
  bool m_limited = false;      ///< Chosen with a permit for its request rate.
  bool m_leased = false;       ///< Chosen with a lease of a brittle upstream.
};

struct ChoiceExplanation;

/// Registered upstreams of all services.
class UpstreamPool {
 public:
  explicit UpstreamPool(UpstreamPoolParameters parameters = {});

  /// Sets the seed for breaking ties between equal upstreams. It differs
  /// between instances, so that they do not all choose the same upstream.
  void SetSeed(std::uint64_t seed) { m_seed = seed; }

  /// Adds or updates a registration. Another process or address under the same
  /// id is a new upstream and resets the state of the old one.
  void Put(const RegisteredUpstream& registration, TimePoint now);
  void Remove(const UpstreamId& id);
  /// @return ids of the registered upstreams.
  std::vector<UpstreamId> Ids() const;
  /// @return the registration, or null.
  const RegisteredUpstream* Find(const UpstreamId& id) const;

  /// @return the registrations of upstreams that neither leave nor refuse
  /// requests for a stated time, outside evacuated data centres.
  std::vector<RegisteredUpstream> Accepting(TimePoint now) const;

  /// @return true when another process is registered under an upstream's id.
  bool IsReplaced(const UpstreamId& id, std::int64_t start_time_ms) const;
  /// @return the service whose upstreams have an origin; empty when none has.
  ServiceId ServiceOf(OriginHash origin) const;

  /// Chooses an upstream that accepts new requests.
  /// @return nothing when the service has none.
  std::optional<UpstreamChoice> Choose(const UpstreamQuery& upstream_query,
                                       TimePoint now);
  /// Explains where a request would be sent now. Changes no state.
  ChoiceExplanation ExplainChoice(const UpstreamQuery& upstream_query,
                                  TimePoint now) const;
  /// @return upstreams that are cold, whether their service has a policy or
  /// not, and for how long.
  std::vector<std::pair<UpstreamId, Duration>> ColdUpstreams(
      TimePoint now) const;
  /// @return true when a request may still be sent to the chosen process of an
  /// upstream; false when it is removed or replaced, or when there is a lasting
  /// obstacle.
  bool TakesRequests(const UpstreamQuery& upstream_query,
                     const UpstreamId& id,
                     std::int64_t start_time_ms) const;
  /// Evacuated data centres.
  const Evacuations& EvacuatedDataCentres() const {
    return m_tables.m_evacuations;
  }
  /// Upstreams in a data centre, and requests of this instance in progress
  /// there.
  struct DataCentreUse {
    int m_upstreams = 0;
    int m_active = 0;
  };
  DataCentreUse UseOf(const DataCentreId& data_centre) const;
  /// Stops sending new requests to the upstreams of a data centre.
  /// @return false when the name cannot be that of a data centre.
  bool BeginEvacuation(const DataCentreId& data_centre) {
    return m_tables.m_evacuations.Begin(data_centre);
  }
  /// @return false when the data centre was not evacuated.
  bool EndEvacuation(const DataCentreId& data_centre) {
    return m_tables.m_evacuations.End(data_centre);
  }
  /// @return number of upstreams in evacuated data centres.
  int EvacuatedUpstreams() const;
  /// Sets the region of each data centre, for requests with home regions.
  void SetRegions(RegionMap regions) {
    m_tables.m_regions = std::move(regions);
  }
  /// Counts a new request, and decides whether it may use a permit: less urgent
  /// requests leave them to the more urgent ones when there are too few.
  bool AdmitRequest(const UpstreamQuery& upstream_query, TimePoint now);
  /// @return limited upstreams to which a request should rather be sent than to
  /// the one that Choose returns, if there were permits; the best first. While
  /// none of them needs a permit for its rate, those that need a lease.
  std::vector<LimitedProcess> PermitsWanted(const UpstreamQuery& upstream_query,
                                            TimePoint now);
  /// @return true when a request that was chosen an upstream for may still be
  /// sent: false when the upstream has stated a limit since.
  bool MaySend(const UpstreamChoice& choice) const;
  /// @return time until the first of a service's upstreams accepts requests
  /// again according to its stated refusal; nothing when one does not refuse,
  /// or none is registered.
  std::optional<Duration> RefusedFor(const ServiceId& service,
                                     TimePoint now) const;
  /// Called when a request is refused for want of permits. Successive requests
  /// are given successive times, as far apart as the permits of this instance.
  /// @return time until the request may be sent; nothing when one of the
  /// service's upstreams has no limit.
  std::optional<Duration> PermitWait(const ServiceId& service, TimePoint now);

  /// Records that a request was sent. @param prompt null for none.
  void NoteSent(const UpstreamId& id,
                const std::vector<PromptPart>* prompt,
                TimePoint now);
  /// Records the first part of a response: the prompt has been processed.
  void NoteFirstResponse(const UpstreamId& id,
                         const std::vector<PromptPart>* prompt);
  /// Records the end of an attempt.
  /// @param duration from sending to the end; zero when it is no measure of the
  /// upstream's speed.
  /// @param response_started true when NoteFirstResponse was called for the
  /// attempt.
  void NoteEnd(const UpstreamId& id,
               AttemptHealth health,
               Duration duration,
               const std::vector<PromptPart>* prompt,
               bool response_started,
               TimePoint now);
  /// Ends the backoff of all upstreams, since their failures were due to this
  /// instance's own paths.
  void ForgetFailures();
  /// Records a load report received with a response.
  void NoteLoad(const UpstreamId& id, const LoadReport& load, TimePoint now);
  /// Records that a process announced that it is leaving.
  /// @return true when this was not known before.
  bool NoteLeaving(const UpstreamProcess& process, TimePoint now);
  /// @return leaving processes to report to other instances.
  std::vector<UpstreamProcess> LeavingToReport(std::size_t limit,
                                               TimePoint now) const {
    return m_leaving.ToReport(limit, now);
  }
  /// Records that a process announced that it refuses requests.
  /// @param wait stated refusal time.
  void NoteRefusal(const UpstreamId& id,
                   std::int64_t start_time_ms,
                   Duration wait,
                   TimePoint now);
  /// Rates that upstreams stated.
  RateLimits& Limits() { return m_tables.m_limits; }
  const RateLimits& Limits() const { return m_tables.m_limits; }
  /// Refusals in a second at which upstreams fall over, as stated by brittle
  /// ones, and leases as permits.
  RateLimits& RefusalLimits() { return m_tables.m_refusal_limits; }
  const RateLimits& RefusalLimits() const { return m_tables.m_refusal_limits; }
  /// Sets what is called when a request to a brittle upstream has ended.
  void OnRoomReport(std::function<void(const RoomReport& report)> hook) {
    m_on_room_report = std::move(hook);
  }
  /// Gives leases back that were not used in time. Called every few
  /// milliseconds while an upstream is brittle.
  void ReturnLeases(TimePoint now);
  /// @return what this instance has at each brittle upstream.
  std::vector<RoomReport> RoomReports(TimePoint now) const;
  /// @return the id of a registered upstream; empty when there is none.
  UpstreamId IdOf(UpstreamHash upstream) const;
  /// Change of an upstream's cold state.
  struct ColdChange {
    UpstreamId m_id;
    bool m_is_cold = false;
    Duration m_remaining{};
    bool m_is_used = true;  ///< False for a time that is not plausible.
  };
  /// Sets what is called when an upstream becomes cold or warm, or states a
  /// time that is not plausible.
  void OnColdChange(std::function<void(const ColdChange& change)> hook) {
    m_on_cold_change = std::move(hook);
  }
  /// Sets what the upstreams of each service tolerate while they are cold.
  /// Services that are not listed have no limit.
  void SetColdPolicies(std::map<ServiceId, ColdPolicy> policies, TimePoint now);
  /// Records that a process stated for how long it stays cold.
  void NoteCold(const UpstreamId& id,
                std::int64_t start_time_ms,
                Duration remaining,
                TimePoint now);
  /// Brings limits up to date. Called several times a second.
  void UpdateLimits(TimePoint now);
  /// Records that another upstream responded at this one's address.
  void NoteReplaced(const UpstreamId& id, TimePoint now);

  /// @return number of requests of this instance in progress at an upstream.
  int Active(const UpstreamId& id) const;
  /// @return requests of this instance in progress, omitting idle upstreams, in
  /// ascending order of upstreams.
  std::vector<ActiveRequests> ActiveByUpstream() const;
  /// @return requests of all instances in progress, as far as known, omitting
  /// idle upstreams, in ascending order of upstreams.
  std::vector<ActiveRequests> FleetActive() const;
  /// Replaces the requests in progress of another instance.
  void SetPeerActive(const InstanceId& peer,
                     const std::vector<ActiveRequests>& active);
  void ClearPeerActive(const InstanceId& peer);
  /// Sets the age that loads of other instances reach before they are updated.
  void SetLoadAge(Duration age) { m_load_age = age; }
  /// Sets whether loads of other instances are interpreted by their age. Small
  /// fleets choose by the loads themselves.
  void SetInterpretLoads(bool interpret) { m_interpret_loads = interpret; }
  /// Moving averages over the choices of this instance.
  struct ChoiceStatistics {
    double m_load_age_s = 0;         ///< Mean age of the loads when used.
    double m_interpreted_share = 0;  ///< Of the choices.
  };
  const ChoiceStatistics& Statistics() const { return m_statistics; }
  /// @return placements of chats since the last call, the newest last.
  std::vector<PartPlacement> TakePlacements();
  /// Records a placement by another instance.
  void NotePeerPlacement(const PartPlacement& placement, TimePoint now);

  /// Slots of a service and the estimated number in use.
  struct Occupancy {
    double m_used_slots = 0;
    double m_total_slots = 0;
  };
  Occupancy OccupancyOf(const ServiceId& service, TimePoint now) const;

 private:
  struct Upstream {
    RegisteredUpstream m_registration;
    UpstreamHash m_hash;
    OriginHash m_origin;
    TimePoint m_cold_until{};  ///< As stated, whatever its service tolerates.
    bool m_limited_as_cold = false;
    int m_active = 0;
    double m_pending_prefill = 0;  ///< Tokens sent, not processed yet.
    int m_failures = 0;            ///< Consecutive.
    TimePoint m_backoff_until{};
    bool m_leaving = false;  ///< By registration or announcement.
    TimePoint m_refused_at{};
    TimePoint m_refused_until{};  ///< As stated by the upstream.
    bool m_refusal_tried = false;
    double m_failure_rate = 0;      ///< Moving average, 0 to 1.
    double m_mean_response_ms = 0;  ///< Moving average; 0: no response.
    std::optional<LoadReport> m_report;
    TimePoint m_report_at{};
    int m_active_at_report = 0;
    /// Time when parts were last sent here, by any instance as far as known.
    std::unordered_map<PartId, TimePoint> m_parts;
  };
  struct Candidate {
    const Upstream* m_upstream = nullptr;
    double m_load = 0;
    double m_cost = 0;
    double m_slowness = 1.0;  ///< Of a plain server, with its failures.
    bool m_backing_off = false;
    int m_rank = 0;
    double m_unread_tokens = 0;
    bool m_limited = false;       ///< Has a request rate limit.
    bool m_needs_permit = false;  ///< Cannot be chosen before one is received.
    bool m_leased = false;        ///< Is brittle.
    bool m_needs_lease = false;   ///< Cannot be chosen before one is received.
    bool m_is_over = false;       ///< Over the load bound.
  };
  /// Candidates of a request with their costs.
  struct Evaluation {
    std::vector<Candidate> m_candidates;
    double m_mean = 0;  ///< Load.
    double m_bound = 0;
  };

  /// Records the length of a request's shared prefix.
  void NotePrefix(const UpstreamQuery& upstream_query);
  /// @return the cost of a permit for a request.
  double PermitCost(const UpstreamQuery& upstream_query) const;
  static double MeanLoad(const std::vector<Candidate>& candidates);
  Evaluation Evaluate(const UpstreamQuery& upstream_query, TimePoint now) const;
  /// Chooses one of the candidates, with the draws of the next request.
  std::optional<UpstreamChoice> ChooseAmong(const Evaluation& evaluation,
                                            const UpstreamQuery& upstream_query,
                                            TimePoint now) const;
  /// @return the best of the candidates that need no permit, or null.
  const Candidate* Best(const std::vector<Candidate>& candidates) const;
  /// @return mean age of the loads of other instances.
  Duration MeanLoadAge() const { return m_load_age / 2; }
  /// Draws an upstream of a plain service by load interpretation.
  /// @return the index of a candidate and its expected load; nothing when loads
  /// are not interpreted, or permits or leases have to be weighed.
  struct Interpreted {
    const Candidate* m_candidate = nullptr;
    double m_estimate = 0;
  };
  std::optional<Interpreted> ChooseInterpreted(
      const std::vector<Candidate>& candidates,
      TimePoint now) const;
  void NoteChoice(bool interpreted);
  /// @return candidates that need a permit or lease and would be better than
  /// all that need none, the best first.
  std::vector<const Candidate*> BetterWithPermit(
      const std::vector<Candidate>& candidates) const;
  /// Reports the end of a request to a brittle upstream.
  void EndLease(const Upstream& upstream, AttemptHealth health, TimePoint now);
  int Held(const Upstream& upstream, TimePoint now) const;
  /// @return true when a candidate is to be preferred to another.
  static bool IsBetter(const Candidate& a, const Candidate& b);
  Upstream* FindRow(const UpstreamId& id);
  /// @param trials whether to include refusing upstreams that are due for a
  /// trial request.
  std::vector<Candidate> Collect(const UpstreamQuery& upstream_query,
                                 bool trials,
                                 TimePoint now) const;
  bool MayTry(const Upstream& upstream, TimePoint now) const;
  /// @param query null when no particular request is meant.
  SendQuestion QuestionFor(const Upstream& upstream,
                           const UpstreamQuery* query,
                           TimePoint now) const;
  /// Limits a process as its service's policy says while it is cold.
  void ApplyColdPolicy(Upstream& upstream, TimePoint now);
  /// @return true when there is a lasting obstacle for all requests.
  bool IsOutOfUse(const Upstream& upstream) const;
  static UpstreamProcess ProcessOf(const Upstream& upstream) {
    return {upstream.m_hash, upstream.m_registration.m_start_time_ms};
  }
  /// @param leases whether leases count as permits.
  /// @return permits per second that this instance gets for a service;
  /// nothing when one of its upstreams has no limit.
  std::optional<double> PermitRate(const ServiceId& service,
                                   bool leases,
                                   TimePoint now) const;
  void MarkBackingOff(std::vector<Candidate>& candidates, TimePoint now) const;
  /// Chooses among the engines over which a hot chat is spread.
  /// @return null when the chat is not spread, or none of the two engines drawn
  /// has capacity.
  const Candidate* ChooseSpread(const std::vector<Candidate>& candidates,
                                PartId chat,
                                double bound,
                                TimePoint now) const;
  /// @return number of engines to spread a chat over; one when the loads show
  /// where its requests are.
  std::size_t SpreadOf(PartId chat, std::size_t engines, TimePoint now) const;
  void AddPeerActive(const std::vector<ActiveRequests>& active, int sign);
  double EstimatedLoad(const Upstream& upstream, TimePoint now) const;
  double EngineCost(const Candidate& candidate, Duration target) const;
  /// @return factor by which a plain server is costlier than the others of its
  /// service, by its response times and failures.
  double Slowness(const Upstream& upstream,
                  double mean_response_ms,
                  double mean_failure_rate) const;
  void CostEngines(std::vector<Candidate>& candidates,
                   const UpstreamQuery& upstream_query,
                   TimePoint now) const;
  void CostServices(std::vector<Candidate>& candidates) const;
  double UnreadTokens(const Upstream& upstream,
                      const std::vector<PromptPart>& prompt,
                      bool assume_shared,
                      TimePoint now) const;
  bool HasPart(const Upstream& upstream, PartId part, TimePoint now) const;
  static void RecordPart(Upstream& upstream, PartId part, TimePoint now);

  UpstreamPoolParameters m_parameters;
  std::map<UpstreamId, Upstream> m_upstreams;
  LeavingUpstreams m_leaving;
  SendTables m_tables;
  std::function<void(const RoomReport& report)> m_on_room_report;
  std::function<void(const ColdChange& change)> m_on_cold_change;
  std::map<ServiceId, ColdPolicy> m_cold_policies;
  std::map<ServiceId, PriorityDemand> m_demand;
  /// Moving averages of the tokens of the shared prefixes of prompts.
  std::map<ServiceId, double> m_mean_prefix;
  std::map<ServiceId, TimePoint> m_next_return;  ///< Of a refused request.
  HotPartTracker m_hot;
  Duration m_load_age{};
  bool m_interpret_loads = false;
  ChoiceStatistics m_statistics;
  std::unordered_map<UpstreamHash, UpstreamId> m_ids;  ///< By compact id.
  std::map<InstanceId, std::vector<ActiveRequests>> m_peer_active;
  std::unordered_map<UpstreamHash, int> m_peer_total;  ///< Sum over peers.
  std::vector<PartPlacement> m_placements;             ///< Not yet reported.
  std::uint64_t m_choice_count = 0;                    ///< Calls of Choose.
  std::uint64_t m_seed = 0;                            ///< For breaking ties.
};

}  // namespace nutmeghollow
