/// @file
/// Reads HTTP/1.1 requests from the bytes of a connection. Internal to the
/// server.
///
/// Nothing else interprets these bytes, so that there is one opinion on where a
/// request ends. The grammar is that of Boost.Beast; what RFC 9112 lets a
/// recipient repair (folded fields, lists of lengths, line ends without CR) is
/// invalid here, because another recipient could read it differently.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libnet/http_server.h"

namespace nutmeghollow::net::detail {

/// Reader of one request.
class HttpRequestReader {
 public:
  /// What a call of Read has found.
  enum class Step {
    kNeedMore,  ///< The next element is not complete.
    kHead,      ///< The head is complete.
    kBody,      ///< BodyPart() is the next part of the body.
    kEnd,       ///< The request is complete.
    kInvalid,   ///< Error() tells why. Nothing after it can be understood.
  };
  /// Result of a call of Read.
  struct Progress {
    Step m_step = Step::kNeedMore;
    std::size_t m_used = 0;  ///< Bytes that must not be passed again.
  };
  /// Why a request is invalid.
  struct Problem {
    int m_status = 400;
    const char* m_detail = "";
  };

  /// @param head_limit maximum size of the head in bytes, and of each line and
  /// the trailer of a chunked body.
  explicit HttpRequestReader(std::size_t head_limit);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;

  /// Reads the next element.
  /// @param bytes those received and not used by earlier calls.
  Progress Read(std::string_view bytes);

  /// @return the request without its body. Call it once, after kHead.
  HttpRequest TakeRequest();
  /// @return the length that the head states; nothing for a chunked body.
  std::optional<std::uint64_t> Length() const;
  /// @return true when the head allows another request on the connection.
  bool KeepsConnection() const;
  /// @return true for HTTP/1.1, false for HTTP/1.0.
  bool IsHttp11() const;
  /// @return a part of the bytes that were passed to the last call.
  std::string_view BodyPart() const;
  const Problem& Error() const { return m_problem; }

 private:
  class Parser;

  Progress ReadHead(std::string_view bytes);
  Progress ReadBody(std::string_view bytes);
  /// Checks the bytes of the head that have arrived since the last call.
  /// @return the size of the head, or 0 if it is not complete or invalid.
  std::size_t ScanHead(std::string_view bytes);
  /// Checks what the grammar allows and the framing does not.
  bool CheckFields();
  Progress Fail(int status, const char* detail);

  std::size_t m_head_limit;
  std::unique_ptr<Parser> m_parser;
  std::size_t m_scanned = 0;    ///< Bytes of the head that are checked.
  bool m_skipped_line = false;  ///< An empty line before the request.
  bool m_head_done = false;
  bool m_invalid = false;
  Problem m_problem;
};

/// Decodes a request target.
/// @param path receives the path without the query, percent-decoded.
/// @param query receives the decoded parameters; the last of a name counts.
void DecodeTarget(std::string_view target,
                  std::string* path,
                  std::map<std::string, std::string>* query);

}  // namespace nutmeghollow::net::detail
