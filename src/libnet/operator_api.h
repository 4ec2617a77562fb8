/// @file
/// HTTP interface for operators, on an endpoint of its own.
///
/// A bearer token identifies the operator of a call. Every response is a JSON
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

/// Response to an operator's call.
struct OperatorResponse {
  int m_status = 200;
  std::string m_json;  ///< A JSON object.
};

using OperatorResponseCallback = std::function<void(OperatorResponse)>;

/// Operator command that shows or sets the outcome of a non-idempotent request.
struct RequestOutcomeCommand {
  CommandId m_command;
  OperatorId m_operator;
  CustomerId m_customer;
  ServiceId m_service;
  IdempotencyKey m_key;
  /// Outcome to set: kCompleted when the request ran, kNotRun when it did not.
  /// Unset to show the outcome.
  std::optional<Outcome> m_resolution;
};

/// Settings of the operator interface.
struct OperatorApiOptions {
  /// SHA-256 of each operator's token, in lower-case hex.
  std::map<OperatorId, std::string> m_token_digests;
  /// Most rows of the audit trail in one response.
  int m_audit_limit = 500;
};

/// Functions that the daemon provides to the operator interface. m_explain,
/// m_run_outcome_command, m_drain and m_status are optional: without
/// m_run_outcome_command or m_drain their calls are refused with 501, without
/// m_explain with 404.
struct OperatorApiHooks {
  /// @return SHA-256 of a string in lower-case hex.
  std::function<std::string(std::string_view)> m_digest;
  std::function<TimePoint()> m_now;
  /// Schedules a tick as soon as possible.
  std::function<void()> m_schedule_tick;
  /// Explains the placement of a chat.
  std::function<OperatorResponse(const std::string& chat,
                                 const std::string& model)>
      m_explain;
  /// Runs the command and passes the response to the callback.
  std::function<void(const RequestOutcomeCommand&, OperatorResponseCallback)>
      m_run_outcome_command;
  /// Starts the drain of this instance.
  std::function<void()> m_drain;
  /// @return a JSON object with further fields of the status response.
  std::function<std::string()> m_status;
};

/// Handles the HTTP calls of operators.
class OperatorApi {
 public:
  /// @param world must outlive this.
  OperatorApi(World& world, OperatorApiOptions options, OperatorApiHooks hooks);

  /// Handles one call. Use it as the HttpHandler.
  void Handle(std::shared_ptr<HttpExchange> exchange);

  /// Responds to the calls whose commands or queries ended. Call it after each
  /// tick.
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
  void HandleRequestOutcome(const Call& call);
  void HandleDrain(const Call& call);

  World& m_world;
  OperatorApiOptions m_options;
  OperatorApiHooks m_hooks;
  std::map<OperatorTicket, std::shared_ptr<HttpExchange>> m_pending_exchanges;
};

}  // namespace nutmeghollow::net
