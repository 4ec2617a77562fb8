/// @file
/// Configuration set by operators: objects, revisions and changes.
///
/// An object is identified by its kind and id and is stored as JSON text. Each
/// accepted change writes or deletes one object and increments the revision by
/// one. An instance applies a revision only if it is higher than its own.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Kind of a configuration object.
enum class ObjectKind {
  kCustomer,
  kRoute,
  kUpstream,
  kService,
  kPriority,
  kPlannedChange,
  kCount,
};

/// @return the name of a kind in the operator API and in stored rows.
const char* ObjectKindName(ObjectKind kind);
/// @return the kind with a name, or nothing if the name is unknown.
std::optional<ObjectKind> ParseObjectKind(std::string_view name);

/// Identifies a configuration object.
struct ObjectKey {
  ObjectKind m_kind = ObjectKind::kCustomer;
  std::string m_id;
  auto operator<=>(const ObjectKey&) const = default;
};

/// A configuration object and the revision that last wrote it.
struct ObjectRow {
  Revision m_revision;
  std::string m_json;
};

/// One accepted change.
struct ConfigurationChange {
  Revision m_revision;
  ObjectKey m_key;
  std::optional<std::string> m_json;  ///< Unset when the object was deleted.
};

/// A complete configuration, or the changes since a revision.
struct ConfigurationTransfer {
  Revision m_revision;   ///< Revision after the transfer.
  bool m_whole = false;  ///< Complete: replaces all existing objects.
  /// Revision that the changes apply to; unused in a complete transfer.
  Revision m_since;
  std::vector<ConfigurationChange> m_changes;
};

/// Configuration that this instance has applied.
struct ConfigurationTable {
  Revision m_revision;      ///< Zero until one has been applied.
  Revision m_highest_seen;  ///< Highest revision known to exist.
  std::map<ObjectKey, ObjectRow> m_objects;
  std::deque<ConfigurationChange> m_recent_changes;  ///< Oldest first.
  /// Incremented whenever tables derived from the configuration change.
  std::uint64_t m_generation = 0;
  /// Customers by the hex SHA-256 digest of each of their tokens.
  std::unordered_map<std::string, CustomerId> m_customers_by_token;
  /// True when the last contact with the table service or a peer is longer ago
  /// than the isolation limit; the instance then accepts no new requests.
  bool m_isolated = false;

  /// @return true once a configuration has been applied.
  bool Ready() const { return m_revision.value() > 0; }
  /// @return the row of an object, or null.
  const ObjectRow* Find(const ObjectKey& key) const {
    auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
  }
};

/// Configuration transfers received by the adapters, consumed in each tick.
struct ConfigurationInbox {
  std::vector<ConfigurationTransfer> m_transfers;
};

}  // namespace nutmeghollow
