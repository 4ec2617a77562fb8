#include "nutmegctl/http_call.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

namespace nutmeghollow::ctl {
namespace {

/// Sends fixed bytes to the first connection, and closes it.
class OneResponse {
 public:
  explicit OneResponse(std::string bytes) : m_bytes(std::move(bytes)) {
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(m_listener, 1), 0);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Serve(); });
  }
  ~OneResponse() {
    m_thread.join();
    close(m_listener);
  }
  OneResponse(const OneResponse&) = delete;
  OneResponse& operator=(const OneResponse&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

 private:
  void Serve() const {
    const int connection = accept(m_listener, nullptr, nullptr);
    std::string request(4096, '\0');
    recv(connection, request.data(), request.size(), 0);
    send(connection, m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL);
    close(connection);
  }

  std::string m_bytes;
  int m_listener = -1;
  int m_port = 0;
  std::thread m_thread;
};

struct HeadCase {
  const char* m_name;
  const char* m_bytes;
  bool m_received;
};
class HttpCallHead : public ::testing::TestWithParam<HeadCase> {};

TEST_P(HttpCallHead, AResponseCutInItsHeadIsNoResponse) {
  const OneResponse server(GetParam().m_bytes);
  Target target;
  target.m_address = server.Address();
  Call call;
  call.m_method = "GET";
  call.m_path = "/livez";
  const CallResult result = SendCall(target, call, {});
  EXPECT_EQ(result.m_response_received, GetParam().m_received);
  EXPECT_EQ(result.m_may_have_been_sent, !GetParam().m_received);
  EXPECT_EQ(result.m_error.empty(), GetParam().m_received);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    HttpCallHead,
    ::testing::Values(
        HeadCase{"Whole", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
        HeadCase{"AfterInterim",
                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                 "Content-Length: 0\r\n\r\n",
                 true},
        HeadCase{"CutAfterStatus", "HTTP/1.1 200 OK\r\n", false},
        HeadCase{"CutInField", "HTTP/1.1 200 OK\r\nContent-Le", false},
        HeadCase{"CutAfterField", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                 false}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow::ctl
