/// @file
/// One caller's request on an HTTP route, from its arrival to the end of its
/// answer.
///
/// The request is sent to one upstream after another as the attempt policy
/// says. Answers that are not streams are held until they are whole, so a
/// failed attempt leaves no trace; of a stream only whole events are given on.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "nutmegd/gateway_state.h"
#include "nutmeghollow/answer_memory.h"
#include "nutmeghollow/event_stream.h"

namespace nutmeghollow {

/// Relays one request. Owned by the gateway until `m_on_done`.
class RouteRelay : public std::enable_shared_from_this<RouteRelay> {
 public:
  RouteRelay(GatewayState* state,
             std::shared_ptr<net::HttpExchange> exchange,
             std::function<void()> on_done);
  ~RouteRelay();
  RouteRelay(const RouteRelay&) = delete;
  RouteRelay& operator=(const RouteRelay&) = delete;

  /// Checks the request and sends it, or answers it at once.
  void Start();

 private:
  /// Why a request may not be sent now.
  struct Rejection {
    int m_status = 0;  ///< 0: none.
    const char* m_reason = "";
  };
  /// An upstream's own error answer, kept while others are asked.
  struct HeldAnswer {
    int m_status = 0;
    net::HeaderList m_headers;
    BufferedBody m_body;
  };
  /// The attempt in progress.
  struct Attempt {
    explicit Attempt(ResponseMemoryBudget* memory) : m_body(memory) {}
    net::HttpCallId m_call;
    UpstreamId m_upstream;
    std::int64_t m_start_time_ms = 0;  ///< Of the upstream's process.
    Endpoint m_endpoint;
    TimePoint m_sent_at{};
    int m_status = 0;
    net::HeaderMap m_headers;
    std::optional<AttemptFailure> m_failure;  ///< Told by the header.
    bool m_answered = false;
    BufferedBody m_body;
    std::size_t m_body_at_progress = 0;
    Duration m_silence_limit{};  ///< Without progress of the answer.
    TimePoint m_progress_at{};
    bool m_paused = false;  ///< The caller reads slowly.
  };

  Rejection CheckRequest(TimePoint now);
  /// @return why the customer's key does not allow the request.
  Rejection CheckKey(const HttpRoute& route, TimePoint now);
  bool AdoptConfiguration(TimePoint now);
  void Dispatch(TimePoint now);
  void Send(const UpstreamId& upstream, TimePoint now);
  net::HttpCall MakeCall(const RegisteredUpstream& upstream, TimePoint now);
  net::HttpCallEvents MakeEvents();
  /// Just before the first byte goes out: what allowed the request when its
  /// upstream was chosen may have run out since, if the process stood still.
  void CheckBeforeSend();

  void HandleHeaders(int status, const net::HeaderMap& headers);
  /// Notes what an upstream's answer says of itself.
  void NoteUpstream(const net::ResponseFields& fields);
  /// Acts on a refusal that the header told.
  void EndRefused();
  bool HandleData(std::string_view data);
  void HandleEnd(const net::HttpEnd& end);
  void HandleFailure(AttemptFailure failure);
  /// Finds out whether the upstream crashed, then goes on. A request that is
  /// no suspect goes on at once.
  void HandleBreak(const UpstreamId& upstream,
                   const Endpoint& endpoint,
                   TimePoint sent_at);
  void HandleDeadline();
  void HandleGone();

  bool HoldData(std::string_view data);
  /// Ends an attempt whose answer makes no progress any more.
  void CheckSilence();
  void BeginStream();
  void RelayEvents(std::string_view data);
  void EndWhole();
  void EndStream();
  void EndAttempt(AttemptHealth health, TimePoint now);
  void CancelAttempt(AttemptHealth health);
  /// Closes the connection of an attempt that may have run, and goes on.
  void EndByFailure(AttemptFailure failure, AttemptHealth health);

  void Refuse(const char* reason);
  void RefuseFor(const char* reason, Duration wait);
  /// Ends a request that crashes upstreams. @return whether it is one.
  bool EndIfCrashing(TimePoint now);
  void Fail(int status, const char* reason);
  void Answer(int status, const char* reason, Duration retry_after);
  void GiveHeldAnswer();
  void Abort(const char* reason);
  void Finish(const char* outcome, int status, const char* reason);

  bool IsEngine() const;
  bool IsStreamAnswer() const;
  const std::vector<PromptPart>* Prompt() const;
  /// @return the same for each copy of the request that a caller sends.
  RequestDigest Digest();
  Duration TimeLeft(TimePoint now) const { return m_deadline - now; }

  GatewayState* m_state;
  std::shared_ptr<net::HttpExchange> m_exchange;
  std::function<void()> m_on_done;
  net::Timer m_timer;
  net::Timer m_silence_timer;
  net::Timer m_refusal_timer;

  net::RouteRequest m_request;
  std::shared_ptr<const std::string> m_body;
  std::shared_ptr<const RoutingConfiguration> m_configuration;
  HttpRoute m_route;
  ServiceId m_service;
  CustomerId m_customer;
  int m_priority = 0;
  TimePoint m_arrived{};
  TimePoint m_deadline{};

  std::optional<RequestDigest> m_digest;
  RequestProgress m_progress;
  std::vector<UpstreamId> m_tried;
  std::optional<Attempt> m_attempt;
  std::optional<HeldAnswer> m_held;
  EventSplitter m_events;
  TimePoint m_first_event_at{};
  bool m_done = false;
};

}  // namespace nutmeghollow
