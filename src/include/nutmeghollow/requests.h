/// @file
/// Table of the requests in progress on this instance.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Whether a request is a chat completion or a call to a plain service.
enum class RequestKind { kChat, kService };

/// Phase of a request. Each system processes the requests in its phases.
enum class RequestPhase {
  kArrived,     ///< Added to the table; not yet checked.
  kClaiming,    ///< Waits for its claim in the table service.
  kWaiting,     ///< Waits before a retry, or before it fails.
  kQueued,      ///< Waits in the fair queue of its route.
  kAdmitted,    ///< May be placed now.
  kReserving,   ///< Waits for the reply of the owner of an engine.
  kPlaced,      ///< Has an upstream; not yet handed to the network.
  kDispatched,  ///< Handed to the network; no byte of the request sent.
  kSent,        ///< A byte of the request may have reached the upstream.
  kStreaming,   ///< A part of the response was received.
  kRecording,   ///< Response complete; its outcome is being recorded.
  /// Ended with m_refusal at the next run of request flow.
  kRefused,
  kDone,  ///< Ended; removed at the end of the tick.
  kCount,
};

/// Whether the request took effect, as reported to the caller.
enum class Outcome {
  kCompleted,  ///< The upstream ran it and the response is complete.
  kNotRun,     ///< It is certain that no upstream ran it.
  kUnknown,    ///< An upstream may have run it.
};

/// Why a request ended without an upstream's response.
enum class Refusal {
  kNone,
  kUnknownRoute,    ///< 404
  kUnknownService,  ///< 404
  kNotReady,        ///< 503, the instance has no configuration
  kIsolated,        ///< 503, no recent contact with the table service or a peer
  kQueueFull,       ///< 429
  kQueueDeadline,   ///< 429
  kCustomerLimit,   ///< 429
  kNoUpstream,      ///< 503
  kStoreUnavailable,    ///< 503, no claim could be made
  kKeyReused,           ///< 422, same key with another body
  kKeyInProgress,       ///< 409, the first request is still running
  kKeyOutcomeUnknown,   ///< 409, the first request's outcome is unknown
  kAnswerNotKept,       ///< 409, the first response was not stored
  kQuarantined,         ///< 422, the request crashed upstreams
  kRunsElsewhere,       ///< 503, a suspect that another instance may run
  kUpstreamFailed,      ///< 502
  kUpstreamTimeout,     ///< 504
  kDraining,            ///< 503
  kCallerDisconnected,  ///< 499, the caller closed the connection
  kCount,
};

/// A new request from the caller adapter.
struct NewRequest {
  RequestId m_id;
  PublicRequestId m_public_id;
  RequestKind m_kind = RequestKind::kChat;
  CustomerId m_customer;
  RouteId m_route;      ///< For chats.
  ServiceId m_service;  ///< For plain services.
  std::string m_method;
  std::string m_path;  ///< Path inside the service.
  ChatKey m_chat;
  RequestDigest m_digest;
  IdempotencyKey m_idempotency_key;  ///< Empty when the caller sent none.
  bool m_streamed = false;
  /// The messages contain no earlier response of the model, so no engine has a
  /// useful prefix in its cache.
  bool m_first_turn = false;
  Bytes m_body_size;
  Duration m_timeout = std::chrono::seconds(120);  ///< From arrival.
};

/// One request in progress.
struct RequestRow {
  NewRequest m_request;
  RequestPhase m_phase = RequestPhase::kArrived;
  TimePoint m_arrived_at{};
  TimePoint m_phase_since{};
  TimePoint m_deadline{};
  UpstreamId m_upstream;        ///< Set from kPlaced on.
  AttemptId m_attempt;          ///< The current attempt.
  TimePoint m_dispatched_at{};  ///< Time of the last dispatch.
  int m_attempts = 0;           ///< Dispatched attempts, excluding resumes.
  /// True once any attempt may have reached an upstream.
  bool m_may_have_run = false;
  /// True once an attempt before the current one may have reached an upstream.
  bool m_earlier_may_have_run = false;
  /// Must run at most once: a non-idempotent call to a plain service.
  bool m_at_most_once = false;
  bool m_finished = false;  ///< The action that ends it was appended.
  bool m_complete = false;  ///< The upstream's response is complete.
  /// The request continues only to record its outcome.
  bool m_caller_disconnected = false;
  /// Outcome of an earlier request with the same idempotency key.
  std::optional<Outcome> m_earlier_outcome;
  int m_resumes = 0;  ///< Resumes of the current response stream.
  /// Response bytes received before the last resume; unset before the first.
  std::optional<std::int64_t> m_last_resume_offset;
  TimePoint m_wakeup{};  ///< Time of its next wakeup by the request flow.
  TimePoint m_failure_not_before{};   ///< A failure is not reported earlier.
  std::int64_t m_bytes_received = 0;  ///< Response bytes from the upstream.
  std::int64_t m_bytes_relayed = 0;   ///< Response bytes to the caller.
  std::set<UpstreamId> m_tried;       ///< Upstreams that refused or failed.
  /// True from placement until ReleasePlacement: the request counts as running.
  bool m_has_placement = false;
  /// Set with kRefused, and with kWaiting before the request fails.
  Refusal m_refusal = Refusal::kNone;
  Duration m_retry_after{};  ///< Zero when a retry does not help.
};

/// A request entered phase kQueued, or moved from one of the phases before
/// placement (kQueued, kAdmitted, kReserving) to another phase.
struct QueueChange {
  RequestId m_request;
  bool m_entered = false;
};

/// Requests by id, with an index by phase in order of arrival.
class RequestTable {
 public:
  /// Adds a request in phase kArrived. @return its row.
  RequestRow& Add(const NewRequest& request, TimePoint now);
  /// @return the row of a request, or null.
  RequestRow* Find(RequestId id);
  const RequestRow* Find(RequestId id) const;
  /// Moves a request to a phase and records the time.
  void SetPhase(RequestRow& row, RequestPhase phase, TimePoint now);
  /// Removes a request; it must be in phase kDone.
  void Remove(RequestId id);
  /// @return the requests in a phase, oldest first. SetPhase changes the set,
  /// so copy it before moving requests.
  const std::set<RequestId>& InPhase(RequestPhase phase) const;
  /// @return the queue changes since the last call, in order.
  std::vector<QueueChange> TakeQueueChanges();
  std::size_t size() const { return m_rows.size(); }
  const std::map<RequestId, RequestRow>& Rows() const { return m_rows; }

 private:
  std::map<RequestId, RequestRow> m_rows;
  std::array<std::set<RequestId>, static_cast<int>(RequestPhase::kCount)>
      m_by_phase;
  std::vector<QueueChange> m_queue_changes;
};

/// Kind of event of an attempt at an upstream.
enum class AttemptEventKind {
  kBytesSent,          ///< The first byte of the request left this instance.
  kHeaders,            ///< Status and headers of the response were received.
  kResponseBytes,      ///< A part of the response was received and relayed.
  kComplete,           ///< The response is complete, with its end marker.
  kStreamNotRetained,  ///< The upstream no longer has the stream to resume.
  kConnectFailed,      ///< No connection; no byte of the request was sent.
  kRefused,            ///< The upstream refused the request before running it.
  kBroken,             ///< The connection ended before the response did.
  kIncomplete,         ///< The response ended normally without its end marker.
  kTimeout,            ///< No data was received within the timeout.
  kWrongRequestId,     ///< The response carries the id of another request.
};

/// One event of an attempt, reported by the upstream adapter.
struct AttemptEvent {
  RequestId m_request;
  AttemptId m_attempt;
  AttemptEventKind m_kind = AttemptEventKind::kBroken;
  int m_status = 0;  ///< HTTP status, with kHeaders and kRefused.
  /// Response bytes relayed since the previous event; with any kind.
  std::int64_t m_bytes = 0;
  /// With kComplete: bytes of a complete response that the adapter buffers.
  std::int64_t m_buffered_bytes = 0;
  Duration m_retry_after{};  ///< With kRefused; zero when none was given.
  /// With kComplete of a plain service: the response, to be recorded.
  std::string m_content_type;
  std::string m_body;
};

/// Request events from the adapters; request flow empties it in each tick.
struct RequestInbox {
  std::vector<NewRequest> m_new;
  std::vector<AttemptEvent> m_attempts;
  std::vector<RequestId> m_callers_disconnected;
};

}  // namespace nutmeghollow
