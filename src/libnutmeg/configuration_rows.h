/// @file
/// Rows of the table service that store the configuration.
///
///     head                 revision
///     object/KIND/ID       {"revision", "object"}
///     audit/REVISION       {"revision", "command", "operator", "wall_ms",
///                           "kind", "id", "before", "after", "note"}
///     command/COMMAND_ID   {"revision", "digest"}
///
/// All rows of a command's changes are written in one transaction, which is
/// conditional on the version of `head` and on the absence of the command row.
#pragma once

#include <optional>
#include <string>

#include "nutmeghollow/configuration.h"
#include "nutmeghollow/operator_commands.h"
#include "nutmeghollow/store.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::detail {

inline constexpr char kHeadKey[] = "head";
inline constexpr char kObjectPrefix[] = "object/";
inline constexpr char kAuditPrefix[] = "audit/";
inline constexpr char kCommandPrefix[] = "command/";

/// Result of an executed command, returned when the command is sent again.
struct CommandRow {
  Revision m_revision;
  std::string m_digest;  ///< Detects a different command with the same id.
};

std::string ObjectRowKey(const ObjectKey& key);
/// @return the object key in a row key, or nothing if the row is no object.
std::optional<ObjectKey> ParseObjectRowKey(const std::string& row_key);
std::string AuditRowKey(Revision revision);
std::string CommandRowKey(const CommandId& command);

std::string EncodeHead(Revision revision);
std::optional<Revision> DecodeHead(const std::string& value);
std::string EncodeObject(const ObjectRow& row);
std::optional<ObjectRow> DecodeObject(const std::string& value);
std::string EncodeAudit(const AuditRow& row);
std::optional<AuditRow> DecodeAudit(const std::string& value);
std::string EncodeCommand(const CommandRow& row);
std::optional<CommandRow> DecodeCommand(const std::string& value);

/// @return the row with the given key, or null.
const StoreRow* FindRow(const StoreResult& result, const std::string& key);

}  // namespace nutmeghollow::detail
