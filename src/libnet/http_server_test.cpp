#include "libnet/http_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>

#include "libnet/event_loop.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

constexpr std::int64_t kBodyLimit = 1000;

/// A server on its own loop with one path for each behaviour.
class TestServer {
 public:
  TestServer() : m_loop(ev_loop_new(0)) {
    HttpServerOptions options;
    options.m_body_limit = Bytes(kBodyLimit);
    options.m_header_limit = Bytes(4096);
    options.m_stream_high_water = Bytes(1024);
    m_server = std::make_unique<HttpServer>(
        m_loop, Endpoint("127.0.0.1:0"), options,
        [this](const std::shared_ptr<HttpExchange>& exchange) {
          Handle(exchange);
        });
    m_timer = std::make_unique<Timer>(m_loop, [this] { Later(); });
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

  /// Sends raw bytes and runs the loop until the server closes.
  std::string Exchange(const std::string& request) {
    std::string answer;
    bool done = false;
    std::thread caller([&] {
      const int descriptor = Connect();
      send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
      char buffer[4096];
      ssize_t count = 0;
      while ((count = recv(descriptor, buffer, sizeof(buffer), 0)) > 0) {
        answer.append(buffer, static_cast<std::size_t>(count));
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
    return answer;
  }

  struct ev_loop* m_loop;
  bool m_gone = false;
  bool m_stopped_writing = false;

 private:
  void Handle(const std::shared_ptr<HttpExchange>& exchange) {
    const std::string path = exchange->Request().m_path;
    if (path == "/now") {
      exchange->Respond(200, {{"X-Test", "1"}}, exchange->Request().m_body);
      return;
    }
    m_held = exchange;
    exchange->OnDisconnect([this] {
      m_gone = true;
      ev_break(m_loop, EVBREAK_ALL);
    });
    m_timer->Start(std::chrono::milliseconds(5));
  }

  void Later() {
    const std::string path = m_held->Request().m_path;
    if (path == "/later") {
      m_held->Respond(200, {}, "later");
    } else if (path == "/stream") {
      m_held->BeginStream(200, {});
      m_held->Write("one");
      m_stopped_writing = !m_held->Write(std::string(2000, 'x'));
      m_held->EndStream();
    } else if (path == "/abort" && !m_begun) {
      m_begun = true;
      m_held->BeginStream(200, {});
      m_held->Write("one");
      m_timer->Start(std::chrono::milliseconds(20));
    } else if (path == "/abort") {
      m_held->AbortStream();
    }
  }

  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<HttpExchange> m_held;
  ev_async m_wake{};
  bool m_begun = false;
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

class HttpServerCases : public testing::TestWithParam<ExchangeCase> {};

TEST_P(HttpServerCases, Answers) {
  TestServer server;
  const std::string answer = server.Exchange(GetParam().m_request);
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + GetParam().m_status);
  const std::string& tail = GetParam().m_ends_with;
  ASSERT_GE(answer.size(), tail.size());
  EXPECT_EQ(answer.substr(answer.size() - tail.size()), tail);
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
        ExchangeCase{"HeaderAboveLimit",
                     Get("/now", "X-Long: " + std::string(5000, 'h') + "\r\n"),
                     "431", "\n"}),
    [](const auto& test) { return test.param.m_name; });

TEST(HttpServer, StopsAWriterAtTheHighWaterMark) {
  TestServer server;
  server.Exchange(Get("/stream"));
  EXPECT_TRUE(server.m_stopped_writing);
}

TEST(HttpServer, AbortedStreamIsVisiblyIncomplete) {
  TestServer server;
  const std::string answer = server.Exchange(Get("/abort"));
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
}

TEST(HttpServer, ReportsACallerThatClosesWhileItWaits) {
  TestServer server;
  const int descriptor = server.Connect();
  const std::string request = Get("/never");
  send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  Timer close_soon(server.m_loop, [&] { close(descriptor); });
  close_soon.Start(std::chrono::milliseconds(20));
  Timer limit(server.m_loop, [&] { ev_break(server.m_loop, EVBREAK_ALL); });
  limit.Start(std::chrono::seconds(10));
  ev_run(server.m_loop, 0);
  EXPECT_TRUE(server.m_gone);
}

}  // namespace
}  // namespace nutmeghollow::net
