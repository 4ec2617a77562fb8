#include "nutmegd/request_bodies.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "nutmegd/caller_api.h"

namespace nutmeghollow {
namespace {

// Guards against a budget that does not follow the machine's memory: large
// bodies may use three quarters of 35% of it.
TEST(RequestBodies, BudgetIsAShareOfTheMemory) {
  Settings settings;
  settings.m_instance.m_memory_mb = 160;
  const auto memory = std::make_shared<BodyMemory>();
  MetricsRegistry metrics;
  SetUpBodyMemory(memory, &metrics, "nutmeg", settings);
  const BodyId body = memory->Open([] {}, TimePoint());
  EXPECT_FALSE(memory->Reserve(body, 42'000'001, TimePoint()));
  EXPECT_TRUE(memory->Reserve(body, 41'999'999, TimePoint()));
  const std::string text = metrics.Render();
  EXPECT_NE(text.find("nutmeg_body_bytes 4"), std::string::npos) << text;
  EXPECT_NE(text.find("nutmeg_body_refusals 0"), std::string::npos) << text;
}

// Guards against a budget that refuses a single body within the limit, and
// against one that lets callers without a token fill the memory.
TEST(RequestBodies, OperatorsHaveMemoryForOneBodyOfTheLimit) {
  const net::HttpServerOptions options = WithOperatorBodies({});
  ASSERT_NE(options.m_body_memory, nullptr);
  BodyMemory& memory = *options.m_body_memory;
  const auto limit = static_cast<std::size_t>(options.m_body_limit.value());
  const BodyId first = memory.Open([] {}, TimePoint());
  EXPECT_TRUE(memory.Reserve(first, limit, TimePoint()));
  memory.Complete(first);
  const BodyId second = memory.Open([] {}, TimePoint());
  EXPECT_FALSE(memory.Reserve(second, limit, TimePoint()));
}

// Guards against a refusal for lack of memory that looks like a fault of the
// request, or that does not state that the request has not run.
TEST(RequestBodies, ChatCallersAreToldThatTheRequestDidNotRun) {
  const net::HttpErrorResponse response =
      CallerApi::MakeErrorResponse(503, "no memory for the request body");
  const net::HeaderList expected{{"Content-Type", "application/problem+json"},
                                 {"Nutmeg-Outcome", "not-run"},
                                 {"Retry-After", "1"}};
  EXPECT_EQ(response.m_headers, expected);
  EXPECT_NE(response.m_body.find("urn:nutmeghollow:problem:unavailable"),
            std::string::npos);
}

TEST(RequestBodies, OtherErrorsOfChatCallersAreBadRequests) {
  const net::HttpErrorResponse response =
      CallerApi::MakeErrorResponse(413, "the request body is too large");
  EXPECT_EQ(response.m_headers.size(), 2U);
  EXPECT_NE(response.m_body.find("urn:nutmeghollow:problem:bad-request"),
            std::string::npos);
}

}  // namespace
}  // namespace nutmeghollow
