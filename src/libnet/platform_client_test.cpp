// Responses of the platform that break off or have no valid status: nothing may
// be taken for done, and a commit that may have taken effect not for refused.
#include "libnet/platform_client.h"

#include <optional>

#include "libnet/scripted_server_for_test.h"

namespace nutmeghollow::net {
namespace {

constexpr const char* kRows = R"({"rows":[{"key":"a","version":1}]})";
constexpr const char* kInstances = R"({"instances":[{"id":"n1",)"
                                   R"("caller":"127.0.0.1:1",)"
                                   R"("peer":"127.0.0.1:2",)"
                                   R"("data_centre":"d","region":"r"}]})";

class PlatformClientTest : public ScriptedServerTest {
 protected:
  PlatformOptions Options() {
    PlatformOptions options;
    options.m_endpoint = m_server.Address();
    options.m_timeout = std::chrono::milliseconds(500);
    return options;
  }

  /// Starts an operation of the store and waits for its result.
  StoreResult Run(const std::function<void(const TableStore&)>& start) {
    std::optional<StoreResult> result;
    const TableStore store =
        MakeTableStore(*m_client, Options(), m_counters,
                       [&result](const auto&, StoreResult received) {
                         result = std::move(received);
                       });
    start(store);
    RunUntil([&result] { return result.has_value(); });
    return result.value_or(StoreResult());
  }

  StoreResult Read() {
    return Run([](const TableStore& store) { store.m_read({}); });
  }
  StoreResult Commit() {
    return Run([](const TableStore& store) { store.m_commit({}); });
  }

  std::vector<ListedInstance> List() {
    std::optional<std::vector<ListedInstance>> list;
    MakeInstanceList(*m_client, Options(), m_counters)
        .m_fetch([&list](std::vector<ListedInstance> received) {
          list = std::move(received);
        });
    RunUntil([&list] { return list.has_value(); });
    return list.value_or(std::vector<ListedInstance>());
  }

  PlatformCounters m_counters;
};

TEST_F(PlatformClientTest, UsesWholeResponses) {
  m_reply = ReplyWithStatus("200", "", kRows);
  EXPECT_EQ(Read().m_status, StoreStatus::kDone);
  EXPECT_EQ(Commit().m_status, StoreStatus::kDone);
  m_reply = ReplyWithStatus("200", "", kInstances);
  EXPECT_EQ(List().size(), 1U);
}

TEST_F(PlatformClientTest, DoesNotUsePartsOfResponses) {
  for (const FaultyReply& faulty : TruncatedReplies("", kRows)) {
    m_reply = faulty.m_reply;
    const StoreResult read = Read();
    EXPECT_EQ(read.m_status, StoreStatus::kUnavailable) << faulty.m_name;
    EXPECT_TRUE(read.m_rows.empty()) << faulty.m_name;
    EXPECT_EQ(Commit().m_status, StoreStatus::kUnknown) << faulty.m_name;
  }
  for (const FaultyReply& faulty : TruncatedReplies("", kInstances)) {
    m_reply = faulty.m_reply;
    EXPECT_TRUE(List().empty()) << faulty.m_name;
  }
}

TEST_F(PlatformClientTest, DoesNotUseResponsesWithoutAValidStatus) {
  for (const std::string& status : InvalidStatuses()) {
    m_reply = ReplyWithStatus(status, "", kRows);
    EXPECT_EQ(Read().m_status, StoreStatus::kUnavailable) << status;
    EXPECT_EQ(Commit().m_status, StoreStatus::kUnknown) << status;
    m_reply = ReplyWithStatus(status, "", kInstances);
    EXPECT_TRUE(List().empty()) << status;
  }
}

}  // namespace
}  // namespace nutmeghollow::net
