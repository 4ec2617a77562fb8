// Requests that two readers of the same bytes could understand differently.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

/// A caller that still waits for the end of the connection after this gives up.
constexpr timeval kReceiveTimeout{.tv_sec = 2, .tv_usec = 0};
constexpr std::string_view kInner = "GET /inner HTTP/1.1\r\nHost: x\r\n\r\n";

/// What a caller received.
struct Reply {
  std::string m_bytes;
  bool m_closed = false;  ///< The server closed the connection.
};

/// Server that records the requests that it is asked to run.
class RecordingServer {
 public:
  RecordingServer()
      : m_loop(ev_loop_new(0)),
        m_server(std::make_unique<HttpServer>(
            m_loop,
            Endpoint("127.0.0.1:0"),
            HttpServerOptions{},
            [this](const std::shared_ptr<HttpExchange>& exchange) {
              const HttpRequest& request = exchange->Request();
              m_requests.push_back(request);
              exchange->Respond(200, {}, request.m_body);
            })) {}
  ~RecordingServer() {
    m_server.reset();
    ev_loop_destroy(m_loop);
  }
  RecordingServer(const RecordingServer&) = delete;
  RecordingServer& operator=(const RecordingServer&) = delete;

  /// Sends raw bytes from another thread and runs the loop until the server has
  /// closed the connection or the caller gives up.
  Reply RoundTrip(std::string_view request) {
    Reply reply;
    ev_async wake{};
    ev_async_init(&wake, [](struct ev_loop* loop, ev_async*, int) {
      ev_break(loop, EVBREAK_ALL);
    });
    ev_async_start(m_loop, &wake);
    std::thread caller([&] {
      reply = SendAndReceive(request);
      ev_async_send(m_loop, &wake);
    });
    ev_run(m_loop, 0);
    ev_async_stop(m_loop, &wake);
    caller.join();
    return reply;
  }

  std::vector<HttpRequest> m_requests;

 private:
  Reply SendAndReceive(std::string_view request) const {
    const auto address = ParseEndpoint(
        Endpoint("127.0.0.1:" + std::to_string(m_server->Port())));
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(descriptor, address->Get(), address->m_size), 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout,
               sizeof(kReceiveTimeout));
    send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    Reply reply;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0) {
      reply.m_bytes.append(buffer, static_cast<std::size_t>(count));
    }
    reply.m_closed = count == 0;
    close(descriptor);
    return reply;
  }

  struct ev_loop* m_loop;
  std::unique_ptr<HttpServer> m_server;
};

std::size_t CountOf(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

/// A request, given by its lines after the request line and its body.
struct FramingCase {
  const char* m_name;
  std::string m_fields;  ///< Each with its line end.
  std::string m_body{kInner};
  std::string m_line = "POST /outer HTTP/1.1";
};

void PrintTo(const FramingCase& test, std::ostream* stream) {
  *stream << test.m_name;
}

std::string TextOf(const FramingCase& test) {
  return test.m_line + "\r\nHost: x\r\n" + test.m_fields + "\r\n" + test.m_body;
}

std::string NameOf(const testing::TestParamInfo<FramingCase>& test) {
  return test.param.m_name;
}

std::string Length(std::string_view value) {
  return "Content-Length: " + std::string(value) + "\r\n";
}

const std::string kSize = std::to_string(kInner.size());
const std::string kLength = Length(kSize);
const std::string kNoLength = Length("0");
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
/// The inner request after the end of an empty chunked body.
const std::string kEmptyChunks = "0\r\n\r\n" + std::string(kInner);

std::string Coding(const std::string& value) {
  return "Transfer-Encoding: " + value + "\r\n";
}

std::string WithNul(std::string_view before, std::string_view after) {
  return std::string(before) + '\0' + std::string(after);
}

class HttpServerUnsoundFraming : public testing::TestWithParam<FramingCase> {};

// Guards against the body of a request that is run as a request of its own.
TEST_P(HttpServerUnsoundFraming, IsRefusedOnceAndTheConnectionCloses) {
  RecordingServer server;
  const Reply reply = server.RoundTrip(TextOf(GetParam()));
  EXPECT_TRUE(server.m_requests.empty()) << server.m_requests.size();
  EXPECT_EQ(reply.m_bytes.substr(0, 13), "HTTP/1.1 400 ");
  EXPECT_EQ(CountOf(reply.m_bytes, "HTTP/1.1 "), 1U) << reply.m_bytes;
  EXPECT_TRUE(reply.m_closed);
}

INSTANTIATE_TEST_SUITE_P(
    Lengths,
    HttpServerUnsoundFraming,
    testing::Values(FramingCase{"ZeroAndN", kNoLength + kLength},
                    FramingCase{"NAndZero", kLength + kNoLength},
                    FramingCase{"Folded",
                                "Content-Length:\r\n " + kSize + "\r\n"},
                    FramingCase{"BlankBeforeColon", "Content-Length : 0\r\n"},
                    FramingCase{"TabBeforeColon", "Content-Length\t: 0\r\n"},
                    FramingCase{"BlankBeforeName", " Content-Length: 0\r\n"},
                    FramingCase{"Nul", Length(WithNul(kSize, " "))},
                    FramingCase{"NulBeforeN", Length(WithNul("", kSize))},
                    FramingCase{"Plus", Length("+" + kSize)},
                    FramingCase{"MinusZero", Length("-0")},
                    FramingCase{"Hexadecimal", Length("0x0")},
                    FramingCase{"TwoNumbers", Length("0 " + kSize)},
                    FramingCase{"Empty", Length("")},
                    FramingCase{"ListOfEqual", Length(kSize + ", " + kSize)},
                    FramingCase{"ListOfDifferent", Length("0, " + kSize)},
                    FramingCase{"Overflow", Length("18446744073709551616")}),
    NameOf);

INSTANTIATE_TEST_SUITE_P(
    Codings,
    HttpServerUnsoundFraming,
    testing::Values(
        FramingCase{"AfterLength", kLength + kChunked, kEmptyChunks},
        FramingCase{"BeforeLength", kChunked + kLength, kEmptyChunks},
        FramingCase{"BlankBeforeColonAndLength",
                    "Transfer-Encoding : chunked\r\n" + kLength},
        FramingCase{"Twice", kChunked + kChunked, kEmptyChunks},
        FramingCase{"TwiceInOneField", Coding("chunked, chunked"),
                    kEmptyChunks},
        FramingCase{"Xchunked", Coding("xchunked"), kEmptyChunks},
        FramingCase{"Identity", Coding("identity"), kEmptyChunks},
        FramingCase{"ChunkedThenIdentity", Coding("chunked, identity"),
                    kEmptyChunks},
        FramingCase{"IdentityAndChunked", Coding("identity") + kChunked,
                    kEmptyChunks},
        FramingCase{"GzipThenChunked", Coding("gzip, chunked"), kEmptyChunks},
        FramingCase{"Quoted", Coding("\"chunked\""), kEmptyChunks},
        FramingCase{"Empty", Coding(""), kEmptyChunks},
        FramingCase{"OfAnOlderVersion", kChunked, kEmptyChunks,
                    "POST /outer HTTP/1.0"}),
    NameOf);

INSTANTIATE_TEST_SUITE_P(
    Chunks,
    HttpServerUnsoundFraming,
    testing::Values(
        FramingCase{"SizeEndsWithLineFeed", kChunked,
                    "0\n\r\n" + std::string(kInner)},
        FramingCase{"DataEndsWithLineFeed", kChunked,
                    "1\r\nx\n0\r\n\r\n" + std::string(kInner)},
        FramingCase{"DataLongerThanSize", kChunked,
                    "1\r\nxx\r\n0\r\n\r\n" + std::string(kInner)},
        FramingCase{"SizeOverflows", kChunked,
                    "10000000000000000\r\n\r\n" + std::string(kInner)},
        FramingCase{"NegativeSize", kChunked,
                    "-0\r\n\r\n" + std::string(kInner)},
        FramingCase{"PrefixOfHexadecimal", kChunked,
                    "0x0\r\n\r\n" + std::string(kInner)},
        FramingCase{"NoSize", kChunked, "\r\n\r\n" + std::string(kInner)},
        FramingCase{"NulInExtension", kChunked,
                    WithNul("0;a=", "\r\n\r\n") + std::string(kInner)},
        FramingCase{"LineFeedInExtension", kChunked,
                    "0;a=b\n0\r\n\r\n" + std::string(kInner)},
        FramingCase{"NulInTrailer", kChunked,
                    WithNul("0\r\nX: ", "\r\n\r\n") + std::string(kInner)},
        FramingCase{"FoldedTrailer", kChunked,
                    "0\r\nX: a\r\n b\r\n\r\n" + std::string(kInner)},
        FramingCase{"LengthInTrailer", kChunked,
                    "0\r\n" + kNoLength + "\r\n" + std::string(kInner)}),
    NameOf);

INSTANTIATE_TEST_SUITE_P(
    Heads,
    HttpServerUnsoundFraming,
    testing::Values(
        FramingCase{"NoName", ": x\r\n" + kLength},
        FramingCase{"NoColon", "X\r\n" + kLength},
        FramingCase{"BlankInName", "X Y: 1\r\n" + kLength},
        FramingCase{"ParenthesisInName", "X(Y): 1\r\n" + kLength},
        FramingCase{"CarriageReturnInValue", "X: a\rb\r\n" + kLength},
        FramingCase{"LineFeedInValue", "X: a\nb\r\n" + kLength},
        FramingCase{"NulInValue", "X: " + WithNul("a", "b\r\n") + kLength},
        FramingCase{"NulInName", WithNul("X", ": a\r\n") + kLength},
        FramingCase{"DeleteInValue", "X: a\x7f\r\n" + kLength},
        FramingCase{"FoldedField", "X: a\r\n b\r\n" + kLength},
        FramingCase{"FoldWithoutText", "X: a\r\n \r\n" + kLength},
        FramingCase{"SecondHost", "Host: y\r\n" + kLength},
        FramingCase{"LineFeedAfterHead", kLength + "\n"},
        FramingCase{"BlankInTarget", kLength, std::string(kInner),
                    "POST /outer x HTTP/1.1"},
        FramingCase{"NulInTarget", kLength, std::string(kInner),
                    WithNul("POST /outer", " HTTP/1.1")},
        FramingCase{"TwoBlanksInLine", kLength, std::string(kInner),
                    "POST  /outer HTTP/1.1"},
        FramingCase{"MethodNotAToken", kLength, std::string(kInner),
                    "PO(ST /outer HTTP/1.1"},
        FramingCase{"LaterVersion", kLength, std::string(kInner),
                    "POST /outer HTTP/2.0"},
        FramingCase{"NoVersion", kLength, std::string(kInner), "POST /outer"}),
    NameOf);

class HttpServerSoundFraming : public testing::TestWithParam<FramingCase> {};

TEST_P(HttpServerSoundFraming, IsServedWithItsBody) {
  RecordingServer server;
  FramingCase test = GetParam();
  test.m_fields += "Connection: close\r\n";
  const Reply reply = server.RoundTrip(TextOf(test));
  ASSERT_EQ(server.m_requests.size(), 1U);
  EXPECT_EQ(server.m_requests[0].m_target, "/outer");
  EXPECT_EQ(server.m_requests[0].m_body, kInner);
  EXPECT_EQ(reply.m_bytes.substr(0, 13), "HTTP/1.1 200 ");
  EXPECT_TRUE(reply.m_closed);
}

/// The inner request as one chunk, with the end of a chunked body after it.
std::string Chunk(const std::string& extension, const std::string& trailer) {
  constexpr std::string_view kHexadecimal = "20";
  static_assert(kInner.size() == 0x20);
  return std::string(kHexadecimal) + extension + "\r\n" + std::string(kInner) +
         "\r\n0\r\n" + trailer + "\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    HttpServerSoundFraming,
    testing::Values(
        FramingCase{"Length", kLength},
        FramingCase{"LengthTwice", kLength + kLength},
        FramingCase{"BlanksAroundLength",
                    "Content-Length: \t" + kSize + " \r\n"},
        FramingCase{"Chunks", kChunked, Chunk("", "")},
        FramingCase{"ChunkExtension", kChunked, Chunk(";name=value", "")},
        FramingCase{"Trailer", kChunked, Chunk("", "X: 1\r\n")},
        FramingCase{"CodingInUpperCase", Coding("CHUNKED"), Chunk("", "")},
        FramingCase{"EmptyValue", "X:\r\n" + kLength},
        FramingCase{"BytesAboveAscii", "X: \xc3\xa9\r\n" + kLength},
        FramingCase{"OlderVersion", kLength, std::string(kInner),
                    "POST /outer HTTP/1.0"}),
    NameOf);

TEST(HttpServerFraming, ServesTwoRequestsInARow) {
  RecordingServer server;
  const Reply reply = server.RoundTrip(
      "POST /first HTTP/1.1\r\nHost: x\r\n" + Length("1") +
      "\r\na\r\nPOST /second HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
      Length("1") + "\r\nb");
  ASSERT_EQ(server.m_requests.size(), 2U);
  EXPECT_EQ(server.m_requests[0].m_body, "a");
  EXPECT_EQ(server.m_requests[1].m_body, "b");
  EXPECT_EQ(CountOf(reply.m_bytes, "HTTP/1.1 200 "), 2U);
}

// Guards against a request that runs although what follows it is malformed.
TEST(HttpServerFraming, RefusesAMalformedRequestAfterAServedOne) {
  RecordingServer server;
  const Reply reply =
      server.RoundTrip("POST /first HTTP/1.1\r\nHost: x\r\n" + Length("1") +
                       "\r\na" + TextOf({"", kNoLength + kLength}));
  ASSERT_EQ(server.m_requests.size(), 1U);
  EXPECT_EQ(CountOf(reply.m_bytes, "HTTP/1.1 200 "), 1U);
  EXPECT_EQ(CountOf(reply.m_bytes, "HTTP/1.1 400 "), 1U);
  EXPECT_TRUE(reply.m_closed);
}

TEST(HttpServerFraming, AnswersTheExpectationOfABody) {
  RecordingServer server;
  const Reply reply = server.RoundTrip(
      TextOf(
          {"", kLength + "Expect: 100-continue\r\nConnection: close\r\n", ""}) +
      std::string(kInner));
  ASSERT_EQ(server.m_requests.size(), 1U);
  EXPECT_EQ(server.m_requests[0].m_body, kInner);
  EXPECT_EQ(CountOf(reply.m_bytes, "HTTP/1.1 200 "), 1U);
}

}  // namespace
}  // namespace nutmeghollow::net
