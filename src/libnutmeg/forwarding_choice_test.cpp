#include "nutmeghollow/forwarding_choice.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace nutmeghollow {
namespace {

EntryInstance Instance(const char* name, const char* data_centre) {
  EntryInstance instance;
  instance.m_id = InstanceId(name);
  instance.m_data_centre = DataCentreId(data_centre);
  instance.m_ready = true;
  instance.m_reach = UpstreamReach::kReached;
  return instance;
}

struct Case {
  std::string m_name;
  std::function<void(EntryDirectory*, ForwardingQuery*)> m_change;
  std::vector<InstanceId> m_instances;
};

class ForwardingInstancesTable : public ::testing::TestWithParam<Case> {};

TEST_P(ForwardingInstancesTable, Lists) {
  EntryDirectory directory;
  directory.Put(Instance("self", "one"));
  directory.Put(Instance("a", "one"));
  directory.Put(Instance("b", "one"));
  directory.Put(Instance("c", "two"));
  ForwardingQuery query;
  query.m_self = InstanceId("self");
  query.m_data_centre = DataCentreId("one");
  if (GetParam().m_change) {
    GetParam().m_change(&directory, &query);
  }
  EXPECT_EQ(ForwardingInstances(directory, query), GetParam().m_instances);
}

const InstanceId kA("a");
const InstanceId kB("b");
const InstanceId kC("c");

INSTANTIATE_TEST_SUITE_P(
    ForwardingChoice,
    ForwardingInstancesTable,
    ::testing::Values(
        Case{"OfTheOwnDataCentreFirst", nullptr, {kA, kB}},
        Case{"NotOnesThatAreTried",
             [](auto*, ForwardingQuery* query) { query->m_tried = {kA}; },
             {kB}},
        Case{"NotOnesThatAreNotReady",
             [](EntryDirectory* directory, auto*) {
               directory->Find(kA)->m_ready = false;
             },
             {kB}},
        Case{"NotOnesThatAreSilent",
             [](EntryDirectory* directory, auto*) {
               directory->Find(kA)->m_alive = false;
             },
             {kB}},
        Case{"NotOnesOfAnOlderBuild",
             [](EntryDirectory* directory, auto*) {
               directory->Find(kA)->m_reach = UpstreamReach::kUnknown;
             },
             {kB}},
        Case{"ElsewhereWhenTheDataCentreIsCutOff",
             [](EntryDirectory* directory, auto*) {
               directory->Find(kA)->m_reach = UpstreamReach::kCutOff;
               directory->Find(kB)->m_reach = UpstreamReach::kCutOff;
             },
             {kC}}),
    [](const auto& info) { return info.param.m_name; });

TEST(ForwardingChoice, TakesTheOneOfTwoWithFewerRequests) {
  EntryDirectory directory;
  directory.Put(Instance("a", "one"));
  directory.Put(Instance("b", "one"));
  ForwardingQuery query;
  query.m_active = {{kA, 2}, {kB, 1}};
  double draw = 0;
  const auto alternate = [&draw] {
    draw = draw > 0 ? 0 : 0.9;
    return draw;
  };
  EXPECT_EQ(ChooseForwardingInstance(directory, query, alternate), kB);
  query.m_active[kB] = 3;
  EXPECT_EQ(ChooseForwardingInstance(directory, query, alternate), kA);
  query.m_tried = {kA, kB};
  EXPECT_FALSE(ChooseForwardingInstance(directory, query, alternate));
}

}  // namespace
}  // namespace nutmeghollow
