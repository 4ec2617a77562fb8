#include "nutmeghollow/configuration_freshness.h"

#include <gtest/gtest.h>

#include <string>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;

struct LimitCase {
  const char* m_name;
  Duration m_revocation_limit;
  bool m_store_fails;
  Duration m_limit;
};

class KeyedRequests : public testing::TestWithParam<LimitCase> {};

// Failure: a removed key was accepted for 3.04 and 3.11 s by instances that had
// a path to the store, since requests were sent by proofs of up to 4.8 s; 3 s
// are allowed there.
TEST_P(KeyedRequests, AreSentByAProofWithinTheLimit) {
  EXPECT_EQ(KeyedRequestLimit(GetParam().m_revocation_limit,
                              GetParam().m_store_fails),
            GetParam().m_limit);
}

INSTANTIATE_TEST_SUITE_P(
    Limits,
    KeyedRequests,
    testing::Values(
        LimitCase{"InTouch", milliseconds(5000), false, milliseconds(2800)},
        LimitCase{"StoreFails", milliseconds(5000), true, milliseconds(4800)},
        LimitCase{"LowLimit", milliseconds(2000), false, milliseconds(1800)},
        LimitCase{"LowLimitStoreFails", milliseconds(2000), true,
                  milliseconds(1800)}),
    [](const auto& info) { return std::string(info.param.m_name); });

struct RevisionCase {
  const char* m_name;
  std::uint64_t m_in_force;
  std::uint64_t m_newest;  ///< Of other instances; 0 when none is known.
  bool m_may_deny;
};

class Denials : public testing::TestWithParam<RevisionCase> {};

// Failure: an instance denied routes and keys that another instance had in
// force, since responses without the change renewed its proof.
TEST_P(Denials, DependOnTheRevisionsOfOtherInstances) {
  const TimePoint start(std::chrono::hours(1));
  ConfigurationFreshness freshness;
  freshness.Confirm(start);
  freshness.NoteInForce(Revision(GetParam().m_in_force));
  freshness.NoteElsewhere(Revision(GetParam().m_newest), {}, start);
  // An instance that restarts states no revision.
  freshness.NoteElsewhere(Revision(), {}, start);
  freshness.Confirm(start + milliseconds(1500));
  const TimePoint now = start + milliseconds(1600);
  EXPECT_EQ(freshness.IsOutdated(), !GetParam().m_may_deny);
  EXPECT_EQ(freshness.MayDeny(milliseconds(2000), now), GetParam().m_may_deny);
  EXPECT_TRUE(freshness.Within(milliseconds(1000), now));
  const auto missing = freshness.OldestMissing(now);
  EXPECT_EQ(missing.has_value(), !GetParam().m_may_deny)
      << "a confirmation does not end it";
  EXPECT_EQ(missing.value_or(MissingChange{now - start}).m_known_for,
            now - start);
  freshness.NoteInForce(Revision(6));
  EXPECT_TRUE(freshness.MayDeny(milliseconds(2000), now));
}

INSTANTIATE_TEST_SUITE_P(
    Revisions,
    Denials,
    testing::Values(RevisionCase{"NoOthers", 5, 0, true},
                    RevisionCase{"OthersHaveAnOlderOne", 5, 4, true},
                    RevisionCase{"OthersHaveTheSame", 5, 5, true},
                    RevisionCase{"OthersHaveANewerOne", 5, 6, false}),
    [](const auto& info) { return std::string(info.param.m_name); });

// Failure: routes and keys of a row that could not be read were denied.
TEST(ConfigurationFreshnessTest, AnUnreadableRowAllowsNoDenial) {
  const TimePoint start(std::chrono::hours(1));
  ConfigurationFreshness freshness;
  freshness.Confirm(start);
  freshness.NoteRow(false);
  EXPECT_FALSE(freshness.MayDeny(milliseconds(2000), start));
  EXPECT_TRUE(freshness.Within(milliseconds(2000), start));
  freshness.NoteElsewhere(Revision(7), {}, start);
  EXPECT_FALSE(freshness.OldestMissing(start)) << "requests are served";
  freshness.NoteInForce(Revision(7));
  freshness.NoteRow(true);
  EXPECT_TRUE(freshness.MayDeny(milliseconds(2000), start));
}

}  // namespace
}  // namespace nutmeghollow
