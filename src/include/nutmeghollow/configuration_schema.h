/// @file
/// Schema of the configuration objects: from JSON texts to typed rows.
///
/// Every function collects all findings instead of stopping at the first one.
#pragma once

#include <optional>
#include <string>

#include "nutmeghollow/configuration.h"
#include "nutmeghollow/findings.h"
#include "nutmeghollow/routes.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

/// Largest JSON text of one object. Two of them and the rest of an audit row
/// fit into one value of the table service.
constexpr std::size_t kObjectSizeLimit = 28 << 10;

/// A change that takes effect at a set time.
struct PlannedChange {
  WallTime m_at;                      ///< When it is due.
  ObjectKey m_key;                    ///< Object to write or delete.
  std::optional<std::string> m_json;  ///< Unset to delete the object.
  bool m_merge = false;   ///< Only the given fields change (RFC 7396).
  OperatorId m_operator;  ///< Who planned it.
};

/// Parsers of one kind each. Findings are appended; fields with findings keep
/// their defaults. Only the configured fields of the row are set.
/// @param id identifier of the object.
/// @param json the object's text.
CustomerRow ParseCustomer(const std::string& id,
                          const std::string& json,
                          Findings& findings);
RouteRow ParseRoute(const std::string& id,
                    const std::string& json,
                    Findings& findings);
UpstreamRow ParseUpstream(const std::string& id,
                          const std::string& json,
                          Findings& findings);
ServiceRow ParseService(const std::string& id,
                        const std::string& json,
                        Findings& findings);
PriorityRow ParsePriority(const std::string& id,
                          const std::string& json,
                          Findings& findings);
PlannedChange ParsePlannedChange(const std::string& id,
                                 const std::string& json,
                                 Findings& findings);

/// @return the object that a planned change leads to, given the present
/// configuration; unset when the change deletes it.
std::optional<std::string> PlannedObject(const ConfigurationTable& table,
                                         const PlannedChange& change);

/// Merges fields into an object (RFC 7396).
/// @param object a JSON object, or null for none.
/// @return the merged object; `fields` as it is when it is not valid JSON.
std::string ApplyMergePatch(const std::string* object, const std::string& fields);

/// Checks one object by itself: identifier, size, syntax, fields and types.
Findings ValidateObject(const ObjectKey& key, const std::string& json);

/// Checks a change against the whole configuration: the object by itself, the
/// objects that it refers to, and those that refer to it.
/// @param json the new object, or unset to delete it.
Findings ValidateChange(const ConfigurationTable& table,
                        const ObjectKey& key,
                        const std::optional<std::string>& json);

}  // namespace nutmeghollow
