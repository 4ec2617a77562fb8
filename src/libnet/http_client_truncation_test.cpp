// Responses that break off and statuses that are none: the client must never
// report a part of a response, or a response without a valid status, as
// complete.
#include <gtest/gtest.h>

#include <optional>

#include "libnet/http_client.h"
#include "libnet/scripted_server.h"

namespace nutmeghollow::net {
namespace {

using ConnectionAction = ScriptedReply::ConnectionAction;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Size of an upload that does not fit into the buffers of a connection.
constexpr std::size_t kLongUpload = 16 << 20;
/// Size of an upload that fits into the sender's buffer, but not into that of
/// the receiver.
constexpr std::size_t kBufferedUpload = 512 << 10;

class HttpClientTruncation : public ::testing::Test {
 protected:
  HttpClientTruncation()
      : m_loop(ev_loop_new(0)),
        m_client(std::make_unique<HttpClient>(m_loop)),
        m_server(m_loop, [this](const std::string&) { return m_reply; }) {}
  ~HttpClientTruncation() override {
    m_client.reset();
    m_server.CloseAll();
    m_server.Stop();
  }

  HttpResponse FetchAndWait(HttpCall call) {
    call.m_method = "POST";
    call.m_endpoint = m_server.Address();
    call.m_head_timeout = seconds(10);
    call.m_idle_timeout = seconds(5);
    std::optional<HttpResponse> response;
    Fetch(*m_client, std::move(call), Bytes(1 << 20),
          [&response](HttpResponse result) { response = std::move(result); });
    bool timed_out = false;
    Timer limit(m_loop, [&timed_out] { timed_out = true; });
    limit.Start(seconds(20));
    while (!response && !timed_out) {
      ev_run(m_loop, EVRUN_ONCE);
    }
    EXPECT_FALSE(timed_out) << "no result within 20 s";
    return response.value_or(HttpResponse());
  }

  struct ev_loop* m_loop;
  ScriptedReply m_reply;
  std::unique_ptr<HttpClient> m_client;
  ScriptedServer m_server;
};

struct TruncationCase {
  const char* m_name;
  const char* m_bytes;
  ConnectionAction m_action = ConnectionAction::kClose;
  /// Outcome when responses that end with the connection are accepted.
  HttpCallOutcome m_accepted_outcome = HttpCallOutcome::kBroken;
  /// Outcome when they are not.
  HttpCallOutcome m_outcome = HttpCallOutcome::kBroken;
};

std::string NameOf(const ::testing::TestParamInfo<TruncationCase>& info) {
  return info.param.m_name;
}

class BrokenOffResponse : public HttpClientTruncation,
                          public ::testing::WithParamInterface<TruncationCase> {
};

TEST_P(BrokenOffResponse, IsNotComplete) {
  m_reply = {GetParam().m_bytes, GetParam().m_action};
  HttpCall call;
  call.m_body = std::make_shared<const std::string>("body");
  EXPECT_EQ(FetchAndWait(call).m_call_result.m_outcome, GetParam().m_outcome);
  call.m_accept_close_delimited = true;
  EXPECT_EQ(FetchAndWait(call).m_call_result.m_outcome,
            GetParam().m_accepted_outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BrokenOffResponse,
    ::testing::Values(
        TruncationCase{"Http10WithoutLength", "HTTP/1.0 200 OK\r\n\r\npart",
                       ConnectionAction::kClose, HttpCallOutcome::kComplete},
        TruncationCase{"Http10WithoutLengthReset",
                       "HTTP/1.0 200 OK\r\n\r\npart", ConnectionAction::kReset},
        TruncationCase{"Http10WholeLength",
                       "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                       ConnectionAction::kClose, HttpCallOutcome::kComplete,
                       HttpCallOutcome::kComplete},
        TruncationCase{"Http10LengthNotReached",
                       "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\npart"},
        TruncationCase{"Http10LengthNotReachedReset",
                       "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\npart",
                       ConnectionAction::kReset},
        TruncationCase{"Http10KeepAliveLengthNotReached",
                       "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
                       "Content-Length: 9\r\n\r\npart"},
        // HTTP/1.0 has no chunks, so it is not known where the body ends.
        TruncationCase{"Http10ChunkedWithoutLastChunk",
                       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\npart\r\n"},
        TruncationCase{"Http10ChunkedInsideChunk",
                       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "9\r\npart"},
        TruncationCase{"CloseLengthNotReached",
                       "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                       "Content-Length: 9\r\n\r\npart"},
        TruncationCase{"CloseLengthNotReachedReset",
                       "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                       "Content-Length: 9\r\n\r\npart",
                       ConnectionAction::kReset},
        TruncationCase{"CloseWithoutLengthReset",
                       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
                       ConnectionAction::kReset},
        TruncationCase{"CloseChunkedWithoutLastChunk",
                       "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
        TruncationCase{"LastChunkWithoutEnd",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\npart\r\n0\r\n"},
        // Only the name "chunked" gives the body an end.
        TruncationCase{"UnknownCodingThatEndsLikeChunked",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n"
                       "4\r\npart"},
        TruncationCase{"UnknownCodingBeforeChunked",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: unknown, "
                       "chunked\r\n\r\n4\r\npart\r\n"},
        TruncationCase{"ChunkedInTwoFields",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       "Transfer-Encoding: identity\r\n\r\n4\r\npart\r\n"},
        TruncationCase{"LengthAndChunked",
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n4\r\npa"}),
    NameOf);

/// A process that ends while a long upload is being written closes its
/// connection normally if it has read all bytes that had arrived, otherwise
/// with a reset. The end of the connection is not the end of the response then.
struct UploadCase {
  const char* m_name;
  const char* m_bytes;
  ConnectionAction m_action;
  Duration m_delay{};
};

class ResponseDuringUpload : public HttpClientTruncation,
                             public ::testing::WithParamInterface<UploadCase> {
};

TEST_P(ResponseDuringUpload, IsNotCompleteWhenTheConnectionEnds) {
  m_server.ReplyBeforeBody();
  m_reply = {GetParam().m_bytes, GetParam().m_action, GetParam().m_delay};
  // The shorter upload is in the system's buffers when the response arrives.
  for (const std::size_t size : {kLongUpload, kBufferedUpload}) {
    HttpCall call;
    call.m_body = std::make_shared<const std::string>(size, 'x');
    call.m_accept_close_delimited = true;
    const HttpResponse response = FetchAndWait(call);
    EXPECT_EQ(response.m_call_result.m_outcome, HttpCallOutcome::kBroken)
        << size << " " << response.m_call_result.m_detail;
  }
}

constexpr const char* kNoLength = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr const char* kNoLengthHttp10 = "HTTP/1.0 200 OK\r\n\r\npart";
constexpr const char* kCloseNoLength =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart";

INSTANTIATE_TEST_SUITE_P(
    Table,
    ResponseDuringUpload,
    ::testing::Values(
        UploadCase{"Reset", kNoLength, ConnectionAction::kReset},
        UploadCase{"ResetSoon", kNoLength, ConnectionAction::kReset,
                   milliseconds(2)},
        UploadCase{"ResetLater", kNoLength, ConnectionAction::kReset,
                   milliseconds(60)},
        UploadCase{"ResetHttp10", kNoLengthHttp10, ConnectionAction::kReset,
                   milliseconds(20)},
        UploadCase{"ResetClose", kCloseNoLength, ConnectionAction::kReset,
                   milliseconds(20)},
        UploadCase{"Closed", kNoLength, ConnectionAction::kClose},
        UploadCase{"ClosedLater", kNoLength, ConnectionAction::kClose,
                   milliseconds(60)},
        UploadCase{"EndOfOutput", kNoLength, ConnectionAction::kEndOutput},
        UploadCase{"EndOfOutputLater", kNoLength, ConnectionAction::kEndOutput,
                   milliseconds(60)},
        UploadCase{"EndOfOutputHttp10", kNoLengthHttp10,
                   ConnectionAction::kEndOutput},
        UploadCase{"EndOfOutputClose", kCloseNoLength,
                   ConnectionAction::kEndOutput},
        UploadCase{"ClosedShort",
                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                   ConnectionAction::kClose}),
    [](const auto& info) { return info.param.m_name; });

/// The check of the upload must not reject responses of servers that have read
/// all of it.
TEST_F(HttpClientTruncation, AResponseAfterTheWholeUploadIsComplete) {
  for (const char* bytes : {kNoLength, kNoLengthHttp10}) {
    for (const Duration delay : {Duration(0), Duration(milliseconds(20))}) {
      m_reply = {bytes, ConnectionAction::kClose, delay};
      HttpCall call;
      call.m_body =
          std::make_shared<const std::string>(4 * kBufferedUpload, 'x');
      call.m_accept_close_delimited = true;
      const HttpResponse response = FetchAndWait(call);
      EXPECT_EQ(response.m_call_result.m_outcome, HttpCallOutcome::kComplete)
          << response.m_call_result.m_detail;
      EXPECT_EQ(response.m_body, "part");
    }
  }
}

struct LateResetCase {
  const char* m_name;
  std::size_t m_body;  ///< Bytes of the request, which the server leaves.
  Duration m_delay;    ///< From the end of the output to the reset.
};

class ResetAfterEndOfOutput
    : public HttpClientTruncation,
      public ::testing::WithParamInterface<LateResetCase> {
 protected:
  HttpCall Call() const {
    HttpCall call;
    call.m_body = std::make_shared<const std::string>(GetParam().m_body, 'x');
    call.m_accept_close_delimited = true;
    return call;
  }
  static constexpr int kTries = 5;
};

// Guards against a part of a response that counts as complete because the
// system of a server that breaks off has sent an end before the reset.
TEST_P(ResetAfterEndOfOutput, IsNotComplete) {
  m_server.ReplyBeforeBody(0);
  m_reply = {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
             ConnectionAction::kEndOutputAndClose, GetParam().m_delay};
  for (int count = 0; count < kTries; ++count) {
    const HttpResponse response = FetchAndWait(Call());
    EXPECT_EQ(response.m_call_result.m_outcome, HttpCallOutcome::kBroken);
  }
}

TEST_P(ResetAfterEndOfOutput, IsNotExpectedOfAServerThatHasReadTheRequest) {
  m_reply = {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole",
             ConnectionAction::kEndOutputAndClose, GetParam().m_delay};
  for (int count = 0; count < kTries; ++count) {
    const HttpResponse response = FetchAndWait(Call());
    EXPECT_EQ(response.m_call_result.m_outcome, HttpCallOutcome::kComplete)
        << response.m_call_result.m_detail;
    EXPECT_EQ(response.m_body, "whole");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ResetAfterEndOfOutput,
    ::testing::Values(LateResetCase{"SmallAtOnce", 600, Duration(0)},
                      LateResetCase{"SmallSoon", 600, milliseconds(10)},
                      LateResetCase{"SmallLater", 600, milliseconds(100)},
                      LateResetCase{"MediumAtOnce", 12'000, Duration(0)},
                      LateResetCase{"MediumSoon", 12'000, milliseconds(10)},
                      LateResetCase{"MediumLater", 12'000, milliseconds(100)},
                      LateResetCase{"LargeAtOnce", 60'000, Duration(0)},
                      LateResetCase{"LargeSoon", 60'000, milliseconds(10)},
                      LateResetCase{"LargeLater", 60'000, milliseconds(100)}),
    [](const auto& info) { return info.param.m_name; });

struct StatusCase {
  const char* m_name;
  const char* m_status;
  std::optional<int> m_read;  ///< Unset when the response is invalid.
};

class StatusLine : public HttpClientTruncation,
                   public ::testing::WithParamInterface<StatusCase> {};

/// A caller must not get a number that is no status, and no number may be taken
/// for the status that its first digits are.
TEST_P(StatusLine, IsReadOnlyIfItsStatusIsValid) {
  for (const char* version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
    m_reply = {std::string(version) + GetParam().m_status +
                   "\r\nContent-Length: 2\r\n\r\nok",
               ConnectionAction::kClose};
    HttpCall call;
    call.m_accept_close_delimited = true;
    const HttpResponse response = FetchAndWait(call);
    const bool complete =
        response.m_call_result.m_outcome == HttpCallOutcome::kComplete;
    EXPECT_EQ(complete, GetParam().m_read.has_value())
        << version << response.m_status;
    EXPECT_EQ(response.m_status, GetParam().m_read.value_or(0)) << version;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StatusLine,
    ::testing::Values(StatusCase{"Zero", "000 X", {}},
                      StatusCase{"BelowInterim", "099 X", {}},
                      StatusCase{"TwoZeros", "00 X", {}},
                      StatusCase{"TwoDigits", "20 X", {}},
                      StatusCase{"Negative", "-20 X", {}},
                      StatusCase{"FourDigits", "1000 X", {}},
                      StatusCase{"FourDigitsLikeOk", "2000 X", {}},
                      StatusCase{"FourDigitsWithoutReason", "2000", {}},
                      StatusCase{"LetterAfterDigits", "200OK", {}},
                      StatusCase{"Fraction", "200.5 X", {}},
                      StatusCase{"AboveServerErrors", "600 X", {}},
                      StatusCase{"LargestOfThreeDigits", "999 X", {}},
                      StatusCase{"OnlySwitchedProtocol", "101 X", {}},
                      StatusCase{"WithoutStatus", "", {}},
                      StatusCase{"Ok", "200 OK", 200},
                      StatusCase{"OkWithoutReason", "200", 200},
                      StatusCase{"OkWithEmptyReason", "200 ", 200},
                      StatusCase{"LargestServerError", "599 X", 599}),
    [](const auto& info) { return info.param.m_name; });

/// An invalid status after an interim response must not be hidden by it.
TEST_F(HttpClientTruncation, AStatusAfterAnInterimResponseIsChecked) {
  for (const char* status : {"000", "00", "2000", "600"}) {
    m_reply = {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + std::string(status) +
                   " X\r\nContent-Length: 2\r\n\r\nok",
               ConnectionAction::kClose};
    const HttpResponse response = FetchAndWait({});
    EXPECT_EQ(response.m_call_result.m_outcome, HttpCallOutcome::kBroken)
        << status;
    EXPECT_EQ(response.m_status, 0) << status;
  }
}

}  // namespace
}  // namespace nutmeghollow::net
