/// @file
/// The upstreams of all services: who is registered, how they fare, and which
/// one a request goes to.
///
/// Health is learnt from ordinary traffic: an upstream that cannot be reached
/// or breaks off rests for a time that doubles, and then gets one request as a
/// trial. When most upstreams of a service would rest, none does, since the
/// cause is then likely on this side.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/hot_parts.h"
#include "nutmeghollow/leaving_upstreams.h"
#include "nutmeghollow/routing.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Requests that an instance has in progress at an upstream.
struct ActiveRequests {
  UpstreamHash m_upstream;
  int m_count = 0;
};

/// An upstream to which a part of a prompt was sent.
struct PartPlacement {
  PartId m_part;
  UpstreamHash m_upstream;
};

/// A part of a prompt, in the order of the prompt.
struct PromptPart {
  PartId m_id;
  Tokens m_tokens;
};

/// @param prompt not empty.
/// @return the last shared part of a prompt: the chat's own history. The part
/// after it belongs to the request alone.
PartId ChatPart(const std::vector<PromptPart>& prompt);

/// An upstream as it registered itself.
struct RegisteredUpstream {
  UpstreamId m_id;
  std::int64_t m_start_time_ms = 0;  ///< Start of its process, civil time.
  ServiceId m_service;
  Endpoint m_endpoint;
  DataCentreId m_data_centre;
  int m_slots = 1;
  bool m_draining = false;
  Duration m_cold{};  ///< How much longer it is slow after its start.
};

/// Load as an upstream reported it.
struct LoadReport {
  int m_running = 0;
  int m_waiting = 0;
  int m_slots = 1;
};

/// How one attempt ended, as far as the upstream's health is concerned.
enum class AttemptHealth {
  kServed,       ///< A whole answer that is no error.
  kFailed,       ///< Its own error.
  kRefused,      ///< It did not run the request.
  kUnreachable,  ///< No connection.
  kBroken,       ///< The connection broke or the bytes made no sense.
  kSilent,       ///< No answer in the time it was given.
  kAbandoned,    ///< Ended from this side; says nothing about it.
};

/// @return the word for a result in logs.
const char* AttemptHealthName(AttemptHealth health);

/// Settings of choosing and of health.
struct UpstreamPoolParameters {
  /// First rest after a failure: long enough for its caller's next try to go
  /// elsewhere, short enough to find a restarted upstream soon.
  Duration m_first_rest = std::chrono::milliseconds(300);
  /// Longest rest: a registration of a dead upstream lasts a few seconds.
  Duration m_longest_rest = std::chrono::seconds(4);
  /// Part of an upstream's stated refusal after which one request may try it,
  /// when no other upstream takes the request: some are back sooner.
  double m_refusal_trial = 0.5;
  /// Longest refusal that is believed. An upstream that is away for longer
  /// registers anew.
  Duration m_longest_refusal = std::chrono::minutes(10);
  /// Part of a service's upstreams that may rest at once.
  double m_most_resting = 0.5;
  /// Most load of an engine, as a multiple of the mean: the users' bound.
  double m_load_bound = 2.0;
  /// Loads of other instances that are older than this do not tell where a
  /// chat's next request fits: most requests end sooner.
  Duration m_max_fresh_load_age = std::chrono::milliseconds(1000);
  /// Requests above the multiple that are always allowed. One under the users'
  /// bound of three, since each instance sees the loads late.
  double m_load_slack = 2.0;
  /// A load report older than this is not used: what other instances tell is
  /// as new, and one that is cut off has at least an upper bound.
  Duration m_report_life = std::chrono::milliseconds(1000);
  /// A part that was not used here for this long counts as evicted.
  Duration m_part_life = std::chrono::seconds(60);
  /// Prompt tokens that an engine reads in a millisecond.
  double m_prefill_rate = 56.0;
  /// Time to the first token that each running request adds, in milliseconds.
  double m_slot_cost = 2.0;
  /// Part of the latency target below which a predicted time to the first
  /// token costs nothing: reading a shared part again costs every caller of
  /// the engine, waiting within the target costs nobody.
  double m_free_wait = 0.4;
  /// Cost of a millisecond beyond that, against one of reading.
  double m_wait_cost = 3.0;
  /// Cost of each running request, in milliseconds. Requests that are cheap to
  /// read elsewhere leave a loaded engine first.
  double m_load_cost = 2.5;
  /// Share of the newest result in the moving averages.
  double m_average_weight = 0.15;
  /// Cost factor of an upstream that fails all its requests.
  double m_failure_cost = 8.0;
};

/// A request for which an upstream is wanted.
struct UpstreamQuery {
  ServiceId m_service;
  const std::vector<PromptPart>* m_prompt = nullptr;  ///< Null for none.
  std::vector<UpstreamId> m_tried;  ///< Not to be chosen again.
  DataCentreId m_data_centre;       ///< Preferred among equals.
  Duration m_latency_target{};      ///< To the first token.
};

/// A chosen upstream and what decided for it.
struct UpstreamChoice {
  UpstreamId m_id;
  int m_rank = 0;              ///< Place in the order of the prompt's engines.
  double m_load = 0;           ///< Estimated requests in progress.
  double m_mean_load = 0;      ///< Of the service's upstreams.
  double m_unread_tokens = 0;  ///< Of the prompt, as estimated.
  bool m_home_over_bound = false;  ///< The first of the order was too loaded.
};

/// All upstreams.
class UpstreamPool {
 public:
  explicit UpstreamPool(UpstreamPoolParameters parameters = {});

  /// Sets what breaks ties between upstreams that are alike: another number on
  /// each instance, so that they do not all begin with the same one.
  void SetSeed(std::uint64_t seed) { m_seed = seed; }

  /// Adds or updates a registration. Another birth under the same id is a new
  /// upstream, of which nothing is known.
  void Put(const RegisteredUpstream& registration, TimePoint now);
  void Remove(const UpstreamId& id);
  /// @return registered ids.
  std::vector<UpstreamId> Ids() const;
  /// @return the registration, or null.
  const RegisteredUpstream* Find(const UpstreamId& id) const;

  /// Chooses an upstream that takes new requests.
  /// @return nothing when the service has none.
  std::optional<UpstreamChoice> Choose(const UpstreamQuery& upstream_query,
                                       TimePoint now);
  /// @return false when a request that was chosen for this process of an
  /// upstream may no longer be sent there: it is leaving, gone or replaced.
  bool TakesRequests(const UpstreamId& id, std::int64_t start_time_ms) const;
  /// @return how long all upstreams of a service refuse, by their own word;
  /// nothing when one does not, or none is registered.
  std::optional<Duration> RefusedFor(const ServiceId& service,
                                     TimePoint now) const;

  /// Notes that a request was sent. @param prompt null for none.
  void NoteSent(const UpstreamId& id,
                const std::vector<PromptPart>* prompt,
                TimePoint now);
  /// Notes the first part of an answer: the prompt has been read.
  void NoteFirstAnswer(const UpstreamId& id,
                       const std::vector<PromptPart>* prompt);
  /// Notes the end of an attempt. @param took from sending to the end; zero
  /// when it says nothing about the upstream's speed.
  /// @param answered true when NoteFirstAnswer was called for it.
  void NoteEnd(const UpstreamId& id,
               AttemptHealth health,
               Duration took,
               const std::vector<PromptPart>* prompt,
               bool answered,
               TimePoint now);
  /// Notes a load report that came with an answer.
  void NoteLoad(const UpstreamId& id, const LoadReport& load, TimePoint now);
  /// Notes that a process said that it is leaving.
  /// @return whether this was news.
  bool NoteLeaving(const UpstreamProcess& process, TimePoint now);
  /// @return leaving processes that other instances are to be told.
  std::vector<UpstreamProcess> LeavingToReport(std::size_t most,
                                               TimePoint now) const {
    return m_leaving.News(most, now);
  }
  /// Notes that a process refuses requests for a while, by its own word.
  void NoteRefusal(const UpstreamId& id,
                   std::int64_t start_time_ms,
                   Duration wait,
                   TimePoint now);
  /// Notes that another upstream answers at this one's address.
  void NoteReplaced(const UpstreamId& id, TimePoint now);

  /// @return requests in progress at an upstream from this instance.
  int Active(const UpstreamId& id) const;
  /// @return requests in progress from this instance, without zeros.
  std::vector<ActiveRequests> ActiveByUpstream() const;
  /// Replaces what another instance has in progress.
  void SetPeerActive(const InstanceId& peer,
                     const std::vector<ActiveRequests>& active);
  void ClearPeerActive(const InstanceId& peer);
  /// Sets how old the loads of other instances are when the next ones come.
  void SetLoadAge(Duration age) { m_load_age = age; }
  /// @return where chats were sent since the last call, the newest last.
  std::vector<PartPlacement> TakePlacements();
  /// Notes where another instance sent a part.
  void NotePeerPlacement(const PartPlacement& placement, TimePoint now);

  /// Places of a service and how many are taken, as estimated.
  struct Occupancy {
    double m_taken = 0;
    double m_places = 0;
  };
  Occupancy OccupancyOf(const ServiceId& service, TimePoint now) const;

 private:
  struct Upstream {
    RegisteredUpstream m_registration;
    UpstreamHash m_hash;
    TimePoint m_cold_until{};
    int m_active = 0;
    double m_pending_prefill = 0;  ///< Tokens sent and not yet read.
    int m_failures = 0;            ///< In a row.
    TimePoint m_rest_until{};
    bool m_leaving = false;  ///< By its registration or its own answers.
    TimePoint m_refused_at{};
    TimePoint m_refused_until{};  ///< By its own word.
    bool m_refusal_tried = false;
    double m_failure_rate = 0;  ///< Moving average, 0 to 1.
    double m_took_ms = 0;       ///< Moving average of whole answers; 0: none.
    std::optional<LoadReport> m_report;
    TimePoint m_report_at{};
    int m_active_at_report = 0;
    /// When parts were last sent here, by any instance as far as known.
    std::unordered_map<PartId, TimePoint> m_parts;
  };
  struct Candidate {
    Upstream* m_upstream = nullptr;
    double m_load = 0;
    double m_cost = 0;
    bool m_rests = false;
    int m_rank = 0;
    double m_unread_tokens = 0;
  };

  Upstream* FindRow(const UpstreamId& id);
  /// @param trials whether upstreams that refuse for a while may be tried.
  std::vector<Candidate> Collect(const UpstreamQuery& upstream_query,
                                 bool trials,
                                 TimePoint now);
  bool MayTry(const Upstream& upstream, TimePoint now) const;
  void MarkResting(std::vector<Candidate>& candidates, TimePoint now) const;
  /// Chooses among the engines over which a hot chat is spread.
  /// @return null when the chat is not hot, or none of them has room.
  const Candidate* ChooseSpread(const std::vector<Candidate>& candidates,
                                PartId chat,
                                double bound) const;
  void AddPeerActive(const std::vector<ActiveRequests>& active, int sign);
  double EstimatedLoad(const Upstream& upstream, TimePoint now) const;
  double EngineCost(const Candidate& candidate, Duration target) const;
  double ServiceCost(const Upstream& upstream,
                     double load,
                     double mean_took_ms,
                     double mean_failure_rate) const;
  void CostEngines(std::vector<Candidate>& candidates,
                   const UpstreamQuery& upstream_query,
                   TimePoint now) const;
  void CostServices(std::vector<Candidate>& candidates) const;
  double UnreadTokens(const Upstream& upstream,
                      const std::vector<PromptPart>& prompt,
                      bool assume_shared,
                      TimePoint now) const;
  bool Knows(const Upstream& upstream, PartId part, TimePoint now) const;
  static void Remember(Upstream& upstream, PartId part, TimePoint now);

  UpstreamPoolParameters m_parameters;
  std::map<UpstreamId, Upstream> m_upstreams;
  LeavingUpstreams m_leaving;
  HotParts m_hot;
  Duration m_load_age{};
  std::unordered_map<UpstreamHash, UpstreamId> m_ids;  ///< By short name.
  std::map<InstanceId, std::vector<ActiveRequests>> m_peer_active;
  std::unordered_map<UpstreamHash, int> m_peer_total;  ///< Over all peers.
  std::vector<PartPlacement> m_placements;  ///< Not yet told to others.
  std::uint64_t m_turn = 0;                 ///< Counts choices.
  std::uint64_t m_seed = 0;  ///< Breaks ties differently on each instance.
};

}  // namespace nutmeghollow
