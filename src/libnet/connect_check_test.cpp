#include "libnet/connect_check.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

using std::chrono::milliseconds;

/// A listening socket; after StopListening, a port without a listener.
class ConnectCheckTest : public ::testing::Test {
 protected:
  ConnectCheckTest()
      : m_loop(ev_loop_new(EVFLAG_AUTO)),
        m_descriptor(BindSocket(Endpoint("127.0.0.1:0"), SOCK_STREAM)) {
    SocketAddress address;
    address.m_size = sizeof(address.m_storage);
    getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address.m_storage),
                &address.m_size);
    m_endpoint = FormatEndpoint(address);
  }
  ~ConnectCheckTest() override {
    StopListening();
    ev_loop_destroy(m_loop);
  }

  void StopListening() {
    if (m_descriptor >= 0) {
      close(m_descriptor);
      m_descriptor = -1;
    }
  }

  std::optional<ConnectOutcome> Check(const Endpoint& endpoint) {
    std::optional<ConnectOutcome> result;
    ConnectChecker checker(m_loop);
    checker.Check(endpoint, milliseconds(200), [&](ConnectOutcome outcome) {
      result = outcome;
      ev_break(m_loop, EVBREAK_ALL);
    });
    if (!result) {
      ev_run(m_loop, 0);
    }
    return result;
  }

  struct ev_loop* m_loop;
  int m_descriptor;
  Endpoint m_endpoint;
};

TEST_F(ConnectCheckTest, ReportsWhetherAProcessListens) {
  EXPECT_EQ(Check(m_endpoint), ConnectOutcome::kAccepted);
  StopListening();
  EXPECT_EQ(Check(m_endpoint), ConnectOutcome::kRefused);
}

TEST_F(ConnectCheckTest, ReportsUnknownForAnInvalidEndpoint) {
  EXPECT_EQ(Check(Endpoint("nowhere")), ConnectOutcome::kUnknown);
}

}  // namespace
}  // namespace nutmeghollow::net
