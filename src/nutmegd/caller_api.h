/// @file
/// HTTP interface towards callers.
///
/// Reads each request, finds its customer, and hands it to the decision
/// library. Later it writes the answer: the upstream's bytes as they arrive
/// for streams, or whole once the outcome is known.
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
#include "nutmegd/chat_request.h"
#include "nutmegd/problem.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// What the caller API asks of the rest of the daemon.
struct CallerApiHooks {
  /// Hands a new request to the decision library.
  std::function<void(const NewRequest& request)> m_submit;
  /// Tells that nobody waits for a request's answer any more.
  std::function<void(RequestId request)> m_caller_gone;
  /// Chooses the instances that a caller should use, best first.
  std::function<std::vector<Endpoint>(const std::optional<ChatKey>& chat,
                                      const std::optional<RouteId>& route)>
      m_choose_entry;
  /// Tells that a caller who reads slowly can take more bytes.
  std::function<void(RequestId request)> m_caller_ready;
};

/// A request as it goes out to an upstream.
struct OutgoingRequest {
  PublicRequestId m_public_id;
  RequestKind m_kind = RequestKind::kChat;
  bool m_streamed = false;
  std::string m_method;
  std::string m_path;  ///< With the query.
  net::HeaderList m_headers;
  std::shared_ptr<const std::string> m_body;
};

/// Serves callers on one HTTP server.
class CallerApi {
 public:
  /// @param world read only; it outlives this object.
  CallerApi(const World* world,
            const Settings* settings,
            MetricsRegistry* metrics,
            CallerApiHooks hooks);

  /// Handles one HTTP request.
  void Handle(std::shared_ptr<net::HttpExchange> exchange);

  // Actions of the decision library.
  void Refuse(const RefuseRequest& refusal);
  void Replay(const ReplayAnswer& replay);
  void Finish(const FinishRelay& finish);

  /// @return what to send to an upstream, or null when the request has ended.
  const OutgoingRequest* FindOutgoing(RequestId request) const;
  /// Status and header fields of an upstream's answer arrived.
  void AnswerHeaders(RequestId request,
                     int status,
                     const net::HeaderMap& headers);
  /// A part of an upstream's answer arrived. @return false when the caller
  /// reads too slowly: the adapter waits for the hook m_caller_ready.
  bool AnswerBytes(RequestId request, std::string_view data);

  /// Makes the answer to an error that the HTTP server finds by itself.
  static net::HttpErrorAnswer ServerError(int status,
                                          const std::string& detail);

 private:
  /// A caller that waits for the end of a request.
  struct Waiting {
    std::shared_ptr<net::HttpExchange> m_exchange;
    OutgoingRequest m_outgoing;
    TimePoint m_started_at{};
    bool m_began = false;  ///< A stream to the caller was started.
    int m_status = 200;
    net::HeaderList m_headers;  ///< Of the upstream's answer.
    std::string m_body;         ///< Collected when not streamed.
  };
  using Exchange = std::shared_ptr<net::HttpExchange>;

  void HandleEntry(const Exchange& exchange);
  void HandleModels(const Exchange& exchange);
  void HandleHealth(const Exchange& exchange, bool readiness);
  void HandleChat(const Exchange& exchange);
  void HandleService(const Exchange& exchange);

  /// @return the customer of the bearer token. Answers 401 or 503 otherwise.
  std::optional<CustomerId> Authenticate(const Exchange& exchange);
  void Submit(const Exchange& exchange,
              NewRequest request,
              OutgoingRequest outgoing);
  void SendProblem(const Exchange& exchange,
                   const Problem& problem,
                   const PublicRequestId& request_id);
  void SendJson(const Exchange& exchange, const std::string& body);
  void BeginStream(Waiting* waiting);
  net::HeaderList AnswerHeaderList(const Waiting& waiting,
                                   Outcome outcome) const;
  PublicRequestId NewPublicId();
  void RefreshTokenIndex();
  bool Ready() const;

  const World* m_world;
  const Settings* m_settings;
  MetricsRegistry* m_metrics;
  CallerApiHooks m_hooks;
  ChatRequestReader m_reader;
  std::unordered_map<RequestId, Waiting> m_waiting;
  std::unordered_map<std::string, CustomerId> m_customer_of_digest;
  std::optional<Revision> m_index_revision;
  std::uint64_t m_last_request = 0;
  std::string m_id_prefix;
};

}  // namespace nutmeghollow
