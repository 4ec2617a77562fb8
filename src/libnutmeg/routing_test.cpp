#include "nutmeghollow/routing.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

RoutingConfiguration TwoHosts() {
  RoutingConfiguration configuration;
  for (const auto& [name, host, prefix] :
       {std::tuple{"short", "a.example", "/x/"},
        std::tuple{"long", "a.example", "/x/y/"},
        std::tuple{"root", "b.example", "/"}}) {
    HttpRoute route;
    route.m_name = name;
    route.m_host = host;
    route.m_prefix = prefix;
    configuration.Add(route);
  }
  return configuration;
}

struct RouteCase {
  const char* m_host;
  const char* m_path;
  const char* m_route;  ///< Empty for none.
};

class RouteLookUp : public testing::TestWithParam<RouteCase> {};

TEST_P(RouteLookUp, PicksTheLongestPrefix) {
  const RoutingConfiguration configuration = TwoHosts();
  const HttpRoute* route =
      configuration.FindRoute(GetParam().m_host, GetParam().m_path);
  EXPECT_EQ(route == nullptr ? "" : route->m_name, GetParam().m_route);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RouteLookUp,
    testing::Values(RouteCase{"a.example", "/x/1", "short"},
                    RouteCase{"a.example:80", "/x/1", "short"},
                    RouteCase{"a.example", "/x/y/1", "long"},
                    RouteCase{"a.example", "/x/y", "short"},
                    RouteCase{"a.example", "/x", ""},
                    RouteCase{"a.example", "/x/%79/1", "short"},
                    RouteCase{"b.example", "/x/y/1", "root"},
                    RouteCase{"c.example", "/x/1", ""},
                    RouteCase{"a.example", "", ""}));

TEST(RoutingConfiguration, FindsTheCustomerOfAKey) {
  RoutingConfiguration configuration;
  configuration.Add(CustomerKeys{CustomerId("one"), {"k1", "k2"}, 1});
  ASSERT_NE(configuration.FindCustomer("k2"), nullptr);
  EXPECT_EQ(configuration.FindCustomer("k2")->m_id, CustomerId("one"));
  EXPECT_EQ(configuration.FindCustomer("k3"), nullptr);
}

TEST(ChooseService, FollowsTheWeights) {
  HttpRoute route;
  EXPECT_TRUE(ChooseService(route, 0.5).empty());
  route.m_shares = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  EXPECT_EQ(ChooseService(route, 0.0), ServiceId("a"));
  EXPECT_EQ(ChooseService(route, 0.89), ServiceId("a"));
  EXPECT_EQ(ChooseService(route, 0.91), ServiceId("b"));
}

}  // namespace
}  // namespace nutmeghollow
