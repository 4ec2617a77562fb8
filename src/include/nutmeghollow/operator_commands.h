/// @file
/// Operator commands that change the configuration, and questions about them.
///
/// A command becomes one transaction of the table service. It requires the
/// head revision that the command was checked against and that its command id
/// was not used before. So a command takes effect at most once, whatever
/// answers are lost and however often it is sent, at whichever instance.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "nutmeghollow/configuration.h"
#include "nutmeghollow/findings.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Pairs a reply with its command inside one instance.
using OperatorTicket = Number<struct OperatorTicketTag>;

/// One accepted change, as the audit trail keeps it.
struct AuditRow {
  Revision m_revision;
  CommandId m_command;
  OperatorId m_operator;
  WallTime m_wall_time;
  ObjectKey m_key;
  std::optional<std::string> m_before;  ///< Unset when there was no object.
  std::optional<std::string> m_after;   ///< Unset when it was deleted.
  std::string m_note;                   ///< Remark on planned changes.
};

/// What a command does to its object.
enum class CommandAction {
  kSet,           ///< Writes the whole object.
  kMerge,         ///< Writes the given fields and keeps the others (RFC 7396).
  kDelete,        ///< Deletes the object.
  kApplyPlanned,  ///< Carries out a planned change that is due.
};

/// A command of an operator.
struct OperatorCommand {
  OperatorTicket m_ticket;
  CommandId m_command;
  OperatorId m_operator;
  CommandAction m_action = CommandAction::kSet;
  ObjectKey m_key;
  std::string m_json;  ///< For kSet and kMerge.
  /// Revision that must have written the object last; zero means that there
  /// must be no object. Unset when any will do.
  std::optional<Revision> m_expected;
};

/// What an operator asks about the past.
enum class QueryKind {
  kCommand,  ///< Whether a command took effect.
  kAudit,    ///< The audit trail after a revision.
};

/// A question about the past.
struct OperatorQuery {
  OperatorTicket m_ticket;
  QueryKind m_kind = QueryKind::kAudit;
  CommandId m_command;  ///< For kCommand.
  Revision m_after;     ///< For kAudit.
  int m_limit = 100;    ///< For kAudit.
};

/// How a command or question ended.
enum class OperatorResult {
  kAccepted,  ///< The change is committed; for a question, answered.
  kRefused,   ///< Nothing was changed; the findings tell why.
  kConflict,  ///< Nothing was changed; somebody else changed the object.
  kUnknown,   ///< The commit's answer was lost and could not be settled yet.
  kNotFound,  ///< No change with this command id has been accepted.
};

/// Who changed an object before the refused command.
struct ConflictWinner {
  Revision m_revision;  ///< Zero when it is no longer known.
  OperatorId m_operator;
  WallTime m_wall_time;
};

/// The reply to a command or question.
struct OperatorReply {
  OperatorTicket m_ticket;
  CommandId m_command;
  OperatorResult m_result = OperatorResult::kRefused;
  Revision m_revision;      ///< When accepted.
  bool m_repeated = false;  ///< The first result of a command sent again.
  Findings m_findings;      ///< When refused.
  std::optional<ConflictWinner> m_winner;
  std::vector<AuditRow> m_audit;  ///< Answers to questions.
};

/// Commands and questions from adapters, emptied each tick.
struct OperatorInbox {
  std::vector<OperatorCommand> m_commands;
  std::vector<OperatorQuery> m_queries;
};

/// Settings of the operator commands.
struct OperatorParameters {
  /// A command that is not accepted by then is given up.
  Duration m_command_timeout = std::chrono::seconds(8);
  /// Mean pause before a step is tried again.
  Duration m_retry_delay = std::chrono::milliseconds(100);
};

/// What a pending command waits for.
enum class CommandStage {
  kWaiting,  ///< For the time of its next try.
  kReading,  ///< For the head and the command's own row.
  kCatchUp,  ///< For this instance to adopt the head revision.
  kCommitting,
  kReadingWinner,  ///< For the audit row of the change that won.
  kAdopting,       ///< Accepted; for this instance to adopt its revision.
};

/// A command in progress.
struct PendingCommand {
  OperatorCommand m_command;
  CommandStage m_stage = CommandStage::kWaiting;
  StoreOperationId m_operation;
  TimePoint m_deadline{};
  TimePoint m_retry_at{};
  Revision m_head;
  RowVersion m_head_version;
  /// Head version that a commit without an answer required. While the head
  /// still has it, that commit may yet take effect.
  std::optional<RowVersion> m_unsettled;
  /// Revision of the object when the command was first checked.
  std::optional<Revision> m_seen;
  std::vector<ConfigurationChange> m_changes;  ///< Being committed.
  OperatorReply m_reply;
};

/// A question in progress.
struct PendingQuery {
  OperatorQuery m_query;
  StoreOperationId m_operation;
};

/// State of operator commands.
struct OperatorState {
  OperatorParameters m_parameters;
  OperatorInbox m_inbox;
  std::vector<OperatorReply> m_replies;  ///< Taken by the adapter.
  std::map<OperatorTicket, PendingCommand> m_commands;
  std::map<OperatorTicket, PendingQuery> m_queries;
  std::uint64_t m_last_ticket = 0;

  /// @return a ticket that no earlier command of this process had.
  OperatorTicket NewTicket() { return OperatorTicket(++m_last_ticket); }
};

/// Runs the operator commands.
void RunOperatorCommands(World& world, TimePoint now);

/// In force on how many instances.
struct InForceReport {
  int m_confirmed = 0;
  int m_instances = 0;
  std::vector<InstanceId> m_waiting;  ///< Have not confirmed.
};

/// @return which instances confirmed a revision. Dead ones do not count.
InForceReport ReportInForce(const World& world, Revision revision);

}  // namespace nutmeghollow
