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
#include "libnet/upstream_client.h"
#include "nutmegd/chat_request.h"
#include "nutmegd/problem.h"
#include "nutmegd/settings.h"
#include "nutmeghollow/metrics.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// What the caller API asks of the rest of the daemon.
struct CallerApiHooks {
  /// Hands a new request, and where its answer goes, to the daemon.
  std::function<void(const NewRequest& request,
                     net::OutgoingRequest outgoing,
                     net::ResponseSink sink)>
      m_submit;
  /// Tells that nobody waits for a request's answer any more.
  std::function<void(RequestId request)> m_caller_disconnected;
  /// Tells that a caller who reads slowly can take more bytes.
  std::function<void(RequestId request)> m_caller_ready;
  /// Chooses the instances that a caller should use, best first.
  std::function<std::vector<Endpoint>(const std::optional<ChatKey>& chat,
                                      const std::optional<RouteId>& route)>
      m_choose_entry;
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
  void Handle(const std::shared_ptr<net::HttpExchange>& exchange);

  /// Gives a caller the answer made by this instance.
  void Refuse(const RefuseRequest& refusal);
  /// Gives a caller the recorded answer of an earlier request.
  void Replay(const ReplayAnswer& replay);

  /// Makes the answer to an error that the HTTP server finds by itself.
  static net::HttpErrorAnswer ServerError(int status,
                                          const std::string& detail);

 private:
  /// A caller that waits for the end of a request.
  struct Waiting {
    std::shared_ptr<net::HttpExchange> m_exchange;
    PublicRequestId m_public_id;
    TimePoint m_started_at{};
    bool m_began = false;  ///< A stream to the caller was started.
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
              net::OutgoingRequest outgoing);
  net::ResponseSink MakeSink(RequestId request);
  void BeginAnswer(RequestId request,
                   int status,
                   const net::HeaderList& headers);
  void EndAnswer(RequestId request);
  void AbortAnswer(RequestId request);
  void GiveWholeAnswer(RequestId request,
                       int status,
                       const net::HeaderList& headers,
                       std::string body);
  /// @return the caller that waits for a request, which then no longer does.
  std::optional<Waiting> TakeWaiting(RequestId request, Outcome outcome);
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
  std::unordered_map<RequestId, Waiting> m_waiting;
  std::uint64_t m_last_request = 0;
  std::string m_id_prefix;
};

}  // namespace nutmeghollow
