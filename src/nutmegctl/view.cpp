#include "nutmegctl/view.h"

#include <fmt/core.h>

#include <algorithm>
#include <vector>

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;

/// @return a scalar as text, without quotes; anything else as JSON.
std::string Plain(const Json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.is_null() ? "-" : value.dump();
}

std::string Field(const Json& object, const char* name) {
  auto found = object.find(name);
  return found == object.end() ? "-" : Plain(*found);
}

std::string TimeField(const Json& object, const char* name) {
  return FormatTime(WallTime(object.value(name, std::int64_t{0})));
}

/// A table with a header; columns are as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header) {
    Add(std::move(header));
  }
  void Add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

  std::string Text() const {
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

/// Shows a list of objects, one row each.
std::string ShowList(const Json& list, const std::vector<const char*>& fields) {
  TextTable table({fields.begin(), fields.end()});
  for (const Json& item : list) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const char* field : fields) {
      row.push_back(Field(item, field));
    }
    table.Add(std::move(row));
  }
  return table.Text();
}

std::string ShowInForce(const Json& report) {
  std::string text = fmt::format("in force on {} of {} instances",
                                 Field(report, "on"), Field(report, "of"));
  std::string waiting;
  for (const Json& id : report.value("waiting", Json::array())) {
    waiting += (waiting.empty() ? "" : ", ") + Plain(id);
  }
  if (!waiting.empty()) {
    text += "; not confirmed by " + waiting;
  }
  return text;
}

std::string ShowFindings(const Json& answer) {
  std::string text = "refused; nothing was changed\n";
  for (const Json& finding : answer.value("findings", Json::array())) {
    text += fmt::format("  {}: {}\n", Field(finding, "place"),
                        Field(finding, "message"));
  }
  return text;
}

std::string ShowConflict(const Json& answer) {
  std::string text = "conflict; nothing was changed\n";
  auto winner = answer.find("winner");
  if (winner != answer.end()) {
    text += fmt::format("  {} changed it at revision {}, {}\n",
                        Field(*winner, "operator"), Field(*winner, "revision"),
                        TimeField(*winner, "wall_ms"));
  }
  return text;
}

std::string ShowUnknown(const Json& answer) {
  return fmt::format(
      "outcome unknown; the change may or may not have been accepted\n"
      "  settle it with: nutmegctl {}\n"
      "  or send it again with --command_id={}\n",
      Field(answer, "settle"), Field(answer, "command"));
}

std::string ShowAccepted(const Json& answer) {
  return fmt::format("accepted at revision {}{}; {}\n",
                     Field(answer, "revision"),
                     answer.value("repeated", false)
                         ? " (by the first sending of this command)"
                         : "",
                     ShowInForce(answer.value("in_force", Json::object())));
}

std::string ShowAuditRow(const Json& row) {
  std::string text = fmt::format(
      "revision {}  {}  {}  command {}  {}/{}\n", Field(row, "revision"),
      TimeField(row, "wall_ms"), Field(row, "operator"), Field(row, "command"),
      Field(row, "kind"), Field(row, "id"));
  text += "  before: " + Field(row, "before") + "\n";
  text += "  after:  " + Field(row, "after") + "\n";
  if (row.contains("note")) {
    text += "  note:   " + Field(row, "note") + "\n";
  }
  return text;
}

std::string ShowAudit(const Json& answer) {
  std::string text;
  for (const Json& row : answer.value("audit", Json::array())) {
    text += ShowAuditRow(row);
  }
  return text.empty() ? "no changes\n" : text;
}

std::string ShowObjects(const Json& answer) {
  TextTable table({"id", "revision", "object"});
  for (const Json& item : answer.value("objects", Json::array())) {
    table.Add(
        {Field(item, "id"), Field(item, "revision"), Field(item, "object")});
  }
  return table.Text() + "as of revision " + Field(answer, "revision") + "\n";
}

std::string ShowObject(const Json& answer) {
  return fmt::format("{}/{} of revision {}\n{}\n", Field(answer, "kind"),
                     Field(answer, "id"), Field(answer, "revision"),
                     answer.value("object", Json()).dump(2));
}

bool IsListOfObjects(const Json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

/// Shows a list of objects as a table, with the fields of the first as header.
std::string ShowNestedList(const std::string& name, const Json& list) {
  std::vector<const char*> fields;
  for (const auto& [field, value] : list.front().items()) {
    fields.push_back(field.c_str());
  }
  return name + ":\n" + ShowList(list, fields);
}

/// Shows the fields of an answer, nested ones with dots, lists of objects as
/// tables.
std::string ShowFields(const Json& object, const std::string& prefix) {
  std::string text;
  for (const auto& [name, value] : object.items()) {
    if (value.is_object()) {
      text += ShowFields(value, prefix + name + ".");
    } else if (IsListOfObjects(value)) {
      text += ShowNestedList(prefix + name, value);
    } else if (prefix.empty() && name == "result") {
      continue;
    } else {
      text += fmt::format("{:<34}{}\n", prefix + name, Plain(value));
    }
  }
  return text;
}

std::string ShowDone(View view, const Json& answer) {
  switch (view) {
    case View::kChange:
      return ShowAccepted(answer);
    case View::kObject:
      return ShowObject(answer);
    case View::kObjects:
      return ShowObjects(answer);
    case View::kRevision:
      return fmt::format("revision {}; {}\n", Field(answer, "revision"),
                         ShowInForce(answer.value("in_force", Json::object())));
    case View::kInstances:
      return ShowList(answer.value("instances", Json::array()),
                      {"id", "status", "data_centre", "region", "revision",
                       "heard_ms_ago", "caller_address"});
    case View::kUpstreams:
      return ShowList(answer.value("upstreams", Json::array()),
                      {"id", "kind", "status", "data_centre", "owner",
                       "running_from_here", "report", "address"});
    case View::kAudit:
      return ShowAudit(answer);
    case View::kCommand:
      return ShowAccepted(answer) + ShowAudit(answer);
    case View::kDrain:
      return "the planned stop of " + Field(answer, "instance") +
             " has begun\n";
    case View::kStatus:
    case View::kExplain:
    case View::kRequest:
      return ShowFields(answer, "");
  }
  return "";
}

}  // namespace

ExitStatus StatusOf(const Json& answer) {
  const std::string result = answer.value("result", "");
  if (result == "ok" || result == "accepted") {
    return ExitStatus::kDone;
  }
  return result == "unknown" ? ExitStatus::kUnknown : ExitStatus::kRefused;
}

std::string ShowText(View view, const Json& answer) {
  const std::string result = answer.value("result", "");
  if (StatusOf(answer) == ExitStatus::kDone) {
    return ShowDone(view, answer);
  }
  if (result == "conflict") {
    return ShowConflict(answer);
  }
  if (result == "unknown") {
    return ShowUnknown(answer);
  }
  if (result == "not_found") {
    return Field(answer, "message") + "\n";
  }
  return ShowFindings(answer);
}

}  // namespace nutmeghollow::ctl
