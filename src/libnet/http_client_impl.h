/// @file
/// Implementation class of the HTTP client. Internal to it.
#pragma once

#include <curl/curl.h>
#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"

namespace nutmeghollow::net {

/// Calls in progress on one multi handle of libcurl. http_client.cpp manages
/// the calls, sockets and timeouts; http_transfer.cpp sets the libcurl options
/// of a call and implements its callbacks; http_client_endings.cpp decides
/// whether a response is complete.
class HttpClient::Impl {
 public:
  explicit Impl(struct ev_loop* loop);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  HttpCallId Start(HttpCall call, HttpCallEvents events);
  void Cancel(HttpCallId id);
  void Resume(HttpCallId id);
  bool IsOnReusedConnection(HttpCallId id) const;
  std::size_t Active() const { return m_calls.size(); }

 private:
  struct Call {
    Impl* m_client = nullptr;
    HttpCallId m_id;
    HttpCall m_call;
    HttpCallEvents m_events;
    CURL* m_easy = nullptr;
    curl_slist* m_headers = nullptr;
    bool m_added = false;  ///< To the multi handle.
    bool m_cancelled = false;
    bool m_sent = false;
    bool m_on_reused_connection = false;
    bool m_resend_attempted = false;  ///< By libcurl; refused.
    bool m_paused = false;
    bool m_headers_done = false;  ///< The final response's head is complete.
    bool m_status_line_read = false;  ///< Of the current response head.
    bool m_invalid_status = false;
    bool m_invalid_field = false;
    bool m_invalid_length = false;   ///< Or an unknown transfer coding.
    bool m_close_delimited = false;  ///< The body has no length or chunks.
    int m_descriptor = -1;  ///< Of the connection, from its first event.
    /// Of a connection that libcurl has done with, and whose end is checked for
    /// a reset. Closed with the call.
    int m_ended_descriptor = -1;
    /// Set while a reset of that connection may follow.
    std::optional<HttpCallResult> m_result_unless_reset;
    /// Bytes of the request that the server's system did not have at the last
    /// read.
    std::size_t m_unacknowledged_bytes = 0;
    int m_status = 0;
    HeaderMap m_response_headers;
    TimePoint m_started{};
    TimePoint m_last_activity{};
    std::size_t m_head_bytes = 0;
    std::size_t m_head_memory = 0;  ///< Reserved in m_head_memory_budget.
    std::size_t m_partial_line_memory = 0;  ///< Part of m_head_memory.
    std::size_t m_bytes_read_before = 0;    ///< From the connection.
    std::size_t m_max_head_memory = 0;  ///< Maximum of m_head_memory so far.
    /// Head lines and body parts received.
    std::uint64_t m_progress_count = 0;
    int m_reads_without_progress = 0;  ///< Consecutive.
    /// Bytes read from the connection after the first of them.
    std::size_t m_bytes_read_without_progress = 0;
    bool m_head_too_large = false;
    std::optional<std::string> m_setup_error;  ///< Ends the call unsent.
    std::unique_ptr<Timer> m_timer;
  };

  struct Socket {
    ev_io m_watcher{};
    Impl* m_client = nullptr;
    HttpCallId m_call;  ///< The call that uses the socket now.
  };

  static int OnSocketChange(CURL* easy,
                            curl_socket_t descriptor,
                            int what,
                            void* client,
                            void* socket);
  static int OnTimerChange(CURLM* multi, long timeout_ms, void* client);
  static void OnSocketReady(struct ev_loop* loop, ev_io* watcher, int events);
  /// Keeps the socket of a call whose end is checked for a reset.
  static int OnCloseSocket(void* client, curl_socket_t descriptor);
  static int OnBeforeSend(void* context,
                          char* primary_ip,
                          char* local_ip,
                          int primary_port,
                          int local_port);
  static std::size_t OnHeader(char* data,
                              std::size_t size,
                              std::size_t count,
                              void* context);
  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t count,
                            void* context);

  /// @return an easy handle with the receive buffer's size set.
  /// @throws std::bad_alloc when libcurl cannot create a handle.
  CURL* AcquireHandle();
  void Configure(Call& call);
  void AddBody(Call& call);
  void AddHeaders(Call& call);
  void HandleHeaderLine(Call& call, std::string_view line);
  /// Updates m_unacknowledged_bytes. Called before libcurl reads, since it may
  /// close the connection.
  static void NoteUnacknowledged(Call& call);
  /// @return true when the server's system has received the whole request.
  static bool IsRequestReceived(const Call& call);
  /// @return true when a reset may follow the end of the connection because the
  /// server has not read the request.
  static bool MayBeReset(const Call& call);
  /// Ends a call, after a wait if its connection may still be reset.
  void EndUnlessReset(Call& call, const HttpCallResult& result);
  /// Ends a call whose wait is over, or whose connection is reset.
  void CheckReset(Call& call);
  /// Reserves memory for a part of a call's head.
  /// @return false when the limit is reached; the call must end then.
  bool ReserveHead(Call& call, std::size_t bytes);
  /// Replaces the reservation for the line of a head that is not complete.
  /// @return false when the limit is reached; the call must end then.
  bool ReservePartialLine(Call& call, curl_socket_t descriptor);
  void ReleaseHead(Call& call, std::size_t bytes);
  void SocketAction(curl_socket_t descriptor, int mask);
  /// Processes the events of a call's socket. Ends the call after
  /// kMaxReadsWithoutProgress consecutive reads without progress.
  void HandleSocketEvents(HttpCallId id, curl_socket_t descriptor, int mask);
  void HandleFinishedCalls();
  void RunDeferred();
  /// Runs a function from the event loop, outside libcurl's callbacks.
  void Defer(std::function<void()> work);
  void Add(HttpCallId id);
  void Unpause(HttpCallId id);
  void CheckTimeouts(HttpCallId id);
  void ArmTimer(Call& call, TimePoint now);
  void End(HttpCallId id, const HttpCallResult& result);
  HttpCallResult MakeResult(const Call& call, CURLcode code) const;
  /// Removes a call from the table and releases its easy handle.
  /// @return the call, or null when the id is unknown.
  std::unique_ptr<Call> Detach(HttpCallId id);
  /// @return the call, or null when the id is unknown.
  Call* Find(HttpCallId id);

  struct ev_loop* m_loop;
  CURLM* m_multi;
  Timer m_curl_timer;
  Timer m_deferred_timer;
  bool m_inside_curl = false;  ///< libcurl may be in one of its callbacks.
  std::uint64_t m_last_id = 0;
  ResponseMemoryBudget m_head_memory_budget{kHeadMemory};
  std::map<HttpCallId, std::unique_ptr<Call>> m_calls;
  std::vector<CURL*> m_idle_handles;
  std::vector<std::function<void()>> m_deferred;
};

}  // namespace nutmeghollow::net
