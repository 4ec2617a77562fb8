#include "libnet/log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace nutmeghollow::net {
namespace {

TEST(Log, WritesOneJsonObjectALine) {
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

}  // namespace
}  // namespace nutmeghollow::net
