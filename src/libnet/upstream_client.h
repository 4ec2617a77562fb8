/// @file
/// Carries out attempts at upstreams and relays their answers to callers.
///
/// The caller adapter registers each request with its body and a sink for the
/// answer. Actions of the decision library then start, cancel and finish
/// attempts; what happens is reported as attempt events. A streamed answer is
/// relayed byte for byte as it arrives. Any other answer is held until it is
/// whole, as long as it is small, so that a failed attempt leaves no trace.
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

/// Where an answer goes. Each function may be empty.
struct ResponseSink {
  /// Starts a streamed answer.
  std::function<void(int status, const HeaderList&)> m_begin;
  /// Appends to it; the data is always taken. @return false when the relay
  /// should wait for UpstreamClient::HandleSinkDrained.
  std::function<bool(std::string_view)> m_write;
  /// Ends it in the regular way.
  std::function<void()> m_end;
  /// Ends it so that the caller sees that it is not whole.
  std::function<void()> m_abort;
  /// Gives a whole answer; no other function is called.
  std::function<void(int status, const HeaderList&, std::string body)> m_whole;
};

/// Settings of the client.
struct UpstreamClientOptions {
  UpstreamTimeouts m_timeouts;
  /// Answers that are not streams are held up to this size.
  Bytes m_hold_limit{1 << 20};
  EngineClient m_engine = MakeEngineClient();
  ServiceClient m_service = MakeServiceClient();
};

/// Sends requests to upstreams.
class UpstreamClient {
 public:
  /// @param report called for each event, never inside a call of this class
  /// by the user; put the event into RequestInbox::m_attempts.
  UpstreamClient(HttpClient& client,
                 UpstreamClientOptions options,
                 std::function<void(AttemptEvent)> report);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Makes a request known. Call it before the request enters the inbox.
  void Register(RequestId id, OutgoingRequest request, ResponseSink sink);
  /// Drops a request that got another answer. Cancels what runs.
  void Forget(RequestId id);

  /// Carries out the actions of the same names.
  void Dispatch(const DispatchAttempt& action);
  void Cancel(const CancelAttempt& action);
  /// Gives the answer, or its end, to the sink, and drops the request.
  void Finish(const FinishRelay& action);
  /// Asks a service about a key.
  void Ask(const QueryKeyStatus& action,
           std::function<void(KeyStatusResult)> callback);

  /// The sink has room again.
  void HandleSinkDrained(RequestId id);
  /// @return when the last byte of the answer came; the start of the clock
  /// when none did.
  TimePoint LastReceived(RequestId id) const;
  /// @return registered requests.
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
  void HandleEnd(Relay& relay, const HttpEnd& end);
  void HandleWholeEnd(Relay& relay);
  void BeginRelay(Relay& relay);
  void Write(Relay& relay, std::string_view data);
  void Report(Relay& relay, AttemptEventKind kind);
  void EndCall(Relay& relay, AttemptEventKind kind);
  void SendCancel(const HttpCall& call, int tries_left);

  HttpClient& m_client;
  UpstreamClientOptions m_options;
  std::function<void(AttemptEvent)> m_report;
  std::map<RequestId, RelayPtr> m_relays;
  /// Ends with this object; calls that outlive it do nothing.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace nutmeghollow::net
