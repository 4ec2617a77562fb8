// Tests for the parts of the stand-ins that the end-to-end tests depend on.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <vector>

#include "standins/answer.h"
#include "standins/ledger.h"
#include "standins/platform.h"
#include "standins/prefix_cache.h"

namespace nutmeghollow::standins {
namespace {

using nlohmann::json;

TEST(AnswerTest, DependsOnlyOnModelAndMessages) {
  const std::vector<ChatMessage> one{{"user", "a question"}};
  const std::vector<ChatMessage> other{{"user", "another question"}};
  EXPECT_EQ(AnswerText("m", one, 8), AnswerText("m", one, 8));
  EXPECT_NE(AnswerText("m", one, 8), AnswerText("m", other, 8));
  EXPECT_NE(AnswerText("m", one, 8), AnswerText("n", one, 8));
  EXPECT_EQ(CountTokens(AnswerText("m", one, 8)), 8);
}

TEST(AnswerTest, ReadsTextAndPartsAlike) {
  const auto text =
      json::parse(R"({"messages":[{"role":"user","content":"ab"}]})");
  const auto parts = json::parse(
      R"({"messages":[{"role":"user","content":[{"type":"text","text":"ab"}]}]})");
  EXPECT_EQ(ParseMessages(text)[0].m_content, "ab");
  EXPECT_EQ(ParseMessages(parts)[0].m_content, "ab");
}

/// Prefixes stored in order, then a lookup and its number of matches.
struct CacheCase {
  const char* m_name;
  std::vector<std::vector<std::uint64_t>> m_stored;
  std::vector<std::uint64_t> m_lookup;
  std::size_t m_matches;
};

class PrefixCacheTest : public testing::TestWithParam<CacheCase> {};

TEST_P(PrefixCacheTest, KeepsRecentPrefixes) {
  constexpr std::int64_t kTokensEach = 10;
  PrefixCache cache(3 * kTokensEach);
  for (const auto& hashes : GetParam().m_stored) {
    cache.Store(hashes, std::vector<std::int64_t>(hashes.size(), kTokensEach));
  }
  EXPECT_EQ(cache.Match(GetParam().m_lookup), GetParam().m_matches);
  EXPECT_LE(cache.UsedTokens(), 3 * kTokensEach);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    PrefixCacheTest,
    testing::Values(
        CacheCase{"whole", {{1, 2, 3}}, {1, 2, 3}, 3},
        CacheCase{"longer", {{1, 2}}, {1, 2, 3}, 2},
        CacheCase{"other", {{1, 2}}, {4, 2}, 0},
        CacheCase{"longest_leaves_first", {{1, 2, 3}, {7}}, {1, 2, 3}, 2},
        CacheCase{"oldest_leaves", {{1}, {2}, {3}, {1}, {4}}, {2}, 0},
        CacheCase{"used_stays", {{1}, {2}, {3}, {1}, {4}}, {1}, 1}),
    [](const auto& info) { return std::string(info.param.m_name); });

TEST(TableTest, CommitsAllOrNothing) {
  Table table;
  const auto absent = json::parse(R"([{"key":"a","version":0}])");
  const auto writes =
      json::parse(R"([{"key":"a","value":"1"},{"key":"b","value":"2"}])");
  EXPECT_TRUE(table.Commit(absent, writes).empty());
  const auto conflicting_rows =
      table.Commit(absent, json::parse(R"([{"key":"b","value":null}])"));
  ASSERT_EQ(conflicting_rows.size(), 1u);
  EXPECT_EQ(conflicting_rows[0]["value"], "1");
  EXPECT_EQ(table.Scan("", "", 10).size(), 2u);
  EXPECT_EQ(table.Scan("", "a", 10).size(), 1u);
  EXPECT_EQ(table.Read(json::parse(R"(["b","c"])")).size(), 1u);
}

TEST(LedgerTest, ReportsWhichKeysRan) {
  const std::string path = testing::TempDir() + "ledger_test.ledger";
  std::remove(path.c_str());
  Ledger ledger(path, "s1");
  ledger.Begin("done", "r1");
  ledger.Run("done", "r1", 200, "body");
  ledger.Begin("open", "r2");
  EXPECT_EQ(ledger.Find("never").m_state, KeyState::kNotRun);
  EXPECT_EQ(ledger.Find("open").m_state, KeyState::kRunning);
  EXPECT_EQ(ledger.Find("done").m_state, KeyState::kDone);
  EXPECT_EQ(ledger.Find("done").m_body, "body");
  const Ledger other(path, "s2");
  EXPECT_EQ(other.Find("open").m_state, KeyState::kRunning);
  const Ledger restarted(path, "s1");
  EXPECT_EQ(restarted.Find("open").m_state, KeyState::kNotRun);
}

}  // namespace
}  // namespace nutmeghollow::standins
