#include "libnet/http_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

constexpr std::int64_t kBodyLimit = 1000;
constexpr std::int64_t kDiscardLimit = 20'000;
/// With room for one connection made at once.
constexpr int kConnectionLimit = 8;
/// More than the buffers of the system hold.
constexpr std::size_t kLargeBodyBytes = 30 << 20;

/// Server on its own event loop, with one path for each behaviour.
class TestServer {
 public:
  TestServer() : m_loop(ev_loop_new(0)) {
    HttpServerOptions options;
    options.m_body_limit = Bytes(10 * kBodyLimit);
    options.m_current_body_limit = [this] { return m_limit; };
    options.m_discard_limit = Bytes(kDiscardLimit);
    options.m_body_memory = m_body_memory;
    options.m_header_limit = Bytes(4096);
    options.m_stream_high_water = Bytes(1024);
    options.m_connection_limit = kConnectionLimit;
    m_server = std::make_unique<HttpServer>(
        m_loop, Endpoint("127.0.0.1:0"), options,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          Handle(exchange);
        });
    m_timer = std::make_unique<Timer>(m_loop, [this] { RespondAfterDelay(); });
  }

  ~TestServer() {
    m_timer.reset();
    m_server.reset();
    ev_loop_destroy(m_loop);
  }

  int Connect() const {
    const auto address = ParseEndpoint(
        Endpoint("127.0.0.1:" + std::to_string(m_server->Port())));
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(connect(descriptor, address->Get(), address->m_size), 0);
    return descriptor;
  }

  /// Sends raw bytes from another thread and runs the loop until the server
  /// closes the connection.
  /// @param read_delay time until the caller reads. @return the received bytes.
  std::string RoundTrip(const std::string& request,
                        Duration read_delay = Duration::zero()) {
    std::string response;
    bool done = false;
    std::thread caller([&] {
      const int descriptor = Connect();
      send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
      std::this_thread::sleep_for(read_delay);
      char buffer[4096];
      ssize_t count = 0;
      while ((count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0) {
        response.append(buffer, static_cast<std::size_t>(count));
      }
      close(descriptor);
      done = true;
      ev_async_send(m_loop, &m_wake);
    });
    ev_async_init(&m_wake, [](struct ev_loop* loop, ev_async*, int) {
      ev_break(loop, EVBREAK_ALL);
    });
    ev_async_start(m_loop, &m_wake);
    ev_run(m_loop, 0);
    ev_async_stop(m_loop, &m_wake);
    caller.join();
    EXPECT_TRUE(done);
    return response;
  }

  std::size_t OpenRequests() const { return m_server->OpenRequests(); }
  int Connections() const { return m_server->Connections(); }

  std::shared_ptr<BodyMemory> m_body_memory = std::make_shared<BodyMemory>();
  Bytes m_limit{kBodyLimit};
  struct ev_loop* m_loop;
  std::optional<bool> m_complete;  ///< How the large response ended.
  bool m_disconnected = false;
  bool m_reached_high_water = false;

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string path = exchange->Request().m_path;
    if (path == "/now") {
      exchange->Respond(200, {{"X-Test", "1"}}, exchange->Request().m_body);
      return;
    }
    if (path == "/large") {
      exchange->OnEnd([this](bool complete) { m_complete = complete; });
      exchange->Respond(200, {}, std::string(kLargeBodyBytes, 'x'));
      return;
    }
    m_exchange = exchange;
    exchange->OnDisconnect([this] {
      m_disconnected = true;
      ev_break(m_loop, EVBREAK_ALL);
    });
    m_timer->Start(std::chrono::milliseconds(5));
  }

  void RespondAfterDelay() {
    const std::string path = m_exchange->Request().m_path;
    if (path == "/later") {
      m_exchange->Respond(200, {}, "later");
    } else if (path == "/last") {
      m_exchange->Respond(200, {}, "last");
      ev_break(m_loop, EVBREAK_ALL);
    } else if (path == "/stream") {
      m_exchange->BeginStream(200, {});
      m_exchange->Write("one");
      m_reached_high_water = !m_exchange->Write(std::string(2000, 'x'));
      m_exchange->EndStream();
    } else if (path == "/abort" && !m_stream_started) {
      m_stream_started = true;
      m_exchange->BeginStream(200, {});
      m_exchange->Write("one");
      m_timer->Start(std::chrono::milliseconds(20));
    } else if (path == "/abort") {
      m_exchange->AbortStream();
    }
  }

  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<HttpExchange> m_exchange;
  ev_async m_wake{};
  bool m_stream_started = false;
};

struct ExchangeCase {
  const char* m_name;
  std::string m_request;
  std::string m_status;
  std::string m_ends_with;
};

std::string Get(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
         headers + "\r\n";
}

std::string Post(std::size_t size) {
  return "POST /now HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
}

/// @return the alphabet, over and over.
std::string AlphabetText(std::size_t size) {
  std::string text;
  for (std::size_t index = 0; index < size; ++index) {
    text += static_cast<char>('a' + index % 26);
  }
  return text;
}

std::string Chunked(std::size_t chunks) {
  std::string text =
      "POST /now HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t index = 0; index < chunks; ++index) {
    text += "10\r\n" + std::string(16, 'b') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

class HttpServerCases : public testing::TestWithParam<ExchangeCase> {};

TEST_P(HttpServerCases, Responds) {
  TestServer server;
  const std::string response = server.RoundTrip(GetParam().m_request);
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 " + GetParam().m_status);
  const std::string& tail = GetParam().m_ends_with;
  ASSERT_GE(response.size(), tail.size());
  EXPECT_EQ(response.substr(response.size() - tail.size()), tail);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    HttpServerCases,
    testing::Values(
        ExchangeCase{"AtOnce", Get("/now"), "200", "\r\n\r\n"},
        ExchangeCase{"Later", Get("/later"), "200", "later"},
        ExchangeCase{"Stream", Get("/stream"), "200", "x\r\n0\r\n\r\n"},
        ExchangeCase{"AbortedStreamHasNoEnd", Get("/abort"), "200", "one\r\n"},
        ExchangeCase{"BodyAtLimit", Post(kBodyLimit), "200", "bbb"},
        ExchangeCase{"BodyAboveLimit", Post(kBodyLimit + 1), "413", "\n"},
        ExchangeCase{"BodyFarAboveLimit", Post(kDiscardLimit + 1), "413", "\n"},
        ExchangeCase{"ChunkedWithinLimit", Chunked(62), "200", "bbb"},
        ExchangeCase{"ChunkedAboveLimit", Chunked(63), "413", "\n"},
        ExchangeCase{"HeaderAboveLimit",
                     Get("/now", "X-Long: " + std::string(5000, 'h') + "\r\n"),
                     "431", "\n"}),
    [](const auto& test) { return test.param.m_name; });

// Guards against a body without an end that is read for ever.
TEST(HttpServer, ClosesTheConnectionOfAChunkedBodyFarAboveTheLimit) {
  TestServer server;
  EXPECT_EQ(server.RoundTrip(Chunked(kDiscardLimit / 8)), "");
  EXPECT_EQ(server.OpenRequests(), 0U);
}

// Guards against a body in many small chunks that keeps the event loop busy, so
// that timers of the instance are late, and against parts that are lost when
// its connection yields.
TEST(HttpServer, LetsOthersRunWhileManySmallChunksArrive) {
  TestServer server;
  constexpr std::size_t kChunks = 3000;
  std::string request =
      "POST /now HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t index = 0; index < kChunks; ++index) {
    request +=
        "1\r\n" + std::string(1, static_cast<char>('a' + index % 26)) + "\r\n";
  }
  server.m_limit = Bytes(kChunks);
  int runs = 0;
  Timer other(server.m_loop, [&] { ++runs; });
  other.StartRepeating(std::chrono::microseconds(1));
  const std::string response = server.RoundTrip(request + "0\r\n\r\n");
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200");
  EXPECT_TRUE(response.ends_with("\r\n\r\n" + AlphabetText(kChunks)));
  EXPECT_GE(runs, static_cast<int>(kChunks) / 100);
}

struct MemoryCase {
  const char* m_name;
  std::string m_request;
};

class HttpServerWithoutMemory : public testing::TestWithParam<MemoryCase> {};

// Guards against a body that is stored without memory for it, and against a
// caller that is not told that its request did not run.
TEST_P(HttpServerWithoutMemory, Answers503AndKeepsNothing) {
  TestServer server;
  server.m_body_memory->SetParameters({.m_total = 700, .m_small = 700});
  const std::string response = server.RoundTrip(GetParam().m_request);
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(server.m_body_memory->Reserved(), 0U);
  EXPECT_EQ(server.m_body_memory->Refused(), 1);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         HttpServerWithoutMemory,
                         testing::Values(MemoryCase{"Announced", Post(800)},
                                         MemoryCase{"Chunked", Chunked(50)}),
                         [](const auto& test) { return test.param.m_name; });

// Guards against callers that stop just before the end of a body and so keep
// out others: the connection of the one that stalls is closed.
TEST(HttpServer, ClosesAStalledBodyForAnother) {
  TestServer server;
  server.m_body_memory->SetParameters(
      {.m_total = 1000, .m_small = 1000, .m_stall = Duration::zero()});
  const int stalled = server.Connect();
  const std::string whole = Post(800);
  send(stalled, whole.data(), whole.size() - 1, MSG_NOSIGNAL);
  Timer limit(server.m_loop, [&] { ev_break(server.m_loop, EVBREAK_ALL); });
  limit.Start(std::chrono::milliseconds(100));
  ev_run(server.m_loop, 0);
  EXPECT_EQ(server.m_body_memory->Reserved(), 800U);
  EXPECT_EQ(server.RoundTrip(whole).substr(0, 12), "HTTP/1.1 200");
  char byte = 0;
  EXPECT_EQ(recv(stalled, &byte, 1, 0), 0);
  close(stalled);
  EXPECT_EQ(server.OpenRequests(), 0U);
  EXPECT_EQ(server.m_body_memory->Dropped(), 1);
  EXPECT_EQ(server.m_body_memory->Reserved(), 0U);
}

struct WaitingCase {
  const char* m_name;
  std::string m_sent;           ///< On each connection.
  std::size_t m_open_requests;  ///< After the first one has been closed.
};

class HttpServerAtItsLimit : public testing::TestWithParam<WaitingCase> {
 protected:
  void RunFor(Duration duration) {
    Timer limit(m_server.m_loop,
                [this] { ev_break(m_server.m_loop, EVBREAK_ALL); });
    limit.Start(duration);
    ev_run(m_server.m_loop, 0);
  }

  int ConnectAndSend(const std::string& text) {
    const int descriptor = m_server.Connect();
    send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    RunFor(std::chrono::milliseconds(10));
    return descriptor;
  }

  TestServer m_server;
};

// Guards against callers that take all connections and send no whole request,
// so that others are not served. A request in progress is kept.
TEST_P(HttpServerAtItsLimit, ClosesTheOneWithoutARequestForLongest) {
  const int busy = ConnectAndSend(Get("/never"));
  std::vector<int> waiting;
  for (int count = 1; count < kConnectionLimit; ++count) {
    waiting.push_back(ConnectAndSend(GetParam().m_sent));
  }
  EXPECT_EQ(m_server.RoundTrip(Get("/now")).substr(0, 12), "HTTP/1.1 200");
  char byte = 0;
  EXPECT_EQ(recv(waiting.front(), &byte, 1, MSG_DONTWAIT), 0);
  for (std::size_t index = 1; index < waiting.size(); ++index) {
    EXPECT_EQ(recv(waiting[index], &byte, 1, MSG_DONTWAIT), -1) << index;
  }
  EXPECT_EQ(recv(busy, &byte, 1, MSG_DONTWAIT), -1);
  EXPECT_EQ(m_server.OpenRequests(), GetParam().m_open_requests);
  close(busy);
  for (const int descriptor : waiting) {
    close(descriptor);
  }
}

// Guards against connections that are closed while there is room.
TEST_P(HttpServerAtItsLimit, KeepsAllUntilOthersWait) {
  std::vector<int> waiting;
  waiting.reserve(kConnectionLimit);
  for (int count = 0; count < kConnectionLimit; ++count) {
    waiting.push_back(ConnectAndSend(GetParam().m_sent));
  }
  RunFor(std::chrono::milliseconds(600));
  char byte = 0;
  for (const int descriptor : waiting) {
    EXPECT_EQ(recv(descriptor, &byte, 1, MSG_DONTWAIT), -1);
    close(descriptor);
  }
}

// Guards against connections that stay open after their callers have left, if
// the end came together with bytes.
TEST_P(HttpServerAtItsLimit, ClosesTheConnectionOfACallerThatHasLeft) {
  for (int count = 0; count < kConnectionLimit / 2; ++count) {
    const int descriptor = m_server.Connect();
    const std::string& text = GetParam().m_sent;
    send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    close(descriptor);
  }
  RunFor(std::chrono::milliseconds(10));
  for (int count = 0; count < 100 && m_server.Connections() > 0; ++count) {
    RunFor(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(m_server.Connections(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    HttpServerAtItsLimit,
    testing::Values(
        WaitingCase{"Nothing", "", 1},
        WaitingCase{"PartOfAHead", "GET /now HTTP/1.1\r\nHost: x\r\n", 1},
        WaitingCase{"PartOfABody", Post(20).substr(0, Post(20).size() - 1),
                    kConnectionLimit - 1}),
    [](const auto& test) { return test.param.m_name; });

TEST(HttpServer, StopsAWriterAtTheHighWaterMark) {
  TestServer server;
  server.RoundTrip(Get("/stream"));
  EXPECT_TRUE(server.m_reached_high_water);
}

TEST(HttpServer, AbortedStreamIsVisiblyIncomplete) {
  TestServer server;
  const std::string response = server.RoundTrip(Get("/abort"));
  EXPECT_EQ(response.find("0\r\n\r\n"), std::string::npos);
}

TEST(HttpServer, CountsARequestUntilItsResponseIsWritten) {
  TestServer server;
  std::size_t open_before_reading = 0;
  bool ended_before_reading = true;
  Timer check(server.m_loop, [&] {
    open_before_reading = server.OpenRequests();
    ended_before_reading = server.m_complete.has_value();
  });
  check.Start(std::chrono::milliseconds(100));
  const std::string response =
      server.RoundTrip(Get("/large"), std::chrono::milliseconds(200));
  EXPECT_GT(response.size(), kLargeBodyBytes);
  EXPECT_EQ(open_before_reading, 1U);
  EXPECT_FALSE(ended_before_reading);
  EXPECT_EQ(server.OpenRequests(), 0U);
  EXPECT_EQ(server.m_complete, true);
}

TEST(HttpServer, WritesAReadyResponseBeforeItIsDestroyed) {
  auto server = std::make_unique<TestServer>();
  const int descriptor = server->Connect();
  const std::string request = Get("/last");
  send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  ev_run(server->m_loop, 0);
  server.reset();
  char buffer[4096];
  const ssize_t count = recv(descriptor, buffer, sizeof(buffer), 0);
  close(descriptor);
  ASSERT_GT(count, 0);
  EXPECT_TRUE(
      std::string(buffer, static_cast<std::size_t>(count)).ends_with("last"));
}

TEST(HttpServer, RefusesARequestThatArrivesAsItStops) {
  auto server = std::make_unique<TestServer>();
  const int descriptor = server->Connect();
  const std::string request = Get("/now");
  send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  server.reset();
  char buffer[4096];
  const ssize_t count = recv(descriptor, buffer, sizeof(buffer), 0);
  close(descriptor);
  ASSERT_GT(count, 0);
  EXPECT_EQ(std::string(buffer, 12), "HTTP/1.1 503");
}

TEST(HttpServer, ReportsAResponseThatIsCut) {
  TestServer server;
  const int descriptor = server.Connect();
  const std::string request = Get("/large");
  send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  Timer close_soon(server.m_loop, [&] { close(descriptor); });
  close_soon.Start(std::chrono::milliseconds(100));
  Timer limit(server.m_loop, [&] { ev_break(server.m_loop, EVBREAK_ALL); });
  limit.Start(std::chrono::milliseconds(500));
  ev_run(server.m_loop, 0);
  EXPECT_EQ(server.m_complete, false);
}

TEST(HttpServer, ReportsACallerThatDisconnectsWhileItWaits) {
  TestServer server;
  const int descriptor = server.Connect();
  const std::string request = Get("/never");
  send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  Timer close_soon(server.m_loop, [&] { close(descriptor); });
  close_soon.Start(std::chrono::milliseconds(20));
  Timer limit(server.m_loop, [&] { ev_break(server.m_loop, EVBREAK_ALL); });
  limit.Start(std::chrono::seconds(10));
  ev_run(server.m_loop, 0);
  EXPECT_TRUE(server.m_disconnected);
}

}  // namespace
}  // namespace nutmeghollow::net
