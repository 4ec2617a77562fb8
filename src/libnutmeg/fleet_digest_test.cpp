#include "nutmeghollow/fleet_digest.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

TEST(FleetDigest, SurvivesTheTrip) {
  FleetDigest digest;
  digest.m_ready = true;
  digest.m_revision = Revision(17);
  digest.m_active = {{UpstreamHash(1), 3}, {UpstreamHash(2), 70000}};
  digest.m_placements = {{PartId(99), UpstreamHash(2)}};
  const auto read = DecodeDigest(EncodeDigest(digest));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->m_ready);
  EXPECT_EQ(read->m_revision, Revision(17));
  ASSERT_EQ(read->m_active.size(), 2U);
  EXPECT_EQ(read->m_active[0].m_count, 3);
  EXPECT_EQ(read->m_active[1].m_count, 65535);
  ASSERT_EQ(read->m_placements.size(), 1U);
  EXPECT_EQ(read->m_placements[0].m_part, PartId(99));
}

TEST(FleetDigest, FitsIntoADatagramWhenFull) {
  FleetDigest digest;
  for (std::uint32_t index = 0; index < 200; ++index) {
    digest.m_active.push_back({UpstreamHash(0x80000001U + index * 7919), 40});
    digest.m_placements.push_back({PartId(0x9000000000000001U + index * 104729),
                                   UpstreamHash(0x80000001U + index * 7919)});
  }
  EXPECT_LE(EncodeDigest(digest).size(), 1100U);
}

class BadDigest : public testing::TestWithParam<std::string> {};

TEST_P(BadDigest, IsNotRead) {
  EXPECT_FALSE(DecodeDigest(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadDigest,
                         testing::Values(std::string(),
                                         std::string("\xff\xff\xff\xff"),
                                         std::string(40, '\x7f')));

}  // namespace
}  // namespace nutmeghollow
