#include "nutmeghollow/copy_use.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace nutmeghollow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Another instance.
struct Other {
  bool m_alive;
  std::optional<Duration> m_proof_age;
  bool m_store_fails = false;
  std::optional<Duration> m_registrations_age = m_proof_age;
};

struct Case {
  std::string m_name;
  CopyTimes m_ages;
  std::vector<Other> m_others;
  CopyUse m_use;
};

constexpr milliseconds kFresh{500};
constexpr milliseconds kOld{2001};
const Other kProven{true, kFresh};
const Other kUnproven{true, kOld};
const Other kStatesNoProof{true, std::nullopt};
const Other kSilent{false, kFresh};
const Other kReadsFail{true, kFresh, true};
const Other kProvenConfiguration{true, kFresh, false, kOld};
const Other kProvenRegistrations{true, kOld, false, kFresh};
const Other kStatesNoRegistrations{true, kFresh, false, std::nullopt};

class UseOfCopiesTable : public testing::TestWithParam<Case> {};

TEST_P(UseOfCopiesTable, DependsOnWhatOthersCanProve) {
  EntryDirectory directory;
  EntryInstance self;
  self.m_id = InstanceId("self");
  self.m_proof_age = kFresh;
  self.m_registrations_age = kFresh;
  directory.Put(self);
  for (const Other& other : GetParam().m_others) {
    EntryInstance instance;
    instance.m_id = InstanceId("other" + std::to_string(directory.size()));
    instance.m_alive = other.m_alive;
    instance.m_proof_age = other.m_proof_age;
    instance.m_store_fails = other.m_store_fails;
    instance.m_registrations_age = other.m_registrations_age;
    directory.Put(instance);
  }
  EXPECT_EQ(UseOfCopies(directory, InstanceId("self"), GetParam().m_ages,
                        {milliseconds(2000), milliseconds(2000)}),
            GetParam().m_use);
}

INSTANTIATE_TEST_SUITE_P(
    Copies,
    UseOfCopiesTable,
    testing::Values(
        Case{"Confirmed", {kFresh, kFresh}, {kProven}, CopyUse::kAll},
        Case{"ConfirmedAtTheLimit",
             {milliseconds(2000), milliseconds(2000)},
             {kProven},
             CopyUse::kAll},
        Case{"OldConfiguration", {kOld, kFresh}, {kProven}, CopyUse::kNone},
        Case{"OldRegistrations", {kFresh, kOld}, {kProven}, CopyUse::kNone},
        Case{"RegistrationsAreConfirmedToNobody",
             {kFresh, kOld},
             {kProvenConfiguration, kProvenConfiguration},
             CopyUse::kAll},
        Case{"TheConfigurationIsConfirmedToNobody",
             {kOld, kFresh},
             {kProvenRegistrations, kProvenRegistrations},
             CopyUse::kAll},
        Case{"RegistrationsAreConfirmedToAnother",
             {kFresh, kOld},
             {kProvenConfiguration, kProvenRegistrations},
             CopyUse::kNone},
        Case{"TheConfigurationIsConfirmedToAnother",
             {kOld, kFresh},
             {kProvenRegistrations, kProvenConfiguration},
             CopyUse::kNone},
        Case{"OthersStateNoAgeOfRegistrations",
             {kFresh, kOld},
             {kStatesNoRegistrations},
             CopyUse::kAll},
        Case{"OneOfTheOthersIsProven",
             {kOld, kOld},
             {kUnproven, kSilent, kProven},
             CopyUse::kNone},
        Case{"TheStoreAnswersNobody",
             {kOld, kOld},
             {kUnproven, kSilent},
             CopyUse::kAll},
        Case{"AnOutageBegins",
             {kOld, kOld},
             {kReadsFail, kUnproven},
             CopyUse::kAll},
        Case{"OneOfTheOthersIsAnswered",
             {kOld, kOld},
             {kReadsFail, kProven},
             CopyUse::kNone},
        Case{"OthersStateNoProof",
             {kOld, kOld},
             {kStatesNoProof},
             CopyUse::kAll},
        Case{"AllOthersAreSilent",
             {kOld, kOld},
             {kSilent, kSilent},
             CopyUse::kAnonymous},
        Case{"LessThanHalfOfTheOthersAreHeard",
             {kOld, kOld},
             {kUnproven, kSilent, kSilent},
             CopyUse::kAnonymous},
        Case{"HalfOfTheOthersAreHeard",
             {kOld, kOld},
             {kUnproven, kUnproven, kSilent, kSilent},
             CopyUse::kAll},
        Case{"FewAreHeardAndTheConfigurationIsConfirmed",
             {kFresh, kOld},
             {kUnproven, kSilent, kSilent},
             CopyUse::kAll},
        Case{"OneOfFewIsAnswered",
             {kOld, kOld},
             {kProven, kSilent, kSilent},
             CopyUse::kNone},
        Case{"TheOnlyInstance", {kOld, kOld}, {}, CopyUse::kAll},
        Case{"RegistrationsNeverRead",
             {kFresh, std::nullopt},
             {kProven},
             CopyUse::kAll}),
    [](const auto& info) { return info.param.m_name; });

struct LackCase {
  const char* m_name;
  CopyTimes m_known_for;       ///< Unset for a copy of which no newer is known.
  Revision m_revision;         ///< Of the other instance; 5 here.
  RowVersion m_registrations;  ///< Of the other instance; 90 here.
  bool m_alive = true;
  bool m_lacks = false;
  bool m_third_is_heard = true;
  bool m_store_fails = false;  ///< For the other instance.
  int m_silent = 0;            ///< Further instances that are not heard.
  CopyTimes m_max_ages = {};   ///< Of the missing changes.
};

std::optional<MissingChange> Missing(const std::optional<Duration>& known_for,
                                     const std::optional<Duration>& max_age) {
  return known_for ? std::optional(MissingChange{*known_for, max_age})
                   : std::nullopt;
}

class LacksChange : public testing::TestWithParam<LackCase> {};

// Failure: an instance that knew of a newer revision, and could not get it, ran
// requests by the old one for as long as confirmations came.
TEST_P(LacksChange, OnceItMustBeInForceAndALiveInstanceHasIt) {
  EntryDirectory directory;
  EntryInstance other;
  other.m_id = InstanceId("other");
  other.m_alive = GetParam().m_alive;
  other.m_store_fails = GetParam().m_store_fails;
  other.m_revision = GetParam().m_revision;
  other.m_registrations_version = GetParam().m_registrations;
  directory.Put(other);
  EntryInstance third;
  third.m_id = InstanceId("third");
  third.m_alive = GetParam().m_third_is_heard;
  third.m_revision = Revision(5);
  third.m_registrations_version = RowVersion(90);
  directory.Put(third);
  for (int index = 0; index < GetParam().m_silent; ++index) {
    EntryInstance silent;
    silent.m_id = InstanceId("silent" + std::to_string(index));
    silent.m_alive = false;
    directory.Put(silent);
  }
  EntryInstance self;
  self.m_id = InstanceId("self");
  self.m_revision = Revision(9);
  self.m_registrations_version = RowVersion(99);
  directory.Put(self);
  const CopyTimes& known_for = GetParam().m_known_for;
  const CopyTimes& max_ages = GetParam().m_max_ages;
  const CopyVersions versions{
      Revision(5), RowVersion(90),
      Missing(known_for.m_configuration, max_ages.m_configuration),
      Missing(known_for.m_registrations, max_ages.m_registrations)};
  EXPECT_EQ(LacksChangeInForce(directory, self.m_id, versions,
                               {seconds(2), seconds(4)}),
            GetParam().m_lacks);
  EXPECT_FALSE(LacksChangeInForce(directory, self.m_id, versions, {}))
      << "without limits";
}

INSTANTIATE_TEST_SUITE_P(
    Lags,
    LacksChange,
    testing::Values(LackCase{"NoneIsKnown", {}, Revision(5), RowVersion(90)},
                    LackCase{"JustKnown",
                             {milliseconds(900), milliseconds(900)},
                             Revision(6),
                             RowVersion(91)},
                    LackCase{"KnownForLong",
                             {milliseconds(1100), {}},
                             Revision(6),
                             RowVersion(90),
                             true,
                             true},
                    LackCase{"HolderIsGone",
                             {milliseconds(1100), milliseconds(2100)},
                             Revision(6),
                             RowVersion(91),
                             false},
                    LackCase{"TheStoreFailsForTheHolder",
                             {milliseconds(1100), milliseconds(2100)},
                             Revision(6),
                             RowVersion(91),
                             true,
                             false,
                             true,
                             true},
                    LackCase{"NoOtherIsHeard",
                             {milliseconds(1100), {}},
                             Revision(6),
                             RowVersion(90),
                             false,
                             true,
                             false},
                    LackCase{"OnlyAnotherOutdatedOneIsHeard",
                             {milliseconds(1100), {}},
                             Revision(6),
                             RowVersion(90),
                             false,
                             true,
                             true,
                             false,
                             4},
                    LackCase{"HalfOfTheOthersAreHeard",
                             {milliseconds(1100), {}},
                             Revision(5),
                             RowVersion(90),
                             true,
                             false,
                             true,
                             false,
                             2},
                    LackCase{"NoOtherIsHeardAndNothingIsMissing",
                             {},
                             Revision(5),
                             RowVersion(90),
                             false,
                             false,
                             false},
                    LackCase{"HolderHasAnOlderOneNow",
                             {milliseconds(1100), milliseconds(2100)},
                             Revision(5),
                             RowVersion(90)},
                    LackCase{"KnownLongerThanItMayTakeAndMayBeOverTheLimit",
                             {milliseconds(301), {}},
                             Revision(6),
                             RowVersion(90),
                             true,
                             true,
                             true,
                             false,
                             0,
                             {milliseconds(2001), {}}},
                    LackCase{"KnownForLessThanHalfOfTheLimitAndWithinIt",
                             {milliseconds(900), milliseconds(1900)},
                             Revision(6),
                             RowVersion(91),
                             true,
                             false,
                             true,
                             false,
                             0,
                             {milliseconds(2000), milliseconds(4000)}},
                    LackCase{"JustKnownAndMayBeOverTheLimit",
                             {milliseconds(300), milliseconds(300)},
                             Revision(6),
                             RowVersion(91),
                             true,
                             false,
                             true,
                             false,
                             0,
                             {milliseconds(7000), milliseconds(7000)}},
                    LackCase{"RegistrationsMayBeOverTheLimit",
                             {{}, milliseconds(301)},
                             Revision(6),
                             RowVersion(91),
                             true,
                             true,
                             true,
                             false,
                             0,
                             {{}, milliseconds(4001)}},
                    LackCase{"Registrations",
                             {{}, milliseconds(2100)},
                             Revision(5),
                             RowVersion(91),
                             true,
                             true},
                    LackCase{"RegistrationsJustKnown",
                             {{}, milliseconds(1900)},
                             Revision(6),
                             RowVersion(91)}),
    [](const auto& info) { return std::string(info.param.m_name); });

}  // namespace
}  // namespace nutmeghollow
