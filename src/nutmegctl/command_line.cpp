#include "nutmegctl/command_line.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;
using Parsed = std::variant<Call, UsageError>;

const std::set<std::string>& ObjectKinds() {
  static const std::set<std::string> kinds{"customer", "route", "upstream",
                                           "service", "priority"};
  return kinds;
}

/// Fields whose plain value is a list separated by commas.
bool IsListField(const std::string& field) {
  return field == "upstreams" || field == "token_digests" ||
         field == "non_idempotent_methods";
}

/// Fields whose value is always a text.
bool IsTextField(const std::string& field) {
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

/// @return the value of a field as it was written on the command line.
Json ParseValue(const std::string& field, const std::string& text) {
  if (text == "null" || (!text.empty() && text.front() == '[')) {
    Json json = Json::parse(text, nullptr, false);
    return json.is_discarded() ? Json(text) : json;
  }
  if (IsListField(field)) {
    return ParseList(text);
  }
  if (IsTextField(field)) {
    return text;
  }
  Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? Json(text) : json;
}

/// Sets a field; dots lead into nested objects.
void SetField(Json& object, const std::string& field, Json value) {
  const std::size_t dot = field.find('.');
  if (dot == std::string::npos) {
    object[field] = std::move(value);
    return;
  }
  SetField(object[field.substr(0, dot)], field.substr(dot + 1),
           std::move(value));
}

/// The object or the fields that a command writes.
struct Content {
  std::string m_json;
  bool m_whole = false;
};

using ParsedContent = std::variant<Content, UsageError>;

ParsedContent ReadWhole(const std::string& text, const Options& options) {
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

/// Reads the words after the object's name: fields, "@FILE", or nothing when
/// --json is given.
ParsedContent ParseContent(const Words& words,
                           std::size_t from,
                           const Options& options) {
  if (!options.m_json.empty()) {
    if (words.size() > from) {
      return UsageError{"give either --json or fields"};
    }
    return ReadWhole(options.m_json, options);
  }
  if (words.size() == from + 1 && words[from].front() == '@') {
    return ReadWhole(words[from], options);
  }
  if (words.size() == from) {
    return UsageError{"give FIELD=VALUE ..., @FILE or --json=OBJECT"};
  }
  Json object = Json::object();
  for (std::size_t index = from; index < words.size(); ++index) {
    const std::size_t equals = words[index].find('=');
    if (equals == std::string::npos || equals == 0) {
      return UsageError{words[index] + " is not FIELD=VALUE"};
    }
    const std::string field = words[index].substr(0, equals);
    SetField(object, field, ParseValue(field, words[index].substr(equals + 1)));
  }
  return Content{object.dump(), false};
}

Call MakeRead(std::string path, View view) {
  return {.m_path = std::move(path), .m_view = view};
}

Parsed ParseSet(const Words& words, const Options& options) {
  ParsedContent content = ParseContent(words, 3, options);
  if (auto* error = std::get_if<UsageError>(&content)) {
    return *error;
  }
  auto& [json, whole] = std::get<Content>(content);
  return Call{.m_method = whole ? "PUT" : "PATCH",
              .m_path = "/v1/config/" + words[0] + "/" + words[2],
              .m_body = std::move(json),
              .m_view = View::kChange};
}

Parsed ParseObjectCommand(const Words& words, const Options& options) {
  const std::string& verb = words.size() > 1 ? words[1] : words[0];
  const std::string path = "/v1/config/" + words[0];
  if (verb == "list" && words.size() == 2) {
    return MakeRead(path, View::kObjects);
  }
  if (verb == "show" && words.size() == 3) {
    return MakeRead(path + "/" + words[2], View::kObject);
  }
  if (verb == "delete" && words.size() == 3) {
    return Call{.m_method = "DELETE",
                .m_path = path + "/" + words[2],
                .m_view = View::kChange};
  }
  if (verb == "set" && words.size() >= 3) {
    return ParseSet(words, options);
  }
  return UsageError{words[0] +
                    " takes: list | show ID | delete ID | set ID "
                    "FIELD=VALUE ..."};
}

/// change plan ID KIND set|delete OBJECT [FIELD=VALUE ...]
Parsed ParsePlan(const Words& words, const Options& options) {
  const bool known = words.size() >= 6 && ObjectKinds().contains(words[3]) &&
                     (words[4] == "set" || words[4] == "delete");
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
            {"kind", words[3]},
            {"id", words[5]},
            {"object", nullptr}};
  if (words[4] == "set") {
    ParsedContent content = ParseContent(words, 6, options);
    if (auto* error = std::get_if<UsageError>(&content)) {
      return *error;
    }
    const auto& [json, whole] = std::get<Content>(content);
    plan["object"] = Json::parse(json, nullptr, false);
    plan["merge"] = !whole;
    if (plan["object"].is_discarded()) {
      return UsageError{"the object is not valid JSON"};
    }
  }
  return Call{.m_method = "PUT",
              .m_path = "/v1/config/change/" + words[2],
              .m_body = plan.dump(),
              .m_view = View::kChange};
}

Parsed ParseChangeCommand(const Words& words, const Options& options) {
  const std::string verb = words.size() > 1 ? words[1] : "";
  if (verb == "plan") {
    return ParsePlan(words, options);
  }
  if (verb == "list" && words.size() == 2) {
    return MakeRead("/v1/config/change", View::kObjects);
  }
  if (verb == "show" && words.size() == 3) {
    return MakeRead("/v1/config/change/" + words[2], View::kObject);
  }
  if (verb == "cancel" && words.size() == 3) {
    return Call{.m_method = "DELETE",
                .m_path = "/v1/config/change/" + words[2],
                .m_view = View::kChange};
  }
  return UsageError{"change takes: plan ID ... | list | show ID | cancel ID"};
}

Parsed ParseRequestCommand(const Words& words, const Options& options) {
  const bool show = words.size() == 3 && words[1] == "show";
  const bool resolve = words.size() == 3 && words[1] == "resolve";
  if (!show && !resolve) {
    return UsageError{
        "request takes: show KEY | resolve KEY --outcome=completed|not-run, "
        "with --customer and --service"};
  }
  Call call{.m_method = show ? "GET" : "POST",
            .m_path = "/v1/requests/" + words[2],
            .m_query = {{"customer", options.m_customer},
                        {"service", options.m_service}},
            .m_view = View::kRequest};
  if (resolve) {
    call.m_query["outcome"] = options.m_outcome;
  }
  return call;
}

Parsed ParseExplain(const Words& words) {
  if (words.size() != 2 && words.size() != 3) {
    return UsageError{"explain takes: CHAT [MODEL]"};
  }
  Call call = MakeRead("/v1/explain", View::kExplain);
  call.m_query["chat"] = words[1];
  if (words.size() == 3) {
    call.m_query["model"] = words[2];
  }
  return call;
}

Parsed ParseAudit(const Words& words, const Options& options) {
  if (words.size() != 1) {
    return UsageError{"audit takes --after=REVISION and --limit=N only"};
  }
  Call call = MakeRead("/v1/audit", View::kAudit);
  if (!options.m_after.empty()) {
    call.m_query["after"] = options.m_after;
  }
  if (!options.m_limit.empty()) {
    call.m_query["limit"] = options.m_limit;
  }
  return call;
}

/// Commands of one word that take no argument.
std::optional<Call> ParsePlainWord(const std::string& word) {
  static const std::map<std::string, View> views{
      {"revision", View::kRevision},
      {"status", View::kStatus},
      {"instances", View::kInstances},
      {"upstreams", View::kUpstreams}};
  if (word == "drain") {
    return Call{
        .m_method = "POST", .m_path = "/v1/drain", .m_view = View::kDrain};
  }
  auto found = views.find(word);
  if (found == views.end()) {
    return std::nullopt;
  }
  return MakeRead("/v1/" + word, found->second);
}

}  // namespace

std::variant<Call, UsageError> ParseWords(const Words& words,
                                          const Options& options) {
  for (const std::string& word : words) {
    if (word.empty()) {
      return UsageError{"an argument is empty"};
    }
  }
  if (words.empty()) {
    return UsageError{"a command is missing"};
  }
  const std::string& word = words[0];
  if (ObjectKinds().contains(word)) {
    return ParseObjectCommand(words, options);
  }
  if (word == "change") {
    return ParseChangeCommand(words, options);
  }
  if (word == "request") {
    return ParseRequestCommand(words, options);
  }
  if (word == "explain") {
    return ParseExplain(words);
  }
  if (word == "audit") {
    return ParseAudit(words, options);
  }
  if (word == "command" && words.size() == 3 && words[1] == "show") {
    return MakeRead("/v1/commands/" + words[2], View::kCommand);
  }
  const std::optional<Call> plain = ParsePlainWord(word);
  if (plain && words.size() == 1) {
    return *plain;
  }
  return UsageError{"unknown command: " + word};
}

std::string HelpText() {
  return R"(nutmegctl asks and commands a nutmeghollow fleet, through any instance.

  nutmegctl [flags] COMMAND ...

Objects (KIND is customer, route, upstream, service or priority):
  KIND list                       all objects of a kind
  KIND show ID                    one object and the revision that wrote it
  KIND set ID FIELD=VALUE ...     changes these fields, keeps the others
  KIND set ID @FILE               writes the whole object from a JSON file
  KIND set ID --json=OBJECT       writes the whole object
  KIND delete ID

Planned changes:
  change plan ID KIND set OBJECT FIELD=VALUE ... --at=TIME
  change plan ID KIND delete OBJECT --at=TIME
  change list | show ID | cancel ID

The fleet:
  status                          the instance that answers
  instances | upstreams           what that instance knows of them
  revision                        revision in force, and where
  audit [--after=REVISION] [--limit=N]
  command show ID                 whether a command took effect
  explain CHAT [MODEL]            why a chat goes where it goes
  request show KEY --customer=C --service=S
  request resolve KEY --customer=C --service=S --outcome=completed|not-run
  drain                           starts the planned stop of that instance

Values: numbers, true, false and null are JSON; lists are comma-separated or
JSON; a dot leads into an object (wanted.model=llama); null removes a field.
TIME is 2026-12-04T06:30:00Z, or a delay such as +90s, +10m, +2h.

Flags:
  --address=IP:PORT     operator address of an instance ($NUTMEG_ADDRESS)
  --token_file=FILE     file with your token ($NUTMEG_TOKEN_FILE)
  --output=text|json
  --command_id=ID       repeat a command under its id; it takes effect once
  --expected_revision=N refuse unless revision N wrote the object last; 0 for
                        a new object
  --wait_ms=N           wait until the change is in force on all instances
  --timeout_ms=N        longest wait for an answer

Exit status: 0 done; 1 refused, conflict or not found; 2 usage; 3 outcome
unknown, settle it with "command show ID" or send it again with --command_id.
)";
}

}  // namespace nutmeghollow::ctl
