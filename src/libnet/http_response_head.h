/// @file
/// Writes the heads of HTTP/1.1 responses. Internal to the server.
#pragma once

#include <cstddef>
#include <ctime>
#include <optional>
#include <string>

#include "libnet/http_server.h"

namespace nutmeghollow::net::detail {

/// How a recipient knows the end of a response, and of its connection.
struct ResponseFraming {
  /// Value of Content-Length; nothing for none.
  std::optional<std::size_t> m_length;
  bool m_chunked = false;
  bool m_closes = false;  ///< The connection is closed after the response.
  /// The connection is kept, and the recipient would not expect it.
  bool m_announces_keep_alive = false;
};

/// @return true for a status whose responses have no body.
bool HasNoBody(int status);

/// Writes a head with its final empty line. Fields that concern the framing are
/// the server's and left out, as are those that are no valid fields, which are
/// logged.
/// @param now for the field Date, unless the fields contain it.
std::string FormatResponseHead(int status,
                               const HeaderList& fields,
                               const ResponseFraming& framing,
                               std::time_t now);

}  // namespace nutmeghollow::net::detail
