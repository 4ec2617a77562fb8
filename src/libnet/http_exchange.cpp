#include "libnet/http_exchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/log.h"
#include "libnet/socket_address.h"
#include "libnet/text.h"

namespace nutmeghollow::net {
namespace {

/// Bytes that libmicrohttpd requests from a stream at once.
constexpr std::size_t kStreamBlockSize = 16 << 10;
/// Reserved at most for a body of a declared length before its bytes arrive.
constexpr std::size_t kFirstBodyBytes = 64 << 10;
/// Parts of a body that are read before other connections and watchers run.
/// libmicrohttpd moves the rest of its buffer after each chunk, so that 200
/// callers with chunks of 16 bytes kept the event loop busy for over 6 s.
constexpr int kMaxPartsInARow = 64;
/// Without memory for twice as much, a body grows by this part of its capacity.
constexpr std::size_t kMinGrowthShare = 8;
/// Smallest capacity of a body whose length is not known.
constexpr std::size_t kMinBodyBytes = 512;

MHD_Result CollectHeader(void* target,
                         MHD_ValueKind /*kind*/,
                         const char* key,
                         const char* value) {
  static_cast<HeaderMap*>(target)->emplace(LowerCase(key),
                                           value == nullptr ? "" : value);
  return MHD_YES;
}

MHD_Result CollectQuery(void* target,
                        MHD_ValueKind /*kind*/,
                        const char* key,
                        const char* value) {
  auto& query = *static_cast<std::map<std::string, std::string>*>(target);
  query[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

ssize_t ReadStreamCallback(void* exchange,
                           std::uint64_t /*position*/,
                           char* target,
                           std::size_t size) {
  return static_cast<detail::MhdExchange*>(exchange)->ReadStream(target, size);
}

}  // namespace

std::string HeaderValue(const HeaderMap& headers, const std::string& name) {
  auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

namespace detail {

MhdExchange::MhdExchange(std::shared_ptr<HttpServerState> server_state,
                         MHD_Connection* connection)
    : m_server_state(std::move(server_state)),
      m_connection(connection),
      m_flow(static_cast<std::size_t>(
          m_server_state->m_options.m_stream_high_water.value())) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != nullptr) {
    m_descriptor = info->connect_fd;
  }
}

std::size_t MhdExchange::ReadHeader(const char* method,
                                    const char* url,
                                    std::string target) {
  m_request.m_method = method;
  m_request.m_path = url;
  m_request.m_target = std::move(target);
  MHD_get_connection_values(m_connection, MHD_HEADER_KIND, CollectHeader,
                            &m_request.m_headers);
  MHD_get_connection_values(m_connection, MHD_GET_ARGUMENT_KIND, CollectQuery,
                            &m_request.m_query);
  std::size_t size = m_request.m_path.size();
  for (const auto& [name, value] : m_request.m_headers) {
    size += name.size() + value.size() + 4;
  }
  return size;
}

bool MhdExchange::OpenBody(std::int64_t limit, std::int64_t declared) {
  m_body_limit = static_cast<std::size_t>(limit);
  m_declared = static_cast<std::size_t>(std::max<std::int64_t>(declared, 0));
  m_reservation = BodyReservation(
      m_server_state->m_options.m_body_memory, [this] { DropBody(); },
      BootTime());
  if (m_declared > m_body_limit) {
    m_body_too_large = true;
    return true;
  }
  return m_declared == 0 || GrowBody(std::min(m_declared, kFirstBodyBytes));
}

bool MhdExchange::AppendBody(std::string_view data) {
  const HttpServerOptions& options = m_server_state->m_options;
  if (m_body_dropped) {
    return false;
  }
  const std::size_t size = m_request.m_body.size() + data.size();
  if (!m_body_refused && !m_body_too_large && size > m_body_limit) {
    m_body_too_large = true;
    DiscardBody();
  }
  if (!m_body_refused && !m_body_too_large && !GrowBody(size)) {
    RefuseBody("no memory for its next part");
  }
  if (m_body_too_large || m_body_refused) {
    // A refused body is read to its end, so that the caller gets the response.
    m_discarded += data.size();
    const auto limit =
        static_cast<std::size_t>(options.m_discard_limit.value());
    if (m_discarded <= (m_body_refused ? m_body_limit : limit)) {
      return true;
    }
    Log(LogLevel::kInfo, "body_closed",
        {{"reason", std::string("far over the limit")}});
    return false;
  }
  m_reservation.NoteProgress(BootTime());
  m_request.m_body.append(data);
  return true;
}

bool MhdExchange::YieldAfterParts() {
  if (m_server_state->m_stopping || ++m_parts <= kMaxPartsInARow) {
    return false;
  }
  m_parts = 0;
  m_yielded = true;
  m_server_state->m_has_yielded = true;
  MHD_suspend_connection(m_connection);
  return true;
}

void MhdExchange::ResumeYielded() {
  if (std::exchange(m_yielded, false) && m_connection != nullptr) {
    MHD_resume_connection(m_connection);
  }
}

bool MhdExchange::GrowBody(std::size_t size) {
  if (size <= m_reserved) {
    return true;
  }
  const std::size_t most = m_declared > 0 ? m_declared : m_body_limit;
  const std::size_t preferred =
      std::max({size, std::min(2 * m_reserved, most), kMinBodyBytes});
  const TimePoint now = BootTime();
  std::size_t capacity = preferred;
  if (!m_reservation.Reserve(capacity, now)) {
    // Each growth copies the body, so that it must not be by a few bytes.
    capacity = std::min(
        preferred, std::max(size, m_reserved + m_reserved / kMinGrowthShare));
    if (capacity == preferred || !m_reservation.Reserve(capacity, now)) {
      return false;
    }
  }
  m_reserved = capacity;
  // A string that holds data would at least double its capacity.
  std::string larger;
  larger.reserve(capacity);
  larger.append(m_request.m_body);
  m_request.m_body = std::move(larger);
  return true;
}

void MhdExchange::RefuseBody(const char* reason) {
  m_body_refused = true;
  m_reservation.NoteRefused();
  Log(LogLevel::kWarning, "body_refused",
      {{"reason", std::string(reason)},
       {"bytes", static_cast<std::int64_t>(m_request.m_body.size())}});
  DiscardBody();
}

void MhdExchange::DropBody() {
  Log(LogLevel::kWarning, "body_closed",
      {{"reason", std::string("gave way to others")},
       {"bytes", static_cast<std::int64_t>(m_request.m_body.size())}});
  m_body_dropped = true;
  DiscardBody();
  // libmicrohttpd reads the end of the connection and closes it.
  shutdown(m_descriptor, SHUT_RDWR);
}

std::shared_ptr<const std::string> MhdExchange::TakeBody() {
  if (m_request.m_body.empty()) {
    return nullptr;
  }
  struct HeldBody {
    std::string m_text;
    BodyReservation m_reservation;
  };
  auto held = std::make_shared<HeldBody>();
  held->m_text = std::exchange(m_request.m_body, std::string());
  held->m_reservation = std::move(m_reservation);
  return {held, &held->m_text};
}

void MhdExchange::DiscardBody() {
  // Assignment of an empty string would keep the memory.
  std::string().swap(m_request.m_body);
  m_reservation = BodyReservation();
}

MHD_Result MhdExchange::QueueOrSuspend() {
  if (m_caller_disconnected || (m_aborted && !m_queued)) {
    return MHD_NO;  // Closes the connection.
  }
  if (m_queued) {
    return MHD_YES;
  }
  if (!m_ready) {
    Suspend();
    return MHD_YES;
  }
  MHD_Response* response =
      m_streamed ? MHD_create_response_from_callback(
                       MHD_SIZE_UNKNOWN, kStreamBlockSize, ReadStreamCallback,
                       this, nullptr)
                 : MHD_create_response_from_buffer(
                       m_buffer.size(), m_buffer.data(), MHD_RESPMEM_MUST_COPY);
  return Queue(response);
}

MHD_Result MhdExchange::QueueError(int status, const std::string& detail) {
  HttpErrorResponse response;
  if (m_server_state->m_options.m_error_hook) {
    response = m_server_state->m_options.m_error_hook(status, detail);
  } else {
    response.m_headers = {{"Content-Type", "text/plain"}};
    response.m_body = detail + "\n";
  }
  m_dispatched = true;
  m_ready = true;
  m_status = status;
  m_headers = std::move(response.m_headers);
  m_buffer = std::move(response.m_body);
  return QueueOrSuspend();
}

MHD_Result MhdExchange::Queue(MHD_Response* response) {
  if (response == nullptr) {
    return MHD_NO;
  }
  AddHeaders(response);
  m_queued = true;
  const MHD_Result result = MHD_queue_response(
      m_connection, static_cast<unsigned int>(m_status), response);
  MHD_destroy_response(response);
  return result;
}

void MhdExchange::AddHeaders(MHD_Response* response) const {
  for (const auto& [name, value] : m_headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  if (m_server_state->m_close_after_responses) {
    MHD_add_response_header(response, "Connection", "close");
  }
}

void MhdExchange::Respond(int status,
                          const HeaderList& headers,
                          std::string body) {
  if (m_ready || m_connection == nullptr) {
    return;
  }
  m_ready = true;
  m_status = status;
  m_headers = headers;
  m_buffer = std::move(body);
  ResumeIfSuspended();
}

void MhdExchange::BeginStream(int status, const HeaderList& headers) {
  if (m_ready || m_connection == nullptr) {
    return;
  }
  m_ready = true;
  m_streamed = true;
  m_status = status;
  m_headers = headers;
  ResumeIfSuspended();
}

bool MhdExchange::Write(std::string_view data) {
  if (m_connection == nullptr || m_ended || m_aborted) {
    return true;
  }
  // What was sent goes, also if the buffer never becomes empty.
  if (m_sent >= Buffered()) {
    m_buffer.erase(0, m_sent);
    m_sent = 0;
  }
  m_buffer.append(data);
  ResumeIfSuspended();
  return m_flow.NoteWritten(Buffered());
}

void MhdExchange::EndStream() {
  m_ended = true;
  ResumeIfSuspended();
}

void MhdExchange::AbortStream() {
  m_aborted = true;
  ResumeIfSuspended();
}

ssize_t MhdExchange::ReadStream(char* target, std::size_t size) {
  if (m_aborted || m_caller_disconnected) {
    ResetIfCloseDelimited();
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const std::size_t count = std::min(size, Buffered());
  if (count == 0) {
    if (m_ended) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    Suspend();
    return 0;
  }
  std::memcpy(target, m_buffer.data() + m_sent, count);
  m_sent += count;
  if (m_flow.NoteRead(Buffered())) {
    m_buffer.erase(0, m_sent);
    m_sent = 0;
    if (m_on_drained) {
      m_on_drained();
    }
  }
  return static_cast<ssize_t>(count);
}

void MhdExchange::ResetIfCloseDelimited() {
  if (m_streamed && m_close_delimited && !ResetConnection(m_descriptor)) {
    Log(LogLevel::kWarning, "stream_not_reset",
        {{"reason", std::string(std::strerror(errno))}});
  }
}

void MhdExchange::OnDisconnect(std::function<void()> callback) {
  m_on_disconnect = std::move(callback);
}

void MhdExchange::OnDrained(std::function<void()> callback) {
  m_on_drained = std::move(callback);
}

void MhdExchange::OnEnd(std::function<void(bool complete)> callback) {
  m_on_end = std::move(callback);
}

void MhdExchange::ReportDisconnect() {
  if (m_caller_disconnected) {
    return;
  }
  m_caller_disconnected = true;
  const std::function<void()> callback =
      std::exchange(m_on_disconnect, nullptr);
  if (callback) {
    callback();
  }
}

void MhdExchange::Detach(bool complete) {
  m_connection = nullptr;
  m_suspended = false;
  if (!complete) {
    ReportDisconnect();
  }
  m_on_disconnect = nullptr;
  m_on_drained = nullptr;
  if (const auto callback = std::exchange(m_on_end, nullptr)) {
    callback(complete);
  }
}

void MhdExchange::Suspend() {
  m_suspended = true;
  MHD_suspend_connection(m_connection);
}

void MhdExchange::ResumeIfSuspended() {
  if (!m_suspended || m_connection == nullptr) {
    return;
  }
  m_suspended = false;
  m_server_state->m_needs_run = true;
  MHD_resume_connection(m_connection);
}

}  // namespace detail
}  // namespace nutmeghollow::net
