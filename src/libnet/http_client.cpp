#include "libnet/http_client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "libnet/http_client_impl.h"
#include "libnet/tcp_bytes.h"

namespace nutmeghollow::net {
namespace {

constexpr long kConnectionCacheSize = 1024;
constexpr std::size_t kMaxIdleHandles = 256;
/// Size of the receive buffer. Smaller than libcurl's default of 16 KiB, since
/// each call in progress has one such buffer and most reads return one event.
constexpr long kReceiveBufferBytes = 4 << 10;
/// An idle handle keeps the memory of its last head. It is released when that
/// took more bytes or did not end.
constexpr std::size_t kMaxIdleHeadMemory = 16 << 10;

void InitializeCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) {
    throw std::runtime_error("libcurl could not be initialised");
  }
}

}  // namespace

HttpClient::Impl::Impl(struct ev_loop* loop)
    : m_loop(loop),
      m_multi((InitializeCurlOnce(), curl_multi_init())),
      m_curl_timer(loop, [this] { SocketAction(CURL_SOCKET_TIMEOUT, 0); }),
      m_deferred_timer(loop, [this] { RunDeferred(); }) {
  if (m_multi == nullptr) {
    throw std::runtime_error("libcurl could not create a multi handle");
  }
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kConnectionCacheSize);
  curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::Impl::~Impl() {
  while (!m_calls.empty()) {
    Detach(m_calls.begin()->first);
  }
  for (CURL* easy : m_idle_handles) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(m_multi);
}

HttpClient::Impl::Call* HttpClient::Impl::Find(HttpCallId id) {
  auto found = m_calls.find(id);
  return found == m_calls.end() ? nullptr : found->second.get();
}

HttpCallId HttpClient::Impl::Start(HttpCall call, HttpCallEvents events) {
  const HttpCallId id(++m_last_id);
  auto entry = std::make_unique<Call>();
  entry->m_client = this;
  entry->m_id = id;
  entry->m_call = std::move(call);
  entry->m_events = std::move(events);
  entry->m_started = BootTime();
  entry->m_last_activity = entry->m_started;
  entry->m_timer =
      std::make_unique<Timer>(m_loop, [this, id] { CheckTimeouts(id); });
  ArmTimer(*entry, entry->m_started);
  m_calls.emplace(id, std::move(entry));
  if (m_inside_curl) {
    Defer([this, id] { Add(id); });
  } else {
    Add(id);
  }
  return id;
}

void HttpClient::Impl::Add(HttpCallId id) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  call->m_easy = AcquireHandle();
  Configure(*call);
  if (!call->m_setup_error &&
      curl_multi_add_handle(m_multi, call->m_easy) != CURLM_OK) {
    call->m_setup_error = "libcurl could not add the call to its multi handle";
  }
  if (call->m_setup_error) {
    Defer([this, id, detail = *call->m_setup_error] {
      End(id, {HttpCallOutcome::kConnectFailed, false, detail});
    });
    return;
  }
  call->m_added = true;
}

CURL* HttpClient::Impl::AcquireHandle() {
  while (!m_idle_handles.empty()) {
    CURL* easy = m_idle_handles.back();
    m_idle_handles.pop_back();
    // A handle whose call failed early may still own its buffer and then
    // rejects a new size. curl_easy_reset restored the default size, so a read
    // would overrun that buffer.
    if (curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes) ==
        CURLE_OK) {
      return easy;
    }
    curl_easy_cleanup(easy);
  }
  CURL* easy = curl_easy_init();
  if (easy == nullptr) {
    throw std::bad_alloc();
  }
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  return easy;
}

int HttpClient::Impl::OnSocketChange(CURL* easy,
                                     curl_socket_t descriptor,
                                     int what,
                                     void* client,
                                     void* socket) {
  Impl& impl = *static_cast<Impl*>(client);
  auto* entry = static_cast<Socket*>(socket);
  if (what == CURL_POLL_REMOVE) {
    if (entry != nullptr) {
      ev_io_stop(impl.m_loop, &entry->m_watcher);
      delete entry;
      curl_multi_assign(impl.m_multi, descriptor, nullptr);
    }
    return 0;
  }
  if (entry == nullptr) {
    entry = new Socket();
    entry->m_client = &impl;
    ev_init(&entry->m_watcher, &OnSocketReady);
    entry->m_watcher.data = entry;
    curl_multi_assign(impl.m_multi, descriptor, entry);
  }
  Call* call = nullptr;
  curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
  const HttpCallId id = call == nullptr ? HttpCallId() : call->m_id;
  if (call != nullptr && entry->m_call != id) {
    call->m_bytes_read_before = BytesRead(descriptor).value_or(0);
  }
  entry->m_call = id;
  const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_stop(impl.m_loop, &entry->m_watcher);
  ev_io_set(&entry->m_watcher, descriptor, events);
  ev_io_start(impl.m_loop, &entry->m_watcher);
  return 0;
}

int HttpClient::Impl::OnTimerChange(CURLM* /*multi*/,
                                    long timeout_ms,
                                    void* client) {
  Impl& impl = *static_cast<Impl*>(client);
  if (timeout_ms < 0) {
    impl.m_curl_timer.Stop();
  } else {
    impl.m_curl_timer.Start(std::chrono::milliseconds(timeout_ms));
  }
  return 0;
}

void HttpClient::Impl::OnSocketReady(struct ev_loop* /*loop*/,
                                     ev_io* watcher,
                                     int events) {
  auto* entry = static_cast<Socket*>(watcher->data);
  const int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                   ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  entry->m_client->HandleSocketEvents(entry->m_call, watcher->fd, mask);
}

void HttpClient::Impl::HandleSocketEvents(HttpCallId id,
                                          curl_socket_t descriptor,
                                          int mask) {
  Call* before = Find(id);
  const std::uint64_t progress =
      before == nullptr ? 0 : before->m_progress_count;
  if (before != nullptr) {
    before->m_descriptor = descriptor;
    NoteUnacknowledged(*before);
  }
  SocketAction(descriptor, mask);
  Call* call = Find(id);
  if (call == nullptr || (mask & CURL_CSELECT_IN) == 0) {
    return;
  }
  if (!ReservePartialLine(*call, descriptor)) {
    End(id, {HttpCallOutcome::kBroken, call->m_sent,
             "the head of the response is too large"});
    return;
  }
  if (call->m_progress_count != progress) {
    call->m_reads_without_progress = 0;
    return;
  }
  // One event may be many reads of libcurl, so their bytes count as well.
  const std::size_t read = BytesRead(descriptor).value_or(0);
  if (call->m_reads_without_progress == 0) {
    call->m_bytes_read_without_progress = read;
  }
  if (++call->m_reads_without_progress >= kMaxReadsWithoutProgress ||
      read >= call->m_bytes_read_without_progress + kMaxHeadBytes) {
    End(id, {HttpCallOutcome::kBroken, call->m_sent,
             "too many reads without a header line or body data"});
  }
}

bool HttpClient::Impl::ReserveHead(Call& call, std::size_t bytes) {
  if (!m_head_memory_budget.MayReserve(call.m_head_memory, bytes)) {
    call.m_head_too_large = true;
    return false;
  }
  m_head_memory_budget.Reserve(bytes);
  call.m_head_memory += bytes;
  call.m_max_head_memory = std::max(call.m_max_head_memory, call.m_head_memory);
  return true;
}

bool HttpClient::Impl::ReservePartialLine(Call& call,
                                          curl_socket_t descriptor) {
  ReleaseHead(call, std::exchange(call.m_partial_line_memory, 0));
  if (call.m_headers_done) {
    return true;
  }
  const std::size_t read = BytesRead(descriptor).value_or(0);
  const std::size_t before = call.m_bytes_read_before + call.m_head_bytes;
  // libcurl stores the line in a buffer that doubles while it grows.
  const std::size_t memory = 2 * (read - std::min(read, before));
  if (!ReserveHead(call, memory)) {
    return false;
  }
  call.m_partial_line_memory = memory;
  return true;
}

void HttpClient::Impl::ReleaseHead(Call& call, std::size_t bytes) {
  m_head_memory_budget.Release(bytes);
  call.m_head_memory -= bytes;
}

void HttpClient::Impl::SocketAction(curl_socket_t descriptor, int mask) {
  int running = 0;
  m_inside_curl = true;
  curl_multi_socket_action(m_multi, descriptor, mask, &running);
  m_inside_curl = false;
  HandleFinishedCalls();
  RunDeferred();
}

void HttpClient::Impl::HandleFinishedCalls() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Call* call = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
    const CURLcode code = message->data.result;
    EndUnlessReset(*call, MakeResult(*call, code));
  }
}

void HttpClient::Impl::Defer(std::function<void()> work) {
  m_deferred.push_back(std::move(work));
  m_deferred_timer.Start(Duration::zero());
}

void HttpClient::Impl::RunDeferred() {
  m_deferred_timer.Stop();
  for (auto& work : std::exchange(m_deferred, {})) {
    work();
  }
}

void HttpClient::Impl::Cancel(HttpCallId id) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  call->m_cancelled = true;
  if (m_inside_curl) {
    // libcurl cannot remove a call inside its own callbacks.
    Defer([this, id] { Detach(id); });
  } else {
    Detach(id);
  }
}

void HttpClient::Impl::Resume(HttpCallId id) {
  Call* call = Find(id);
  if (call != nullptr && call->m_paused) {
    Defer([this, id] { Unpause(id); });
  }
}

bool HttpClient::Impl::IsOnReusedConnection(HttpCallId id) const {
  const auto found = m_calls.find(id);
  return found != m_calls.end() && found->second->m_on_reused_connection;
}

void HttpClient::Impl::Unpause(HttpCallId id) {
  Call* call = Find(id);
  if (call == nullptr || !call->m_paused || call->m_cancelled) {
    return;
  }
  call->m_paused = false;
  NoteUnacknowledged(*call);
  call->m_last_activity = BootTime();
  m_inside_curl = true;
  curl_easy_pause(call->m_easy, CURLPAUSE_CONT);
  m_inside_curl = false;
  call = Find(id);
  if (call != nullptr) {
    ArmTimer(*call, BootTime());
  }
}

void HttpClient::Impl::ArmTimer(Call& call, TimePoint now) {
  TimePoint deadline = call.m_started + call.m_call.m_total_timeout;
  if (!call.m_headers_done) {
    deadline = std::min(deadline, call.m_started + call.m_call.m_head_timeout);
  } else if (!call.m_paused) {
    deadline =
        std::min(deadline, call.m_last_activity + call.m_call.m_idle_timeout);
  }
  call.m_timer->Start(std::max(deadline - now, Duration(1)));
}

void HttpClient::Impl::CheckTimeouts(HttpCallId id) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  if (call->m_result_unless_reset) {
    CheckReset(*call);
    return;
  }
  const TimePoint now = BootTime();
  const char* detail = nullptr;
  if (now - call->m_started >= call->m_call.m_total_timeout) {
    detail = "the answer took too long";
  } else if (!call->m_headers_done) {
    if (now - call->m_started >= call->m_call.m_head_timeout) {
      detail = "the head of the response did not arrive in time";
    }
  } else if (!call->m_paused &&
             now - call->m_last_activity >= call->m_call.m_idle_timeout) {
    detail = "the response stalled";
  }
  if (detail == nullptr) {
    // Data received since the timer was set has moved the deadline.
    ArmTimer(*call, now);
    return;
  }
  const HttpCallOutcome outcome = call->m_sent
                                      ? HttpCallOutcome::kTimeout
                                      : HttpCallOutcome::kConnectFailed;
  End(id, {outcome, call->m_sent, detail});
}

void HttpClient::Impl::End(HttpCallId id, const HttpCallResult& result) {
  std::unique_ptr<Call> call = Detach(id);
  if (call != nullptr && !call->m_cancelled && call->m_events.m_on_end) {
    call->m_events.m_on_end(result);
  }
}

std::unique_ptr<HttpClient::Impl::Call> HttpClient::Impl::Detach(
    HttpCallId id) {
  auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return nullptr;
  }
  std::unique_ptr<Call> call = std::move(found->second);
  m_calls.erase(found);
  call->m_timer.reset();
  ReleaseHead(*call, call->m_head_memory);
  if (call->m_easy != nullptr) {
    if (call->m_added) {
      // Closes the connection unless the response is complete.
      curl_multi_remove_handle(m_multi, call->m_easy);
    }
    if (m_idle_handles.size() < kMaxIdleHandles && call->m_headers_done &&
        call->m_max_head_memory <= kMaxIdleHeadMemory) {
      curl_easy_reset(call->m_easy);
      m_idle_handles.push_back(call->m_easy);
    } else {
      curl_easy_cleanup(call->m_easy);
    }
    call->m_easy = nullptr;
  }
  if (call->m_ended_descriptor >= 0) {
    close(call->m_ended_descriptor);
  }
  curl_slist_free_all(call->m_headers);
  call->m_headers = nullptr;
  return call;
}

HttpClient::HttpClient(struct ev_loop* loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Start(HttpCall call, HttpCallEvents events) {
  return m_impl->Start(std::move(call), std::move(events));
}

void HttpClient::Cancel(HttpCallId id) {
  m_impl->Cancel(id);
}

void HttpClient::Resume(HttpCallId id) {
  m_impl->Resume(id);
}

bool HttpClient::IsOnReusedConnection(HttpCallId id) const {
  return m_impl->IsOnReusedConnection(id);
}

std::size_t HttpClient::Active() const {
  return m_impl->Active();
}

}  // namespace nutmeghollow::net
