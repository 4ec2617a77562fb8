// Sets the libcurl options of a call and implements libcurl's callbacks for it.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iterator>
#include <utility>

#include "libnet/http_client_impl.h"
#include "libnet/socket_address.h"
#include "libnet/text.h"

namespace nutmeghollow::net {
namespace {

/// Size of the upload buffer, the minimum that libcurl accepts.
constexpr long kSendBufferBytes = 16 << 10;
constexpr long kKeepaliveIdleSeconds = 10;
constexpr long kKeepaliveIntervalSeconds = 5;
constexpr unsigned kTcpUserTimeoutMs = 15000;
/// A line of a head is stored by libcurl, in the call, and by its owner.
constexpr std::size_t kHeadCopies = 3;
/// Memory of those copies in addition to the bytes of the line.
constexpr std::size_t kHeadLineMemory = 320;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;

long Milliseconds(Duration duration) {
  using std::chrono::ceil;
  using std::chrono::milliseconds;
  return std::max<long>(1, ceil<milliseconds>(duration).count());
}

/// @return the status of a line such as "HTTP/1.1 200 OK"; nothing when it is
/// not a number from 100 to 599 (RFC 9110, section 15). libcurl accepts larger
/// ones and reads only the first digits of some others.
std::optional<int> ParseStatusLine(std::string_view line) {
  const auto space = line.find(' ');
  if (!line.starts_with("HTTP/") || space == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view rest = Trim(line.substr(space + 1));
  const std::string_view digits = rest.substr(0, rest.find(' '));
  const bool is_number =
      digits.size() == 3 &&
      std::all_of(digits.begin(), digits.end(),
                  [](char digit) { return digit >= '0' && digit <= '9'; });
  int status = 0;
  if (is_number) {
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
  }
  return status >= kMinStatus && status <= kMaxStatus
             ? std::optional<int>(status)
             : std::nullopt;
}

bool IsChunked(const HeaderMap& headers) {
  return LowerCase(HeaderValue(headers, "transfer-encoding")) == "chunked";
}

/// @return true when no transfer coding is given, or a single one that is known
/// and has no length beside it. Recipients differ in where they find the end of
/// other bodies.
bool HasKnownCoding(const HeaderMap& headers) {
  const std::string coding =
      LowerCase(HeaderValue(headers, "transfer-encoding"));
  const auto count = headers.count("transfer-encoding");
  return count == 0 || (count == 1 && !headers.contains("content-length") &&
                        (coding == "chunked" || coding == "identity"));
}

/// @param line without its end.
/// @return true for a name and a value that are valid and mean the same to each
/// recipient: no folds, no blank before the colon, no control characters.
bool IsValidField(std::string_view line) {
  const auto colon = line.find(':');
  return colon != std::string_view::npos &&
         IsFieldName(line.substr(0, colon)) &&
         IsFieldValue(line.substr(colon + 1));
}

std::string_view WithoutLineEnd(std::string_view line) {
  for (const char end : {'\n', '\r'}) {
    if (line.ends_with(end)) {
      line.remove_suffix(1);
    }
  }
  return line;
}

/// @return true when each Content-Length is the same number, or none is given.
/// libcurl ignores a number that overflows and reads until the connection ends.
bool HasValidLength(const HeaderMap& headers) {
  const auto [first, last] = headers.equal_range("content-length");
  return std::all_of(first, last, [value = first](const auto& field) {
    const std::string& text = field.second;
    std::int64_t length = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, length);
    return error == std::errc() && stop == end && length >= 0 &&
           text == value->second;
  });
}

/// Sets a socket option that libcurl has no option for. On failure the system's
/// default stays in effect.
int OnSocketCreated(void* /*context*/,
                    curl_socket_t descriptor,
                    curlsocktype /*purpose*/) {
  const unsigned timeout = kTcpUserTimeoutMs;
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

}  // namespace

void HttpClient::Impl::Configure(Call& call) {
  CURL* easy = call.m_easy;
  const HttpCall& request = call.m_call;
  if (!ParseEndpoint(request.m_endpoint)) {
    // libcurl would resolve it as a host name or parse it as another part of
    // the URL.
    call.m_setup_error = "the endpoint is not an IP address and port";
  }
  if (HasLineBreak(request.m_path) || HasLineBreak(request.m_method)) {
    call.m_setup_error = "the method or path contains a line break";
  }
  const std::string url = "http://" + request.m_endpoint.str() + "/";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  // libcurl sends the request target unchanged, unlike the path of a URL.
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.m_path.c_str());
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
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call.m_client);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(request.m_reuse_max_idle.count()));
  curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(request.m_connect_timeout));
  const long dedicated = request.m_dedicated_connection ? 1L : 0L;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, dedicated);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, dedicated);
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
    if (!IsFieldName(name) || !IsFieldValue(value)) {
      call.m_setup_error = "a header field is invalid";
      continue;
    }
    has_content_type |= LowerCase(name) == "content-type";
    has_accept |= LowerCase(name) == "accept";
    // libcurl omits a header given as "Name:"; "Name;" sends an empty value.
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
    // libcurl is about to retry the request on a new connection.
    call.m_resend_attempted = true;
    return CURL_PREREQFUNC_ABORT;
  }
  call.m_sent = true;
  long new_connections = 0;
  curl_easy_getinfo(call.m_easy, CURLINFO_NUM_CONNECTS, &new_connections);
  call.m_on_reused_connection = new_connections == 0;
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
  ++call.m_progress_count;
  call.m_head_bytes += length;
  if (call.m_head_bytes > kMaxHeadBytes) {
    call.m_head_too_large = true;
    return 0;
  }
  if (!call.m_client->ReserveHead(call,
                                  kHeadCopies * length + kHeadLineMemory)) {
    return 0;
  }
  if (!call.m_headers_done) {
    call.m_client->HandleHeaderLine(call, {data, length});
  }
  const bool invalid =
      call.m_invalid_status || call.m_invalid_field || call.m_invalid_length;
  return call.m_cancelled || invalid ? 0 : length;
}

void HttpClient::Impl::HandleHeaderLine(Call& call, std::string_view line) {
  if (!std::exchange(call.m_status_line_read, true)) {
    const auto status = ParseStatusLine(line);
    call.m_invalid_status = !status;
    call.m_status = status.value_or(0);
    call.m_response_headers.clear();
    return;
  }
  const std::string_view text = WithoutLineEnd(line);
  if (!text.empty()) {
    call.m_invalid_field |= !IsValidField(text);
    const auto colon = std::min(text.find(':'), text.size() - 1);
    call.m_response_headers.emplace(LowerCase(text.substr(0, colon)),
                                    Trim(text.substr(colon + 1)));
    return;
  }
  if (call.m_status < 200) {
    call.m_status_line_read = false;
    return;  // An interim response; the final one follows.
  }
  const HeaderMap& headers = call.m_response_headers;
  if (!HasValidLength(headers) || !HasKnownCoding(headers)) {
    call.m_invalid_length = true;
    return;
  }
  call.m_headers_done = true;
  const bool has_body = call.m_call.m_method != "HEAD" &&
                        call.m_status != kStatusNoContent &&
                        call.m_status != kStatusNotModified;
  const bool has_end = IsChunked(headers) || headers.contains("content-length");
  call.m_close_delimited = has_body && !has_end;
  if (call.m_events.m_on_headers) {
    call.m_events.m_on_headers(call.m_status, call.m_response_headers);
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
  ++call.m_progress_count;
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

}  // namespace nutmeghollow::net
