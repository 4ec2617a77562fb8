#include "nutmeghollow/operator_commands.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "libnutmeg/configuration_fleet_for_test.h"
#include "libnutmeg/configuration_rows.h"

namespace nutmeghollow {
namespace {

constexpr auto kPriority = ObjectKind::kPriority;

OperatorCommand SetRank(std::string command, std::string id, int rank) {
  return SetCommand(std::move(command), kPriority, std::move(id),
                    R"({"rank":)" + std::to_string(rank) + "}");
}

std::optional<AuditRow> AuditAt(const ConfigurationFleetForTest& fleet,
                                int revision) {
  auto row = fleet.m_store.m_rows.find(detail::AuditRowKey(Revision(revision)));
  return row == fleet.m_store.m_rows.end()
             ? std::nullopt
             : detail::DecodeAudit(row->second.m_value);
}

class CommandTest : public testing::Test {
 protected:
  OperatorReply Set(int index, const char* command, const char* id, int rank) {
    return m_fleet.Execute(index, SetRank(command, id, rank));
  }
  int Rank(int index, const char* id) {
    const auto& rows = m_fleet.At(index).m_priorities;
    auto found = rows.find(PriorityId(id));
    return found == rows.end() ? -1 : found->second.m_rank;
  }

  ConfigurationFleetForTest m_fleet{3};
};

TEST_F(CommandTest, AuditTrailRecordsOperatorObjectAndTime) {
  Set(0, "c1", "a", 1);
  OperatorCommand merge = SetRank("c2", "a", 2);
  merge.m_action = CommandAction::kMerge;
  merge.m_operator = OperatorId("bert");
  m_fleet.Execute(1, merge);
  const std::optional<AuditRow> audit = AuditAt(m_fleet, 2);
  ASSERT_TRUE(audit);
  EXPECT_EQ(audit->m_operator, OperatorId("bert"));
  EXPECT_EQ(audit->m_command, CommandId("c2"));
  EXPECT_EQ(audit->m_before, R"({"rank":1})");
  EXPECT_EQ(audit->m_after, R"({"rank":2})");
  EXPECT_GT(audit->m_wall_time.value(), 1'000'000);
}

TEST_F(CommandTest, RefusalReportsAllFindingsAndChangesNothing) {
  const OperatorReply reply =
      m_fleet.Execute(0, SetCommand("c1", ObjectKind::kRoute, "m",
                                    R"({"upstreams":["x","y"],"bound":0})"));
  EXPECT_EQ(reply.m_result, OperatorResult::kRefused);
  EXPECT_EQ(reply.m_findings.size(), 3U);
  EXPECT_TRUE(m_fleet.m_store.m_rows.empty());
}

struct LostReplyCase {
  const char* m_name;
  int m_lost_replies;
  bool m_late;
};

class LostReplyTest : public testing::TestWithParam<LostReplyCase> {};

TEST_P(LostReplyTest, CommitWithoutReplyIsResolvedAndTakesEffectOnce) {
  ConfigurationFleetForTest fleet(3);
  fleet.m_lose_next_replies = GetParam().m_lost_replies;
  fleet.m_late_commit_share = GetParam().m_late ? 1 : 0;
  const OperatorReply reply = fleet.Execute(0, SetRank("c1", "a", 1));
  EXPECT_EQ(reply.m_result, OperatorResult::kAccepted);
  EXPECT_EQ(reply.m_revision, Revision(1));
  EXPECT_EQ(fleet.At(0).m_configuration.m_revision, Revision(1));
  fleet.Run(seconds(2));
  EXPECT_EQ(fleet.m_store.m_commits, 1);
  EXPECT_EQ(fleet.At(2).m_configuration.m_revision, Revision(1));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         LostReplyTest,
                         testing::Values(LostReplyCase{"None", 0, false},
                                         LostReplyCase{"One", 1, false},
                                         LostReplyCase{"Late", 0, true}),
                         [](const auto& info) { return info.param.m_name; });

TEST_F(CommandTest, UnresolvedOutcomeIsReportedAsUnknown) {
  Set(0, "c1", "a", 1);
  m_fleet.m_lose_next_replies = 1;
  const OperatorTicket ticket = m_fleet.Submit(0, SetRank("c2", "a", 2));
  while (m_fleet.m_lose_next_replies > 0) {
    m_fleet.Run(milliseconds(20));
  }
  m_fleet.m_no_store = {0};
  m_fleet.Run(seconds(10));
  OperatorReply reply;
  for (const OperatorReply& found : m_fleet.At(0).m_operators.m_replies) {
    if (found.m_ticket == ticket) {
      reply = found;
    }
  }
  EXPECT_EQ(reply.m_result, OperatorResult::kUnknown);
  m_fleet.m_no_store.clear();
  // A retransmission to another instance returns the first result.
  reply = Set(1, "c2", "a", 2);
  EXPECT_EQ(reply.m_result, OperatorResult::kAccepted);
  EXPECT_EQ(reply.m_revision, Revision(2));
  EXPECT_TRUE(reply.m_repeated);
}

TEST_F(CommandTest, TableServiceOutageChangesNothing) {
  m_fleet.m_outage = true;
  const OperatorReply reply = Set(0, "c1", "a", 1);
  EXPECT_EQ(reply.m_result, OperatorResult::kRefused);
  ASSERT_EQ(reply.m_findings.size(), 1U);
  EXPECT_EQ(reply.m_findings[0].m_place, "table service");
}

TEST_F(CommandTest, CommandIdIsUsedForOneCommandOnly) {
  Set(0, "c1", "a", 1);
  const OperatorReply again = Set(1, "c1", "a", 1);
  EXPECT_TRUE(again.m_repeated);
  EXPECT_EQ(again.m_revision, Revision(1));
  const OperatorReply other = Set(1, "c1", "a", 2);
  EXPECT_EQ(other.m_result, OperatorResult::kRefused);
  EXPECT_EQ(m_fleet.m_store.m_commits, 1);
}

TEST_F(CommandTest, ConflictReportsTheWinningChange) {
  Set(0, "c1", "a", 1);
  OperatorCommand mine = SetRank("c3", "a", 3);
  mine.m_expected = Revision(1);
  mine.m_operator = OperatorId("bert");
  Set(1, "c2", "a", 2);
  OperatorReply reply = m_fleet.Execute(2, mine);
  EXPECT_EQ(reply.m_result, OperatorResult::kConflict);
  ASSERT_TRUE(reply.m_winner);
  EXPECT_EQ(reply.m_winner->m_revision, Revision(2));
  EXPECT_EQ(reply.m_winner->m_operator, OperatorId("anna"));
  EXPECT_GT(reply.m_winner->m_wall_time.value(), 0);

  m_fleet.Execute(0, DeleteCommand("c4", kPriority, "a"));
  mine.m_command = CommandId("c5");
  reply = m_fleet.Execute(1, mine);
  EXPECT_EQ(reply.m_result, OperatorResult::kConflict);
  EXPECT_EQ(reply.m_winner->m_operator, OperatorId("bert"));
}

TEST_F(CommandTest, OneOfTwoConcurrentChangesOfAnObjectConflicts) {
  Set(0, "c0", "a", 1);
  m_fleet.Run(seconds(2));
  m_fleet.Submit(0, SetRank("c1", "a", 2));
  m_fleet.Submit(1, SetRank("c2", "a", 3));
  m_fleet.Submit(2, SetRank("c3", "b", 4));
  m_fleet.Run(seconds(5));
  std::map<OperatorResult, int> results;
  for (int index = 0; index < 3; ++index) {
    ++results[m_fleet.At(index).m_operators.m_replies.back().m_result];
  }
  EXPECT_EQ(results[OperatorResult::kAccepted], 2);
  EXPECT_EQ(results[OperatorResult::kConflict], 1);
  EXPECT_EQ(Rank(0, "a"), Rank(1, "a"));
  EXPECT_EQ(Rank(0, "b"), 4);
}

TEST_F(CommandTest, CommandQueryReportsWhetherItTookEffect) {
  Set(0, "c1", "a", 1);
  for (const char* command : {"c1", "c9"}) {
    World& world = m_fleet.At(2);
    const OperatorTicket ticket = world.m_operators.NewTicket();
    world.m_operators.m_inbox.m_queries.push_back(
        {.m_ticket = ticket,
         .m_kind = QueryKind::kCommand,
         .m_command = CommandId(command)});
    m_fleet.Run(milliseconds(200));
    const OperatorReply& reply = world.m_operators.m_replies.back();
    EXPECT_EQ(reply.m_ticket, ticket);
    EXPECT_EQ(reply.m_result, command == std::string("c1")
                                  ? OperatorResult::kAccepted
                                  : OperatorResult::kNotFound);
    EXPECT_EQ(reply.m_audit.size(), command == std::string("c1") ? 1U : 0U);
  }
}

// Planned changes.

class PlannedChangeTest : public CommandTest {
 protected:
  OperatorReply Plan(const char* command, Duration delay, int rank) {
    const auto at = m_fleet.Wall().value() + delay.count() / 1000;
    return m_fleet.Execute(
        0,
        SetCommand(command, ObjectKind::kPlannedChange, "night",
                   R"({"at_ms":)" + std::to_string(at) +
                       R"(,"kind":"priority","id":"a","merge":true,)" +
                       R"("object":{"rank":)" + std::to_string(rank) + "}}"));
  }
  bool Planned(int index) {
    return m_fleet.At(index).m_configuration.Find(
               {ObjectKind::kPlannedChange, "night"}) != nullptr;
  }
};

TEST_F(PlannedChangeTest, TakesEffectOnceWhileTheReceivingInstanceIsPaused) {
  Set(0, "c1", "a", 1);
  Plan("c2", seconds(10), 5);
  m_fleet.Run(seconds(2));
  m_fleet.m_paused.insert(0);
  m_fleet.Run(seconds(6));
  EXPECT_EQ(Rank(1, "a"), 1);
  EXPECT_TRUE(Planned(1));
  m_fleet.Run(seconds(12));
  for (int index : {1, 2}) {
    EXPECT_EQ(Rank(index, "a"), 5);
    EXPECT_FALSE(Planned(index));
    EXPECT_EQ(m_fleet.At(index).m_configuration.m_revision, Revision(4));
  }
  const std::optional<AuditRow> audit = AuditAt(m_fleet, 3);
  EXPECT_EQ(audit->m_operator, OperatorId("anna"));
  EXPECT_EQ(audit->m_note, "planned as change/night");
  m_fleet.m_paused.clear();
  m_fleet.Run(seconds(12));
  EXPECT_EQ(m_fleet.At(0).m_configuration.m_revision, Revision(4));
}

TEST_F(PlannedChangeTest, CancelledChangeNeverTakesEffect) {
  Set(0, "c1", "a", 1);
  Plan("c2", seconds(10), 5);
  m_fleet.Run(seconds(1));
  m_fleet.Execute(1, DeleteCommand("c3", ObjectKind::kPlannedChange, "night"));
  m_fleet.Run(seconds(20));
  EXPECT_EQ(Rank(2, "a"), 1);
}

TEST_F(PlannedChangeTest, NameCanBeReused) {
  Set(0, "c1", "a", 1);
  Plan("c2", seconds(5), 5);
  m_fleet.Run(seconds(15));
  Plan("c3", seconds(5), 6);
  m_fleet.Run(seconds(15));
  EXPECT_EQ(Rank(2, "a"), 6);
}

TEST_F(PlannedChangeTest, WaitsForTheTableService) {
  Set(0, "c1", "a", 1);
  Plan("c2", seconds(5), 5);
  m_fleet.m_outage = true;
  m_fleet.Run(seconds(60));
  EXPECT_EQ(Rank(1, "a"), 1);
  m_fleet.m_outage = false;
  m_fleet.Run(seconds(20));
  EXPECT_EQ(Rank(1, "a"), 5);
  EXPECT_FALSE(Planned(1));
}

TEST_F(PlannedChangeTest, InvalidChangeIsRemovedAndTheAuditTrailRecordsWhy) {
  const char* engine = R"({"address":"127.0.0.1:1"})";
  m_fleet.Execute(0, SetCommand("c1", ObjectKind::kUpstream, "e", engine));
  const auto at = std::to_string(m_fleet.Wall().value() + 5000);
  m_fleet.Execute(0, SetCommand("c2", ObjectKind::kPlannedChange, "night",
                                R"({"at_ms":)" + at +
                                    R"(,"kind":"route","id":"m","object":)" +
                                    R"({"upstreams":["e"]}})"));
  m_fleet.Execute(0, DeleteCommand("c3", ObjectKind::kUpstream, "e"));
  m_fleet.Run(seconds(15));
  EXPECT_FALSE(Planned(1));
  EXPECT_TRUE(m_fleet.At(1).m_routes.empty());
  EXPECT_NE(AuditAt(m_fleet, 4)->m_note.find("upstream/e does not exist"),
            std::string::npos);
}

// Concurrent operators with injected faults.

class RacingOperatorsTest : public testing::TestWithParam<int> {
 protected:
  static constexpr int kInstances = 5;

  /// Submits a random command and records it.
  void SubmitOne() {
    std::mt19937_64& random = m_fleet.m_random;
    const int index = static_cast<int>(random() % kInstances);
    const std::string id = "p" + std::to_string(random() % 4);
    const std::string name = "c" + std::to_string(++m_commands);
    OperatorCommand command =
        random() % 5 == 0 ? DeleteCommand(name, kPriority, id)
                          : SetRank(name, id, static_cast<int>(random() % 99));
    m_sent[name] = command;
    m_fleet.Submit(index, command);
    if (random() % 4 == 0) {  // Duplicate at another instance.
      m_fleet.Submit((index + 1) % kInstances, command);
    }
  }

  void ChangeFaults() {
    std::mt19937_64& random = m_fleet.m_random;
    m_fleet.m_outage = random() % 6 == 0;
    m_fleet.m_no_store.clear();
    m_fleet.m_cut.clear();
    m_fleet.m_paused.clear();
    if (random() % 3 == 0) {
      m_fleet.m_no_store.insert(static_cast<int>(random() % kInstances));
    }
    if (random() % 3 == 0) {
      m_fleet.m_paused.insert(static_cast<int>(random() % kInstances));
    }
    for (int pair = 0; pair < 3; ++pair) {
      const int left = static_cast<int>(random() % kInstances);
      const int right = static_cast<int>(random() % kInstances);
      m_fleet.m_cut.insert({std::min(left, right), std::max(left, right)});
    }
    if (random() % 5 == 0) {
      const int index = static_cast<int>(random() % kInstances);
      CollectReplies(index);
      m_fleet.Restart(index);
      m_revisions[index] = Revision();
    }
  }

  void CollectReplies(int index) {
    for (const OperatorReply& reply :
         std::exchange(m_fleet.At(index).m_operators.m_replies, {})) {
      m_replies.push_back(reply);
    }
  }

  void CheckRevisions() {
    for (int index = 0; index < kInstances; ++index) {
      const Revision now = m_fleet.At(index).m_configuration.m_revision;
      EXPECT_GE(now, m_revisions[index]);
      m_revisions[index] = now;
      CollectReplies(index);
    }
  }

  /// Checks that every accepted change is in the audit trail exactly once, at
  /// the revision of its reply.
  void CheckAuditTrail() {
    std::map<std::string, int> revisions;
    for (const auto& [key, row] : m_fleet.m_store.m_rows) {
      if (key.starts_with(detail::kAuditPrefix)) {
        const std::optional<AuditRow> audit = detail::DecodeAudit(row.m_value);
        EXPECT_TRUE(
            revisions.emplace(audit->m_command.str(), audit->m_revision.value())
                .second);
      }
    }
    int accepted = 0;
    for (const OperatorReply& reply : m_replies) {
      const std::string name = reply.m_command.str();
      if (reply.m_result == OperatorResult::kAccepted) {
        ++accepted;
        ASSERT_TRUE(revisions.contains(name));
        EXPECT_EQ(revisions[name], reply.m_revision.value());
      }
    }
    EXPECT_GT(accepted, 30);
  }

  /// Checks that a command that every instance rejected has no row in the table
  /// service. Skips the commands in m_uncertain.
  void CheckRefusals() {
    std::map<std::string, std::set<OperatorResult>> results;
    for (const OperatorReply& reply : m_replies) {
      results[reply.m_command.str()].insert(reply.m_result);
    }
    for (const auto& [name, set] : results) {
      const bool rejected = !set.contains(OperatorResult::kAccepted) &&
                            !set.contains(OperatorResult::kUnknown);
      if (rejected && !m_uncertain.contains(name)) {
        EXPECT_FALSE(m_fleet.m_store.m_rows.contains(
            detail::CommandRowKey(CommandId(name))))
            << name;
      }
    }
  }

  ConfigurationFleetForTest m_fleet{kInstances,
                                    static_cast<std::uint64_t>(GetParam())};
  int m_commands = 0;
  std::map<std::string, OperatorCommand> m_sent;
  /// Commands pending when the faults changed, which may restart an instance
  /// and so lose its reply; CheckRefusals skips them.
  std::set<std::string> m_uncertain;
  std::map<int, Revision> m_revisions;
  std::vector<OperatorReply> m_replies;
};

TEST_P(RacingOperatorsTest, NoAcceptedChangeIsLostAndNoneTakesEffectTwice) {
  m_fleet.m_lost_reply_share = 0.2;
  m_fleet.m_late_commit_share = 0.1;
  for (int turn = 0; turn < 150; ++turn) {
    SubmitOne();
    if (turn % 5 == 0) {
      for (int index = 0; index < kInstances; ++index) {
        for (const auto& [ticket, pending] :
             m_fleet.At(index).m_operators.m_commands) {
          m_uncertain.insert(pending.m_command.m_command.str());
        }
      }
      ChangeFaults();
    }
    m_fleet.Run(milliseconds(m_fleet.m_random() % 1500));
    CheckRevisions();
  }
  m_fleet.m_outage = false;
  m_fleet.m_no_store.clear();
  m_fleet.m_cut.clear();
  m_fleet.m_paused.clear();
  m_fleet.Run(seconds(20));
  CheckRevisions();
  CheckAuditTrail();
  CheckRefusals();
  for (int index = 1; index < kInstances; ++index) {
    const ConfigurationTable& first = m_fleet.At(0).m_configuration;
    const ConfigurationTable& other = m_fleet.At(index).m_configuration;
    EXPECT_EQ(first.m_revision, other.m_revision);
    ASSERT_EQ(first.m_objects.size(), other.m_objects.size());
    for (const auto& [key, row] : first.m_objects) {
      EXPECT_EQ(row.m_json, other.Find(key)->m_json);
      EXPECT_EQ(row.m_revision, other.Find(key)->m_revision);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RacingOperatorsTest, testing::Range(1, 21));

}  // namespace
}  // namespace nutmeghollow
