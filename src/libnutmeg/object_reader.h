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

/// Range that a number must lie in, ends included.
struct NumberRange {
  double m_lowest;
  double m_highest;
};

/// Reads the fields of one JSON object. A field that is absent leaves its
/// target unchanged. Call Finish last: it reports the fields nobody read.
class ObjectReader {
 public:
  /// @param json text of the object.
  /// @param place prefix of the place of each finding.
  ObjectReader(const std::string& json, std::string place, Findings& findings);

  /// Requires that a field is present.
  void Require(const std::string& field);
  void ReadText(const std::string& field, std::string& target);
  void ReadFlag(const std::string& field, bool& target);
  void ReadNumber(const std::string& field, double& target, NumberRange range);
  void ReadInteger(const std::string& field,
                   std::int64_t& target,
                   NumberRange range);
  /// Reads an array of distinct, non-empty texts.
  void ReadTexts(const std::string& field, std::vector<std::string>& target);
  /// @return the field, or null when it is absent.
  const nlohmann::json* Field(const std::string& field);

  /// Appends a finding about a field, or about the object if it is empty.
  void Report(const std::string& field, std::string message);
  /// Reports unknown fields.
  void Finish();

 private:
  nlohmann::json m_object;
  std::string m_place;
  Findings& m_findings;
  std::set<std::string> m_read;
};

}  // namespace nutmeghollow::detail
