/// @file
/// Operator commands that change the configuration, and queries about them.
///
/// A command becomes one transaction of the table service. Its preconditions
/// are the head revision that the command was validated against and a command
/// id that was not used before. A command therefore takes effect at most once,
/// even when replies are lost or when it is sent several times or to several
/// instances.
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

/// Matches a reply to its command or query within one instance.
using OperatorTicket = Number<struct OperatorTicketTag>;

/// Audit trail entry of one accepted change.
struct AuditRow {
  Revision m_revision;
  CommandId m_command;
  OperatorId m_operator;
  WallTime m_wall_time;
  ObjectKey m_key;
  std::optional<std::string> m_before;  ///< Unset when it was created.
  std::optional<std::string> m_after;   ///< Unset when it was deleted.
  std::string m_note;                   ///< Set for planned changes only.
};

/// Operation of a command on its object.
enum class CommandAction {
  kSet,           ///< Replaces the whole object.
  kMerge,         ///< Writes the given fields and keeps the others (RFC 7396).
  kDelete,        ///< Deletes the object.
  kApplyPlanned,  ///< Applies a planned change that is due.
};

/// Operator command.
struct OperatorCommand {
  OperatorTicket m_ticket;
  CommandId m_command;
  OperatorId m_operator;
  CommandAction m_action = CommandAction::kSet;
  ObjectKey m_key;
  std::string m_json;  ///< For kSet and kMerge.
  /// Required revision of the object's last change; zero requires that the
  /// object does not exist. Unset to skip the check.
  std::optional<Revision> m_expected;
};

/// Kind of a query about past commands.
enum class QueryKind {
  kCommand,  ///< Whether a command took effect.
  kAudit,    ///< Audit trail entries after a revision.
};

/// Query about past commands.
struct OperatorQuery {
  OperatorTicket m_ticket;
  QueryKind m_kind = QueryKind::kAudit;
  CommandId m_command;  ///< For kCommand.
  Revision m_after;     ///< For kAudit.
  int m_limit = 100;    ///< Most rows to return, for kAudit.
};

/// Result of a command or query.
enum class OperatorResult {
  kAccepted,  ///< The change is committed, or the query succeeded.
  kRefused,   ///< Nothing was changed; see the findings, if any.
  kConflict,  ///< Nothing was changed; the object was changed meanwhile.
  kUnknown,   ///< The commit's reply was lost and its outcome is unknown.
  kNotFound,  ///< No change with this command id has been accepted.
};

/// The change that a rejected command conflicted with.
struct ConflictWinner {
  Revision m_revision;  ///< Zero when unknown.
  OperatorId m_operator;
  WallTime m_wall_time;
};

/// Reply to a command or query.
struct OperatorReply {
  OperatorTicket m_ticket;
  CommandId m_command;
  OperatorResult m_result = OperatorResult::kRefused;
  Revision m_revision;      ///< Set when accepted.
  bool m_repeated = false;  ///< Earlier result of a duplicate command.
  Findings m_findings;      ///< Set when refused.
  std::optional<ConflictWinner> m_winner;
  std::vector<AuditRow> m_audit;  ///< Result of a query.
};

/// Commands and queries received from adapters; drained every tick.
struct OperatorInbox {
  std::vector<OperatorCommand> m_commands;
  std::vector<OperatorQuery> m_queries;
};

/// Settings of the operator commands.
struct OperatorParameters {
  /// Time from receipt after which a command that is not accepted fails.
  Duration m_command_timeout = std::chrono::seconds(8);
  /// Mean delay before a failed step is retried.
  Duration m_retry_delay = std::chrono::milliseconds(100);
};

/// Processing stage of a command: what it waits for.
enum class CommandStage {
  kWaiting,        ///< For its next retry.
  kReading,        ///< For the rows of the head and of the command id.
  kCatchUp,        ///< For this instance to adopt the head revision.
  kCommitting,     ///< For the result of its commit.
  kReadingWinner,  ///< For the audit row of the conflicting change.
  kAdopting,       ///< Committed; for this instance to adopt its revision.
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
  /// Head version that a commit with an unknown outcome required. While the
  /// head still has this version, that commit can still take effect.
  std::optional<RowVersion> m_unsettled;
  /// Revision of the object when the command was first validated.
  std::optional<Revision> m_seen;
  std::vector<ConfigurationChange> m_changes;  ///< Changes being committed.
  OperatorReply m_reply;
};

/// A query in progress.
struct PendingQuery {
  OperatorQuery m_query;
  StoreOperationId m_operation;
};

/// State of operator commands and queries.
struct OperatorState {
  OperatorParameters m_parameters;
  OperatorInbox m_inbox;
  std::vector<OperatorReply> m_replies;  ///< Removed by the adapter.
  std::map<OperatorTicket, PendingCommand> m_commands;
  std::map<OperatorTicket, PendingQuery> m_queries;
  std::uint64_t m_last_ticket = 0;

  /// @return a ticket that is unique within this process.
  OperatorTicket NewTicket() { return OperatorTicket(++m_last_ticket); }
};

/// Processes operator commands, queries and table service results for a tick.
void RunOperatorCommands(World& world, TimePoint now);

/// Propagation of a configuration revision to the instances.
struct InForceReport {
  int m_confirmed = 0;
  int m_instances = 0;
  std::vector<InstanceId> m_waiting;  ///< Instances that have not confirmed.
};

/// @return which instances confirmed a revision; dead ones are not counted.
InForceReport ReportInForce(const World& world, Revision revision);

}  // namespace nutmeghollow
