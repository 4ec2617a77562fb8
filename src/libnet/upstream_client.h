/// @file
/// Executes attempts at upstreams and relays the responses to callers.
///
/// The caller adapter registers each request with its body and a sink for the
/// response. Actions of the decision library then start, cancel and finish
/// attempts; progress is reported as attempt events. A streamed response is
/// relayed byte for byte as it arrives. Any other response is buffered until it
/// is complete, up to a size limit, so that the caller receives nothing from a
/// failed attempt.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "libnet/http_client.h"
#include "libnet/upstream_formats.h"
#include "nutmeghollow/actions.h"
#include "nutmeghollow/requests.h"

namespace nutmeghollow::net {

/// Receives the response of one request. Each function may be empty.
struct ResponseSink {
  /// Starts a response whose body is relayed in parts.
  std::function<void(int status, const HeaderList&)> m_begin;
  /// Appends to the body; the data is always accepted. @return false when the
  /// relay should pause until UpstreamClient::HandleSinkDrained.
  std::function<bool(std::string_view)> m_write;
  /// Ends the response as complete.
  std::function<void()> m_end;
  /// Ends the response so that the caller detects the truncation.
  std::function<void()> m_abort;
  /// Delivers a complete response; no other function is called.
  std::function<void(int status, const HeaderList&, std::string body)>
      m_send_complete;
};

/// Settings of UpstreamClient.
struct UpstreamClientOptions {
  UpstreamTimeouts m_timeouts;
  /// Responses that are not streams are buffered up to this size; larger ones
  /// are relayed as they arrive.
  Bytes m_buffer_limit{1 << 20};
  EngineFormat m_engine = MakeEngineFormat();
  ServiceFormat m_service = MakeServiceFormat();
};

/// Sends requests to upstreams.
class UpstreamClient {
 public:
  /// @param report called for each event, to append it to
  /// RequestInbox::m_attempts. It is not called from within a member function,
  /// except from Dispatch when the request is not registered.
  UpstreamClient(HttpClient& client,
                 UpstreamClientOptions options,
                 std::function<void(AttemptEvent)> report);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Registers a request. Call it before the request enters the inbox.
  void Register(RequestId id, OutgoingRequest request, ResponseSink sink);
  /// Removes a request to which this instance responds in place of an upstream.
  /// Aborts its call in progress.
  void Unregister(RequestId id);

  /// Starts an attempt. An unregistered request is reported as kConnectFailed.
  void Dispatch(const DispatchAttempt& action);
  /// Aborts the attempt. A chat that may have reached its engine is also
  /// cancelled there.
  void Cancel(const CancelAttempt& action);
  /// Delivers the buffered response or the end of the relay to the sink, and
  /// removes the request.
  void Finish(const FinishRelay& action);
  /// Queries a service for the state of an idempotency key.
  /// @param callback called once, unless this object is destroyed first.
  void QueryKey(const QueryKeyStatus& action,
                std::function<void(KeyStatusResult)> callback);

  /// Resumes a relay that was paused because ResponseSink::m_write returned
  /// false.
  void HandleSinkDrained(RequestId id);
  /// @return when the last bytes of the response were received; the epoch of
  /// the clock when there were none.
  TimePoint LastReceived(RequestId id) const;
  /// @return the number of registered requests.
  std::size_t Registered() const { return m_relays.size(); }

 private:
  struct Relay;
  using RelayPtr = std::shared_ptr<Relay>;

  HttpCall MakeCall(Relay& relay, const DispatchAttempt& action);
  HttpCallEvents MakeEvents(const RelayPtr& relay,
                            const DispatchAttempt& action);
  void HandleSend(Relay& relay, const DispatchAttempt& action);
  void HandleHeaders(Relay& relay, int status, const HeaderMap& headers);
  bool HandleData(Relay& relay, std::string_view data);
  void HandleEnd(Relay& relay, const HttpCallResult& result);
  void ReportCompleteResponse(Relay& relay);
  void BeginRelay(Relay& relay);
  void Write(Relay& relay, std::string_view data);
  void Report(Relay& relay, AttemptEventKind kind);
  void EndCall(Relay& relay, AttemptEventKind kind);
  void SendCancel(const HttpCall& call, int tries_left);

  HttpClient& m_client;
  UpstreamClientOptions m_options;
  std::function<void(AttemptEvent)> m_report;
  std::map<RequestId, RelayPtr> m_relays;
  /// False after destruction; callbacks of calls that outlive this object check
  /// it and do nothing.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace nutmeghollow::net
