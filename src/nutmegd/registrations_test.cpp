#include "nutmegd/registrations.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

boost::leaf::result<RegisteredUpstream> ParseRow(const std::string& key,
                                                 const std::string& /*value*/) {
  RegisteredUpstream upstream;
  upstream.m_id = UpstreamId(key);
  return upstream;
}

struct OutageCase {
  const char* m_name;
  Duration m_outage;
  /// Whether the upstream of a row that is removed after the outage stays in
  /// the pool for a while.
  bool m_retained;
};

class AfterAnOutage : public testing::TestWithParam<OutageCase> {};

TEST_P(AfterAnOutage, RetainsOnlyUpstreamsThatMayHaveExpiredInIt) {
  struct ev_loop* loop = ev_loop_new(0);
  UpstreamPool pool;
  const UpstreamId id("u");
  {
    Registrations registrations(loop, &pool, ParseRow);
    registrations.HandleRow({id.str(), "", net::FeedVersion(1), false});
    ASSERT_NE(pool.Find(id), nullptr);
    registrations.HandleRegained(GetParam().m_outage);
    // Other instances are not given such removals meanwhile.
    EXPECT_EQ(registrations.AwaitsRegistrations(net::BootTime()),
              GetParam().m_retained);
    registrations.HandleRow({id.str(), "", net::FeedVersion(2), true});
    EXPECT_EQ(pool.Find(id) != nullptr, GetParam().m_retained);
  }
  ev_loop_destroy(loop);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    AfterAnOutage,
    testing::Values(OutageCase{"OneQuestionLost", milliseconds(400), false},
                    OutageCase{"AReaderAndAQuestionLost", milliseconds(1030),
                               false},
                    OutageCase{"TooShortToExpire", milliseconds(1900), false},
                    OutageCase{"LongEnough", milliseconds(2500), true},
                    OutageCase{"Long", milliseconds(10000), true}),
    [](const auto& info) { return info.param.m_name; });

class LaterEra : public testing::Test {
 protected:
  LaterEra()
      : m_registrations(
            m_loop.get(),
            &m_pool,
            [](const std::string& key, const std::string& value) {
              RegisteredUpstream upstream;
              upstream.m_id = UpstreamId(key);
              upstream.m_start_time_ms = std::stoll(value);
              return boost::leaf::result<RegisteredUpstream>(upstream);
            }) {}

  static net::FeedVersion Version(std::uint16_t era, std::uint64_t version) {
    return net::MakeFeedVersion(net::FeedEra(era), version);
  }
  bool IsUsed() { return m_pool.Find(UpstreamId("u")) != nullptr; }

  std::unique_ptr<struct ev_loop, void (*)(struct ev_loop*)> m_loop{
      ev_loop_new(0), [](struct ev_loop* loop) { ev_loop_destroy(loop); }};
  UpstreamPool m_pool;
  Registrations m_registrations;
};

// Failure: a store that came back from an older copy brought removed upstreams
// back.
TEST_F(LaterEra, DoesNotUseARemovedRegistrationThatIsRestored) {
  m_registrations.HandleRow({"u", "1", Version(0, 10), false});
  m_registrations.HandleRow({"u", "", Version(0, 20), true});
  m_registrations.HandleRow({"u", "1", Version(1, 10), false});
  EXPECT_FALSE(IsUsed());
  m_registrations.HandleRow({"u", "1", Version(1, 10), false});
  EXPECT_FALSE(IsUsed()) << "the same row again";
  m_registrations.HandleRow({"u", "1", Version(1, 15), false});
  EXPECT_TRUE(IsUsed()) << "written again";
}

TEST_F(LaterEra, UsesANewProcessAndARegistrationThatIsWrittenLater) {
  for (const net::FeedRow& row :
       {net::FeedRow{"u", "2", Version(1, 10), false},
        net::FeedRow{"u", "1", Version(1, 21), false},
        net::FeedRow{"u", "1", Version(0, 21), false}}) {
    m_registrations.HandleRow({"u", "1", Version(0, 10), false});
    m_registrations.HandleRow({"u", "", Version(0, 20), true});
    m_registrations.HandleRow(row);
    EXPECT_TRUE(IsUsed()) << row.m_version.value();
    m_registrations.HandleRow({"u", "", Version(1, 30), true});
  }
}

// Failure: a store that came back from an older copy took upstreams away that
// were about to register again.
TEST_F(LaterEra, KeepsAnUpstreamWhoseRegistrationWasLost) {
  m_registrations.HandleRow({"u", "1", Version(0, 10), false});
  m_registrations.HandleRow({"u", "", Version(1, 5), true, true});
  EXPECT_TRUE(IsUsed());
  m_registrations.HandleRow({"u", "", Version(1, 6), true});
  EXPECT_FALSE(IsUsed()) << "removed in the later era";
}

}  // namespace
}  // namespace nutmeghollow
