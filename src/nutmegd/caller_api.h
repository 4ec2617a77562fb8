/// @file
/// HTTP interface for callers.
///
/// Parses each request, authenticates its customer and submits it to the
/// decision library. The response is streamed as the upstream's bytes arrive,
/// or sent as a whole once the outcome is known.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libnet/http_server.h"
#include "libnet/upstream_client.h"
#include "nutmegd/chat_request.h"
#include "nutmegd/problem.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Functions of the daemon that the caller API calls.
struct CallerApiHooks {
  /// Submits a new request and the sink for its response.
  std::function<void(const NewRequest& request,
                     net::OutgoingRequest outgoing,
                     net::ResponseSink sink)>
      m_submit;
  /// Called when the caller disconnects before the response is complete.
  std::function<void(RequestId request)> m_caller_disconnected;
  /// Called when the response buffer of a slow caller has room again.
  std::function<void(RequestId request)> m_caller_writable;
  /// @return the instances that a caller should use, best first.
  std::function<std::vector<Endpoint>(const std::optional<ChatKey>& chat,
                                      const std::optional<RouteId>& route)>
      m_choose_entry;
};

/// Serves callers on one HTTP server.
class CallerApi {
 public:
  /// @param world is only read. All pointers must outlive this object.
  CallerApi(const World* world,
            const Settings* settings,
            MetricsRegistry* metrics,
            CallerApiHooks hooks);

  /// Handles one HTTP request; to be used as the HttpHandler.
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

  /// Sends a caller the problem details of a refused or failed request.
  void Refuse(const RefuseRequest& refusal);
  /// Sends a caller the recorded response of an earlier request.
  void Replay(const ReplayAnswer& replay);

  /// @return the response to an error detected by the HTTP server, such as 413.
  static net::HttpErrorResponse MakeErrorResponse(int status,
                                                  const std::string& detail);

 private:
  /// The response to a submitted request that has not ended.
  struct PendingResponse {
    std::shared_ptr<net::HttpExchange> m_exchange;
    PublicRequestId m_public_id;
    TimePoint m_started_at{};
    bool m_stream_started = false;  ///< A streamed response was started.
  };
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleEntry(const Exchange& exchange);
  void HandleModels(const Exchange& exchange);
  void HandleHealth(const Exchange& exchange, bool readiness);
  void HandleChat(const Exchange& exchange);
  void HandleService(const Exchange& exchange);

  /// @return the customer of the bearer token, or nothing after sending 401 or
  /// 503.
  std::optional<CustomerId> Authenticate(const Exchange& exchange);
  void Submit(const Exchange& exchange,
              NewRequest request,
              net::OutgoingRequest outgoing);
  net::ResponseSink MakeSink(RequestId request);
  void BeginResponse(RequestId request,
                     int status,
                     const net::HeaderList& headers);
  void EndResponse(RequestId request);
  void AbortResponse(RequestId request);
  void SendCompleteResponse(RequestId request,
                            int status,
                            const net::HeaderList& headers,
                            std::string body);
  /// Removes the pending response of a request and counts its outcome.
  /// @return the response, or nothing when the caller has disconnected.
  std::optional<PendingResponse> TakePending(RequestId request,
                                             Outcome outcome);
  void SendProblem(const Exchange& exchange,
                   const Problem& problem,
                   const PublicRequestId& request_id);
  void SendJson(const Exchange& exchange, const std::string& body);
  int PriorityRank(const CustomerId& customer) const;
  PublicRequestId NewPublicId();
  bool Ready() const;

  const World* m_world;
  const Settings* m_settings;
  MetricsRegistry* m_metrics;
  CallerApiHooks m_hooks;
  ChatRequestReader m_reader;
  std::unordered_map<RequestId, PendingResponse> m_pending;
  std::uint64_t m_last_request = 0;
  std::string m_id_prefix;
};

}  // namespace nutmeghollow
