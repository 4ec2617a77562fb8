#include "nutmegd/peer_feed_format.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

constexpr Bytes kLimit{1 << 20};

net::FeedResult Rows(const std::string& value) {
  return {net::FeedStatus::kDone,
          {{"key", value, net::FeedVersion(7), false},
           {"gone", "", net::FeedVersion(8), true}},
          net::FeedVersion(9),
          "",
          {}};
}

class PackedRows : public testing::TestWithParam<std::string> {};

TEST_P(PackedRows, AreKeptInARoundTrip) {
  const auto text = Decompress(
      Compress(SerializeRows(Rows(GetParam()), Duration(-5))), kLimit);
  ASSERT_TRUE(text);
  const TimePoint requested_at{Duration(100)};
  const net::FeedResult read = DeserializeRows(*text, requested_at);
  ASSERT_EQ(read.m_status, net::FeedStatus::kDone);
  EXPECT_EQ(read.m_version, net::FeedVersion(9));
  EXPECT_EQ(read.m_confirmed_at, TimePoint{Duration(95)});
  ASSERT_EQ(read.m_rows.size(), 2U);
  EXPECT_EQ(read.m_rows[0].m_value, GetParam());
  EXPECT_EQ(read.m_rows[0].m_version, net::FeedVersion(7));
  EXPECT_TRUE(read.m_rows[1].m_removed);
}

INSTANTIATE_TEST_SUITE_P(Values,
                         PackedRows,
                         testing::Values(std::string(),
                                         std::string(1, '\0'),
                                         std::string("{}"),
                                         std::string(100'000, 'x')));

struct MalformedCase {
  const char* m_name;
  std::string m_body;
};

class MalformedBody : public testing::TestWithParam<MalformedCase> {};

// Failure: a damaged response, or a small one that unpacks to more than the
// memory of the instance, must not be used nor end the process.
TEST_P(MalformedBody, IsNotDecompressed) {
  EXPECT_FALSE(Decompress(GetParam().m_body, kLimit));
}

std::string Truncated(std::string body) {
  body.resize(body.size() / 2);
  return body;
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    MalformedBody,
    testing::Values(
        MalformedCase{"Empty", ""},
        MalformedCase{"OtherFormat", "{\"rows\":[]}"},
        MalformedCase{"Truncated", Truncated(Compress(std::string(500, 'x')))},
        MalformedCase{"OverTheLimit", Compress(std::string(8 << 20, 'x'))}),
    [](const auto& info) { return std::string(info.param.m_name); });

}  // namespace
}  // namespace nutmeghollow
