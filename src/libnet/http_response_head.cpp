#include "libnet/http_response_head.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <boost/beast/http/status.hpp>
#include <iterator>

#include "libnet/log.h"
#include "libnet/text.h"

namespace nutmeghollow::net::detail {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotModified = 304;
/// Part of a field's name that is logged.
constexpr std::size_t kMaxLoggedName = 80;

bool ConcernsFraming(const std::string& name) {
  return name == "content-length" || name == "transfer-encoding" ||
         name == "connection";
}

/// @return the reason phrase; empty for a status without one.
std::string_view ReasonOf(int status) {
  namespace http = boost::beast::http;
  const http::status known = http::int_to_status(static_cast<unsigned>(status));
  if (known == http::status::unknown) {
    return {};
  }
  const auto reason = http::obsolete_reason(known);
  return {reason.data(), reason.size()};
}

}  // namespace

bool HasNoBody(int status) {
  return status < kFirstFinalStatus || status == kStatusNoContent ||
         status == kStatusNotModified;
}

std::string FormatResponseHead(int status,
                               const HeaderList& fields,
                               const ResponseFraming& framing,
                               std::time_t now) {
  std::string head;
  auto out = std::back_inserter(head);
  fmt::format_to(out, "HTTP/1.1 {} {}\r\n", status, ReasonOf(status));
  bool has_date = false;
  for (const auto& [name, value] : fields) {
    const std::string lower = LowerCase(name);
    if (ConcernsFraming(lower)) {
      continue;
    }
    if (!IsFieldName(name) || !IsFieldValue(value)) {
      Log(LogLevel::kWarning, "field_not_sent",
          {{"name", name.substr(0, kMaxLoggedName)}});
      continue;
    }
    has_date |= lower == "date";
    fmt::format_to(out, "{}: {}\r\n", name, value);
  }
  if (!has_date) {
    fmt::format_to(out, "Date: {:%a, %d %b %Y %H:%M:%S} GMT\r\n",
                   fmt::gmtime(now));
  }
  if (framing.m_chunked) {
    fmt::format_to(out, "Transfer-Encoding: chunked\r\n");
  } else if (framing.m_length) {
    fmt::format_to(out, "Content-Length: {}\r\n", *framing.m_length);
  }
  if (framing.m_closes) {
    fmt::format_to(out, "Connection: close\r\n");
  } else if (framing.m_announces_keep_alive) {
    fmt::format_to(out, "Connection: keep-alive\r\n");
  }
  head += "\r\n";
  return head;
}

}  // namespace nutmeghollow::net::detail
