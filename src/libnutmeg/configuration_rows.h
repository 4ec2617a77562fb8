/// @file
/// Rows of the table service that hold the configuration.
///
///     head                 revision
///     object/KIND/ID       {"revision", "object"}
///     audit/REVISION       {"revision", "command", "operator", "wall_ms",
///                           "kind", "id", "before", "after", "note"}
///     command/COMMAND_ID   {"revision", "digest"}
///
/// One transaction per change writes all of them, and requires the version of
/// `head` and the absence of the command row.
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

/// Row that remembers a command's first result.
struct CommandRow {
  Revision m_revision;
  std::string m_digest;  ///< Tells another command with the same id.
};

std::string ObjectRowKey(const ObjectKey& key);
/// @return the key that the row key stands for, if it is an object's.
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

/// @return the row with a key, or null.
const StoreRow* FindRow(const StoreResult& result, const std::string& key);

}  // namespace nutmeghollow::detail
