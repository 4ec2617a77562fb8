#include "libnet/log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace nutmeghollow::net {
namespace {

TEST(Log, WritesOneJsonObjectPerLine) {
  const std::string line =
      FormatLogLine(1500, LogLevel::kWarning, "peer_rejected",
                    {{"from", std::string("a\"b\n\xff")},
                     {"count", std::int64_t{3}},
                     {"share", 0.5},
                     {"signed", false}});
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const nlohmann::json object = nlohmann::json::parse(line);
  EXPECT_EQ(object["time"], "1970-01-01T00:00:01.500Z");
  EXPECT_EQ(object["level"], "warning");
  EXPECT_EQ(object["event"], "peer_rejected");
  EXPECT_EQ(object["from"], "a\"b\n\uFFFD");
  EXPECT_EQ(object["count"], 3);
  EXPECT_EQ(object["share"], 0.5);
  EXPECT_EQ(object["signed"], false);
}

TEST(LogLimiter, DropsAndCountsLinesAboveTheRateOfTheirEvent) {
  detail::LogLimiter limiter({.m_per_second = 10, .m_burst = 3});
  const TimePoint start(std::chrono::seconds(100));
  int admitted = 0;
  for (int line = 0; line < 8; ++line) {
    admitted += limiter.Admit("busy", start) ? 1 : 0;
  }
  EXPECT_EQ(admitted, 3);
  EXPECT_TRUE(limiter.Admit("calm", start));
  EXPECT_EQ(limiter.TakeDropped("busy"), 5);
  EXPECT_EQ(limiter.TakeDropped("busy"), 0);
  EXPECT_TRUE(limiter.Admit("busy", start + std::chrono::milliseconds(100)));
  EXPECT_FALSE(limiter.Admit("busy", start + std::chrono::milliseconds(100)));
  limiter.RecordDropped("busy");
  EXPECT_EQ(limiter.TakeDropped("busy"), 2);
}

}  // namespace
}  // namespace nutmeghollow::net
