#include "nutmegd/peer_http_server.h"

#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <utility>

#include "libnet/log.h"
#include "nutmegd/request_bodies.h"

namespace nutmeghollow {
namespace {

using net::BootTime;
using net::Log;
using net::LogLevel;

constexpr int kStatusUnavailable = 503;
/// As for callers, plus the field of a forwarded request.
constexpr Bytes kHeaderLimit{22 << 10};
constexpr Bytes kStreamHighWater{64 << 10};

net::HttpServerOptions ServerOptions(const GatewayState& state) {
  net::HttpServerOptions options;
  options.m_header_limit = kHeaderLimit;
  options.m_stream_high_water = kStreamHighWater;
  options = WithCallerBodies(std::move(options), state);
  // The sender may try another instance: the request was not taken.
  options.m_error_hook = [](int, const std::string&) {
    return net::HttpErrorResponse{{{net::kNotTakenField, "1"}}, ""};
  };
  return options;
}

/// The caller's request, whose response goes back to the sender.
class ForwardedExchange final : public net::HttpExchange {
 public:
  /// @param mac proves to the sender that this instance has the fleet key.
  /// @param open incremented until the response has ended.
  ForwardedExchange(std::shared_ptr<net::HttpExchange> exchange,
                    std::string mac,
                    const std::shared_ptr<std::size_t>& open)
      : m_exchange(std::move(exchange)),
        m_body(m_exchange->TakeBody()),
        m_request(m_exchange->Request()),
        m_mac(std::move(mac)),
        m_on_end(std::make_shared<std::function<void(bool)>>()) {
    m_request.m_headers.erase(net::kForwardedField);
    m_request.m_head_bytes = 0;  // The sender has checked the caller's head.
    ++*open;
    m_exchange->OnEnd([open, on_end = m_on_end](bool complete) {
      --*open;
      if (*on_end) {
        (*on_end)(complete);
      }
    });
  }

  // net::HttpExchange:
  const net::HttpRequest& Request() const override { return m_request; }
  std::shared_ptr<const std::string> TakeBody() override {
    return std::exchange(m_body, nullptr);
  }
  void Respond(int status,
               const net::HeaderList& headers,
               std::string body) override {
    m_exchange->Respond(status, WithMac(headers), std::move(body));
  }
  void BeginStream(int status, const net::HeaderList& headers) override {
    m_exchange->BeginStream(status, WithMac(headers));
  }
  bool Write(std::string_view data) override { return m_exchange->Write(data); }
  void EndStream() override { m_exchange->EndStream(); }
  void AbortStream() override { m_exchange->AbortStream(); }
  bool CallerDisconnected() const override {
    return m_exchange->CallerDisconnected();
  }
  void OnDisconnect(std::function<void()> callback) override {
    m_exchange->OnDisconnect(std::move(callback));
  }
  void OnDrained(std::function<void()> callback) override {
    m_exchange->OnDrained(std::move(callback));
  }
  void OnEnd(std::function<void(bool complete)> callback) override {
    *m_on_end = std::move(callback);
  }

 private:
  net::HeaderList WithMac(net::HeaderList headers) const {
    headers.emplace_back(net::kForwardedMacField, m_mac);
    return headers;
  }

  std::shared_ptr<net::HttpExchange> m_exchange;
  std::shared_ptr<const std::string> m_body;
  net::HttpRequest m_request;  ///< Without the body.
  std::string m_mac;
  std::shared_ptr<std::function<void(bool)>> m_on_end;
};

}  // namespace

PeerHttpServer::PeerHttpServer(struct ev_loop* loop,
                               const Endpoint& endpoint,
                               const InstanceId& self,
                               const GatewayState& state,
                               PeerHttpHooks hooks)
    : m_hooks(std::move(hooks)),
      m_reader(self),
      m_server(loop,
               endpoint,
               ServerOptions(state),
               [this](const std::shared_ptr<net::HttpExchange>& exchange) {
                 Handle(exchange);
               }) {}

void PeerHttpServer::Handle(
    const std::shared_ptr<net::HttpExchange>& exchange) {
  const net::HttpRequest& request = exchange->Request();
  if (request.m_headers.count(net::kForwardedField) == 0) {
    m_hooks.m_feed(exchange);
    return;
  }
  const net::FleetKeys* keys = m_hooks.m_keys();
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        if (keys == nullptr) {
          return boost::leaf::new_error(net::ForwardedRejection::kBadMac);
        }
        BOOST_LEAF_AUTO(
            forwarded,
            m_reader.Read(*keys, request, m_hooks.m_clock_offsets, BootTime()));
        m_hooks.m_forwarded(
            std::make_shared<ForwardedExchange>(
                exchange, net::ForwardedResponseMac(*keys, forwarded.m_nonce),
                m_open),
            forwarded);
        return {};
      },
      [&](net::ForwardedRejection reason) {
        Log(LogLevel::kWarning, "forwarded_request_not_accepted",
            {{"reason", std::string(net::ForwardedRejectionName(reason))}});
        exchange->Respond(kStatusUnavailable, {{net::kNotTakenField, "1"}}, "");
      },
      [&] { exchange->Respond(kStatusUnavailable, {}, ""); });
}

}  // namespace nutmeghollow
