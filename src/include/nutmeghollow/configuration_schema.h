/// @file
/// Schema of the configuration objects: parses JSON text into typed rows.
///
/// All functions collect every finding instead of stopping at the first one.
#pragma once

#include <optional>
#include <string>

#include "nutmeghollow/configuration.h"
#include "nutmeghollow/findings.h"
#include "nutmeghollow/routes.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstreams.h"

namespace nutmeghollow {

/// Maximum size of the JSON text of one object, in bytes. An audit row contains
/// two objects and must fit into one value of the table service.
constexpr std::size_t kMaxObjectBytes = 28 << 10;

/// A change that is scheduled to take effect at a given time.
struct PlannedChange {
  WallTime m_at;                      ///< Time at which it is applied.
  ObjectKey m_key;                    ///< Object to write or delete.
  std::optional<std::string> m_json;  ///< Unset to delete the object.
  bool m_merge = false;   ///< Apply m_json as a merge patch (RFC 7396).
  OperatorId m_operator;  ///< Operator who scheduled the change.
};

/// Parsers of the object kinds. Only the configured fields of a row are set;
/// absent fields and fields of the wrong type or out of range keep their
/// defaults.
/// @param id identifier of the object.
/// @param json JSON text of the object.
/// @param findings receives what is wrong with the object.
/// @return the row, also if there are findings.
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

/// @return the JSON text of the object after a planned change is applied to the
/// current configuration; unset if the change deletes the object.
std::optional<std::string> PlannedObject(const ConfigurationTable& table,
                                         const PlannedChange& change);

/// Applies a JSON merge patch to an object (RFC 7396).
/// @param object JSON text of the object, or null if it does not exist yet.
/// @param patch JSON text of the patch.
/// @return the patched object; `patch` unchanged if it is not valid JSON.
std::string ApplyMergePatch(const std::string* object,
                            const std::string& patch);

/// Validates one object on its own: identifier, size, syntax, fields and types.
Findings ValidateObject(const ObjectKey& key, const std::string& json);

/// Validates a change against the entire configuration: the object on its own,
/// the objects that it refers to, and those that refer to it.
/// @param json JSON text of the new object, or unset to delete it.
Findings ValidateChange(const ConfigurationTable& table,
                        const ObjectKey& key,
                        const std::optional<std::string>& json);

}  // namespace nutmeghollow
