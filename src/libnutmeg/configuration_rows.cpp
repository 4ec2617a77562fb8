#include "libnutmeg/configuration_rows.h"

#include <fmt/core.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace nutmeghollow::detail {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kObjectPrefixSize = sizeof(kObjectPrefix) - 1;

Json ParseOrNull(const std::optional<std::string>& json) {
  return json ? Json::parse(*json, nullptr, false) : Json();
}

std::optional<std::string> DumpUnlessNull(const Json& json) {
  if (json.is_null()) {
    return std::nullopt;
  }
  return json.dump();
}

/// Decodes a row.
/// @return the row, or nothing if it is malformed.
template <typename Row, typename Decoder>
std::optional<Row> DecodeRow(const std::string& value, Decoder decode) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    return decode(json);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Revision RevisionOf(const Json& json) {
  return Revision(json.at("revision").get<std::uint64_t>());
}

}  // namespace

std::string ObjectRowKey(const ObjectKey& key) {
  return std::string(kObjectPrefix) + ObjectKindName(key.m_kind) + "/" +
         key.m_id;
}

std::optional<ObjectKey> ParseObjectRowKey(const std::string& row_key) {
  if (!row_key.starts_with(kObjectPrefix)) {
    return std::nullopt;
  }
  const std::size_t slash = row_key.find('/', kObjectPrefixSize);
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const std::optional<ObjectKind> kind =
      ParseObjectKind(std::string_view(row_key).substr(
          kObjectPrefixSize, slash - kObjectPrefixSize));
  if (!kind) {
    return std::nullopt;
  }
  return ObjectKey{*kind, row_key.substr(slash + 1)};
}

std::string AuditRowKey(Revision revision) {
  return fmt::format("{}{:020}", kAuditPrefix, revision.value());
}

std::string CommandRowKey(const CommandId& command) {
  return kCommandPrefix + command.str();
}

std::string EncodeHead(Revision revision) {
  return std::to_string(revision.value());
}

std::optional<Revision> DecodeHead(const std::string& value) {
  std::uint64_t number = 0;
  const char* end = value.data() + value.size();
  const auto [stop, error] = std::from_chars(value.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return Revision(number);
}

std::string EncodeObject(const ObjectRow& row) {
  return Json{{"revision", row.m_revision.value()},
              {"object", Json::parse(row.m_json, nullptr, false)}}
      .dump();
}

std::optional<ObjectRow> DecodeObject(const std::string& value) {
  return DecodeRow<ObjectRow>(value, [](const Json& json) {
    return ObjectRow{RevisionOf(json), json.at("object").dump()};
  });
}

std::string EncodeAudit(const AuditRow& row) {
  Json json{{"revision", row.m_revision.value()},
            {"command", row.m_command.str()},
            {"operator", row.m_operator.str()},
            {"wall_ms", row.m_wall_time.value()},
            {"kind", ObjectKindName(row.m_key.m_kind)},
            {"id", row.m_key.m_id},
            {"before", ParseOrNull(row.m_before)},
            {"after", ParseOrNull(row.m_after)}};
  if (!row.m_note.empty()) {
    json["note"] = row.m_note;
  }
  return json.dump();
}

std::optional<AuditRow> DecodeAudit(const std::string& value) {
  return DecodeRow<AuditRow>(value, [](const Json& json) {
    AuditRow row;
    row.m_revision = RevisionOf(json);
    row.m_command = CommandId(json.at("command").get<std::string>());
    row.m_operator = OperatorId(json.at("operator").get<std::string>());
    row.m_wall_time = WallTime(json.at("wall_ms").get<std::int64_t>());
    row.m_key.m_kind = ParseObjectKind(json.at("kind").get<std::string>())
                           .value_or(ObjectKind::kCount);
    row.m_key.m_id = json.at("id").get<std::string>();
    row.m_before = DumpUnlessNull(json.at("before"));
    row.m_after = DumpUnlessNull(json.at("after"));
    row.m_note = json.value("note", "");
    return row;
  });
}

std::string EncodeCommand(const CommandRow& row) {
  return Json{{"revision", row.m_revision.value()}, {"digest", row.m_digest}}
      .dump();
}

std::optional<CommandRow> DecodeCommand(const std::string& value) {
  return DecodeRow<CommandRow>(value, [](const Json& json) {
    return CommandRow{RevisionOf(json), json.at("digest").get<std::string>()};
  });
}

const StoreRow* FindRow(const StoreResult& result, const std::string& key) {
  for (const StoreRow& row : result.m_rows) {
    if (row.m_key == key) {
      return &row;
    }
  }
  return nullptr;
}

}  // namespace nutmeghollow::detail
