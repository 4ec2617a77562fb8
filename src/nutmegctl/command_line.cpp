#include "nutmegctl/command_line.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;
using Parsed = std::variant<Call, UsageError>;

const std::set<std::string>& ObjectKinds() {
  static const std::set<std::string> kinds{"customer", "route", "upstream",
                                           "service", "priority"};
  return kinds;
}

/// @return true for a field whose value may be a comma-separated list.
bool IsListField(const std::string& field) {
  return field == "upstreams" || field == "token_digests" ||
         field == "non_idempotent_methods";
}

/// @return true for a field whose value is always a string.
bool IsStringField(const std::string& field) {
  return field == "address" || field == "data_centre" || field == "region" ||
         field == "priority" || field == "status_path" || field == "kind" ||
         field.starts_with("wanted.");
}

Json ParseList(const std::string& text) {
  Json list = Json::array();
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    list.push_back(text.substr(start, comma - start));
    start = comma + 1;
  }
  return list;
}

/// Converts the value of a field from the command line to JSON. "null" and JSON
/// arrays are parsed for each field. Otherwise list fields are split at commas,
/// string fields are taken as they are, and other fields are parsed as JSON. A
/// value that is not valid JSON becomes a string.
Json ParseValue(const std::string& field, const std::string& text) {
  if (text == "null" || (!text.empty() && text.front() == '[')) {
    Json json = Json::parse(text, nullptr, false);
    return json.is_discarded() ? Json(text) : json;
  }
  if (IsListField(field)) {
    return ParseList(text);
  }
  if (IsStringField(field)) {
    return text;
  }
  Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? Json(text) : json;
}

/// Sets a field; dots in its name separate the levels of nested objects.
void SetField(Json& object, const std::string& field, Json value) {
  const std::size_t dot = field.find('.');
  if (dot == std::string::npos) {
    object[field] = std::move(value);
    return;
  }
  SetField(object[field.substr(0, dot)], field.substr(dot + 1),
           std::move(value));
}

/// The object or the fields that a command writes, as JSON.
struct Content {
  std::string m_json;
  bool m_is_whole_object = false;
};

using ParsedContent = std::variant<Content, UsageError>;

ParsedContent ReadWholeObject(const std::string& text, const Options& options) {
  if (text.front() != '@') {
    return Content{text, true};
  }
  const std::optional<std::string> content =
      options.m_read_file(text.substr(1));
  if (!content) {
    return UsageError{"cannot read " + text.substr(1)};
  }
  return Content{*content, true};
}

/// Parses the arguments after the name of the object: fields or "@FILE", or
/// none when --json is given.
ParsedContent ParseContent(const Arguments& arguments,
                           std::size_t from,
                           const Options& options) {
  if (!options.m_json.empty()) {
    if (arguments.size() > from) {
      return UsageError{"give either --json or fields"};
    }
    return ReadWholeObject(options.m_json, options);
  }
  if (arguments.size() == from + 1 && arguments[from].front() == '@') {
    return ReadWholeObject(arguments[from], options);
  }
  if (arguments.size() == from) {
    return UsageError{"give FIELD=VALUE ..., @FILE or --json=OBJECT"};
  }
  Json object = Json::object();
  for (std::size_t index = from; index < arguments.size(); ++index) {
    const std::size_t equals = arguments[index].find('=');
    if (equals == std::string::npos || equals == 0) {
      return UsageError{arguments[index] + " is not FIELD=VALUE"};
    }
    const std::string field = arguments[index].substr(0, equals);
    SetField(object, field,
             ParseValue(field, arguments[index].substr(equals + 1)));
  }
  return Content{object.dump(), false};
}

Call MakeGetCall(std::string path, View view) {
  return {.m_path = std::move(path), .m_view = view};
}

Parsed ParseSet(const Arguments& arguments, const Options& options) {
  ParsedContent content = ParseContent(arguments, 3, options);
  if (auto* error = std::get_if<UsageError>(&content)) {
    return *error;
  }
  auto& [json, is_whole_object] = std::get<Content>(content);
  return Call{.m_method = is_whole_object ? "PUT" : "PATCH",
              .m_path = "/v1/config/" + arguments[0] + "/" + arguments[2],
              .m_body = std::move(json),
              .m_view = View::kChange};
}

Parsed ParseObjectCommand(const Arguments& arguments, const Options& options) {
  const std::string& action =
      arguments.size() > 1 ? arguments[1] : arguments[0];
  const std::string path = "/v1/config/" + arguments[0];
  if (action == "list" && arguments.size() == 2) {
    return MakeGetCall(path, View::kObjects);
  }
  if (action == "show" && arguments.size() == 3) {
    return MakeGetCall(path + "/" + arguments[2], View::kObject);
  }
  if (action == "delete" && arguments.size() == 3) {
    return Call{.m_method = "DELETE",
                .m_path = path + "/" + arguments[2],
                .m_view = View::kChange};
  }
  if (action == "set" && arguments.size() >= 3) {
    return ParseSet(arguments, options);
  }
  return UsageError{arguments[0] +
                    " takes: list | show ID | delete ID | set ID "
                    "FIELD=VALUE ..."};
}

/// change plan ID KIND set|delete OBJECT [FIELD=VALUE ...]
Parsed ParsePlan(const Arguments& arguments, const Options& options) {
  const bool known = arguments.size() >= 6 &&
                     ObjectKinds().contains(arguments[3]) &&
                     (arguments[4] == "set" || arguments[4] == "delete");
  if (!known) {
    return UsageError{
        "change plan takes: ID KIND set|delete OBJECT "
        "[FIELD=VALUE ...] --at=TIME"};
  }
  const std::optional<WallTime> at = ParseTime(options.m_at, options.m_now);
  if (!at) {
    return UsageError{
        "--at must be a time such as 2026-12-04T06:30:00Z, or a "
        "delay such as +90s, +10m, +2h"};
  }
  Json plan{{"at_ms", at->value()},
            {"kind", arguments[3]},
            {"id", arguments[5]},
            {"object", nullptr}};
  if (arguments[4] == "set") {
    ParsedContent content = ParseContent(arguments, 6, options);
    if (auto* error = std::get_if<UsageError>(&content)) {
      return *error;
    }
    const auto& [json, is_whole_object] = std::get<Content>(content);
    plan["object"] = Json::parse(json, nullptr, false);
    plan["merge"] = !is_whole_object;
    if (plan["object"].is_discarded()) {
      return UsageError{"the object is not valid JSON"};
    }
  }
  return Call{.m_method = "PUT",
              .m_path = "/v1/config/change/" + arguments[2],
              .m_body = plan.dump(),
              .m_view = View::kChange};
}

Parsed ParseChangeCommand(const Arguments& arguments, const Options& options) {
  const std::string action = arguments.size() > 1 ? arguments[1] : "";
  if (action == "plan") {
    return ParsePlan(arguments, options);
  }
  if (action == "list" && arguments.size() == 2) {
    return MakeGetCall("/v1/config/change", View::kObjects);
  }
  if (action == "show" && arguments.size() == 3) {
    return MakeGetCall("/v1/config/change/" + arguments[2], View::kObject);
  }
  if (action == "cancel" && arguments.size() == 3) {
    return Call{.m_method = "DELETE",
                .m_path = "/v1/config/change/" + arguments[2],
                .m_view = View::kChange};
  }
  return UsageError{"change takes: plan ID ... | list | show ID | cancel ID"};
}

Parsed ParseRequestCommand(const Arguments& arguments, const Options& options) {
  const bool show = arguments.size() == 3 && arguments[1] == "show";
  const bool resolve = arguments.size() == 3 && arguments[1] == "resolve";
  if (!show && !resolve) {
    return UsageError{
        "request takes: show KEY | resolve KEY --outcome=completed|not-run, "
        "with --customer and --service"};
  }
  Call call{.m_method = show ? "GET" : "POST",
            .m_path = "/v1/requests/" + arguments[2],
            .m_query = {{"customer", options.m_customer},
                        {"service", options.m_service}},
            .m_view = View::kRequest};
  if (resolve) {
    call.m_query["outcome"] = options.m_outcome;
  }
  return call;
}

Parsed ParseExplain(const Arguments& arguments) {
  if (arguments.size() != 2 && arguments.size() != 3) {
    return UsageError{"explain takes: CHAT [MODEL]"};
  }
  Call call = MakeGetCall("/v1/explain", View::kExplain);
  call.m_query["chat"] = arguments[1];
  if (arguments.size() == 3) {
    call.m_query["model"] = arguments[2];
  }
  return call;
}

Parsed ParseExplainRoute(const Arguments& arguments, const Options& options) {
  if (arguments.size() != 3) {
    return UsageError{
        "explain-route takes: HOST PATH [--prompt=ID:TOKENS,...] "
        "[--customer=C] [--priority=N]"};
  }
  Call call = MakeGetCall("/v1/explain-route", View::kExplainRoute);
  call.m_needs_token = false;
  call.m_query = {{"host", arguments[1]}, {"path", arguments[2]}};
  const std::map<std::string, std::string> optional{
      {"prompt", options.m_prompt},
      {"customer", options.m_customer},
      {"priority", options.m_priority}};
  for (const auto& [name, value] : optional) {
    if (!value.empty()) {
      call.m_query[name] = value;
    }
  }
  return call;
}

Parsed ParseAudit(const Arguments& arguments, const Options& options) {
  if (arguments.size() != 1) {
    return UsageError{"audit takes --after=REVISION and --limit=N only"};
  }
  Call call = MakeGetCall("/v1/audit", View::kAudit);
  if (!options.m_after.empty()) {
    call.m_query["after"] = options.m_after;
  }
  if (!options.m_limit.empty()) {
    call.m_query["limit"] = options.m_limit;
  }
  return call;
}

/// Parses a command that consists of its name alone.
/// @return nothing when there is no such command.
std::optional<Call> ParseSimpleCommand(const std::string& command) {
  static const std::map<std::string, View> views{
      {"revision", View::kRevision},
      {"status", View::kStatus},
      {"instances", View::kInstances},
      {"upstreams", View::kUpstreams}};
  if (command == "drain") {
    return Call{
        .m_method = "POST", .m_path = "/v1/drain", .m_view = View::kDrain};
  }
  auto entry = views.find(command);
  if (entry == views.end()) {
    return std::nullopt;
  }
  return MakeGetCall("/v1/" + command, entry->second);
}

}  // namespace

std::variant<Call, UsageError> ParseArguments(const Arguments& arguments,
                                              const Options& options) {
  for (const std::string& argument : arguments) {
    if (argument.empty()) {
      return UsageError{"an argument is empty"};
    }
  }
  if (arguments.empty()) {
    return UsageError{"a command is missing"};
  }
  const std::string& command = arguments[0];
  if (ObjectKinds().contains(command)) {
    return ParseObjectCommand(arguments, options);
  }
  if (command == "change") {
    return ParseChangeCommand(arguments, options);
  }
  if (command == "request") {
    return ParseRequestCommand(arguments, options);
  }
  if (command == "explain") {
    return ParseExplain(arguments);
  }
  if (command == "explain-route") {
    return ParseExplainRoute(arguments, options);
  }
  if (command == "audit") {
    return ParseAudit(arguments, options);
  }
  if (command == "command" && arguments.size() == 3 && arguments[1] == "show") {
    return MakeGetCall("/v1/commands/" + arguments[2], View::kCommand);
  }
  const std::optional<Call> simple = ParseSimpleCommand(command);
  if (simple && arguments.size() == 1) {
    return *simple;
  }
  return UsageError{"unknown command: " + command};
}

std::string HelpText() {
  return R"(nutmegctl queries and controls a nutmeghollow fleet through any instance.

  nutmegctl [flags] COMMAND ...

Objects (KIND is customer, route, upstream, service or priority):
  KIND list                       all objects of a kind
  KIND show ID                    one object and the revision that wrote it
  KIND set ID FIELD=VALUE ...     sets these fields and keeps the others
  KIND set ID @FILE               writes the whole object from a JSON file
  KIND set ID --json=OBJECT       writes the whole object
  KIND delete ID

Planned changes:
  change plan ID KIND set OBJECT FIELD=VALUE ... --at=TIME
  change plan ID KIND delete OBJECT --at=TIME
  change list | show ID | cancel ID

The fleet:
  status                          status of the instance that is called
  instances | upstreams           their state as known to that instance
  revision                        revision, and instances yet to confirm it
  audit [--after=REVISION] [--limit=N]
  command show ID                 whether a command took effect
  explain CHAT [MODEL]            why a chat is placed on its upstream
  explain-route HOST PATH [--prompt=ID:TOKENS,...] [--customer=C] [--priority=N]
                                  where a gateway would send a request now
  request show KEY --customer=C --service=S
  request resolve KEY --customer=C --service=S --outcome=completed|not-run
  drain                           starts the planned stop of that instance

Values: numbers, true, false and null are JSON; lists are comma-separated or
JSON; a dot selects a nested field (wanted.model=llama); null removes a field.
TIME is 2026-12-04T06:30:00Z, or a delay such as +90s, +10m, +2h.

Flags:
  --address=IP:PORT     operator address of an instance ($NUTMEG_ADDRESS)
  --token_file=FILE     file with your token ($NUTMEG_TOKEN_FILE)
  --output=text|json
  --command_id=ID       repeat a command under its id; it takes effect once
  --expected_revision=N refuse unless revision N wrote the object last; 0 for
                        a new object
  --wait_ms=N           wait until the change is in force on all instances
  --timeout_ms=N        timeout of a call

Exit status: 0 done; 1 refused, conflict or not found; 2 usage; 3 outcome
unknown, settle it with "command show ID" or send it again with --command_id.
)";
}

}  // namespace nutmeghollow::ctl
