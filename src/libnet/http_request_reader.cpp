#include "libnet/http_request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <charconv>
#include <utility>

#include "libnet/text.h"

namespace nutmeghollow::net::detail {
namespace {

namespace http = boost::beast::http;

constexpr int kStatusBadRequest = 400;
constexpr int kStatusHeaderTooLarge = 431;
constexpr int kHttp11 = 11;
constexpr std::string_view kLineEnd = "\r\n";

bool IsBlank(char byte) {
  return byte == ' ' || byte == '\t';
}

/// Checks lines that end with CR LF.
/// @param from position of the first byte to check.
/// @return false if they contain a control character, CR or LF alone, or a
/// line that begins with a blank and so continues the line before.
bool IsSound(std::string_view lines, std::size_t from) {
  for (std::size_t at = from; at < lines.size(); ++at) {
    const char byte = lines[at];
    const char before = at == 0 ? '\0' : lines[at - 1];
    const bool is_last = at + 1 == lines.size();
    bool sound = !IsControl(byte);
    if (byte == '\r') {
      sound = is_last || lines[at + 1] == '\n';
    } else if (byte == '\n') {
      sound = before == '\r';
    } else if (IsBlank(byte)) {
      sound = before != '\n';
    }
    if (!sound) {
      return false;
    }
  }
  return true;
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
    return byte >= '0' && byte <= '9';
  });
}

/// Decodes "%41". Other bytes and incomplete escapes remain as they are.
std::string PercentDecode(std::string_view text) {
  constexpr std::size_t kEscapeSize = 3;
  constexpr int kHexadecimal = 16;
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + kEscapeSize <= text.size()) {
      unsigned char byte = 0;
      const char* end = text.data() + at + kEscapeSize;
      if (std::from_chars(text.data() + at + 1, end, byte, kHexadecimal).ptr ==
          end) {
        decoded += static_cast<char>(byte);
        at += kEscapeSize - 1;
        continue;
      }
    }
    decoded += text[at];
  }
  return decoded;
}

std::string DecodeParameter(std::string_view text) {
  std::string spaced(text);
  std::replace(spaced.begin(), spaced.end(), '+', ' ');
  return PercentDecode(spaced);
}

}  // namespace

/// Collects what the grammar recognises.
class HttpRequestReader::Parser final : public http::basic_parser<true> {
 public:
  explicit Parser(std::size_t head_limit) {
    // The limits are those of the reader and of its owner.
    header_limit(static_cast<std::uint32_t>(head_limit + 1));
    body_limit(boost::none);
    eager(false);
  }

  HttpRequest m_request;
  int m_version = 0;
  std::string_view m_body_part;
  bool m_has_body_part = false;

 private:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  static std::string_view View(string_view text) {
    return {text.data(), text.size()};
  }

  void on_request_impl(http::verb /*verb*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& error) override {
    error = {};
    m_request.m_method = View(method);
    m_request.m_target = View(target);
    m_version = version;
  }

  void on_response_impl(int /*status*/,
                        string_view /*reason*/,
                        int /*version*/,
                        error_code& error) override {
    error = http::error::bad_method;
  }

  void on_field_impl(http::field /*field*/,
                     string_view name,
                     string_view value,
                     error_code& error) override {
    error = {};
    if (!is_header_done()) {  // Fields of the trailer are dropped.
      m_request.m_headers.emplace(LowerCase(View(name)), View(value));
    }
  }

  void on_header_impl(error_code& error) override { error = {}; }

  void on_body_init_impl(
      const boost::optional<std::uint64_t>& /*content_length*/,
      error_code& error) override {
    error = {};
  }

  std::size_t on_body_impl(string_view body, error_code& error) override {
    error = {};
    m_body_part = View(body);
    m_has_body_part = true;
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& error) override {
    error = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/,
                                 string_view body,
                                 error_code& error) override {
    return on_body_impl(body, error);
  }

  void on_finish_impl(error_code& error) override { error = {}; }
};

HttpRequestReader::HttpRequestReader(std::size_t head_limit)
    : m_head_limit(head_limit),
      m_parser(std::make_unique<Parser>(head_limit)) {}

HttpRequestReader::~HttpRequestReader() = default;

HttpRequestReader::Progress HttpRequestReader::Read(std::string_view bytes) {
  if (m_invalid) {
    return {Step::kInvalid, 0};
  }
  return m_head_done ? ReadBody(bytes) : ReadHead(bytes);
}

HttpRequestReader::Progress HttpRequestReader::ReadHead(
    std::string_view bytes) {
  std::size_t skipped = 0;
  if (!m_skipped_line && m_scanned == 0 && bytes.starts_with(kLineEnd)) {
    m_skipped_line = true;
    skipped = kLineEnd.size();
    bytes.remove_prefix(skipped);
  }
  const std::size_t size = ScanHead(bytes);
  if (m_invalid) {
    return {Step::kInvalid, 0};
  }
  if (size == 0) {
    return {Step::kNeedMore, skipped};
  }
  boost::beast::error_code error;
  m_parser->put(boost::asio::buffer(bytes.data(), size), error);
  if (error || !m_parser->is_header_done()) {
    return Fail(kStatusBadRequest, "the head of the request is malformed");
  }
  if (!CheckFields()) {
    return {Step::kInvalid, 0};
  }
  m_head_done = true;
  m_parser->m_request.m_head_bytes = size;
  return {Step::kHead, skipped + size};
}

std::size_t HttpRequestReader::ScanHead(std::string_view bytes) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::size_t end =
      bytes.find(kEnd, std::max(m_scanned, kEnd.size()) - kEnd.size());
  const bool complete = end != std::string_view::npos;
  const std::string_view head =
      complete ? bytes.substr(0, end + kEnd.size()) : bytes;
  // Whether the last byte was valid may depend on the next one.
  if (!IsSound(head, std::max<std::size_t>(m_scanned, 1) - 1)) {
    Fail(kStatusBadRequest,
         "the head of the request has a control character or a folded field");
    return 0;
  }
  if (head.size() > m_head_limit) {
    Fail(kStatusHeaderTooLarge, "the request header is too large");
    return 0;
  }
  m_scanned = head.size();
  return complete ? head.size() : 0;
}

bool HttpRequestReader::CheckFields() {
  const HeaderMap& fields = m_parser->m_request.m_headers;
  const auto [length, last_length] = fields.equal_range("content-length");
  if (!std::all_of(length, last_length,
                   [](const auto& field) { return IsNumber(field.second); })) {
    Fail(kStatusBadRequest, "the length of the request is not a number");
  }
  const auto [coding, last_coding] = fields.equal_range("transfer-encoding");
  const bool coding_is_known =
      coding == last_coding || (IsHttp11() && length == last_length &&
                                std::next(coding) == last_coding &&
                                LowerCase(coding->second) == "chunked");
  if (!coding_is_known) {
    Fail(kStatusBadRequest, "the transfer coding of the request is not known");
  }
  if (fields.count("host") > 1) {
    Fail(kStatusBadRequest, "the request has several hosts");
  }
  return !m_invalid;
}

HttpRequestReader::Progress HttpRequestReader::ReadBody(
    std::string_view bytes) {
  std::size_t used = 0;
  while (!m_parser->is_done()) {
    const std::string_view rest = bytes.substr(used);
    if (rest.empty()) {
      return {Step::kNeedMore, used};
    }
    m_parser->m_has_body_part = false;
    boost::beast::error_code error;
    const std::size_t count =
        m_parser->put(boost::asio::buffer(rest.data(), rest.size()), error);
    used += count;
    if (error == http::error::need_more) {
      if (rest.size() > m_head_limit) {
        return Fail(kStatusBadRequest, "a line of the body is too long");
      }
      return {Step::kNeedMore, used};
    }
    if (!error && m_parser->m_has_body_part) {
      return {Step::kBody, used};
    }
    // The line of a chunk, or the trailer.
    if (error || !IsSound(rest.substr(0, count), 0)) {
      return Fail(kStatusBadRequest, "the chunks of the body are malformed");
    }
  }
  return {Step::kEnd, used};
}

HttpRequestReader::Progress HttpRequestReader::Fail(int status,
                                                    const char* detail) {
  m_invalid = true;
  m_problem = {status, detail};
  return {Step::kInvalid, 0};
}

HttpRequest HttpRequestReader::TakeRequest() {
  HttpRequest request = std::move(m_parser->m_request);
  DecodeTarget(request.m_target, &request.m_path, &request.m_query);
  return request;
}

std::optional<std::uint64_t> HttpRequestReader::Length() const {
  if (m_parser->chunked()) {
    return std::nullopt;
  }
  const boost::optional<std::uint64_t> length = m_parser->content_length();
  return length ? *length : 0;
}

bool HttpRequestReader::KeepsConnection() const {
  return m_parser->keep_alive();
}

bool HttpRequestReader::IsHttp11() const {
  return m_parser->m_version >= kHttp11;
}

std::string_view HttpRequestReader::BodyPart() const {
  return m_parser->m_body_part;
}

void DecodeTarget(std::string_view target,
                  std::string* path,
                  std::map<std::string, std::string>* query) {
  const std::size_t mark = target.find('?');
  *path = PercentDecode(target.substr(0, mark));
  if (mark == std::string_view::npos) {
    return;
  }
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view parameter = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    if (!parameter.empty()) {
      (*query)[DecodeParameter(parameter.substr(0, equals))] = DecodeParameter(
          parameter.substr(std::min(equals + 1, parameter.size())));
    }
  }
}

}  // namespace nutmeghollow::net::detail
