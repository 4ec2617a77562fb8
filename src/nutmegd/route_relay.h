/// @file
/// Relays a caller's request on an HTTP route to upstreams, until its response
/// ends.
///
/// The attempt policy decides whether a request is retried. An attempt whose
/// upstream is silent is kept until another upstream has taken the request
/// over, so that it can still go on when no other one does; otherwise the
/// request is at one upstream at a time. Responses that are not streams are
/// buffered until they are complete, so that the caller receives no part of a
/// failed attempt. Of streams, only complete events are forwarded.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/forwarded_request.h"
#include "libnet/http_server.h"
#include "nutmegd/gateway_state.h"
#include "nutmeghollow/event_stream.h"
#include "nutmeghollow/response_memory.h"

namespace nutmeghollow {

/// Relays one request. Owned by the gateway until it calls `on_done`.
class RouteRelay : public std::enable_shared_from_this<RouteRelay> {
 public:
  /// @param state must outlive this object.
  /// @param on_done called once, when the request has ended.
  /// @param forwarded set if another instance forwarded the request.
  RouteRelay(GatewayState* state,
             std::shared_ptr<net::HttpExchange> exchange,
             std::function<void()> on_done,
             std::optional<net::ForwardedRequest> forwarded = std::nullopt);
  ~RouteRelay();
  RouteRelay(const RouteRelay&) = delete;
  RouteRelay& operator=(const RouteRelay&) = delete;

  /// Checks the request, and either sends it to an upstream or responds at
  /// once.
  void Start();
  /// Ends the request, since this instance stops.
  /// @param at_once false if a stream may first be checked as to whether it may
  /// be resumed.
  void Stop(bool at_once);
  /// Moves a request that waits at a silent upstream to another instance, since
  /// this one is cut off from the upstreams.
  void HandleCutOff();
  /// @return true while nothing is read from the upstream, since the caller is
  /// slower.
  bool WaitsForCaller() const { return m_caller_is_slow; }

 private:
  using AttemptNumber = Number<struct AttemptNumberTag>;

  /// A connection within the region takes a few milliseconds. An upstream that
  /// takes longer than this timeout is down or unreachable.
  static constexpr Duration kUpstreamConnectTimeout =
      std::chrono::milliseconds(300);

  /// Error response to a request that may not be sent.
  struct Rejection {
    int m_status = 0;  ///< 0: none.
    const char* m_reason = "";
    /// When another instance can serve the request; unset when that depends on
    /// the upstreams.
    std::optional<Duration> m_retry_after = std::nullopt;
  };
  /// Complete response of an upstream. Error responses are retained during
  /// retries.
  struct BufferedResponse {
    int m_status = 0;
    net::HeaderList m_headers;
    BufferedBody m_body;
  };
  /// Process of an upstream whose events are in the response.
  struct Deliverer {
    UpstreamId m_upstream;
    std::int64_t m_start_time_ms = 0;
    OriginHash m_origin;
  };
  /// Attempt in progress.
  struct Attempt {
    explicit Attempt(ResponseMemoryBudget* memory) : m_body(memory) {}
    AttemptNumber m_number;
    net::HttpCallId m_call;
    UpstreamId m_upstream;
    UpstreamChoice m_choice;
    std::int64_t m_start_time_ms = 0;  ///< Start of the upstream's process.
    OriginHash m_origin;
    Endpoint m_endpoint;
    TimePoint m_sent_at{};
    bool m_request_written = false;  ///< Its first byte at least.
    int m_status = 0;
    net::HeaderMap m_headers;
    std::optional<AttemptFailure> m_failure;  ///< As stated in the header.
    bool m_data_received = false;             ///< Some of the body has arrived.
    bool m_delivered_events = false;  ///< Events of it are in the response.
    bool m_confirming = false;  ///< Paused until the registrations are read.
    bool m_confirmed = false;   ///< Its events may follow those of others.
    BufferedBody m_body;
    std::size_t m_body_size_at_progress = 0;
    Duration m_head_timeout{};  ///< Until the head of the response.
    Duration m_idle_timeout{};  ///< Without progress of the response.
    TimePoint m_last_progress_at{};
    bool m_paused = false;  ///< Reading pauses until the caller has read more.
  };

  /// Attempt in progress by way of another instance.
  struct Hop {
    explicit Hop(ResponseMemoryBudget* memory) : m_body(memory) {}
    net::HttpCallId m_call;
    InstanceId m_instance;
    std::string m_nonce;
    TimePoint m_sent_at{};
    bool m_sent = false;  ///< A byte of it may have left this process.
    int m_status = 0;
    net::HeaderMap m_headers;
    BufferedBody m_body;
  };

  /// @return true if the retry allowance of this instance counts the request:
  /// no other instance does.
  bool IsCountedHere() const;
  /// @return false for a request that reached no upstream only since this
  /// instance is cut off: sending it elsewhere is not a retry.
  bool NeedsAllowance() const;
  /// Takes over the state of a request that another instance forwarded.
  void ApplyForwarded();
  /// @return true if the request may be sent by way of another instance: not if
  /// it came from one.
  bool MayForward() const;
  /// Sends the request by way of another instance while this one is cut off
  /// from the upstreams, or ends it.
  /// @return false if it is to be sent directly.
  bool ForwardIfCutOff(TimePoint now);
  void SendToInstance(const InstanceId& instance, TimePoint now);
  net::HttpCall MakeHopCall(const InstanceId& instance,
                            const std::string& nonce,
                            TimePoint now);
  net::HttpCallEvents MakeHopEvents();
  bool HandleHopData(std::string_view data);
  void HandleHopEnd(const net::HttpCallResult& result);
  /// Passes the complete response on and ends the request.
  void FinishHop();
  /// @return true for a refusal of a forwarded request that is due to this
  /// instance, so that another one may take the request.
  bool IsForOtherInstance(int status) const;
  /// @return true if the responding instance has the fleet key.
  bool IsHopAuthentic() const;
  bool IsHopStream() const;
  net::HeaderList HopHeaders() const;
  void BeginForwardedStream();
  /// Ends the attempts whose upstreams were silent: the events of the hop are
  /// the next ones.
  void TakeOverStream();
  /// Handles an attempt that has not run.
  void TryNextInstance(const char* reason);
  /// Handles an attempt that may have run.
  void FailHop(const char* reason);
  void LogHopFailure(const char* reason) const;
  void EndHop();
  void CancelHop();
  /// Holds a failure that may be due to the path until it is known whether this
  /// instance is cut off.
  /// @return false if the failure is to be handled now.
  bool HoldFailure(AttemptFailure failure);

  Rejection CheckRequest(TimePoint now);
  /// Denies the request because of its host, path or key, or refuses it when
  /// the configuration is not proven current.
  /// @param unconfirmed_reason reason of the refusal.
  Rejection Deny(int status,
                 const char* reason,
                 const char* unconfirmed_reason,
                 TimePoint now) const;
  /// Logs what the denial, or the refusal in its place, was decided from.
  void LogDenial(int status, TimePoint now) const;
  /// @return true when this instance may stop before the request is done.
  bool MayBeCutByDrain(TimePoint now) const;
  /// Checks the copies of the tables, and finds the customer of the request's
  /// API key.
  /// @return why the request may not be sent.
  Rejection CheckMayServe(const HttpRoute& route, TimePoint now);
  /// Checks the request again with the configuration in force, and refuses it
  /// when it is no longer allowed. Chooses another service when the route no
  /// longer has the chosen one.
  /// @return true if it is allowed.
  bool RefreshConfiguration(TimePoint now);
  /// Finds out which software began the stream that the caller resumes, and
  /// dispatches the request to the same, or refuses it.
  void DispatchResumption();
  /// Dispatches a request that goes on with a stream of an origin, or refuses
  /// it.
  void ContinueStreamOf(OriginHash origin);
  /// @return true when callers and instances may resume the route's streams.
  bool IsResumable() const;
  /// Records which software began the stream, at its first event, and holds its
  /// events until that is done.
  void RecordOrigin();
  void ForwardHeldEvents();
  /// Breaks the stream off for good: the upstream of events that the caller has
  /// was another process than the one registered, so that nobody knows which
  /// software could continue it.
  void BreakOffUnknownStream(const UpstreamId& upstream);
  /// @return true if the events of the attempt are to follow those of another.
  bool ContinuesStream() const;
  /// Reads the registrations, and lets the attempt go on if its upstream and
  /// those before are the processes that they were taken for.
  void ConfirmUpstreams();
  void HandleRegistrations(const RegistrationReader::Rows* rows);
  /// @param rows null for the registrations that the pool has.
  /// @return true if another software has replaced the process.
  bool IsOtherSoftware(const Deliverer& process,
                       const RegistrationReader::Rows* rows) const;
  /// @return the first upstream of the stream that other software has replaced.
  std::optional<UpstreamId> FindReplaced(
      const RegistrationReader::Rows* rows) const;
  /// Breaks the stream off when it is known whether it may be resumed.
  void ConfirmAndAbort(const char* reason);
  /// Records that the stream has ended.
  void RecordStreamEnd(bool complete);
  /// @return ids under which the stream may be resumed.
  std::vector<StreamHash> StreamIds() const;
  /// Chooses an upstream and sends the request to it, or ends the request. A
  /// permit is requested before when the best upstream limits its request rate.
  void Dispatch(TimePoint now);
  /// Requests a permit if the best upstream limits its request rate, and then a
  /// lease if it is brittle, and sends the request.
  void SendWithPermits(bool rate_was_requested, TimePoint now);
  UpstreamQuery MakeQuery() const;
  void ChooseAndSend(UpstreamQuery upstream_query, TimePoint now);
  void Send(const UpstreamChoice& choice, TimePoint now);
  net::HttpCall MakeCall(const RegisteredUpstream& upstream, TimePoint now);
  net::HttpCallEvents MakeEvents(AttemptNumber number);
  /// Called just before the first byte is written. Repeats the checks made when
  /// the upstream was chosen, since they may be outdated if the process was
  /// suspended in between.
  void CheckBeforeSend();

  void HandleHeaders(int status, const net::HeaderMap& headers);
  /// Records the state that an upstream reports in a response header.
  void RecordUpstreamState(const net::ResponseFields& fields);
  /// Records the request rate that an upstream states. @param rate unset: none.
  void RecordRateLimit(std::optional<double> rate);
  /// Records the refusals in a second at which an upstream says that it falls
  /// over. @param refusals unset: none.
  void RecordRefusalLimit(std::optional<double> refusals);
  /// Logs that a brittle upstream refused the request.
  void LogFull() const;
  /// Compares the load that an engine reports with the one that was expected
  /// when it was chosen.
  void CompareLoad(const LoadReport& report);
  /// Ends an attempt whose response header states that the request did not run.
  void HandleRefusal();
  bool HandleData(std::string_view data);
  void HandleEnd(const net::HttpCallResult& result);
  /// Logs how a response without a length or chunks ended.
  void LogCloseDelimited(const net::HttpCallResult& result);
  void HandleFailure(AttemptFailure failure);
  /// Takes a retry from the allowance. @return false when none is left.
  bool TakeRetry(TimePoint now);
  /// Checks whether the upstream crashed, and handles the failure. Only a
  /// suspect request waits for the result of the check.
  void HandleBrokenAttempt(const UpstreamId& upstream,
                           const Endpoint& endpoint,
                           TimePoint sent_at);
  void HandleDeadline();
  void HandleCallerDisconnected();

  bool BufferData(std::string_view data);
  /// Makes the attempt with a number the current one.
  /// @return false when it has ended.
  bool BringToFront(AttemptNumber number);
  /// @return how long the current attempt may go on without progress.
  Duration SilenceLimit() const;
  /// Tries another upstream when the current attempt has been silent for too
  /// long.
  /// @param failure of the last attempt elsewhere; kTimedOut for none.
  void CheckSilence(AttemptFailure failure = AttemptFailure::kTimedOut);
  /// Sends the request to another upstream, if there is one and it may be
  /// repeated. The silent attempt goes on until the other one takes over.
  void TryAnotherUpstream(AttemptFailure failure, TimePoint now);
  /// Called when an attempt has ended without a response, or no further one is
  /// possible.
  /// @return true when another attempt is open, which then is the current one.
  bool ContinueOtherAttempt(const char* reason);
  /// @return the number of the latest attempt that is not the current one.
  AttemptNumber LatestOther() const;
  /// Cancels the attempts that are not the current one.
  void CancelOthers();
  /// Ends the earlier attempts of a stream: their upstreams must not work on it
  /// much longer than the latest one does.
  void ReleaseEarlierAttempts();
  /// Cancels all attempts. @param health of the current one.
  void CancelAttempts(AttemptHealth health);
  void BeginStream();
  void ForwardWholeEvents(const std::string& events);
  void WriteToCaller(std::string_view data);
  void ResumeReading(Attempt& attempt);
  void ForwardEvents(std::string_view data);
  void EndBufferedResponse();
  void EndStream();
  void EndAttempt(AttemptHealth health, TimePoint now);
  void CancelAttempt(AttemptHealth health);
  /// Closes the connection of an attempt that may have run, and handles its
  /// failure.
  void FailAttempt(AttemptFailure failure, AttemptHealth health);

  /// Ends a request that no upstream is going to serve: aborts a stream that
  /// has begun, fails a request that may have run, and refuses any other.
  /// @param failed_status status of a request that may have run.
  void EndUnserved(int failed_status, const char* reason);
  /// Responds 503 with a Retry-After header. Its delay is the time until the
  /// first of the service's upstreams accepts requests again, plus jitter. When
  /// one of them does not refuse requests, or none is registered, it is a
  /// random share of the request's time left, within bounds.
  void Refuse(const char* reason);
  void RefuseWithRetryAfter(const char* reason, Duration retry_after);
  /// Ends the request if it is refused because it crashed upstreams.
  /// @return true if it was ended.
  bool EndIfRefusedForCrashes();
  /// Sends the buffered error response of an upstream, else a problem.
  void Fail(int status, const char* reason);
  /// @param retry_after zero for no Retry-After header.
  void RespondWithProblem(int status, const char* reason, Duration retry_after);
  void SendBufferedResponse();
  void Abort(const char* reason);
  /// Logs if the caller does not get the whole response.
  void WatchResponse(int status);
  void Finish(const char* outcome, int status, const char* reason);

  bool IsEngine() const;
  bool IsStreamResponse() const;
  const std::vector<PromptPart>* Prompt() const;
  /// @return the parts of the prompt but the last, which is the request's own.
  std::vector<PartId> SharedParts() const;
  /// @return hash that is equal for each repetition of the request by a caller.
  RequestDigest Digest();
  /// @return id of the event after which an upstream resumes; empty for none.
  std::string ResumeAfter() const;
  Duration TimeLeft(TimePoint now) const { return m_deadline - now; }

  GatewayState* m_state;
  std::shared_ptr<net::HttpExchange> m_exchange;
  std::function<void()> m_on_done;
  net::Timer m_timer;
  net::Timer m_silence_timer;
  net::Timer m_release_timer;
  net::Timer m_refusal_timer;

  net::RouteRequest m_request;
  /// The only copy; shared with the calls in progress. Null if there is none.
  std::shared_ptr<const std::string> m_body;
  std::shared_ptr<const RoutingConfiguration> m_configuration;
  HttpRoute m_route;
  ServiceId m_service;
  CustomerId m_customer;
  HomeRegions m_homes;  ///< Of the route and the customer together.
  int m_priority = 0;
  TimePoint m_arrived_at{};
  TimePoint m_deadline{};

  std::optional<RequestDigest> m_digest;
  /// Of the stream that has begun or is resumed; unset before.
  std::optional<OriginHash> m_origin;
  RequestProgress m_progress;
  std::vector<UpstreamId> m_tried;
  UpstreamId m_last_upstream;  ///< Of the attempt that ended last.
  std::optional<Attempt>
      m_attempt;  ///< The current one.
                  /// Those at silent upstreams, while another one is tried.
  std::vector<Attempt> m_other_attempts;
  AttemptNumber m_last_attempt;
  /// Its bytes are in m_event_splitter; none: those of m_hop.
  AttemptNumber m_stream_reader;
  std::optional<net::ForwardedRequest> m_forwarded;
  std::optional<Hop> m_hop;
  std::vector<InstanceId> m_tried_instances;
  bool m_rejected = false;            ///< Before the first attempt.
  bool m_attempted_directly = false;  ///< The latest attempt had no hop.
  bool m_stream_forwarded = false;    ///< Events came by way of an instance.
  std::vector<Deliverer> m_deliverers;
  std::optional<BufferedResponse> m_buffered_response;
  EventSplitter m_event_splitter;
  bool m_holds_events = false;
  std::string m_held_events;
  bool m_stopped = false;             ///< Stop was called.
  bool m_ending = false;              ///< No upstream is asked any more.
  bool m_awaits_crash_check = false;  ///< Nor before its result.
  bool m_caller_is_slow = false;  ///< Its buffer is above the high-water mark.
  TimePoint m_first_event_at{};
  bool m_done = false;
};

}  // namespace nutmeghollow
