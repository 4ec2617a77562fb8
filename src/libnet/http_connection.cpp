#include "libnet/http_connection.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

#include "libnet/http_response_head.h"
#include "libnet/log.h"
#include "libnet/socket_address.h"
#include "libnet/text.h"

namespace nutmeghollow::net::detail {
namespace {

/// Bytes of a stream that are taken from its buffer at once.
constexpr std::size_t kStreamBlockSize = 16 << 10;
/// Parts of a body that are read before other connections and watchers run.
constexpr int kMaxPartsInARow = 64;
/// Bytes of later requests that are read while a response is made.
constexpr std::size_t kMaxPipelinedBytes = 32 << 10;
/// After the last response, the caller has this long to close the connection. A
/// connection that is closed while bytes of the caller arrive is reset, and the
/// response may be lost with it.
constexpr Duration kDrainTime = std::chrono::seconds(1);

constexpr int kStatusTooLarge = 413;
constexpr int kStatusUnavailable = 503;
constexpr const char* kNoMemory = "no memory for the request body";
constexpr const char* kTooLarge = "the request body is too large";

}  // namespace

void QueuePlace::EnterAtEnd(ConnectionQueue* queue,
                            HttpConnection* connection) {
  if (m_queue == queue) {
    queue->splice(queue->end(), *queue, m_position);
    return;
  }
  Leave();
  m_queue = queue;
  m_position = queue->insert(queue->end(), connection);
}

void QueuePlace::Leave() {
  if (m_queue != nullptr) {
    std::exchange(m_queue, nullptr)->erase(m_position);
  }
}

HttpConnection::HttpConnection(HttpServerState* server, int descriptor)
    : m_server(server),
      m_descriptor(descriptor),
      m_watcher(server->m_loop,
                descriptor,
                EV_READ,
                [this](int events) { OnEvents(events); }),
      m_events(EV_READ) {
  m_without_request.EnterAtEnd(&m_server->m_without_request, this);
  NoteActivity();
}

HttpConnection::~HttpConnection() {
  Close();
}

void HttpConnection::OnEvents(int events) {
  if ((events & EV_READ) != 0) {
    Receive();
  }
  if ((events & EV_WRITE) != 0) {
    Send();
  }
  UpdateEvents();
}

void HttpConnection::Receive() {
  if (m_closed || m_yielded || m_caller_ended) {
    return;
  }
  std::vector<char>& buffer = m_server->m_read_buffer;
  const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Close();
    }
    return;
  }
  if (count == 0) {
    m_caller_ended = true;
    // A response that is being written has been asked for by a caller that
    // sends nothing more.
    if (m_phase != Phase::kWriting || m_exchange->Streamed()) {
      Close();
    }
    m_keeps = false;
    return;
  }
  NoteActivity();
  const std::string_view bytes(buffer.data(), static_cast<std::size_t>(count));
  if (m_phase == Phase::kDraining) {
    m_drained += count;
    if (m_drained > m_server->m_options.m_discard_limit.value()) {
      Close();
    }
    return;
  }
  if (!m_input.empty()) {
    m_input.append(bytes);
    ParseInput();
    return;
  }
  const std::size_t used = Parse(bytes);
  m_input.assign(bytes.substr(used));
}

void HttpConnection::ParseInput() {
  const std::size_t used = Parse(m_input);
  m_input.erase(0, used);
  if (m_input.empty()) {
    std::string().swap(m_input);  // Frees the memory.
  }
}

std::size_t HttpConnection::Parse(std::string_view bytes) {
  using Step = HttpRequestReader::Step;
  std::size_t used = 0;
  int parts = 0;
  while (m_phase == Phase::kReading && !m_closed) {
    if (m_reader == nullptr) {
      if (used == bytes.size()) {
        break;
      }
      m_reader = std::make_unique<HttpRequestReader>(
          static_cast<std::size_t>(m_server->m_options.m_header_limit.value()));
    }
    if (parts >= kMaxPartsInARow && !m_server->m_stopping) {
      m_yielded = true;
      m_server->m_yielded.push_back(this);
      break;
    }
    const auto [step, count] = m_reader->Read(bytes.substr(used));
    used += count;
    switch (step) {
      case Step::kNeedMore:
        return used;
      case Step::kHead:
        StartRequest(used < bytes.size());
        break;
      case Step::kBody:
        ++parts;
        if (!m_exchange->AppendBody(m_reader->BodyPart())) {
          Close();
        }
        break;
      case Step::kEnd:
        CompleteRequest();
        break;
      case Step::kInvalid:
        RefuseMalformed();
        break;
    }
  }
  // Nothing after a request that is not read to its end can be understood.
  return m_reader != nullptr && m_phase != Phase::kReading ? bytes.size()
                                                           : used;
}

void HttpConnection::StartRequest(bool body_follows) {
  m_http11 = m_reader->IsHttp11();
  m_keeps = m_reader->KeepsConnection();
  m_exchange = std::make_shared<ServerExchange>(
      m_server->m_options, m_reader->TakeRequest(), [this] { Schedule(); });
  ++m_server->m_open_requests;
  const HttpRequest& request = m_exchange->Request();
  m_is_head = request.m_method == "HEAD";

  const HttpServerOptions& options = m_server->m_options;
  std::int64_t limit = options.m_body_limit.value();
  if (options.m_current_body_limit) {
    limit = std::min(limit, options.m_current_body_limit().value());
  }
  const auto body_limit = static_cast<std::uint64_t>(limit);
  const std::uint64_t length = m_reader->Length().value_or(0);
  const std::string expectation = HeaderValue(request.m_headers, "expect");
  const bool has_memory = m_exchange->OpenBody(body_limit, length);
  if (length > body_limit &&
      (length > static_cast<std::uint64_t>(options.m_discard_limit.value()) ||
       !expectation.empty())) {
    RefuseUnread(kStatusTooLarge, kTooLarge);
    return;
  }
  if (!has_memory) {
    m_exchange->RefuseBody("no memory for its start");
    if (!expectation.empty()) {
      RefuseUnread(kStatusUnavailable, kNoMemory);
      return;
    }
  }
  if (m_http11 && !body_follows && LowerCase(expectation) == "100-continue") {
    m_output = "HTTP/1.1 100 Continue\r\n\r\n";
    WriteOutput();
  }
}

void HttpConnection::CompleteRequest() {
  m_reader.reset();
  m_phase = Phase::kPreparing;
  if (m_exchange->BodyIsDropped()) {
    Close();
  } else if (m_server->m_stopping) {
    m_keeps = false;
    m_exchange->RespondWithError(kStatusUnavailable, "the server stops");
  } else if (m_exchange->BodyIsTooLarge()) {
    m_exchange->RespondWithError(kStatusTooLarge, kTooLarge);
  } else if (m_exchange->BodyIsRefused()) {
    m_exchange->RespondWithError(kStatusUnavailable, kNoMemory);
  } else {
    m_without_request.Leave();
    m_exchange->CompleteBody();
    m_server->m_handler(m_exchange);
  }
}

void HttpConnection::RefuseMalformed() {
  const HttpRequestReader::Problem problem = m_reader->Error();
  ++m_server->m_malformed_requests;
  Log(LogLevel::kInfo, "request_malformed",
      {{"status", std::int64_t{problem.m_status}},
       {"reason", std::string(problem.m_detail)}});
  if (m_exchange == nullptr) {
    m_http11 = true;
    m_is_head = false;
    m_exchange = std::make_shared<ServerExchange>(
        m_server->m_options, HttpRequest(), [this] { Schedule(); });
    ++m_server->m_open_requests;
  }
  RefuseUnread(problem.m_status, problem.m_detail);
}

void HttpConnection::RefuseUnread(int status, const std::string& detail) {
  m_phase = Phase::kPreparing;
  m_keeps = false;
  m_exchange->RespondWithError(status, detail);
}

void HttpConnection::Schedule() {
  if (!std::exchange(m_scheduled, true)) {
    m_server->m_scheduled.push_back(this);
  }
}

void HttpConnection::Continue() {
  m_scheduled = false;
  m_yielded = false;
  if (m_exchange != nullptr && m_exchange->BodyIsDropped()) {
    Close();
  }
  if (m_phase == Phase::kReading && !m_input.empty()) {
    ParseInput();
  }
  Send();
  UpdateEvents();
}

void HttpConnection::Send() {
  while (!m_closed && (HasOutput() || MakeOutput())) {
    if (!WriteOutput()) {
      return;
    }
  }
}

bool HttpConnection::MakeOutput() {
  if (m_phase == Phase::kPreparing && m_exchange->Aborted()) {
    Close();
    return false;
  }
  if (m_phase == Phase::kPreparing && m_exchange->Ready()) {
    BeginResponse();
    return true;
  }
  if (m_phase != Phase::kWriting) {
    return false;
  }
  if (!m_response_ended) {
    return ReadStream();
  }
  FinishResponse();
  return false;
}

void HttpConnection::BeginResponse() {
  const int status = m_exchange->Status();
  const bool streamed = m_exchange->Streamed();
  const bool has_body = !m_is_head && !HasNoBody(status);
  if (!streamed) {
    m_body = m_exchange->TakeResponseBody();
  }
  ResponseFraming framing;
  if (!HasNoBody(status) && !streamed) {
    framing.m_length = m_body.size();
  }
  framing.m_chunked = streamed && m_http11 && !HasNoBody(status);
  m_close_delimited = streamed && has_body && !m_http11;
  m_keeps = m_keeps && !m_close_delimited && !m_caller_ended &&
            !m_server->m_close_after_responses && !m_server->m_stopping;
  framing.m_closes = !m_keeps;
  framing.m_announces_keep_alive = !m_http11;
  if (!has_body) {
    std::string().swap(m_body);
  }
  m_output = FormatResponseHead(status, m_exchange->Fields(), framing,
                                std::time(nullptr));
  m_response_ended = !streamed || !has_body;
  m_phase = Phase::kWriting;
}

bool HttpConnection::ReadStream() {
  using Step = ServerExchange::StreamStep;
  std::string part;
  switch (m_exchange->ReadStream(kStreamBlockSize, &part)) {
    case Step::kWait:
      return false;
    case Step::kAborted:
      Close();
      return false;
    case Step::kEnd:
      m_response_ended = true;
      m_output = m_close_delimited ? "" : "0\r\n\r\n";
      return true;
    case Step::kData:
      break;
  }
  m_output = m_close_delimited
                 ? std::move(part)
                 : fmt::format("{:x}\r\n{}\r\n", part.size(), part);
  return true;
}

void HttpConnection::FinishResponse() {
  const std::shared_ptr<ServerExchange> exchange =
      std::exchange(m_exchange, nullptr);
  --m_server->m_open_requests;
  m_response_ended = false;
  m_close_delimited = false;
  m_phase = Phase::kReading;
  m_without_request.EnterAtEnd(&m_server->m_without_request, this);
  if (!m_keeps) {
    StartDraining();
  } else if (!m_input.empty()) {
    Schedule();
  }
  exchange->Detach(true);
}

bool HttpConnection::WriteOutput() {
  constexpr std::size_t kParts = 2;
  while (HasOutput()) {
    const std::size_t of_body = m_sent - std::min(m_sent, m_output.size());
    const std::size_t of_output = m_sent - of_body;
    std::array<iovec, kParts> parts{
        iovec{m_output.data() + of_output, m_output.size() - of_output},
        iovec{m_body.data() + of_body, m_body.size() - of_body}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t count = sendmsg(m_descriptor, &message, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno != EAGAIN && errno != EINTR) {
        Close();
      }
      return false;
    }
    NoteActivity();
    m_sent += static_cast<std::size_t>(count);
  }
  std::string().swap(m_output);
  std::string().swap(m_body);
  m_sent = 0;
  return true;
}

void HttpConnection::StartDraining() {
  m_phase = Phase::kDraining;
  m_reader.reset();
  std::string().swap(m_input);
  if (m_caller_ended) {
    Close();
    return;
  }
  shutdown(m_descriptor, SHUT_WR);
  m_draining_since = m_last_activity;
  m_draining.EnterAtEnd(&m_server->m_draining, this);
}

void HttpConnection::Close() {
  if (std::exchange(m_closed, true)) {
    return;
  }
  // A stream that ends with its connection would look complete.
  if (m_close_delimited && m_phase == Phase::kWriting &&
      (!m_response_ended || HasOutput()) && !ResetConnection(m_descriptor)) {
    Log(LogLevel::kWarning, "stream_not_reset",
        {{"reason", std::string(std::strerror(errno))}});
  }
  m_watcher.SetEvents(0);
  close(m_descriptor);
  std::erase(m_server->m_yielded, this);
  m_without_request.Leave();
  m_by_activity.Leave();
  m_draining.Leave();
  m_not_reading.Leave();
  m_reader.reset();
  std::string().swap(m_input);
  Schedule();  // To be destroyed.
  if (const auto exchange = std::exchange(m_exchange, nullptr)) {
    --m_server->m_open_requests;
    exchange->Detach(false);
  }
  m_server->m_on_close();
}

void HttpConnection::AbortUnfinished() {
  if (m_exchange != nullptr && m_phase != Phase::kReading &&
      !m_exchange->HasWholeResponse()) {
    m_exchange->AbortStream();
  }
}

bool HttpConnection::CloseIfIdle(TimePoint now) {
  if (now - m_last_activity < m_server->m_options.m_idle_timeout) {
    return false;
  }
  const bool is_prepared = m_phase == Phase::kPreparing ||
                           (m_phase == Phase::kWriting && !HasOutput());
  if (is_prepared) {
    NoteActivity();
  } else {
    Close();
  }
  return true;
}

bool HttpConnection::CloseIfDrained(TimePoint now) {
  if (now - m_draining_since < kDrainTime) {
    return false;
  }
  Close();
  return true;
}

bool HttpConnection::CallerHasLeft() const {
  pollfd entry{m_descriptor, POLLRDHUP, 0};
  return poll(&entry, 1, 0) > 0;
}

void HttpConnection::NoteActivity() {
  m_last_activity = BootTime();
  m_by_activity.EnterAtEnd(&m_server->m_by_activity, this);
}

void HttpConnection::UpdateEvents() {
  if (m_closed) {
    return;
  }
  const bool is_full = m_phase != Phase::kReading &&
                       m_input.size() >= kMaxPipelinedBytes && !m_caller_ended;
  if (is_full) {
    m_not_reading.EnterAtEnd(&m_server->m_not_reading, this);
  } else {
    m_not_reading.Leave();
  }
  const bool reads = !is_full && !m_caller_ended;
  const int events = (reads ? EV_READ : 0) | (HasOutput() ? EV_WRITE : 0);
  if (events != m_events) {
    m_events = events;
    m_watcher.SetEvents(events);
  }
}

}  // namespace nutmeghollow::net::detail
