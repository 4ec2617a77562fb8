#include "libnet/upstream_formats.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <string_view>

#include "libnet/text.h"

namespace nutmeghollow::net {
namespace {

constexpr int kServiceUnavailable = 503;

/// Header fields that are not forwarded: they apply to one connection only or
/// are set by this instance.
const std::set<std::string, std::less<>> kDroppedRequestHeaders{
    "host",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "authorization",
    "x-request-id",
    "x-priority",
    "x-chat-id",
    "accept-encoding",
    "proxy-authorization"};
const std::set<std::string, std::less<>> kDroppedResponseHeaders{
    "connection", "keep-alive",     "te",           "trailer",
    "upgrade",    "content-length", "x-request-id", "transfer-encoding",
    "date",       "nutmeg-outcome", "x-not-run",    "server"};

HttpCall MakeCall(const OutgoingRequest& request, const std::string& id) {
  HttpCall call;
  call.m_method = request.m_method;
  call.m_path = request.m_path;
  call.m_body = request.m_body;
  for (const auto& [name, value] : request.m_headers) {
    if (!kDroppedRequestHeaders.contains(LowerCase(name))) {
      call.m_headers.emplace_back(name, value);
    }
  }
  call.m_headers.emplace_back("X-Request-Id", id);
  call.m_headers.emplace_back("X-Priority", std::to_string(request.m_priority));
  return call;
}

bool IsRefusal(int status, const HeaderMap& headers) {
  return status == kServiceUnavailable &&
         HeaderValue(headers, "x-not-run") == "1";
}

KeyStatusResult ReadServiceStatus(const HttpResponse& response) {
  KeyStatusResult result;
  if (response.m_call_result.m_outcome != HttpCallOutcome::kComplete ||
      response.m_status != 200) {
    return result;
  }
  const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
  if (!body.is_object()) {
    return result;
  }
  try {
    const std::string state = body.value("state", "");
    if (state == "never") {
      result.m_state = ServiceKeyState::kNever;
    } else if (state == "running") {
      result.m_state = ServiceKeyState::kRunning;
    } else if (state == "done") {
      result.m_status = body.at("status").get<int>();
      result.m_content_type = body.value("content_type", "");
      result.m_body = body.at("body").get<std::string>();
      result.m_state = ServiceKeyState::kDone;
    }
  } catch (const nlohmann::json::exception&) {
    return {};
  }
  return result;
}

}  // namespace

EngineFormat MakeEngineFormat() {
  EngineFormat engine;
  engine.m_run = MakeCall;
  engine.m_resume = [](const std::string& id, std::int64_t offset) {
    HttpCall call;
    call.m_path = "/v1/streams/" + id + "?offset=" + std::to_string(offset);
    return call;
  };
  engine.m_cancel = [](const std::string& id) {
    HttpCall call;
    call.m_method = "DELETE";
    call.m_path = "/v1/streams/" + id;
    return call;
  };
  engine.m_is_refusal = IsRefusal;
  engine.m_is_stream = [](int status, const HeaderMap& headers) {
    return status == 200 && HeaderValue(headers, "content-type")
                                .starts_with("text/event-stream");
  };
  return engine;
}

ServiceFormat MakeServiceFormat() {
  return {MakeCall, IsRefusal, ReadServiceStatus};
}

HeaderList HeadersForCaller(const HeaderMap& headers) {
  HeaderList forwarded;
  for (const auto& [name, value] : headers) {
    if (!kDroppedResponseHeaders.contains(name)) {
      forwarded.emplace_back(name, value);
    }
  }
  return forwarded;
}

}  // namespace nutmeghollow::net
