/// @file
/// Client for orders to model engines.
///
/// Each order has a connection of its own, so that all of them can be closed
/// when the lease is lost. An order is not started when its first byte might be
/// sent after the deadline.
#pragma once

#include <functional>
#include <map>

#include "libnet/http_client.h"
#include "nutmeghollow/actions.h"
#include "nutmeghollow/orders.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Settings of OrderClient.
struct OrderOptions {
  Duration m_connect_timeout = std::chrono::milliseconds(500);
  Duration m_timeout = std::chrono::seconds(2);  ///< Of a whole call.
  Bytes m_response_limit{64 << 10};
};

/// Sends orders and reads engine states.
class OrderClient {
 public:
  /// @param client must outlive this object.
  /// @param now returns the time on the clock of SendOrder::m_not_after.
  /// @param callback receives the result of each order and each read.
  OrderClient(HttpClient& client,
              OrderOptions options,
              std::function<TimePoint()> now,
              std::function<void(OrderResult)> callback);
  ~OrderClient();
  OrderClient(const OrderClient&) = delete;
  OrderClient& operator=(const OrderClient&) = delete;

  /// Sends an order, or reports it as failed at once when its first byte might
  /// be sent after the deadline.
  void Send(const SendOrder& order);
  void Read(const ReadEngineState& read);
  /// Closes the connection of every order and read in progress; each is
  /// reported as failed.
  void CloseAll();

 private:
  void StartCall(UpstreamId upstream, HttpCall call);
  void Finish(std::uint64_t key, const HttpResponse& response);

  struct Pending {
    UpstreamId m_upstream;
    HttpCallId m_call;
  };

  HttpClient& m_client;
  OrderOptions m_options;
  std::function<TimePoint()> m_now;
  std::function<void(OrderResult)> m_callback;
  std::map<std::uint64_t, Pending> m_pending;
  std::uint64_t m_last_key = 0;
};

namespace detail {

/// @return the result of an order or of a read of an engine's state.
OrderResult DecodeOrderResponse(const UpstreamId& upstream,
                                const HttpResponse& response);

}  // namespace detail
}  // namespace nutmeghollow::net
