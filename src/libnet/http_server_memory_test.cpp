// Memory of the HTTP server while callers send bodies that it does not keep.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_server.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

constexpr std::size_t kBodyLimit = 1 << 20;
constexpr std::size_t kCallers = 20;

/// @return bytes that malloc has handed out and not got back.
std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Callers on the loop of the server. They keep their connections open.
class Callers {
 public:
  Callers(struct ev_loop* loop, const HttpServer& server) : m_loop(loop) {
    const auto address =
        ParseEndpoint(Endpoint("127.0.0.1:" + std::to_string(server.Port())));
    for (std::size_t count = 0; count < kCallers; ++count) {
      const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
      EXPECT_EQ(connect(descriptor, address->Get(), address->m_size), 0);
      fcntl(descriptor, F_SETFL, O_NONBLOCK);
      m_descriptors.push_back(descriptor);
    }
  }
  ~Callers() {
    for (const int descriptor : m_descriptors) {
      close(descriptor);
    }
  }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Each caller sends the same bytes; the server has read them at the end.
  void Send(const std::string& bytes) {
    for (const int descriptor : m_descriptors) {
      std::size_t sent = 0;
      while (sent < bytes.size()) {
        const ssize_t count = send(descriptor, bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        ev_run(m_loop, EVRUN_NOWAIT);
      }
    }
    constexpr int kRunsForTheRest = 1000;
    for (int run = 0; run < kRunsForTheRest; ++run) {
      ev_run(m_loop, EVRUN_NOWAIT);
    }
  }

 private:
  struct ev_loop* m_loop;
  std::vector<int> m_descriptors;
};

// Guards against bodies whose memory stays in use after it was returned to the
// budget, until their callers disconnect.
TEST(HttpServerMemory, IsFreedOfBodiesAboveTheLimitWhileTheyAreRead) {
  struct ev_loop* loop = ev_loop_new(0);
  HttpServerOptions options;
  options.m_body_limit = Bytes(kBodyLimit);
  options.m_body_memory = std::make_shared<BodyMemory>();
  auto server = std::make_unique<HttpServer>(
      loop, Endpoint("127.0.0.1:0"), options,
      [](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->Respond(200, {}, "");
      });
  {
    Callers callers(loop, *server);
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "400000\r\n" +
        std::string(2 * kBodyLimit, 'x');
    const std::size_t before = AllocatedBytes();
    callers.Send(request);
    EXPECT_EQ(options.m_body_memory->Reserved(), 0U);
    EXPECT_LT(AllocatedBytes(), before + kBodyLimit);
  }
  server.reset();
  ev_loop_destroy(loop);
}

}  // namespace
}  // namespace nutmeghollow::net
