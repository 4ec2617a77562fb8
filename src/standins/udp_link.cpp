// UDP links of the fault proxy.
#include <sys/socket.h>

#include <array>
#include <deque>
#include <random>

#include "standins/proxy.h"

namespace nutmeghollow::standins {
namespace {

constexpr std::size_t kMaxDatagramSize = 64 << 10;
constexpr unsigned kDropSeed = 1;

class UdpLink : public Link {
 public:
  UdpLink(struct ev_loop* loop, const Endpoint& listen, const Endpoint& target)
      : m_loop(loop),
        m_target(SocketAddress(target)),
        m_listener(OpenListener(listen, SOCK_DGRAM)),
        m_watcher(loop,
                  m_listener.Descriptor(),
                  EV_READ,
                  [this](int) { ReceiveFromSenders(); }),
        m_timer(loop, [this] { SendDue(); }),
        m_random(kDropSeed) {}

  nlohmann::json Stats() const override {
    return {{"kind", "udp"},
            {"datagrams", m_datagrams},
            {"bytes", m_bytes},
            {"dropped", m_dropped}};
  }

 protected:
  void StallConnections(const std::string& /*source*/) override {}
  void ResetConnections(const std::string& /*source*/) override {}

 private:
  /// A sender and the socket that exchanges its datagrams with the target.
  struct Sender {
    sockaddr_in m_address{};
    Socket m_socket;
    std::unique_ptr<net::DescriptorWatcher> m_watcher;
  };
  struct DelayedDatagram {
    TimePoint m_due;
    bool m_to_target;
    Sender* m_sender;
    std::string m_bytes;
  };

  void ReceiveFromSenders() {
    std::array<char, kMaxDatagramSize> buffer;
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    const auto count =
        recvfrom(m_listener.Descriptor(), buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&address), &length);
    if (count > 0) {
      Forward(FindSender(address), true, std::string(buffer.data(), count));
    }
  }

  void ReceiveFromTarget(Sender& sender) {
    std::array<char, kMaxDatagramSize> buffer;
    const auto count =
        recv(sender.m_socket.Descriptor(), buffer.data(), buffer.size(), 0);
    if (count > 0) {
      Forward(sender, false, std::string(buffer.data(), count));
    }
  }

  Sender& FindSender(const sockaddr_in& address) {
    const auto key = std::make_pair(address.sin_addr.s_addr, address.sin_port);
    auto& sender = m_senders[key];
    if (sender == nullptr) {
      sender = std::make_unique<Sender>();
      sender->m_address = address;
      sender->m_socket = OpenConnection(m_target, SOCK_DGRAM);
      sender->m_watcher = std::make_unique<net::DescriptorWatcher>(
          m_loop, sender->m_socket.Descriptor(), EV_READ,
          [this, raw = sender.get()](int) { ReceiveFromTarget(*raw); });
    }
    return *sender;
  }

  void Forward(Sender& sender, bool to_target, std::string bytes) {
    const LinkFaults& faults = Faults(AddressText(sender.m_address));
    ++m_datagrams;
    m_bytes += static_cast<std::int64_t>(bytes.size());
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    if (faults.m_blocked || uniform(m_random) < faults.m_drop_fraction) {
      ++m_dropped;
      return;
    }
    m_delayed.push_back({net::BootTime() + faults.m_delay, to_target, &sender,
                         std::move(bytes)});
    SendDue();
  }

  void SendDue() {
    const TimePoint now = net::BootTime();
    while (!m_delayed.empty() && m_delayed.front().m_due <= now) {
      const DelayedDatagram next = std::move(m_delayed.front());
      m_delayed.pop_front();
      if (next.m_to_target) {
        send(next.m_sender->m_socket.Descriptor(), next.m_bytes.data(),
             next.m_bytes.size(), MSG_NOSIGNAL);
      } else {
        const auto& address = next.m_sender->m_address;
        sendto(m_listener.Descriptor(), next.m_bytes.data(),
               next.m_bytes.size(), MSG_NOSIGNAL,
               reinterpret_cast<const sockaddr*>(&address), sizeof(address));
      }
    }
    if (!m_delayed.empty()) {
      m_timer.Start(m_delayed.front().m_due - now);
    }
  }

  struct ev_loop* m_loop;
  sockaddr_in m_target;
  Socket m_listener;
  net::DescriptorWatcher m_watcher;
  net::Timer m_timer;
  std::mt19937 m_random;
  std::map<std::pair<in_addr_t, in_port_t>, std::unique_ptr<Sender>> m_senders;
  std::deque<DelayedDatagram> m_delayed;
  std::int64_t m_datagrams = 0;
  std::int64_t m_bytes = 0;
  std::int64_t m_dropped = 0;
};

}  // namespace

std::unique_ptr<Link> MakeUdpLink(struct ev_loop* loop,
                                  const Endpoint& listen,
                                  const Endpoint& target) {
  return std::make_unique<UdpLink>(loop, listen, target);
}

}  // namespace nutmeghollow::standins
