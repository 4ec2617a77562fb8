#include "nutmegctl/view.h"

#include <gtest/gtest.h>

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;

struct FormatCase {
  const char* m_name;
  View m_view;
  const char* m_response;
  const char* m_text;
};

class FormatResponseTest : public ::testing::TestWithParam<FormatCase> {};

TEST_P(FormatResponseTest, ReturnsReadableText) {
  EXPECT_EQ(
      FormatResponse(GetParam().m_view, Json::parse(GetParam().m_response)),
      GetParam().m_text);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FormatResponseTest,
    ::testing::Values(
        FormatCase{"FieldsWithDots", View::kStatus,
                   R"({"result":"ok","budget":{"rate":1700},"ready":true})",
                   "budget.rate                       1700\n"
                   "ready                             true\n"},
        FormatCase{"ExplanationAsTable", View::kExplain,
                   R"({"result":"ok","home":"e1","order":[)"
                   R"({"upstream":"e1","load":4,"bound":8},)"
                   R"({"upstream":"engine-2","load":12,"bound":8}]})",
                   "home                              e1\n"
                   "order:\n"
                   "bound  load  upstream\n"
                   "8      4     e1\n"
                   "8      12    engine-2\n"},
        FormatCase{"ListOfNames", View::kExplain,
                   R"({"result":"ok","owners":["n1","n2"]})",
                   "owners                            [\"n1\",\"n2\"]\n"},
        FormatCase{"Conflict", View::kChange, R"({"result":"conflict"})",
                   "conflict; nothing was changed\n"}),
    [](const auto& info) { return info.param.m_name; });

}  // namespace
}  // namespace nutmeghollow::ctl
