#include "nutmeghollow/configuration_schema.h"

#include <algorithm>
#include <cctype>
#include <limits>

#include "libnutmeg/object_reader.h"

namespace nutmeghollow {
namespace {

using detail::NumberRange;
using detail::ObjectReader;
using Json = nlohmann::json;

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kTokenDigestHexDigits = 64;
constexpr int kMillisecondsPerDay = 86'400'000;
constexpr NumberRange kCountRange{0, 1'000'000};
constexpr NumberRange kRateRange{0, 1e9};
constexpr NumberRange kWeightRange{0.001, 1000};
constexpr NumberRange kBoundRange{1.0, 100};
constexpr NumberRange kShareRange{0, 1};
constexpr NumberRange kRankRange{0, 1000};
constexpr NumberRange kDelayRangeMs{0, kMillisecondsPerDay};
constexpr NumberRange kWallTimeRangeMs{1, 253'402'300'799'000};  // Year 9999

std::string PlaceOf(ObjectKind kind, const std::string& id) {
  return std::string(ObjectKindName(kind)) + "/" + id;
}

bool IsTokenDigest(const std::string& text) {
  return text.size() == kTokenDigestHexDigits &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
         });
}

bool IsPort(const std::string& text) {
  if (text.empty() || text.size() > 5 ||
      !std::all_of(text.begin(), text.end(),
                   [](unsigned char c) { return std::isdigit(c) != 0; })) {
    return false;
  }
  const int port = std::stoi(text);
  return port > 0 && port <= std::numeric_limits<std::uint16_t>::max();
}

/// Checks the characters and, for IPv4, the number of dots, but not the values
/// of the parts. IPv6 addresses are in brackets.
bool IsIpAddress(const std::string& host) {
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return std::all_of(host.begin() + 1, host.end() - 1, [](unsigned char c) {
      return std::isxdigit(c) != 0 || c == ':' || c == '.';
    });
  }
  return std::count(host.begin(), host.end(), '.') == 3 &&
         std::all_of(host.begin(), host.end(), [](unsigned char c) {
           return std::isdigit(c) != 0 || c == '.';
         });
}

bool IsEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return colon != std::string::npos && IsIpAddress(text.substr(0, colon)) &&
         IsPort(text.substr(colon + 1));
}

bool IsIdCharacter(unsigned char c) {
  return std::isalnum(c) != 0 ||
         std::string_view("._:/@-").find(static_cast<char>(c)) !=
             std::string_view::npos;
}

bool IsValidId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), IsIdCharacter);
}

template <typename Id>
std::vector<Id> ReadIds(ObjectReader& reader, const std::string& field) {
  std::vector<std::string> texts;
  reader.ReadTexts(field, texts);
  return {texts.begin(), texts.end()};
}

int ReadCount(ObjectReader& reader,
              const std::string& field,
              int default_value) {
  std::int64_t value = default_value;
  reader.ReadInteger(field, value, kCountRange);
  return static_cast<int>(value);
}

void ReadWantedState(ObjectReader& reader, UpstreamRow& row) {
  const Json* wanted = reader.Field("wanted");
  if (wanted == nullptr || wanted->is_null()) {
    return;
  }
  if (row.m_kind != UpstreamKind::kEngine) {
    reader.Report("wanted", "applies to engines only");
    return;
  }
  if (!wanted->is_object()) {
    reader.Report("wanted", "must be an object");
    return;
  }
  for (const auto& [field, value] : wanted->items()) {
    const bool known = field == "model" || field == "adapter" ||
                       field == "version" || field == "role";
    if (!known) {
      reader.Report("wanted/" + field, "is not a known field");
    } else if (!value.is_string()) {
      reader.Report("wanted/" + field, "must be a text");
    }
  }
  row.m_wanted_state = wanted->dump();
}

}  // namespace

CustomerRow ParseCustomer(const std::string& id,
                          const std::string& json,
                          Findings& findings) {
  ObjectReader reader(json, PlaceOf(ObjectKind::kCustomer, id), findings);
  CustomerRow row{.m_id = CustomerId(id)};
  std::vector<std::string> digests;
  reader.ReadTexts("token_digests", digests);
  for (const std::string& digest : digests) {
    if (!IsTokenDigest(digest)) {
      reader.Report("token_digests",
                    "must contain SHA-256 digests of 64 lower-case hex digits");
    }
  }
  row.m_token_digests = {digests.begin(), digests.end()};
  std::string priority;
  reader.ReadText("priority", priority);
  row.m_priority = PriorityId(priority);
  reader.ReadNumber("weight", row.m_weight, kWeightRange);
  row.m_concurrency_limit = ReadCount(reader, "concurrency_limit", 0);
  reader.ReadNumber("rate_limit", row.m_rate_limit, kRateRange);
  reader.Finish();
  return row;
}

RouteRow ParseRoute(const std::string& id,
                    const std::string& json,
                    Findings& findings) {
  ObjectReader reader(json, PlaceOf(ObjectKind::kRoute, id), findings);
  RouteRow row{.m_id = RouteId(id)};
  reader.Require("upstreams");
  row.m_upstreams = ReadIds<UpstreamId>(reader, "upstreams");
  reader.ReadNumber("bound", row.m_bound, kBoundRange);
  row.m_queue_limit = ReadCount(reader, "queue_limit", row.m_queue_limit);
  std::int64_t deadline_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          row.m_queue_deadline)
          .count();
  reader.ReadInteger("queue_deadline_ms", deadline_ms, kDelayRangeMs);
  row.m_queue_deadline = std::chrono::milliseconds(deadline_ms);
  reader.ReadNumber("retry_budget", row.m_retry_budget, kShareRange);
  reader.Finish();
  return row;
}

UpstreamRow ParseUpstream(const std::string& id,
                          const std::string& json,
                          Findings& findings) {
  ObjectReader reader(json, PlaceOf(ObjectKind::kUpstream, id), findings);
  UpstreamRow row{.m_id = UpstreamId(id)};
  std::string kind = "engine";
  reader.ReadText("kind", kind);
  if (kind != "engine" && kind != "service") {
    reader.Report("kind", "must be \"engine\" or \"service\"");
  }
  row.m_kind =
      kind == "service" ? UpstreamKind::kService : UpstreamKind::kEngine;
  std::string address;
  reader.Require("address");
  reader.ReadText("address", address);
  if (!address.empty() && !IsEndpoint(address)) {
    reader.Report("address", "must be an IP address and a port");
  }
  row.m_endpoint = Endpoint(address);
  std::string data_centre;
  reader.ReadText("data_centre", data_centre);
  row.m_data_centre = DataCentreId(data_centre);
  std::string region;
  reader.ReadText("region", region);
  row.m_region = RegionId(region);
  reader.ReadNumber("weight", row.m_weight, kWeightRange);
  row.m_capacity = ReadCount(reader, "capacity", 0);
  reader.ReadFlag("enforces_fencing", row.m_enforces_fencing);
  ReadWantedState(reader, row);
  reader.Finish();
  return row;
}

ServiceRow ParseService(const std::string& id,
                        const std::string& json,
                        Findings& findings) {
  ObjectReader reader(json, PlaceOf(ObjectKind::kService, id), findings);
  ServiceRow row{.m_id = ServiceId(id)};
  reader.Require("upstreams");
  row.m_upstreams = ReadIds<UpstreamId>(reader, "upstreams");
  std::vector<std::string> methods(row.m_non_idempotent_methods.begin(),
                                   row.m_non_idempotent_methods.end());
  reader.ReadTexts("non_idempotent_methods", methods);
  for (const std::string& method : methods) {
    if (!std::all_of(method.begin(), method.end(),
                     [](unsigned char c) { return std::isupper(c) != 0; })) {
      reader.Report("non_idempotent_methods",
                    "must contain HTTP methods in upper case");
    }
  }
  row.m_non_idempotent_methods = {methods.begin(), methods.end()};
  reader.ReadText("status_path", row.m_status_path);
  if (!row.m_status_path.empty() &&
      (row.m_status_path.front() != '/' ||
       row.m_status_path.find("{key}") == std::string::npos)) {
    reader.Report("status_path", "must start with / and contain {key}");
  }
  reader.Finish();
  return row;
}

PriorityRow ParsePriority(const std::string& id,
                          const std::string& json,
                          Findings& findings) {
  ObjectReader reader(json, PlaceOf(ObjectKind::kPriority, id), findings);
  PriorityRow row{.m_id = PriorityId(id)};
  reader.Require("rank");
  std::int64_t rank = row.m_rank;
  reader.ReadInteger("rank", rank, kRankRange);
  row.m_rank = static_cast<int>(rank);
  reader.Finish();
  return row;
}

PlannedChange ParsePlannedChange(const std::string& id,
                                 const std::string& json,
                                 Findings& findings) {
  const std::string place = PlaceOf(ObjectKind::kPlannedChange, id);
  ObjectReader reader(json, place, findings);
  PlannedChange change;
  for (const char* field : {"at_ms", "kind", "id", "object"}) {
    reader.Require(field);
  }
  std::int64_t at_ms = 0;
  reader.ReadInteger("at_ms", at_ms, kWallTimeRangeMs);
  change.m_at = WallTime(at_ms);
  std::string kind;
  reader.ReadText("kind", kind);
  const std::optional<ObjectKind> parsed_kind = ParseObjectKind(kind);
  const bool kind_valid =
      parsed_kind && *parsed_kind != ObjectKind::kPlannedChange;
  if (!kind_valid) {
    reader.Report("kind",
                  "must be customer, route, upstream, service or "
                  "priority");
  }
  change.m_key.m_kind = parsed_kind.value_or(ObjectKind::kCustomer);
  reader.ReadText("id", change.m_key.m_id);
  std::string operator_id;
  reader.ReadText("operator", operator_id);
  change.m_operator = OperatorId(operator_id);
  const Json* object = reader.Field("object");
  if (object != nullptr && !object->is_null()) {
    change.m_json = object->dump();
  }
  reader.ReadFlag("merge", change.m_merge);
  if (kind_valid && change.m_json && !change.m_merge) {
    for (Finding& finding : ValidateObject(change.m_key, *change.m_json)) {
      findings.push_back({place + "/object: " + finding.m_place,
                          std::move(finding.m_message)});
    }
  }
  reader.Finish();
  return change;
}

std::optional<std::string> PlannedObject(const ConfigurationTable& table,
                                         const PlannedChange& change) {
  if (!change.m_json || !change.m_merge) {
    return change.m_json;
  }
  const ObjectRow* row = table.Find(change.m_key);
  return ApplyMergePatch(row == nullptr ? nullptr : &row->m_json,
                         *change.m_json);
}

std::string ApplyMergePatch(const std::string* object,
                            const std::string& patch) {
  const Json parsed_patch = Json::parse(patch, nullptr, false);
  if (parsed_patch.is_discarded()) {
    return patch;
  }
  Json merged =
      object == nullptr ? Json::object() : Json::parse(*object, nullptr, false);
  merged.merge_patch(parsed_patch);
  return merged.dump();
}

Findings ValidateObject(const ObjectKey& key, const std::string& json) {
  Findings findings;
  const std::string place = PlaceOf(key.m_kind, key.m_id);
  if (!IsValidId(key.m_id)) {
    findings.push_back({place,
                        "the identifier must have 1 to 128 letters, "
                        "digits or characters of ._:/@-"});
  }
  if (json.size() > kMaxObjectBytes) {
    findings.push_back({place, "is larger than 28 KiB"});
    return findings;
  }
  switch (key.m_kind) {
    case ObjectKind::kCustomer:
      ParseCustomer(key.m_id, json, findings);
      break;
    case ObjectKind::kRoute:
      ParseRoute(key.m_id, json, findings);
      break;
    case ObjectKind::kUpstream:
      ParseUpstream(key.m_id, json, findings);
      break;
    case ObjectKind::kService:
      ParseService(key.m_id, json, findings);
      break;
    case ObjectKind::kPriority:
      ParsePriority(key.m_id, json, findings);
      break;
    case ObjectKind::kPlannedChange:
      ParsePlannedChange(key.m_id, json, findings);
      break;
    case ObjectKind::kCount:
      findings.push_back({place, "has an unknown kind"});
      break;
  }
  return findings;
}

}  // namespace nutmeghollow
