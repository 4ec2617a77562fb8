#include "libnet/forwarded_request.h"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <functional>
#include <string>

namespace nutmeghollow::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(5)};
/// The sender's clock is behind the receiver's.
constexpr Duration kOffset = std::chrono::hours(2);

const FleetKeys kKeys{{std::string(32, 'k')}};

ForwardedRequest MakeForwarded() {
  ForwardedRequest forwarded;
  forwarded.m_sender = InstanceId("sender");
  forwarded.m_receiver = InstanceId("receiver");
  forwarded.m_attempts = 1;
  forwarded.m_time_left = milliseconds(1234);
  forwarded.m_may_have_run = true;
  forwarded.m_resume_after = "7\xff";
  forwarded.m_origin = OriginHash(0xFEDCBA9876543210U);
  forwarded.m_sent_at = kNow - kOffset;
  forwarded.m_nonce = "nonce";
  return forwarded;
}

HttpRequest MakeRequest(const ForwardedRequest& forwarded,
                        const FleetKeys& keys = kKeys) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/path?a=b";
  request.m_body = "body";
  request.m_headers.emplace(kForwardedField,
                            EncodeForwarded(keys, forwarded, request.m_method,
                                            request.m_target, request.m_body));
  return request;
}

/// @return the name of the reason for a rejection; empty if accepted.
std::string Reject(ForwardedRequestReader* reader,
                   const HttpRequest& request,
                   TimePoint now = kNow) {
  const auto offsets = [](const InstanceId& id) {
    return id == InstanceId("sender") ? std::optional<Duration>(kOffset)
                                      : std::nullopt;
  };
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(reader->Read(kKeys, request, offsets, now));
        return std::string();
      },
      [](ForwardedRejection reason) {
        return std::string(ForwardedRejectionName(reason));
      },
      [] { return std::string("unexpected"); });
}

TEST(ForwardedRequest, KeepsFieldsInARoundTrip) {
  ForwardedRequestReader reader(InstanceId("receiver"));
  const ForwardedRequest sent = MakeForwarded();
  const auto read = reader.Read(
      kKeys, MakeRequest(sent), [](const InstanceId&) { return kOffset; },
      kNow);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_sender, sent.m_sender);
  EXPECT_EQ(read->m_attempts, 1);
  EXPECT_EQ(read->m_time_left, milliseconds(1234));
  EXPECT_TRUE(read->m_may_have_run);
  EXPECT_EQ(read->m_resume_after, "7\xff");
  EXPECT_EQ(read->m_origin, sent.m_origin);
}

struct Case {
  std::string m_name;
  std::function<void(ForwardedRequest*)> m_change_sent;
  std::function<void(HttpRequest*)> m_change_received;
  std::string m_reason;
};

class ForwardedRequestTable : public ::testing::TestWithParam<Case> {};

TEST_P(ForwardedRequestTable, IsRejected) {
  ForwardedRequest forwarded = MakeForwarded();
  if (GetParam().m_change_sent) {
    GetParam().m_change_sent(&forwarded);
  }
  HttpRequest request = MakeRequest(forwarded);
  if (GetParam().m_change_received) {
    GetParam().m_change_received(&request);
  }
  ForwardedRequestReader reader(InstanceId("receiver"));
  EXPECT_EQ(Reject(&reader, request), GetParam().m_reason);
}

void SetField(HttpRequest* request, const std::string& value) {
  request->m_headers.erase(kForwardedField);
  request->m_headers.emplace(kForwardedField, value);
}

INSTANTIATE_TEST_SUITE_P(
    ForwardedRequest,
    ForwardedRequestTable,
    ::testing::Values(
        Case{"Unchanged", nullptr, nullptr, ""},
        Case{"OtherMethod", nullptr,
             [](HttpRequest* request) { request->m_method = "PUT"; },
             "bad_mac"},
        Case{"OtherTarget", nullptr,
             [](HttpRequest* request) { request->m_target += "c"; }, "bad_mac"},
        Case{"OtherBody", nullptr,
             [](HttpRequest* request) { request->m_body = "Body"; }, "bad_mac"},
        Case{"OtherAttempts", nullptr,
             [](HttpRequest* request) {
               std::string value =
                   HeaderValue(request->m_headers, kForwardedField);
               value.replace(value.find("\"attempts\":1"), 12,
                             "\"attempts\":0");
               SetField(request, value);
             },
             "bad_mac"},
        Case{"OtherKey", nullptr,
             [](HttpRequest* request) {
               *request =
                   MakeRequest(MakeForwarded(), {{std::string(32, 'o')}});
             },
             "bad_mac"},
        Case{"NoMac", nullptr,
             [](HttpRequest* request) { SetField(request, "x"); }, "malformed"},
        Case{"EmptyMac", nullptr,
             [](HttpRequest* request) { SetField(request, " {}"); }, "bad_mac"},
        Case{"ForAnotherInstance",
             [](ForwardedRequest* sent) {
               sent->m_receiver = InstanceId("other");
             },
             nullptr, "other_receiver"},
        Case{"FromAnUnknownInstance",
             [](ForwardedRequest* sent) {
               sent->m_sender = InstanceId("unknown");
             },
             nullptr, "unknown_sender"},
        Case{"JustRecentEnough",
             [](ForwardedRequest* sent) { sent->m_sent_at -= seconds(3); },
             nullptr, ""},
        Case{"TooOld",
             [](ForwardedRequest* sent) {
               sent->m_sent_at -= milliseconds(3001);
             },
             nullptr, "outdated"}),
    [](const auto& info) { return info.param.m_name; });

TEST(ForwardedRequest, IsAcceptedOnce) {
  ForwardedRequestReader reader(InstanceId("receiver"));
  const HttpRequest request = MakeRequest(MakeForwarded());
  EXPECT_EQ(Reject(&reader, request), "");
  EXPECT_EQ(Reject(&reader, request), "replayed");
  EXPECT_EQ(Reject(&reader, request, kNow + seconds(2)), "replayed");
  EXPECT_EQ(Reject(&reader, request, kNow + seconds(60)), "outdated");
}

TEST(ForwardedRequest, ResponseProvesThatTheReceiverHasTheKey) {
  const std::string mac = ForwardedResponseMac(kKeys, "nonce");
  EXPECT_TRUE(IsForwardedResponse(kKeys, "nonce", mac));
  EXPECT_FALSE(IsForwardedResponse(kKeys, "other", mac));
  EXPECT_FALSE(IsForwardedResponse(kKeys, "nonce", ""));
  EXPECT_FALSE(IsForwardedResponse({{std::string(32, 'o')}}, "nonce", mac));
}

}  // namespace
}  // namespace nutmeghollow::net
