#include "libnet/http_exchange.h"

#include <algorithm>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/log.h"

namespace nutmeghollow::net {
namespace {

/// Reserved at most for a body of a declared length before its bytes arrive.
constexpr std::size_t kFirstBodyBytes = 64 << 10;
/// Without memory for twice as much, a body grows by this part of its capacity.
constexpr std::size_t kMinGrowthShare = 8;
/// Smallest capacity of a body whose length is not known.
constexpr std::size_t kMinBodyBytes = 512;
/// Memory of a field in addition to its bytes: here, in its copy for an
/// upstream, and in libcurl.
constexpr std::size_t kFieldMemory = 256;
/// Fields above this number count against the budget of bodies. As many are
/// part of what the limit of connections takes into account.
constexpr std::size_t kFreeFields = 32;

/// @return the memory of a request's fields that counts against the budget.
std::size_t FieldMemory(const HeaderMap& fields) {
  return kFieldMemory * (fields.size() - std::min(fields.size(), kFreeFields));
}

}  // namespace

std::string HeaderValue(const HeaderMap& headers, const std::string& name) {
  auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

namespace detail {

ServerExchange::ServerExchange(const HttpServerOptions& options,
                               HttpRequest request,
                               std::function<void()> on_change)
    : m_body_memory(options.m_body_memory),
      m_error_hook(options.m_error_hook),
      m_discard_limit(
          static_cast<std::size_t>(options.m_discard_limit.value())),
      m_on_change(std::move(on_change)),
      m_request(std::move(request)),
      m_flow(static_cast<std::size_t>(options.m_stream_high_water.value())) {}

bool ServerExchange::OpenBody(std::size_t limit, std::uint64_t declared) {
  m_body_limit = limit;
  m_declared = declared;
  m_reservation = BodyReservation(
      m_body_memory, [this] { DropBody(); }, BootTime());
  const std::size_t field_memory = FieldMemory(m_request.m_headers);
  if (field_memory > 0 && !m_reservation.Reserve(field_memory, BootTime())) {
    return false;
  }
  m_field_memory = field_memory;
  if (m_declared > m_body_limit) {
    m_body_too_large = true;
    return true;
  }
  return m_declared == 0 || GrowBody(std::min(m_declared, kFirstBodyBytes));
}

bool ServerExchange::AppendBody(std::string_view data) {
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
    if (m_discarded <= (m_body_refused ? m_body_limit : m_discard_limit)) {
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

bool ServerExchange::GrowBody(std::size_t size) {
  if (size <= m_reserved) {
    return true;
  }
  const std::size_t most = m_declared > 0 ? m_declared : m_body_limit;
  const std::size_t preferred =
      std::max({size, std::min(2 * m_reserved, most), kMinBodyBytes});
  const TimePoint now = BootTime();
  std::size_t capacity = preferred;
  if (!m_reservation.Reserve(m_field_memory + capacity, now)) {
    // Each growth copies the body, so that it must not be by a few bytes.
    capacity = std::min(
        preferred, std::max(size, m_reserved + m_reserved / kMinGrowthShare));
    if (capacity == preferred ||
        !m_reservation.Reserve(m_field_memory + capacity, now)) {
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

void ServerExchange::RefuseBody(const char* reason) {
  m_body_refused = true;
  m_reservation.NoteRefused();
  Log(LogLevel::kWarning, "body_refused",
      {{"reason", std::string(reason)},
       {"bytes", static_cast<std::int64_t>(m_request.m_body.size())}});
  DiscardBody();
}

void ServerExchange::DropBody() {
  Log(LogLevel::kWarning, "body_closed",
      {{"reason", std::string("gave way to others")},
       {"bytes", static_cast<std::int64_t>(m_request.m_body.size())}});
  m_body_dropped = true;
  DiscardBody();
  NoteChange();
}

std::shared_ptr<const std::string> ServerExchange::TakeBody() {
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

void ServerExchange::DiscardBody() {
  // Assignment of an empty string would keep the memory.
  std::string().swap(m_request.m_body);
  m_reservation = BodyReservation();
  m_field_memory = 0;
}

void ServerExchange::RespondWithError(int status, const std::string& detail) {
  HttpErrorResponse response;
  if (m_error_hook) {
    response = m_error_hook(status, detail);
  } else {
    response.m_headers = {{"Content-Type", "text/plain"}};
    response.m_body = detail + "\n";
  }
  Respond(status, response.m_headers, std::move(response.m_body));
}

void ServerExchange::NoteChange() const {
  if (!m_detached) {
    m_on_change();
  }
}

void ServerExchange::Respond(int status,
                             const HeaderList& headers,
                             std::string body) {
  if (m_ready || m_detached) {
    return;
  }
  m_ready = true;
  m_status = status;
  m_headers = headers;
  m_buffer = std::move(body);
  NoteChange();
}

void ServerExchange::BeginStream(int status, const HeaderList& headers) {
  if (m_ready || m_detached) {
    return;
  }
  m_ready = true;
  m_streamed = true;
  m_status = status;
  m_headers = headers;
  NoteChange();
}

bool ServerExchange::Write(std::string_view data) {
  if (m_detached || m_ended || m_aborted) {
    return true;
  }
  // What was sent goes, also if the buffer never becomes empty.
  if (m_sent >= Buffered()) {
    m_buffer.erase(0, m_sent);
    m_sent = 0;
  }
  m_buffer.append(data);
  NoteChange();
  return m_flow.NoteWritten(Buffered());
}

void ServerExchange::EndStream() {
  m_ended = true;
  NoteChange();
}

void ServerExchange::AbortStream() {
  m_aborted = true;
  NoteChange();
}

std::string ServerExchange::TakeResponseBody() {
  return std::exchange(m_buffer, std::string());
}

ServerExchange::StreamStep ServerExchange::ReadStream(std::size_t most,
                                                      std::string* target) {
  if (m_aborted) {
    return StreamStep::kAborted;
  }
  const std::size_t count = std::min(most, Buffered());
  if (count == 0) {
    return m_ended ? StreamStep::kEnd : StreamStep::kWait;
  }
  target->append(m_buffer, m_sent, count);
  m_sent += count;
  if (m_flow.NoteRead(Buffered())) {
    m_buffer.erase(0, m_sent);
    m_sent = 0;
    if (m_on_drained) {
      m_on_drained();
    }
  }
  return StreamStep::kData;
}

void ServerExchange::OnDisconnect(std::function<void()> callback) {
  m_on_disconnect = std::move(callback);
}

void ServerExchange::OnDrained(std::function<void()> callback) {
  m_on_drained = std::move(callback);
}

void ServerExchange::OnEnd(std::function<void(bool complete)> callback) {
  m_on_end = std::move(callback);
}

void ServerExchange::Detach(bool complete) {
  m_detached = true;
  m_caller_disconnected = !complete;
  const auto on_disconnect = std::exchange(m_on_disconnect, nullptr);
  const auto on_end = std::exchange(m_on_end, nullptr);
  m_on_drained = nullptr;
  if (!complete && on_disconnect) {
    on_disconnect();
  }
  if (on_end) {
    on_end(complete);
  }
}

}  // namespace detail
}  // namespace nutmeghollow::net
