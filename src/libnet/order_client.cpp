#include "libnet/order_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace nutmeghollow::net {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

}  // namespace

namespace detail {

OrderResult DecodeOrderResponse(const UpstreamId& upstream,
                                const HttpResponse& response) {
  OrderResult result{.m_upstream = upstream};
  if (response.m_call_result.m_outcome != HttpCallOutcome::kComplete) {
    return result;
  }
  if (response.m_status == kStatusConflict) {
    result.m_status = OrderStatus::kStaleFencing;
    return result;
  }
  const Json json = Json::parse(response.m_body, nullptr, false);
  const bool usable = response.m_status == kStatusOk && json.is_object() &&
                      json.contains("state") && json["state"].is_object();
  if (usable) {
    result.m_status = OrderStatus::kSucceeded;
    result.m_state = json["state"].dump();
  }
  return result;
}

}  // namespace detail

OrderClient::OrderClient(HttpClient& client,
                         OrderOptions options,
                         std::function<TimePoint()> now,
                         std::function<void(OrderResult)> callback)
    : m_client(client),
      m_options(options),
      m_now(std::move(now)),
      m_callback(std::move(callback)) {}

OrderClient::~OrderClient() {
  for (const auto& [key, pending] : m_pending) {
    m_client.Cancel(pending.m_call);
  }
}

void OrderClient::Send(const SendOrder& order) {
  // Connecting may take its whole timeout before the first byte is sent.
  if (m_now() + m_options.m_connect_timeout >= order.m_not_after) {
    m_callback({.m_upstream = order.m_upstream});
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_endpoint = order.m_endpoint;
  call.m_path = "/v1/orders";
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = std::make_shared<const std::string>(Json{
      {"fencing", order.m_fencing.value()},
      {"wanted", Json::parse(order.m_wanted_state, nullptr,
                             false)}}.dump());
  StartCall(order.m_upstream, std::move(call));
}

void OrderClient::Read(const ReadEngineState& read) {
  HttpCall call;
  call.m_endpoint = read.m_endpoint;
  call.m_path = "/v1/state";
  StartCall(read.m_upstream, std::move(call));
}

void OrderClient::StartCall(UpstreamId upstream, HttpCall call) {
  call.m_connect_timeout = m_options.m_connect_timeout;
  call.m_head_timeout = m_options.m_timeout;
  call.m_idle_timeout = m_options.m_timeout;
  call.m_total_timeout = m_options.m_timeout;
  call.m_dedicated_connection = true;
  const std::uint64_t key = ++m_last_key;
  Pending& pending = m_pending[key];
  pending.m_upstream = std::move(upstream);
  pending.m_call = Fetch(
      m_client, std::move(call), m_options.m_response_limit,
      [this, key](const HttpResponse& response) { Finish(key, response); });
}

void OrderClient::Finish(std::uint64_t key, const HttpResponse& response) {
  auto found = m_pending.find(key);
  if (found == m_pending.end()) {
    return;
  }
  const UpstreamId upstream = std::move(found->second.m_upstream);
  m_pending.erase(found);
  m_callback(detail::DecodeOrderResponse(upstream, response));
}

void OrderClient::CloseAll() {
  for (const auto& [key, pending] : std::exchange(m_pending, {})) {
    m_client.Cancel(pending.m_call);
    m_callback({.m_upstream = pending.m_upstream});
  }
}

}  // namespace nutmeghollow::net
