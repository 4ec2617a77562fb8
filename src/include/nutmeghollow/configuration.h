/// @file
/// The operators' configuration: objects, revisions and changes.
///
/// An object has a kind and an id and is held as a JSON text. Each accepted
/// change raises the revision by one and touches one object. An instance
/// adopts a revision only if it is higher than its own.
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

/// @return the word that operators use for a kind.
const char* ObjectKindName(ObjectKind kind);
/// @return the kind that a word names, if any.
std::optional<ObjectKind> ParseObjectKind(std::string_view word);

/// Identifies a configuration object.
struct ObjectKey {
  ObjectKind m_kind = ObjectKind::kCustomer;
  std::string m_id;
  auto operator<=>(const ObjectKey&) const = default;
};

/// A configuration object and the revision that wrote it.
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

/// A whole configuration, or the changes after a revision.
struct ConfigurationTransfer {
  Revision m_revision;   ///< Revision after the transfer.
  bool m_whole = false;  ///< True: replaces everything held before.
  /// Revision that the changes start from; unused when whole.
  Revision m_since;
  std::vector<ConfigurationChange> m_changes;
};

/// Configuration in force on this instance.
struct ConfigurationTable {
  Revision m_revision;      ///< Zero until one has been adopted.
  Revision m_highest_seen;  ///< Highest revision heard of from anybody.
  std::map<ObjectKey, ObjectRow> m_objects;
  std::deque<ConfigurationChange> m_recent_changes;  ///< Oldest first.
  /// Grows whenever tables derived from the configuration changed.
  std::uint64_t m_generation = 0;
  /// Customers by the SHA-256 digest of each of their tokens, in hex.
  std::unordered_map<std::string, CustomerId> m_customers_by_token;
  /// True while neither the table service nor any peer was reached for long:
  /// the instance takes no new work.
  bool m_isolated = false;

  /// @return true once a configuration is in force.
  bool Ready() const { return m_revision.value() > 0; }
  /// @return the row of an object, or null.
  const ObjectRow* Find(const ObjectKey& key) const {
    auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
  }
};

/// What adapters report about configuration, emptied each tick.
struct ConfigurationInbox {
  std::vector<ConfigurationTransfer> m_transfers;
};

}  // namespace nutmeghollow
