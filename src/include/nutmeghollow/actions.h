/// @file
/// Actions: what the systems decided and the adapters carry out.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

// Request flow.

/// Sends a request to an upstream.
struct DispatchAttempt {
  RequestId m_request;
  AttemptId m_attempt;
  UpstreamId m_upstream;
  Endpoint m_endpoint;
  /// Continues the stream of an earlier attempt instead of a new run.
  bool m_resume = false;
  std::int64_t m_resume_offset = 0;  ///< Answer bytes already relayed.
  /// No byte may be sent after this time; unset for no limit.
  std::optional<TimePoint> m_not_after;
};

/// Ends an attempt: the connection is closed and never used again.
struct CancelAttempt {
  RequestId m_request;
  AttemptId m_attempt;
};

/// Ends a request with an answer made by this instance.
struct RefuseRequest {
  RequestId m_request;
  Outcome m_outcome = Outcome::kNotRun;
  Refusal m_refusal = Refusal::kNone;
  int m_status = 503;
  std::string m_title;
  std::string m_detail;
  Duration m_retry_after{};  ///< Zero when a retry does not help.
};

/// Ends a request with the recorded answer of an earlier request.
struct ReplayAnswer {
  RequestId m_request;
  int m_status = 200;
  std::string m_content_type;
  std::string m_body;
};

/// Ends the relay of an upstream's answer. When it was not whole, the caller's
/// connection is closed so that the caller sees it.
struct FinishRelay {
  RequestId m_request;
  Outcome m_outcome = Outcome::kCompleted;
};

// Table service.

/// Reads rows by key.
struct ReadStore {
  StorePurpose m_purpose;
  StoreOperationId m_operation;
  std::vector<std::string> m_keys;
};

/// Reads rows whose keys start with a prefix, in key order.
struct ScanStore {
  StorePurpose m_purpose;
  StoreOperationId m_operation;
  std::string m_prefix;
  std::string m_after;  ///< Only keys after this one; empty for all.
  int m_limit = 1000;
};

/// Commits a transaction.
struct CommitStore {
  StorePurpose m_purpose;
  StoreOperationId m_operation;
  std::vector<StorePrecondition> m_preconditions;
  std::vector<StoreWrite> m_writes;
};

// Probing.

/// Asks an upstream for its health and load.
struct ProbeUpstream {
  UpstreamId m_upstream;
  Endpoint m_endpoint;
  Duration m_timeout;
};

// Peers.

/// Sends a datagram to another instance. The payload is one packed message
/// without authentication, which the adapter adds.
struct SendDatagram {
  InstanceId m_to;
  Endpoint m_endpoint;
  std::string m_payload;
};

/// Asks the owner of an engine whether a request may be placed there.
struct ReserveAtOwner {
  RequestId m_request;
  InstanceId m_owner;
  UpstreamId m_upstream;
  RouteId m_route;
};

/// Answers an instance that asked for a reservation.
struct AnswerReservation {
  ReservationId m_reservation;
  bool m_granted = false;
  /// When refused: another engine that has room; empty when none has.
  UpstreamId m_alternative;
};

/// Asks a peer for the configuration changes after a revision.
struct FetchConfiguration {
  InstanceId m_from;
  Revision m_since;
};

/// Asks the holder of an open claim whether it dispatched the request.
struct QueryClaimer {
  RequestId m_request;
  InstanceId m_claimer;
  std::string m_claim_key;
  std::string m_claim_token;
};

/// Asks a plain service what became of an idempotency key.
struct QueryKeyStatus {
  RequestId m_request;
  UpstreamId m_upstream;
  Endpoint m_endpoint;
  std::string m_path;
};

// Orders.

/// Sends an order to a model engine and reads the state back.
struct SendOrder {
  UpstreamId m_upstream;
  Endpoint m_endpoint;
  FencingNumber m_fencing;
  std::string m_wanted_state;  ///< JSON object.
  TimePoint m_not_after;       ///< Not to be sent later than this.
};

/// Asks a model engine for its state.
struct ReadEngineState {
  UpstreamId m_upstream;
  Endpoint m_endpoint;
};

/// Closes every connection that carries orders.
struct CloseOrderConnections {};

// Drain.

/// Ends the process once every earlier action has been carried out.
struct ExitProcess {
  int m_exit_code = 0;
  int m_cut_requests = 0;
};

using Action = std::variant<DispatchAttempt,
                            CancelAttempt,
                            RefuseRequest,
                            ReplayAnswer,
                            FinishRelay,
                            ReadStore,
                            ScanStore,
                            CommitStore,
                            ProbeUpstream,
                            SendDatagram,
                            ReserveAtOwner,
                            AnswerReservation,
                            FetchConfiguration,
                            QueryClaimer,
                            QueryKeyStatus,
                            SendOrder,
                            ReadEngineState,
                            CloseOrderConnections,
                            ExitProcess>;

}  // namespace nutmeghollow
