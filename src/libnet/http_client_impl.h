/// @file
/// What the parts of the HTTP client share. Internal to it.
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

/// Calls in progress over one multi handle of libcurl. Calls and time-outs are
/// kept in http_client.cpp; what libcurl is told of a call, and tells of it, is
/// in http_transfer.cpp.
class HttpClient::Impl {
 public:
  explicit Impl(struct ev_loop* loop);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  HttpCallId Start(HttpCall call, HttpCallEvents events);
  void Cancel(HttpCallId id);
  void Resume(HttpCallId id);
  std::size_t Active() const { return m_calls.size(); }

 private:
  struct Call {
    Impl* m_client = nullptr;
    HttpCallId m_id;
    HttpCall m_call;
    HttpCallEvents m_events;
    CURL* m_easy = nullptr;
    curl_slist* m_headers = nullptr;
    bool m_added = false;
    bool m_cancelled = false;
    bool m_sent = false;
    bool m_second_send = false;
    bool m_paused = false;
    bool m_headers_done = false;
    bool m_framed = false;  ///< The end of the body can be told.
    int m_status = 0;
    HeaderMap m_answer_headers;
    TimePoint m_started{};
    TimePoint m_last_activity{};
    std::size_t m_head_bytes = 0;
    std::uint64_t m_progress = 0;  ///< Lines and pieces of a body received.
    int m_fruitless_reads = 0;     ///< In a row.
    bool m_head_too_large = false;
    std::optional<std::string> m_failure;  ///< Ends the call before it starts.
    std::unique_ptr<Timer> m_timer;
  };

  struct Socket {
    ev_io m_watcher{};
    Impl* m_client = nullptr;
    HttpCallId m_call;  ///< The call that the socket serves now.
  };

  static int OnSocketChange(CURL* easy,
                            curl_socket_t descriptor,
                            int what,
                            void* client,
                            void* socket);
  static int OnTimerChange(CURLM* multi, long timeout_ms, void* client);
  static void OnSocketReady(struct ev_loop* loop, ev_io* watcher, int events);
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

  CURL* TakeHandle();
  void Configure(Call& call);
  void AddBody(Call& call);
  void AddHeaders(Call& call);
  void HandleHeaderLine(Call& call, std::string_view line);
  void SocketAction(curl_socket_t descriptor, int mask);
  /// Reads for a call, and ends it when its server sends without an end what
  /// is no part of an answer.
  void ReadFor(HttpCallId id, curl_socket_t descriptor, int mask);
  void CollectEnds();
  void RunPending();
  void Defer(std::function<void()> work);
  void Add(HttpCallId id);
  void Unpause(HttpCallId id);
  void CheckTimes(HttpCallId id);
  void ArmTimer(Call& call, TimePoint now);
  void End(HttpCallId id, const HttpCallResult& end);
  HttpCallResult MakeEnd(const Call& call, CURLcode code) const;
  /// Takes a call out of the table and gives its handle back.
  std::unique_ptr<Call> Detach(HttpCallId id);
  Call* Find(HttpCallId id);

  struct ev_loop* m_loop;
  CURLM* m_multi;
  Timer m_curl_timer;
  Timer m_pending_timer;
  bool m_inside_curl = false;
  std::uint64_t m_last_id = 0;
  std::map<HttpCallId, std::unique_ptr<Call>> m_calls;
  std::vector<CURL*> m_idle_handles;
  std::vector<std::function<void()>> m_pending;
};

}  // namespace nutmeghollow::net
