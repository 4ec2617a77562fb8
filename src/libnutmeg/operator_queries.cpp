// Operator queries about the audit trail and about commands.
#include "libnutmeg/operator_queries.h"

#include <utility>

#include "libnutmeg/configuration_rows.h"
#include "nutmeghollow/world.h"

namespace nutmeghollow::detail {
namespace {

void FinishQuery(World& world,
                 const PendingQuery& pending,
                 OperatorReply reply) {
  reply.m_ticket = pending.m_query.m_ticket;
  reply.m_command = pending.m_query.m_command;
  world.m_operators.m_replies.push_back(std::move(reply));
  const OperatorTicket ticket = pending.m_query.m_ticket;
  world.m_operators.m_queries.erase(ticket);
}

/// Starts the read of the audit row of a command that was found.
void StartAuditRead(World& world, PendingQuery& pending, Revision revision) {
  pending.m_operation = world.NewStoreOperation();
  world.m_actions.push_back(ReadStore{.m_purpose = StorePurpose::kOperator,
                                      .m_operation = pending.m_operation,
                                      .m_keys = {AuditRowKey(revision)}});
}

}  // namespace

void StartQuery(World& world, const OperatorQuery& query) {
  const StoreOperationId operation = world.NewStoreOperation();
  world.m_operators.m_queries[query.m_ticket] = {query, operation};
  if (query.m_kind == QueryKind::kCommand) {
    world.m_actions.push_back(
        ReadStore{.m_purpose = StorePurpose::kOperator,
                  .m_operation = operation,
                  .m_keys = {CommandRowKey(query.m_command)}});
    return;
  }
  world.m_actions.push_back(ScanStore{.m_purpose = StorePurpose::kOperator,
                                      .m_operation = operation,
                                      .m_prefix = kAuditPrefix,
                                      .m_after = AuditRowKey(query.m_after),
                                      .m_limit = query.m_limit});
}

void HandleQueryResult(World& world,
                       PendingQuery& pending,
                       const StoreResult& result) {
  OperatorReply reply;
  if (result.m_status != StoreStatus::kDone) {
    reply.m_findings = {{"table service", "is unavailable; try again later"}};
    FinishQuery(world, pending, std::move(reply));
    return;
  }
  for (const StoreRow& row : result.m_rows) {
    const auto command = row.m_key.starts_with(kCommandPrefix)
                             ? DecodeCommand(row.m_value)
                             : std::nullopt;
    if (command) {
      StartAuditRead(world, pending, command->m_revision);
      return;
    }
    if (std::optional<AuditRow> audit = DecodeAudit(row.m_value)) {
      reply.m_audit.push_back(std::move(*audit));
    }
  }
  const bool found =
      pending.m_query.m_kind == QueryKind::kAudit || !reply.m_audit.empty();
  reply.m_result =
      found ? OperatorResult::kAccepted : OperatorResult::kNotFound;
  reply.m_revision = reply.m_audit.empty() ? world.m_configuration.m_revision
                                           : reply.m_audit.back().m_revision;
  FinishQuery(world, pending, std::move(reply));
}

}  // namespace nutmeghollow::detail
