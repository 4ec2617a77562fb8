/// @file
/// HTTP interface for operators, on an endpoint of its own.
///
/// Every call names its operator by a bearer token. Every answer is a JSON
/// object with a field "result": ok, accepted, refused, conflict, unknown or
/// not_found. The calls are listed in docs/operators/commands.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libnet/http_server.h"
#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::net {

/// An answer to an operator.
struct OperatorResponse {
  int m_status = 200;
  std::string m_json;  ///< A JSON object.
};

using OperatorResponseCallback = std::function<void(OperatorResponse)>;

/// A question or command about a non-idempotent request.
struct RequestOutcomeCommand {
  CommandId m_command;
  OperatorId m_operator;
  CustomerId m_customer;
  ServiceId m_service;
  IdempotencyKey m_key;
  /// Unset to show it. kCompleted: it ran. kNotRun: it did not.
  std::optional<Outcome> m_resolution;
};

/// Settings of the operator interface.
struct OperatorApiOptions {
  /// SHA-256 of each operator's token, in lower-case hex.
  std::map<OperatorId, std::string> m_token_digests;
  /// Rows of the audit trail in one answer.
  int m_audit_limit = 500;
};

/// What the operator interface needs from the daemon. An empty hook makes its
/// call answer 501.
struct OperatorApiHooks {
  /// @return SHA-256 of a text in lower-case hex.
  std::function<std::string(std::string_view)> m_digest;
  std::function<TimePoint()> m_now;
  /// Asks for a tick soon.
  std::function<void()> m_wake;
  /// Explains where a chat goes.
  std::function<OperatorResponse(const std::string& chat,
                                 const std::string& model)>
      m_explain;
  std::function<void(const RequestOutcomeCommand&, OperatorResponseCallback)>
      m_request;
  /// Starts the planned stop of this instance.
  std::function<void()> m_drain;
  /// Adds fields to the answer of "status". @return a JSON object.
  std::function<std::string()> m_status;
};

/// Answers operators.
class OperatorApi {
 public:
  /// @param world must outlive this.
  OperatorApi(World& world, OperatorApiOptions options, OperatorApiHooks hooks);

  /// Handles one call; to be used as the HttpHandler.
  void Handle(std::shared_ptr<HttpExchange> exchange);

  /// Answers the calls whose commands ended. To be called after each tick.
  void DeliverReplies();

 private:
  struct Call;

  std::optional<OperatorId> Authenticate(const HttpRequest& request) const;
  void Route(const Call& call);
  void RouteRead(const Call& call);
  void HandleConfiguration(const Call& call);
  void HandleObject(const Call& call, const ObjectKey& key);
  void StartCommand(const Call& call, const ObjectKey& key);
  void StartQuery(const Call& call, OperatorQuery query);
  void HandleRequest(const Call& call);
  void HandleDrain(const Call& call);

  World& m_world;
  OperatorApiOptions m_options;
  OperatorApiHooks m_hooks;
  std::map<OperatorTicket, std::shared_ptr<HttpExchange>> m_waiting;
};

}  // namespace nutmeghollow::net
