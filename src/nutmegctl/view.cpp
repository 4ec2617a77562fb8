#include "nutmegctl/view.h"

#include <fmt/core.h>

#include <algorithm>
#include <vector>

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;

/// @return a string without quotes, "-" for null, and other values as JSON.
std::string FormatValue(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.is_null() ? "-" : value.dump();
}

std::string FormatField(const Json& object, const char* name) {
  auto found = object.find(name);
  return found == object.end() ? "-" : FormatValue(*found);
}

std::string FormatTimeField(const Json& object, const char* name) {
  return FormatTime(WallTime(object.value(name, std::int64_t{0})));
}

/// A text table with a header row; each column is as wide as its widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header) {
    Add(std::move(header));
  }
  void Add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

  std::string ToText() const {
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
      for (std::size_t column = 0; column < row.size(); ++column) {
        widths[column] = std::max(widths[column], row[column].size());
      }
    }
    std::string text;
    for (const auto& row : m_rows) {
      std::string line;
      for (std::size_t column = 0; column < row.size(); ++column) {
        line += fmt::format("{:<{}}  ", row[column], widths[column]);
      }
      line.erase(line.find_last_not_of(' ') + 1);
      text += line + "\n";
    }
    return text;
  }

 private:
  std::vector<std::vector<std::string>> m_rows;
};

/// Formats a list of objects as a table with one row each.
std::string FormatList(const Json& list,
                       const std::vector<const char*>& fields) {
  TextTable table({fields.begin(), fields.end()});
  for (const Json& item : list) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const char* field : fields) {
      row.push_back(FormatField(item, field));
    }
    table.Add(std::move(row));
  }
  return table.ToText();
}

std::string FormatInForce(const Json& in_force) {
  std::string text =
      fmt::format("in force on {} of {} instances", FormatField(in_force, "on"),
                  FormatField(in_force, "of"));
  std::string unconfirmed;
  for (const Json& id : in_force.value("waiting", Json::array())) {
    unconfirmed += (unconfirmed.empty() ? "" : ", ") + FormatValue(id);
  }
  if (!unconfirmed.empty()) {
    text += "; not confirmed by " + unconfirmed;
  }
  return text;
}

std::string FormatFindings(const Json& response) {
  std::string text = "refused; nothing was changed\n";
  for (const Json& finding : response.value("findings", Json::array())) {
    text += fmt::format("  {}: {}\n", FormatField(finding, "place"),
                        FormatField(finding, "message"));
  }
  return text;
}

std::string FormatConflict(const Json& response) {
  std::string text = "conflict; nothing was changed\n";
  auto winning_change = response.find("winner");
  if (winning_change != response.end()) {
    text += fmt::format("  {} changed it at revision {}, {}\n",
                        FormatField(*winning_change, "operator"),
                        FormatField(*winning_change, "revision"),
                        FormatTimeField(*winning_change, "wall_ms"));
  }
  return text;
}

std::string FormatUnknown(const Json& response) {
  return fmt::format(
      "outcome unknown; the change may or may not have been accepted\n"
      "  settle it with: nutmegctl {}\n"
      "  or send it again with --command_id={}\n",
      FormatField(response, "settle"), FormatField(response, "command"));
}

std::string FormatAccepted(const Json& response) {
  return fmt::format("accepted at revision {}{}; {}\n",
                     FormatField(response, "revision"),
                     response.value("repeated", false)
                         ? " (by an earlier attempt of this command)"
                         : "",
                     FormatInForce(response.value("in_force", Json::object())));
}

std::string FormatAuditRow(const Json& row) {
  std::string text =
      fmt::format("revision {}  {}  {}  command {}  {}/{}\n",
                  FormatField(row, "revision"), FormatTimeField(row, "wall_ms"),
                  FormatField(row, "operator"), FormatField(row, "command"),
                  FormatField(row, "kind"), FormatField(row, "id"));
  text += "  before: " + FormatField(row, "before") + "\n";
  text += "  after:  " + FormatField(row, "after") + "\n";
  if (row.contains("note")) {
    text += "  note:   " + FormatField(row, "note") + "\n";
  }
  return text;
}

std::string FormatAudit(const Json& response) {
  std::string text;
  for (const Json& row : response.value("audit", Json::array())) {
    text += FormatAuditRow(row);
  }
  return text.empty() ? "no changes\n" : text;
}

std::string FormatObjects(const Json& response) {
  TextTable table({"id", "revision", "object"});
  for (const Json& item : response.value("objects", Json::array())) {
    table.Add({FormatField(item, "id"), FormatField(item, "revision"),
               FormatField(item, "object")});
  }
  return table.ToText() + "as of revision " +
         FormatField(response, "revision") + "\n";
}

std::string FormatObject(const Json& response) {
  return fmt::format("{}/{} of revision {}\n{}\n",
                     FormatField(response, "kind"), FormatField(response, "id"),
                     FormatField(response, "revision"),
                     response.value("object", Json()).dump(2));
}

bool IsListOfObjects(const Json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

/// Formats a list of objects as a table; the fields of the first object are the
/// columns.
std::string FormatNestedList(const std::string& name, const Json& list) {
  std::vector<const char*> fields;
  for (const auto& [field, value] : list.front().items()) {
    fields.push_back(field.c_str());
  }
  return name + ":\n" + FormatList(list, fields);
}

/// Formats one field per line: nested fields with dotted names, and lists of
/// objects as tables.
std::string FormatFields(const Json& object, const std::string& prefix) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (value.is_object()) {
      text += FormatFields(value, prefix + name + ".");
    } else if (IsListOfObjects(value)) {
      text += FormatNestedList(prefix + name, value);
    } else if (prefix.empty() && name == "result") {
      continue;
    } else {
      text += fmt::format("{:<34}{}\n", prefix + name, FormatValue(value));
    }
  }
  return text;
}

/// @return a list of strings separated by commas, or "-" when it is empty.
std::string JoinStrings(const std::vector<std::string>& list) {
  std::string text;
  for (const std::string& item : list) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text.empty() ? "-" : text;
}

/// Formats one service of an explanation as a table of its upstreams; the
/// chosen one is marked.
std::string FormatExplainedService(const Json& service) {
  std::string text = fmt::format(
      "\nservice {} (weight {}): {}{}; mean load {}, bound {}\n",
      FormatField(service, "service"), FormatField(service, "weight"),
      service.value("chosen", Json()).is_null()
          ? "no upstream"
          : "to " + FormatField(service, "chosen"),
      service.value("spread", false) ? " (spread)" : "",
      FormatField(service, "mean_load"), FormatField(service, "bound"));
  TextTable table({"", "upstream", "data_centre", "load", "age_ms", "cost",
                   "rank", "unread", "cold_ms", "verdict", "ends_ms"});
  for (const Json& one : service.value("upstreams", Json::array())) {
    table.Add({one.value("chosen", false) ? "*" : "", FormatField(one, "id"),
               FormatField(one, "data_centre"), FormatField(one, "load"),
               FormatField(one, "report_age_ms"), FormatField(one, "cost"),
               FormatField(one, "rank"), FormatField(one, "unread_tokens"),
               FormatField(one, "cold_ms"), FormatField(one, "verdict"),
               FormatField(one, "verdict_ends_ms")});
  }
  return text + table.ToText();
}

std::string FormatExplainedRoute(const Json& response) {
  std::vector<std::string> evacuated;
  for (const Json& one : response.value("evacuated", Json::array())) {
    evacuated.push_back(fmt::format(
        "{} ({} upstreams, {} requests here)", FormatField(one, "data_centre"),
        FormatField(one, "upstreams"), FormatField(one, "own_active")));
  }
  std::vector<std::string> cold;
  for (const Json& one : response.value("cold", Json::array())) {
    cold.push_back(fmt::format("{} ({} ms)", FormatField(one, "id"),
                               FormatField(one, "remaining_ms")));
  }
  std::string text = fmt::format(
      "route {} at {}, revision {}, customer {}, priority {}, homes {}\n",
      FormatField(response, "route"), FormatField(response, "instance"),
      FormatField(response, "revision"), FormatField(response, "customer"),
      FormatField(response, "priority"), FormatField(response, "homes"));
  if (response.value("cut_off", false)) {
    text +=
        "the instance is cut off from the upstreams and forwards requests\n";
  }
  text += fmt::format("evacuated: {}\ncold: {}\n", JoinStrings(evacuated),
                      JoinStrings(cold));
  text += fmt::format("loads of other instances are {} ms old\n",
                      FormatField(response, "peer_load_age_ms"));
  for (const Json& service : response.value("services", Json::array())) {
    text += FormatExplainedService(service);
  }
  return text;
}

std::string FormatSuccess(View view, const Json& response) {
  switch (view) {
    case View::kChange:
      return FormatAccepted(response);
    case View::kObject:
      return FormatObject(response);
    case View::kObjects:
      return FormatObjects(response);
    case View::kRevision:
      return fmt::format(
          "revision {}; {}\n", FormatField(response, "revision"),
          FormatInForce(response.value("in_force", Json::object())));
    case View::kInstances:
      return FormatList(response.value("instances", Json::array()),
                        {"id", "status", "data_centre", "region", "revision",
                         "heard_ms_ago", "caller_address"});
    case View::kUpstreams:
      return FormatList(response.value("upstreams", Json::array()),
                        {"id", "kind", "status", "data_centre", "owner",
                         "running_from_here", "report", "address"});
    case View::kAudit:
      return FormatAudit(response);
    case View::kCommand:
      return FormatAccepted(response) + FormatAudit(response);
    case View::kDrain:
      return "the planned stop of " + FormatField(response, "instance") +
             " has begun\n";
    case View::kExplainRoute:
      return FormatExplainedRoute(response);
    case View::kStatus:
    case View::kExplain:
    case View::kRequest:
      return FormatFields(response, "");
  }
  return "";
}

}  // namespace

ExitStatus ExitStatusOf(const Json& response) {
  const std::string result = response.value("result", "");
  if (result == "ok" || result == "accepted") {
    return ExitStatus::kSuccess;
  }
  return result == "unknown" ? ExitStatus::kUnknown : ExitStatus::kRefused;
}

std::string FormatResponse(View view, const Json& response) {
  const std::string result = response.value("result", "");
  if (ExitStatusOf(response) == ExitStatus::kSuccess) {
    return FormatSuccess(view, response);
  }
  if (result == "conflict") {
    return FormatConflict(response);
  }
  if (result == "unknown") {
    return FormatUnknown(response);
  }
  if (result == "not_found") {
    return FormatField(response, "message") + "\n";
  }
  return FormatFindings(response);
}

}  // namespace nutmeghollow::ctl
