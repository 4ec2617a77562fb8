// How calls end: whether a response is complete, and whether the end of its
// connection is that of the response.
#include <unistd.h>

#include <algorithm>

#include "libnet/http_client_impl.h"
#include "libnet/tcp_bytes.h"

namespace nutmeghollow::net {
namespace {

/// A server that closes a connection with unread bytes resets it. It may have
/// ended its output this long before.
constexpr Duration kMaxResetDelay = std::chrono::milliseconds(150);
/// Part of the call's remaining time that it may wait for a reset.
constexpr int kResetWaitShare = 2;

}  // namespace

void HttpClient::Impl::NoteUnacknowledged(Call& call) {
  // The end of a response with a length or chunks does not depend on it.
  const bool matters = !call.m_headers_done || call.m_close_delimited;
  if (matters && call.m_call.m_body && call.m_descriptor >= 0) {
    call.m_unacknowledged_bytes = UnacknowledgedBytes(call.m_descriptor);
  }
}

bool HttpClient::Impl::IsRequestReceived(const Call& call) {
  if (!call.m_call.m_body) {
    return true;
  }
  curl_off_t written = 0;
  curl_easy_getinfo(call.m_easy, CURLINFO_SIZE_UPLOAD_T, &written);
  return call.m_unacknowledged_bytes == 0 &&
         static_cast<std::size_t>(written) >= call.m_call.m_body->size();
}

bool HttpClient::Impl::MayBeReset(const Call& call) {
  return call.m_close_delimited && call.m_call.m_accept_close_delimited &&
         call.m_call.m_body && !call.m_call.m_body->empty();
}

int HttpClient::Impl::OnCloseSocket(void* client, curl_socket_t descriptor) {
  for (const auto& [id, call] : static_cast<Impl*>(client)->m_calls) {
    if (call->m_descriptor == descriptor && call->m_ended_descriptor < 0 &&
        call->m_headers_done && MayBeReset(*call)) {
      call->m_ended_descriptor = descriptor;
      return 0;
    }
  }
  return close(descriptor);
}

void HttpClient::Impl::EndUnlessReset(Call& call,
                                      const HttpCallResult& result) {
  if (result.m_outcome != HttpCallOutcome::kComplete || !MayBeReset(call)) {
    End(call.m_id, result);
    return;
  }
  call.m_result_unless_reset = result;
  const Duration left =
      call.m_started + call.m_call.m_total_timeout - BootTime();
  const Duration wait = std::min(kMaxResetDelay, left / kResetWaitShare);
  if (wait <= Duration::zero() || call.m_ended_descriptor < 0 ||
      IsReset(call.m_ended_descriptor)) {
    CheckReset(call);
    return;
  }
  call.m_timer->Start(wait);
}

void HttpClient::Impl::CheckReset(Call& call) {
  HttpCallResult result = *call.m_result_unless_reset;
  // Without its descriptor, nothing is known of the connection's end.
  if (call.m_ended_descriptor < 0 || IsReset(call.m_ended_descriptor)) {
    result.m_outcome = HttpCallOutcome::kBroken;
    result.m_detail = "the connection was reset after the response";
  }
  End(call.m_id, result);
}

HttpCallResult HttpClient::Impl::MakeResult(const Call& call,
                                            CURLcode code) const {
  HttpCallResult result;
  result.m_may_have_been_sent = call.m_sent;
  result.m_detail = curl_easy_strerror(code);
  result.m_close_delimited = call.m_close_delimited;
  // A process that dies while it receives a request may close its connection
  // normally, so the end of the connection is then not that of the response.
  const bool end_known =
      !call.m_close_delimited ||
      (call.m_call.m_accept_close_delimited && IsRequestReceived(call));
  if (code == CURLE_OK && call.m_headers_done && end_known) {
    result.m_outcome = HttpCallOutcome::kComplete;
    result.m_detail.clear();
  } else if (code == CURLE_OK) {
    result.m_detail = "the length of the response is unknown";
  } else if (!call.m_sent) {
    result.m_outcome = HttpCallOutcome::kConnectFailed;
  } else if (call.m_resend_attempted) {
    result.m_detail = "the reused connection was closed by the server";
  } else if (call.m_head_too_large) {
    result.m_detail = "the head of the response is too large";
  } else if (call.m_invalid_status) {
    result.m_detail = "the status of the response is invalid";
  } else if (call.m_invalid_field) {
    result.m_detail = "a field of the response is invalid";
  } else if (call.m_invalid_length) {
    result.m_detail = "the length of the response is invalid";
  }
  return result;
}

}  // namespace nutmeghollow::net
