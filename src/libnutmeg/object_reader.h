/// @file
/// Reads typed fields from a JSON object and collects findings.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "nutmeghollow/findings.h"

namespace nutmeghollow::detail {

/// Closed interval of the accepted values of a number.
struct NumberRange {
  double m_lowest;
  double m_highest;
};

/// Reads the fields of one JSON object. An absent or invalid field leaves its
/// target unchanged, except in ReadTexts. Call Finish last: it reports fields
/// that were not read.
class ObjectReader {
 public:
  /// Parses the object; a syntax error or another JSON type is a finding.
  /// @param json text of the object.
  /// @param place path of the object, prefixed to the place of each finding.
  /// @param findings receives the findings; must outlive the reader.
  ObjectReader(const std::string& json, std::string place, Findings& findings);

  /// Reports a finding if a field is absent.
  void Require(const std::string& field);
  void ReadText(const std::string& field, std::string& target);
  void ReadFlag(const std::string& field, bool& target);
  void ReadNumber(const std::string& field, double& target, NumberRange range);
  void ReadInteger(const std::string& field,
                   std::int64_t& target,
                   NumberRange range);
  /// Reads an array of distinct, non-empty strings. Invalid elements are
  /// reported and skipped.
  void ReadTexts(const std::string& field, std::vector<std::string>& target);
  /// Marks a field as read.
  /// @return the field, or null when it is absent.
  const nlohmann::json* Field(const std::string& field);

  /// Appends a finding about a field, or about the whole object if the field
  /// name is empty.
  void Report(const std::string& field, std::string message);
  /// Reports the fields that were not read as unknown.
  void Finish();

 private:
  nlohmann::json m_object;
  std::string m_place;
  Findings& m_findings;
  std::set<std::string> m_read_fields;
};

}  // namespace nutmeghollow::detail
