// Collects the whole response of a call.
#include <utility>

#include "libnet/http_client.h"

namespace nutmeghollow::net {
namespace {

/// State of one Fetch call.
struct Collector {
  HttpResponse m_response;
  HttpCallId m_id;
  std::function<void(HttpResponse)> m_callback;
};

}  // namespace

HttpCallId Fetch(HttpClient& client,
                 HttpCall call,
                 Bytes body_limit,
                 std::function<void(HttpResponse)> callback) {
  auto collector = std::make_shared<Collector>();
  collector->m_callback = std::move(callback);
  HttpCallEvents events;
  events.m_on_headers = [collector](int status, const HeaderMap& headers) {
    collector->m_response.m_status = status;
    collector->m_response.m_headers = headers;
  };
  events.m_on_data = [collector, body_limit, &client](std::string_view data) {
    std::string& body = collector->m_response.m_body;
    if (body.size() + data.size() <=
        static_cast<std::size_t>(body_limit.value())) {
      body.append(data);
      return true;
    }
    client.Cancel(collector->m_id);
    collector->m_response.m_call_result = {
        HttpCallOutcome::kBroken, true, "the response exceeds the size limit"};
    collector->m_callback(std::move(collector->m_response));
    return false;
  };
  events.m_on_end = [collector](const HttpCallResult& result) {
    collector->m_response.m_call_result = result;
    collector->m_callback(std::move(collector->m_response));
  };
  collector->m_id = client.Start(std::move(call), std::move(events));
  return collector->m_id;
}

}  // namespace nutmeghollow::net
