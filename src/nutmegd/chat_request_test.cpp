#include "nutmegd/chat_request.h"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>

namespace nutmeghollow {
namespace {

const CustomerId kCustomer("c1");

std::string ReadError(const std::string& body) {
  ChatRequestReader reader;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(reader.Read(body, {}, kCustomer));
        return std::string();
      },
      [](const BadChatRequest& error) { return error.m_detail; },
      [] { return std::string("another error"); });
}

struct BodyCase {
  const char* m_name;
  const char* m_body;
  const char* m_error;
};

class ChatBodies : public testing::TestWithParam<BodyCase> {};

TEST_P(ChatBodies, AreValidated) {
  EXPECT_EQ(ReadError(GetParam().m_body), GetParam().m_error);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ChatBodies,
    testing::Values(
        BodyCase{"Good", R"({"model":"m","messages":[{"role":"user"}]})", ""},
        BodyCase{"NullStream", R"({"model":"m","messages":[{}],"stream":null})",
                 ""},
        BodyCase{"Empty", "", "the body is not valid JSON"},
        BodyCase{"Truncated", R"({"model":"m","messages":[{)",
                 "the body is not valid JSON"},
        BodyCase{"List", "[]", "the body is not a JSON object"},
        BodyCase{"NoModel", R"({"messages":[{}]})", "\"model\" must be a text"},
        BodyCase{"ModelNumber", R"({"model":1,"messages":[{}]})",
                 "\"model\" must be a text"},
        BodyCase{"NoMessages", R"({"model":"m"})",
                 "\"messages\" must be a list that is not empty"},
        BodyCase{"MessageText", R"({"model":"m","messages":["hi"]})",
                 "each of \"messages\" must be an object"},
        BodyCase{"StreamText",
                 R"({"model":"m","messages":[{}],"stream":"yes"})",
                 "\"stream\" must be true or false"}),
    [](const auto& test) { return test.param.m_name; });

ChatKey KeyOf(const std::string& body, const net::HeaderMap& headers = {}) {
  ChatRequestReader reader;
  return reader.Read(body, headers, kCustomer)->m_chat;
}

TEST(ChatKey, StaysTheSameWhenAChatContinuesWithALongerHistory) {
  const std::string first =
      R"({"model":"m","messages":[{"role":"system","content":"s"},)"
      R"({"role":"user","content":"u"}]})";
  const std::string later =
      R"({"model":"m","messages":[{"role":"system","content":"s"},)"
      R"({"role":"user","content":"u"},{"role":"assistant","content":"a"},)"
      R"({"role":"user","content":"v"}]})";
  const std::string other =
      R"({"model":"m","messages":[{"role":"system","content":"s"},)"
      R"({"role":"user","content":"w"}]})";
  EXPECT_EQ(KeyOf(first), KeyOf(later));
  EXPECT_NE(KeyOf(first), KeyOf(other));
}

TEST(ChatKey, HeaderTakesPrecedenceOverBodyAndMatchesTheKeyOfTheId) {
  const std::string body =
      R"({"model":"m","messages":[{}],"prompt_cache_key":"k"})";
  EXPECT_EQ(KeyOf(body), ChatKeyFromId("k"));
  EXPECT_EQ(KeyOf(body, {{"x-chat-id", "h"}}), ChatKeyFromId("h"));
}

}  // namespace
}  // namespace nutmeghollow
