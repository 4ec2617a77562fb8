#include "libnutmeg/object_reader.h"

#include <fmt/core.h>

#include <utility>

namespace nutmeghollow::detail {

using Json = nlohmann::json;

ObjectReader::ObjectReader(const std::string& json,
                           std::string place,
                           Findings& findings)
    : m_object(Json::parse(json, nullptr, false)),
      m_place(std::move(place)),
      m_findings(findings) {
  if (m_object.is_discarded()) {
    Report("", "is not valid JSON");
  } else if (!m_object.is_object()) {
    Report("", "must be a JSON object");
  }
  if (!m_object.is_object()) {
    m_object = Json::object();
  }
}

const Json* ObjectReader::Field(const std::string& field) {
  m_read_fields.insert(field);
  auto found = m_object.find(field);
  return found == m_object.end() ? nullptr : &*found;
}

void ObjectReader::Require(const std::string& field) {
  if (Field(field) == nullptr) {
    Report(field, "is required");
  }
}

void ObjectReader::ReadText(const std::string& field, std::string& target) {
  const Json* value = Field(field);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Report(field, "must be a text");
    return;
  }
  target = value->get<std::string>();
}

void ObjectReader::ReadFlag(const std::string& field, bool& target) {
  const Json* value = Field(field);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    Report(field, "must be true or false");
    return;
  }
  target = value->get<bool>();
}

void ObjectReader::ReadNumber(const std::string& field,
                              double& target,
                              NumberRange range) {
  const Json* value = Field(field);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    Report(field, "must be a number");
    return;
  }
  const double number = value->get<double>();
  if (!(number >= range.m_lowest && number <= range.m_highest)) {
    Report(field, fmt::format("must lie between {} and {}", range.m_lowest,
                              range.m_highest));
    return;
  }
  target = number;
}

void ObjectReader::ReadInteger(const std::string& field,
                               std::int64_t& target,
                               NumberRange range) {
  const Json* value = Field(field);
  if (value != nullptr && !value->is_number_integer()) {
    Report(field, "must be a whole number");
    return;
  }
  double number = static_cast<double>(target);
  ReadNumber(field, number, range);
  target = static_cast<std::int64_t>(number);
}

void ObjectReader::ReadTexts(const std::string& field,
                             std::vector<std::string>& target) {
  const Json* value = Field(field);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Report(field, "must be a list of texts");
    return;
  }
  target.clear();
  std::set<std::string> seen;
  for (std::size_t index = 0; index < value->size(); ++index) {
    const Json& item = (*value)[index];
    const std::string place = fmt::format("{}/{}", field, index);
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
      Report(place, "must be a text that is not empty");
    } else if (!seen.insert(item.get<std::string>()).second) {
      Report(place, "is listed twice");
    } else {
      target.push_back(item.get<std::string>());
    }
  }
}

void ObjectReader::Report(const std::string& field, std::string message) {
  m_findings.push_back(
      {field.empty() ? m_place : m_place + "/" + field, std::move(message)});
}

void ObjectReader::Finish() {
  for (const auto& [field, value] : m_object.items()) {
    if (!m_read_fields.contains(field)) {
      Report(field, "is not a known field");
    }
  }
}

}  // namespace nutmeghollow::detail
