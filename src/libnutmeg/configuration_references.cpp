// Validation of the references between configuration objects.
#include <utility>

#include "nutmeghollow/configuration_schema.h"

namespace nutmeghollow {
namespace {

std::string PlaceOf(const ObjectKey& key) {
  return std::string(ObjectKindName(key.m_kind)) + "/" + key.m_id;
}

/// A reference from one configuration object to another.
struct Reference {
  std::string m_place;  ///< Path of the referring field.
  ObjectKey m_target;
  /// Required kind of the target if it is an upstream.
  UpstreamKind m_upstream_kind = UpstreamKind::kEngine;
};

std::vector<Reference> UpstreamReferences(const ObjectKey& from,
                                          const std::vector<UpstreamId>& ids,
                                          UpstreamKind kind) {
  std::vector<Reference> references;
  for (std::size_t index = 0; index < ids.size(); ++index) {
    references.push_back({PlaceOf(from) + "/upstreams/" + std::to_string(index),
                          {ObjectKind::kUpstream, ids[index].str()},
                          kind});
  }
  return references;
}

std::vector<Reference> ReferencesOf(const ObjectKey& key,
                                    const std::string& json) {
  Findings ignored;
  switch (key.m_kind) {
    case ObjectKind::kRoute:
      return UpstreamReferences(key,
                                ParseRoute(key.m_id, json, ignored).m_upstreams,
                                UpstreamKind::kEngine);
    case ObjectKind::kService:
      return UpstreamReferences(
          key, ParseService(key.m_id, json, ignored).m_upstreams,
          UpstreamKind::kService);
    case ObjectKind::kCustomer: {
      const CustomerRow row = ParseCustomer(key.m_id, json, ignored);
      if (row.m_priority.empty()) {
        return {};
      }
      return {{PlaceOf(key) + "/priority",
               {ObjectKind::kPriority, row.m_priority.str()}}};
    }
    default:
      return {};
  }
}

/// Reports a reference to a missing object or to an upstream of the wrong kind.
void CheckReference(const Reference& reference,
                    const std::string* target_json,
                    Findings& findings) {
  if (target_json == nullptr) {
    findings.push_back(
        {reference.m_place, PlaceOf(reference.m_target) + " does not exist"});
    return;
  }
  if (reference.m_target.m_kind != ObjectKind::kUpstream) {
    return;
  }
  Findings ignored;
  const UpstreamRow row =
      ParseUpstream(reference.m_target.m_id, *target_json, ignored);
  if (row.m_kind != reference.m_upstream_kind) {
    findings.push_back(
        {reference.m_place,
         PlaceOf(reference.m_target) + (row.m_kind == UpstreamKind::kEngine
                                            ? " is an engine"
                                            : " is a service server")});
  }
}

void CheckOutgoing(const ConfigurationTable& table,
                   const ObjectKey& key,
                   const std::string& json,
                   Findings& findings) {
  for (const Reference& reference : ReferencesOf(key, json)) {
    const ObjectRow* target = table.Find(reference.m_target);
    CheckReference(reference, target == nullptr ? nullptr : &target->m_json,
                   findings);
  }
}

/// Checks the objects that refer to a changed upstream or priority class.
void CheckIncoming(const ConfigurationTable& table,
                   const ObjectKey& key,
                   const std::optional<std::string>& json,
                   Findings& findings) {
  if (key.m_kind != ObjectKind::kUpstream &&
      key.m_kind != ObjectKind::kPriority) {
    return;
  }
  for (const auto& [other_key, other] : table.m_objects) {
    for (const Reference& reference : ReferencesOf(other_key, other.m_json)) {
      if (reference.m_target == key) {
        CheckReference(reference, json ? &*json : nullptr, findings);
      }
    }
  }
}

/// Reports token digests that another customer uses already.
void CheckDuplicateTokens(const ConfigurationTable& table,
                          const ObjectKey& key,
                          const std::string& json,
                          Findings& findings) {
  if (key.m_kind != ObjectKind::kCustomer) {
    return;
  }
  Findings ignored;
  const CustomerRow row = ParseCustomer(key.m_id, json, ignored);
  for (const std::string& digest : row.m_token_digests) {
    auto found = table.m_customers_by_token.find(digest);
    if (found != table.m_customers_by_token.end() &&
        found->second != row.m_id) {
      findings.push_back(
          {PlaceOf(key) + "/token_digests",
           "a token belongs to customer/" + found->second.str() + " already"});
    }
  }
}

/// Validates a planned merge patch as if it were applied to the current
/// configuration. A planned complete object is validated when it is parsed.
void CheckPlannedMerge(const ConfigurationTable& table,
                       const ObjectKey& key,
                       const std::string& json,
                       Findings& findings) {
  if (key.m_kind != ObjectKind::kPlannedChange || !findings.empty()) {
    return;
  }
  const PlannedChange planned = ParsePlannedChange(key.m_id, json, findings);
  if (!planned.m_merge) {
    return;
  }
  const std::optional<std::string> object = PlannedObject(table, planned);
  for (Finding& finding : ValidateChange(table, planned.m_key, object)) {
    findings.push_back({PlaceOf(key) + "/object: " + finding.m_place,
                        std::move(finding.m_message)});
  }
}

}  // namespace

Findings ValidateChange(const ConfigurationTable& table,
                        const ObjectKey& key,
                        const std::optional<std::string>& json) {
  Findings findings;
  if (json) {
    findings = ValidateObject(key, *json);
    CheckOutgoing(table, key, *json, findings);
    CheckDuplicateTokens(table, key, *json, findings);
    CheckPlannedMerge(table, key, *json, findings);
  } else if (table.Find(key) == nullptr) {
    findings.push_back({PlaceOf(key), "does not exist"});
  }
  CheckIncoming(table, key, json, findings);
  return findings;
}

}  // namespace nutmeghollow
