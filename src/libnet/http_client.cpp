#include "libnet/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/text.h"

namespace nutmeghollow::net {
namespace {

constexpr long kConnectionCacheSize = 1024;
/// Bytes read at once from a connection. Smaller than libcurl's 16 KiB, since
/// each call in progress holds one such buffer and most reads are one event.
constexpr long kReceiveBufferBytes = 4 << 10;
/// Bytes of a request body copied at once; the least that libcurl takes.
constexpr long kSendBufferBytes = 16 << 10;
constexpr long kKeepaliveIdleSeconds = 10;
constexpr long kKeepaliveIntervalSeconds = 5;
constexpr unsigned kTcpUserTimeoutMs = 15000;
constexpr std::size_t kIdleHandles = 256;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

void InitializeCurlOnce() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (result != CURLE_OK) {
    throw std::runtime_error("libcurl could not be initialised");
  }
}

long Milliseconds(Duration duration) {
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  return std::max<long>(1, ceil<milliseconds>(duration).count());
}

bool HasLineBreak(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

/// @return the status of a line such as "HTTP/1.1 200 OK", or nothing.
std::optional<int> ParseStatusLine(std::string_view line) {
  if (!line.starts_with("HTTP/")) {
    return std::nullopt;
  }
  const auto space = line.find(' ');
  if (space == std::string_view::npos || line.size() < space + 4) {
    return std::nullopt;
  }
  int status = 0;
  for (char digit : line.substr(space + 1, 3)) {
    if (digit < '0' || digit > '9') {
      return std::nullopt;
    }
    status = status * 10 + (digit - '0');
  }
  return status;
}

/// Sets what only lives on the socket. Failures leave the system's defaults.
int OnSocketCreated(void* /*context*/,
                    curl_socket_t descriptor,
                    curlsocktype /*purpose*/) {
  const unsigned timeout = kTcpUserTimeoutMs;
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

}  // namespace

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
    bool m_any_answer = false;
    std::optional<std::string> m_failure;  ///< Ends the call before it starts.
    std::unique_ptr<Timer> m_timer;
  };

  struct Socket {
    ev_io m_watcher{};
    Impl* m_client = nullptr;
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
  void CollectEnds();
  void RunPending();
  void Defer(std::function<void()> work);
  void Add(HttpCallId id);
  void Unpause(HttpCallId id);
  void CheckTimes(HttpCallId id);
  void ArmTimer(Call& call, TimePoint now);
  void End(HttpCallId id, const HttpEnd& end);
  HttpEnd MakeEnd(const Call& call, CURLcode code) const;
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

HttpClient::Impl::Impl(struct ev_loop* loop)
    : m_loop(loop),
      m_multi((InitializeCurlOnce(), curl_multi_init())),
      m_curl_timer(loop, [this] { SocketAction(CURL_SOCKET_TIMEOUT, 0); }),
      m_pending_timer(loop, [this] { RunPending(); }) {
  if (m_multi == nullptr) {
    throw std::runtime_error("libcurl gave no multi handle");
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
  auto row = std::make_unique<Call>();
  row->m_client = this;
  row->m_id = id;
  row->m_call = std::move(call);
  row->m_events = std::move(events);
  row->m_started = BootTime();
  row->m_last_activity = row->m_started;
  row->m_timer =
      std::make_unique<Timer>(m_loop, [this, id] { CheckTimes(id); });
  ArmTimer(*row, row->m_started);
  m_calls.emplace(id, std::move(row));
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
  call->m_easy = TakeHandle();
  Configure(*call);
  if (!call->m_failure &&
      curl_multi_add_handle(m_multi, call->m_easy) != CURLM_OK) {
    call->m_failure = "libcurl did not take the call";
  }
  if (call->m_failure) {
    Defer([this, id, detail = *call->m_failure] {
      End(id, {HttpEndKind::kConnectFailed, false, detail});
    });
    return;
  }
  call->m_added = true;
}

CURL* HttpClient::Impl::TakeHandle() {
  if (m_idle_handles.empty()) {
    CURL* easy = curl_easy_init();
    if (easy == nullptr) {
      throw std::bad_alloc();
    }
    return easy;
  }
  CURL* easy = m_idle_handles.back();
  m_idle_handles.pop_back();
  return easy;
}

void HttpClient::Impl::Configure(Call& call) {
  CURL* easy = call.m_easy;
  const HttpCall& wanted = call.m_call;
  const std::string url = "http://" + wanted.m_endpoint.str() + wanted.m_path;
  if (HasLineBreak(url) || HasLineBreak(wanted.m_method)) {
    call.m_failure = "the method or path has a line break";
  }
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(wanted.m_reuse_max_idle.count()));
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(wanted.m_connect_timeout));
  const long own = wanted.m_own_connection ? 1L : 0L;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, own);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, own);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &call);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
  AddBody(call);
  AddHeaders(call);
}

void HttpClient::Impl::AddBody(Call& call) {
  static const std::string kNoBody;
  CURL* easy = call.m_easy;
  const std::string& method = call.m_call.m_method;
  const bool expects_body =
      method == "POST" || method == "PUT" || method == "PATCH";
  if (call.m_call.m_body || expects_body) {
    const std::string& body =
        call.m_call.m_body ? *call.m_call.m_body : kNoBody;
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
  } else if (method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void HttpClient::Impl::AddHeaders(Call& call) {
  bool has_content_type = false;
  bool has_accept = false;
  for (const auto& [name, value] : call.m_call.m_headers) {
    if (HasLineBreak(name) || HasLineBreak(value)) {
      call.m_failure = "a header has a line break";
      continue;
    }
    has_content_type |= LowerCase(name) == "content-type";
    has_accept |= LowerCase(name) == "accept";
    // libcurl drops "Name:"; a semicolon asks for an empty value.
    std::string line = name;
    line.append(value.empty() ? ";" : ": ").append(value);
    call.m_headers = curl_slist_append(call.m_headers, line.c_str());
  }
  call.m_headers = curl_slist_append(call.m_headers, "Expect:");
  if (!has_content_type) {
    call.m_headers = curl_slist_append(call.m_headers, "Content-Type:");
  }
  if (!has_accept) {
    call.m_headers = curl_slist_append(call.m_headers, "Accept:");
  }
  curl_easy_setopt(call.m_easy, CURLOPT_HTTPHEADER, call.m_headers);
}

int HttpClient::Impl::OnBeforeSend(void* context,
                                   char* /*primary_ip*/,
                                   char* /*local_ip*/,
                                   int /*primary_port*/,
                                   int /*local_port*/) {
  Call& call = *static_cast<Call*>(context);
  if (call.m_cancelled) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (call.m_sent) {
    // libcurl wants to repeat the call on a new connection.
    call.m_second_send = true;
    return CURL_PREREQFUNC_ABORT;
  }
  call.m_sent = true;
  if (call.m_events.m_on_send) {
    call.m_events.m_on_send();
  }
  return call.m_cancelled ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t HttpClient::Impl::OnHeader(char* data,
                                       std::size_t size,
                                       std::size_t count,
                                       void* context) {
  Call& call = *static_cast<Call*>(context);
  const std::size_t length = size * count;
  call.m_last_activity = BootTime();
  call.m_any_answer = true;
  if (!call.m_headers_done) {
    call.m_client->HandleHeaderLine(call, {data, length});
  }
  return call.m_cancelled ? 0 : length;
}

void HttpClient::Impl::HandleHeaderLine(Call& call, std::string_view line) {
  if (const auto status = ParseStatusLine(line)) {
    call.m_status = *status;
    call.m_answer_headers.clear();
    return;
  }
  const std::string_view text = Trim(line);
  const auto colon = text.find(':');
  if (!text.empty()) {
    if (colon != std::string_view::npos) {
      call.m_answer_headers.emplace(LowerCase(Trim(text.substr(0, colon))),
                                    Trim(text.substr(colon + 1)));
    }
    return;
  }
  if (call.m_status < 200) {
    return;  // An interim answer; the real one follows.
  }
  call.m_headers_done = true;
  call.m_framed = call.m_call.m_accept_close_delimited ||
                  call.m_call.m_method == "HEAD" ||
                  call.m_status == kStatusNoContent ||
                  call.m_status == kStatusNotModified ||
                  call.m_answer_headers.contains("content-length") ||
                  call.m_answer_headers.contains("transfer-encoding");
  if (call.m_events.m_on_headers) {
    call.m_events.m_on_headers(call.m_status, call.m_answer_headers);
  }
}

std::size_t HttpClient::Impl::OnBody(char* data,
                                     std::size_t size,
                                     std::size_t count,
                                     void* context) {
  Call& call = *static_cast<Call*>(context);
  const std::size_t length = size * count;
  if (call.m_cancelled) {
    return 0;
  }
  call.m_last_activity = BootTime();
  if (call.m_events.m_on_data && length > 0 &&
      !call.m_events.m_on_data({data, length})) {
    if (call.m_cancelled) {
      return 0;
    }
    call.m_paused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  return call.m_cancelled ? 0 : length;
}

int HttpClient::Impl::OnSocketChange(CURL* /*easy*/,
                                     curl_socket_t descriptor,
                                     int what,
                                     void* client,
                                     void* socket) {
  Impl& impl = *static_cast<Impl*>(client);
  auto* row = static_cast<Socket*>(socket);
  if (what == CURL_POLL_REMOVE) {
    if (row != nullptr) {
      ev_io_stop(impl.m_loop, &row->m_watcher);
      delete row;
      curl_multi_assign(impl.m_multi, descriptor, nullptr);
    }
    return 0;
  }
  if (row == nullptr) {
    row = new Socket();
    row->m_client = &impl;
    ev_init(&row->m_watcher, &OnSocketReady);
    row->m_watcher.data = row;
    curl_multi_assign(impl.m_multi, descriptor, row);
  }
  const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_stop(impl.m_loop, &row->m_watcher);
  ev_io_set(&row->m_watcher, descriptor, events);
  ev_io_start(impl.m_loop, &row->m_watcher);
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
  auto* row = static_cast<Socket*>(watcher->data);
  const int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                   ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  row->m_client->SocketAction(watcher->fd, mask);
}

void HttpClient::Impl::SocketAction(curl_socket_t descriptor, int mask) {
  int running = 0;
  m_inside_curl = true;
  curl_multi_socket_action(m_multi, descriptor, mask, &running);
  m_inside_curl = false;
  CollectEnds();
  RunPending();
}

void HttpClient::Impl::CollectEnds() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Call* call = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
    const CURLcode code = message->data.result;
    End(call->m_id, MakeEnd(*call, code));
  }
}

HttpEnd HttpClient::Impl::MakeEnd(const Call& call, CURLcode code) const {
  HttpEnd end;
  end.m_may_have_been_sent = call.m_sent;
  end.m_detail = curl_easy_strerror(code);
  if (code == CURLE_OK && call.m_framed) {
    end.m_kind = HttpEndKind::kComplete;
    end.m_detail.clear();
  } else if (code == CURLE_OK) {
    end.m_detail = "the answer's length is not known";
  } else if (!call.m_sent) {
    end.m_kind = HttpEndKind::kConnectFailed;
  } else if (call.m_second_send) {
    end.m_detail = "the reused connection was closed by the server";
  }
  return end;
}

void HttpClient::Impl::Defer(std::function<void()> work) {
  m_pending.push_back(std::move(work));
  m_pending_timer.Start(Duration::zero());
}

void HttpClient::Impl::RunPending() {
  m_pending_timer.Stop();
  for (auto& work : std::exchange(m_pending, {})) {
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
    // libcurl does not let go of a call inside its own callbacks.
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

void HttpClient::Impl::Unpause(HttpCallId id) {
  Call* call = Find(id);
  if (call == nullptr || !call->m_paused || call->m_cancelled) {
    return;
  }
  call->m_paused = false;
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
  TimePoint due = call.m_started + call.m_call.m_total_timeout;
  if (!call.m_any_answer) {
    due = std::min(due, call.m_started + call.m_call.m_first_byte_timeout);
  } else if (!call.m_paused) {
    due = std::min(due, call.m_last_activity + call.m_call.m_idle_timeout);
  }
  call.m_timer->Start(std::max(due - now, Duration(1)));
}

void HttpClient::Impl::CheckTimes(HttpCallId id) {
  Call* call = Find(id);
  if (call == nullptr) {
    return;
  }
  const TimePoint now = BootTime();
  const char* passed = nullptr;
  if (now - call->m_started >= call->m_call.m_total_timeout) {
    passed = "the answer took too long";
  } else if (!call->m_any_answer) {
    if (now - call->m_started >= call->m_call.m_first_byte_timeout) {
      passed = "no answer in time";
    }
  } else if (!call->m_paused &&
             now - call->m_last_activity >= call->m_call.m_idle_timeout) {
    passed = "the connection fell silent";
  }
  if (passed == nullptr) {
    // Traffic since the timer was set moved the deadline.
    ArmTimer(*call, now);
    return;
  }
  const HttpEndKind kind =
      call->m_sent ? HttpEndKind::kTimeout : HttpEndKind::kConnectFailed;
  End(id, {kind, call->m_sent, passed});
}

void HttpClient::Impl::End(HttpCallId id, const HttpEnd& end) {
  std::unique_ptr<Call> call = Detach(id);
  if (call != nullptr && !call->m_cancelled && call->m_events.m_on_end) {
    call->m_events.m_on_end(end);
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
  if (call->m_easy != nullptr) {
    if (call->m_added) {
      // Closes the connection when the answer is not whole.
      curl_multi_remove_handle(m_multi, call->m_easy);
    }
    if (m_idle_handles.size() < kIdleHandles) {
      curl_easy_reset(call->m_easy);
      m_idle_handles.push_back(call->m_easy);
    } else {
      curl_easy_cleanup(call->m_easy);
    }
    call->m_easy = nullptr;
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

std::size_t HttpClient::Active() const {
  return m_impl->Active();
}

namespace {

/// Collects the answer of one call for Fetch.
struct Collector {
  HttpAnswer m_answer;
  HttpCallId m_id;
  std::function<void(HttpAnswer)> m_callback;
};

}  // namespace

HttpCallId Fetch(HttpClient& client,
                 HttpCall call,
                 Bytes body_limit,
                 std::function<void(HttpAnswer)> callback) {
  auto collector = std::make_shared<Collector>();
  collector->m_callback = std::move(callback);
  HttpCallEvents events;
  events.m_on_headers = [collector](int status, const HeaderMap& headers) {
    collector->m_answer.m_status = status;
    collector->m_answer.m_headers = headers;
  };
  events.m_on_data = [collector, body_limit, &client](std::string_view data) {
    std::string& body = collector->m_answer.m_body;
    if (body.size() + data.size() <=
        static_cast<std::size_t>(body_limit.value())) {
      body.append(data);
      return true;
    }
    client.Cancel(collector->m_id);
    collector->m_answer.m_end = {HttpEndKind::kBroken, true,
                                 "the answer is larger than the limit"};
    collector->m_callback(std::move(collector->m_answer));
    return false;
  };
  events.m_on_end = [collector](const HttpEnd& end) {
    collector->m_answer.m_end = end;
    collector->m_callback(std::move(collector->m_answer));
  };
  collector->m_id = client.Start(std::move(call), std::move(events));
  return collector->m_id;
}

}  // namespace nutmeghollow::net
