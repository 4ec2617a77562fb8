#include "nutmeghollow/operator_commands.h"

#include <fmt/core.h>
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libnutmeg/configuration_rows.h"
#include "libnutmeg/operator_queries.h"
#include "nutmeghollow/configuration_schema.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow {
namespace {

using Json = nlohmann::json;

constexpr char kTableServicePlace[] = "table service";

/// @return a digest of a command's content, which tells a retransmission from
/// another command with the same id.
std::string CommandDigest(const OperatorCommand& command) {
  const std::string text = fmt::format(
      "{}\n{}\n{}\n{}\n{}\n{}", command.m_operator.str(),
      static_cast<int>(command.m_action), ObjectKindName(command.m_key.m_kind),
      command.m_key.m_id,
      command.m_expected ? std::to_string(command.m_expected->value()) : "any",
      command.m_json);
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

/// Sends the reply, unless the command is a planned change that this instance
/// applies, and removes the command.
void Reply(World& world, PendingCommand& pending, OperatorResult result) {
  pending.m_reply.m_ticket = pending.m_command.m_ticket;
  pending.m_reply.m_command = pending.m_command.m_command;
  pending.m_reply.m_result = result;
  if (pending.m_command.m_action != CommandAction::kApplyPlanned) {
    world.m_operators.m_replies.push_back(pending.m_reply);
  }
  const OperatorTicket ticket = pending.m_command.m_ticket;
  world.m_operators.m_commands.erase(ticket);
}

void Refuse(World& world, PendingCommand& pending, Findings findings) {
  pending.m_reply.m_findings = std::move(findings);
  Reply(world, pending, OperatorResult::kRefused);
}

/// Ends a command whose deadline has passed.
void HandleTimeout(World& world, PendingCommand& pending) {
  if (pending.m_unsettled) {
    Reply(world, pending, OperatorResult::kUnknown);
    return;
  }
  Refuse(
      world, pending,
      {{kTableServicePlace,
        pending.m_stage == CommandStage::kCatchUp
            ? "this instance did not receive the latest configuration in time; "
              "nothing was changed"
            : "the command was not committed in time; nothing was changed"}});
}

void ScheduleRetry(World& world, PendingCommand& pending, TimePoint now) {
  const auto delay = world.m_operators.m_parameters.m_retry_delay;
  // Uniform between 0.5 and 1.5 times the mean, so that competing commands do
  // not retry in lockstep.
  const auto jitter = Duration(static_cast<std::int64_t>(
      world.m_hooks.m_random() % static_cast<std::uint64_t>(delay.count())));
  pending.m_stage = CommandStage::kWaiting;
  pending.m_retry_at = now + delay / 2 + jitter;
}

void StartRead(World& world,
               PendingCommand& pending,
               CommandStage stage,
               std::vector<std::string> keys) {
  pending.m_stage = stage;
  pending.m_operation = world.NewStoreOperation();
  world.m_actions.push_back(ReadStore{.m_purpose = StorePurpose::kOperator,
                                      .m_operation = pending.m_operation,
                                      .m_keys = std::move(keys)});
}

void StartHeadRead(World& world, PendingCommand& pending) {
  StartRead(
      world, pending, CommandStage::kReading,
      {detail::kHeadKey, detail::CommandRowKey(pending.m_command.m_command)});
}

// Conflicts.

/// @return the revision of the last change of an object; zero if unknown.
Revision LastChangeRevision(const World& world, const ObjectKey& key) {
  if (const ObjectRow* row = world.m_configuration.Find(key)) {
    return row->m_revision;
  }
  const auto& recent = world.m_configuration.m_recent_changes;
  for (auto change = recent.rbegin(); change != recent.rend(); ++change) {
    if (change->m_key == key) {
      return change->m_revision;
    }
  }
  return Revision();
}

/// Reads the audit row of the conflicting change for the reply. Replies
/// without it if its revision is unknown.
void StartConflictRead(World& world, PendingCommand& pending) {
  const Revision winner = LastChangeRevision(world, pending.m_command.m_key);
  pending.m_reply.m_winner = ConflictWinner{.m_revision = winner};
  if (winner == Revision()) {
    Reply(world, pending, OperatorResult::kConflict);
    return;
  }
  StartRead(world, pending, CommandStage::kReadingWinner,
            {detail::AuditRowKey(winner)});
}

void OnConflictRead(World& world,
                    PendingCommand& pending,
                    const StoreResult& result) {
  for (const StoreRow& row : result.m_rows) {
    if (const std::optional<AuditRow> audit =
            detail::DecodeAudit(row.m_value)) {
      pending.m_reply.m_winner = ConflictWinner{
          audit->m_revision, audit->m_operator, audit->m_wall_time};
    }
  }
  Reply(world, pending, OperatorResult::kConflict);
}

// Validation and commit.

/// @return the object after the command; unset when it is deleted. Text that
/// is not valid JSON is returned unchanged.
std::optional<std::string> ResultingObject(const OperatorCommand& command,
                                           const ObjectRow* current) {
  if (command.m_action == CommandAction::kDelete) {
    return std::nullopt;
  }
  const bool merge = command.m_action == CommandAction::kMerge;
  const std::string text =
      merge ? ApplyMergePatch(current == nullptr ? nullptr : &current->m_json,
                              command.m_json)
            : command.m_json;
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    return text;  // ValidateChange reports the syntax error.
  }
  if (command.m_key.m_kind == ObjectKind::kPlannedChange && json.is_object()) {
    json["operator"] = command.m_operator.str();
  }
  return json.dump();
}

/// @param note receives the note of the audit rows: the origin of the change,
/// or the findings if the planned change is invalid.
/// @return the change that was planned, followed by the removal of the plan.
/// For an invalid planned change only the removal.
std::vector<ConfigurationChange> ExpandPlannedChange(const World& world,
                                                     const ObjectKey& plan,
                                                     std::string& note) {
  Findings findings;
  const PlannedChange planned = ParsePlannedChange(
      plan.m_id, world.m_configuration.Find(plan)->m_json, findings);
  const std::optional<std::string> object =
      PlannedObject(world.m_configuration, planned);
  for (Finding& finding :
       ValidateChange(world.m_configuration, planned.m_key, object)) {
    findings.push_back(std::move(finding));
  }
  std::vector<ConfigurationChange> changes;
  if (findings.empty()) {
    changes.push_back({Revision(), planned.m_key, object});
    note = "planned as change/" + plan.m_id;
  } else {
    note = "planned change refused when due:";
    for (const Finding& finding : findings) {
      note += " " + finding.m_place + " " + finding.m_message + ";";
    }
  }
  changes.push_back({Revision(), plan, std::nullopt});
  return changes;
}

/// @return the object, audit, head and command rows of the commit.
std::vector<StoreWrite> MakeWrites(const World& world,
                                   const PendingCommand& pending,
                                   const std::string& note) {
  const OperatorCommand& command = pending.m_command;
  std::vector<StoreWrite> writes;
  for (const ConfigurationChange& change : pending.m_changes) {
    const ObjectRow* before = world.m_configuration.Find(change.m_key);
    const AuditRow audit{.m_revision = change.m_revision,
                         .m_command = command.m_command,
                         .m_operator = command.m_operator,
                         .m_wall_time = world.m_hooks.m_wall_time(),
                         .m_key = change.m_key,
                         .m_before = before == nullptr
                                         ? std::nullopt
                                         : std::optional(before->m_json),
                         .m_after = change.m_json,
                         .m_note = note};
    std::optional<std::string> object;
    if (change.m_json) {
      object = detail::EncodeObject({change.m_revision, *change.m_json});
    }
    writes.push_back({detail::ObjectRowKey(change.m_key), std::move(object)});
    writes.push_back(
        {detail::AuditRowKey(change.m_revision), detail::EncodeAudit(audit)});
  }
  const Revision last = pending.m_changes.back().m_revision;
  writes.push_back({detail::kHeadKey, detail::EncodeHead(last)});
  // The row of a command with two changes has the revision of the first one.
  writes.push_back({detail::CommandRowKey(command.m_command),
                    detail::EncodeCommand({pending.m_changes.front().m_revision,
                                           CommandDigest(command)})});
  return writes;
}

void StartCommit(World& world,
                 PendingCommand& pending,
                 std::vector<ConfigurationChange> changes,
                 const std::string& note) {
  Revision revision = pending.m_head;
  for (ConfigurationChange& change : changes) {
    revision = revision.Next();
    change.m_revision = revision;
  }
  pending.m_changes = std::move(changes);
  pending.m_stage = CommandStage::kCommitting;
  pending.m_operation = world.NewStoreOperation();
  world.m_actions.push_back(CommitStore{
      .m_purpose = StorePurpose::kOperator,
      .m_operation = pending.m_operation,
      .m_preconditions = {{detail::kHeadKey, pending.m_head_version},
                          {detail::CommandRowKey(pending.m_command.m_command),
                           RowVersion()}},
      .m_writes = MakeWrites(world, pending, note)});
}

void PreparePlanned(World& world, PendingCommand& pending) {
  const ObjectRow* plan = world.m_configuration.Find(pending.m_command.m_key);
  if (plan == nullptr || plan->m_revision != pending.m_command.m_expected) {
    // Cancelled, changed, or already applied by another instance.
    Refuse(world, pending, {});
    return;
  }
  std::string note;
  std::vector<ConfigurationChange> changes =
      ExpandPlannedChange(world, pending.m_command.m_key, note);
  StartCommit(world, pending, std::move(changes), note);
}

/// Validates a command against the configuration of the head revision and
/// starts its commit.
void Prepare(World& world, PendingCommand& pending) {
  const OperatorCommand& command = pending.m_command;
  if (command.m_action == CommandAction::kApplyPlanned) {
    PreparePlanned(world, pending);
    return;
  }
  const ObjectRow* current = world.m_configuration.Find(command.m_key);
  const Revision revision =
      current == nullptr ? Revision() : current->m_revision;
  const bool changed_concurrently =
      pending.m_seen && *pending.m_seen != revision;
  if (changed_concurrently ||
      (command.m_expected && *command.m_expected != revision)) {
    StartConflictRead(world, pending);
    return;
  }
  pending.m_seen = revision;
  std::optional<std::string> after = ResultingObject(command, current);
  Findings findings =
      ValidateChange(world.m_configuration, command.m_key, after);
  if (!findings.empty()) {
    Refuse(world, pending, std::move(findings));
    return;
  }
  StartCommit(world, pending, {{Revision(), command.m_key, std::move(after)}},
              "");
}

// Results of the table service.

/// Handles a command whose id the table service already has: reports the first
/// result, or refuses the command if its content differs.
void OnDuplicateCommand(World& world,
                        PendingCommand& pending,
                        const StoreRow& row) {
  const std::optional<detail::CommandRow> first =
      detail::DecodeCommand(row.m_value);
  if (!first || first->m_digest != CommandDigest(pending.m_command)) {
    Refuse(world, pending,
           {{row.m_key,
             "this command id was already used for another command; "
             "nothing was changed"}});
    return;
  }
  Revision& highest = world.m_configuration.m_highest_seen;
  highest = std::max(highest, first->m_revision);
  pending.m_reply.m_revision = first->m_revision;
  pending.m_reply.m_repeated = !pending.m_unsettled;
  // The reply is delayed until this instance has adopted the change, so that
  // a read after the reply returns it; past the deadline it is sent anyway.
  pending.m_stage = CommandStage::kAdopting;
}

/// Validates the command if this instance is at the head revision that was
/// read. Reads the head again if the instance is ahead; otherwise waits until
/// it has caught up.
void ContinueAtHead(World& world, PendingCommand& pending) {
  const Revision own = world.m_configuration.m_revision;
  if (own > pending.m_head) {
    StartHeadRead(world, pending);
  } else if (own == pending.m_head) {
    Prepare(world, pending);
  } else {
    pending.m_stage = CommandStage::kCatchUp;
    Revision& highest = world.m_configuration.m_highest_seen;
    highest = std::max(highest, pending.m_head);
  }
}

void OnRead(World& world, PendingCommand& pending, const StoreResult& result) {
  const std::string command_key =
      detail::CommandRowKey(pending.m_command.m_command);
  if (const StoreRow* row = detail::FindRow(result, command_key)) {
    OnDuplicateCommand(world, pending, *row);
    return;
  }
  const StoreRow* head = detail::FindRow(result, detail::kHeadKey);
  pending.m_head_version = head == nullptr ? RowVersion() : head->m_version;
  pending.m_head = head == nullptr
                       ? Revision()
                       : detail::DecodeHead(head->m_value).value_or(Revision());
  if (pending.m_unsettled && *pending.m_unsettled != pending.m_head_version) {
    pending.m_unsettled.reset();
  }
  ContinueAtHead(world, pending);
}

void OnCommitted(World& world, PendingCommand& pending, TimePoint now) {
  const ConfigurationTransfer transfer{
      .m_revision = pending.m_changes.back().m_revision,
      .m_since = pending.m_head,
      .m_changes = pending.m_changes};
  pending.m_reply.m_revision = pending.m_changes.front().m_revision;
  ApplyTransfer(world, transfer, now);
  Reply(world, pending, OperatorResult::kAccepted);
}

void OnCommitResult(World& world,
                    PendingCommand& pending,
                    const StoreResult& result,
                    TimePoint now) {
  switch (result.m_status) {
    case StoreStatus::kDone:
      OnCommitted(world, pending, now);
      break;
    case StoreStatus::kUnknown:
      pending.m_unsettled = pending.m_head_version;
      ScheduleRetry(world, pending, now);
      break;
    case StoreStatus::kConflict:
    case StoreStatus::kUnavailable:
      ScheduleRetry(world, pending, now);
      break;
  }
}

void OnCommandResult(World& world,
                     PendingCommand& pending,
                     const StoreResult& result,
                     TimePoint now) {
  switch (pending.m_stage) {
    case CommandStage::kReading:
      if (result.m_status == StoreStatus::kDone) {
        OnRead(world, pending, result);
      } else {
        ScheduleRetry(world, pending, now);
      }
      break;
    case CommandStage::kCommitting:
      OnCommitResult(world, pending, result, now);
      break;
    case CommandStage::kReadingWinner:
      OnConflictRead(world, pending, result);
      break;
    case CommandStage::kWaiting:
    case CommandStage::kCatchUp:
    case CommandStage::kAdopting:
      break;
  }
}

// Steps of a tick.

void ProcessInbox(World& world, TimePoint now) {
  OperatorState& state = world.m_operators;
  OperatorInbox inbox = std::exchange(state.m_inbox, {});
  for (OperatorCommand& command : inbox.m_commands) {
    PendingCommand& pending = state.m_commands[command.m_ticket];
    pending.m_command = std::move(command);
    pending.m_deadline = now + state.m_parameters.m_command_timeout;
    StartHeadRead(world, pending);
  }
  for (const OperatorQuery& query : inbox.m_queries) {
    detail::StartQuery(world, query);
  }
}

void ProcessStoreResults(World& world, TimePoint now) {
  auto& inbox =
      world.m_store_results[static_cast<int>(StorePurpose::kOperator)];
  for (const StoreResult& result : std::exchange(inbox, {})) {
    OperatorState& state = world.m_operators;
    auto command = std::find_if(
        state.m_commands.begin(), state.m_commands.end(), [&](auto& entry) {
          return entry.second.m_operation == result.m_operation;
        });
    if (command != state.m_commands.end()) {
      OnCommandResult(world, command->second, result, now);
      continue;
    }
    auto query = std::find_if(
        state.m_queries.begin(), state.m_queries.end(), [&](auto& entry) {
          return entry.second.m_operation == result.m_operation;
        });
    if (query != state.m_queries.end()) {
      detail::HandleQueryResult(world, query->second, result);
    }
  }
}

void Advance(World& world, PendingCommand& pending, TimePoint now) {
  if (pending.m_stage == CommandStage::kAdopting) {
    if (now >= pending.m_deadline ||
        world.m_configuration.m_revision >= pending.m_reply.m_revision) {
      Reply(world, pending, OperatorResult::kAccepted);
    }
    return;
  }
  const bool idle = pending.m_stage == CommandStage::kWaiting ||
                    pending.m_stage == CommandStage::kCatchUp;
  if (!idle) {
    return;
  }
  if (now >= pending.m_deadline) {
    HandleTimeout(world, pending);
  } else if (pending.m_stage == CommandStage::kCatchUp) {
    if (world.m_configuration.m_revision >= pending.m_head) {
      ContinueAtHead(world, pending);
    }
  } else if (now >= pending.m_retry_at) {
    StartHeadRead(world, pending);
  }
}

}  // namespace

void RunOperatorCommands(World& world, TimePoint now) {
  ProcessInbox(world, now);
  ProcessStoreResults(world, now);
  auto& commands = world.m_operators.m_commands;
  for (auto command = commands.begin(); command != commands.end();) {
    auto next = std::next(command);
    Advance(world, command->second, now);
    command = next;
  }
}

InForceReport ReportInForce(const World& world, Revision revision) {
  InForceReport report;
  for (const auto& [id, row] : world.m_instances.m_rows) {
    if (row.m_status == InstanceStatus::kDead) {
      continue;
    }
    ++report.m_instances;
    const Revision confirmed = id == world.m_instances.m_self
                                   ? world.m_configuration.m_revision
                                   : row.m_revision;
    if (confirmed >= revision) {
      ++report.m_confirmed;
    } else {
      report.m_waiting.push_back(id);
    }
  }
  return report;
}

}  // namespace nutmeghollow
