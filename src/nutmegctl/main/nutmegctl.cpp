// Command-line tool for operators.
#include <fmt/core.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "nutmegctl/command_line.h"
#include "nutmegctl/http_call.h"
#include "nutmegctl/view.h"

DEFINE_string(address, "", "operator address of an instance, IP:PORT");
DEFINE_string(token_file, "", "file that holds your token");
DEFINE_string(output, "text", "text or json");
DEFINE_string(command_id, "", "id of the command; chosen at random if empty");
DEFINE_string(expected_revision,
              "",
              "refuse unless this revision wrote the object last");
DEFINE_int32(timeout_ms, 15000, "timeout of a call, in milliseconds");
DEFINE_int32(wait_ms,
             0,
             "wait until the change is in force on all instances, at most this "
             "many milliseconds");
DEFINE_string(json, "", "whole object as JSON, or @FILE");
DEFINE_string(at, "", "time of a planned change");
DEFINE_string(after, "", "audit: only changes after this revision");
DEFINE_string(limit, "", "audit: at most this many changes");
DEFINE_string(
    customer,
    "",
    "request: customer of the idempotency key; explain-route: name of "
    "the customer");
DEFINE_string(prompt, "", "explain-route: parts of the prompt, ID:TOKENS,...");
DEFINE_string(priority,
              "",
              "explain-route: rank instead of the configured one");
DEFINE_string(service, "", "request: service of the idempotency key");
DEFINE_string(outcome, "", "request resolve: completed or not-run");

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;

constexpr auto kPollInterval = std::chrono::milliseconds(100);

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string FlagOrEnvironment(const std::string& flag, const char* name) {
  const char* value = std::getenv(name);
  return flag.empty() && value != nullptr ? value : flag;
}

WallTime CurrentWallTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string NewCommandId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

int ToExitCode(ExitStatus status) {
  return static_cast<int>(status);
}

int ReportUsageError(const std::string& message) {
  fmt::print(stderr, "nutmegctl: {}\n(see nutmegctl help)\n", message);
  return ToExitCode(ExitStatus::kUsage);
}

Options OptionsFromFlags() {
  return {.m_json = FLAGS_json,
          .m_at = FLAGS_at,
          .m_after = FLAGS_after,
          .m_limit = FLAGS_limit,
          .m_customer = FLAGS_customer,
          .m_service = FLAGS_service,
          .m_outcome = FLAGS_outcome,
          .m_prompt = FLAGS_prompt,
          .m_priority = FLAGS_priority,
          .m_read_file = ReadFile,
          .m_now = CurrentWallTime()};
}

/// Reads the target from the flags, or from the environment where one is empty.
/// @return the target, or an error when a value is missing or invalid.
/// @param needs_token false when the token may be missing.
std::variant<Target, UsageError> TargetFromFlagsOrEnvironment(
    bool needs_token) {
  Target target;
  target.m_address = FlagOrEnvironment(FLAGS_address, "NUTMEG_ADDRESS");
  if (target.m_address.empty()) {
    return UsageError{"--address is required"};
  }
  const std::string file =
      FlagOrEnvironment(FLAGS_token_file, "NUTMEG_TOKEN_FILE");
  const std::optional<std::string> token =
      file.empty() ? std::nullopt : ReadFile(file);
  if (!token && needs_token) {
    return UsageError{"--token_file must name a file that can be read"};
  }
  if (token && needs_token) {
    target.m_token = token->substr(0, token->find_first_of("\r\n"));
  }
  target.m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  return target;
}

/// Sends a call and parses the response.
/// @param id command id, sent with calls that modify something.
/// @return the response, or an object in the same form with the error.
Json SendAndParse(const Target& target,
                  const Call& call,
                  const std::string& id) {
  std::vector<std::string> headers;
  if (call.IsModifying()) {
    headers.push_back("X-Command-Id: " + id);
  }
  if (!FLAGS_expected_revision.empty()) {
    headers.push_back("X-Expected-Revision: " + FLAGS_expected_revision);
  }
  const CallResult result = SendCall(target, call, headers);
  if (result.m_response_received) {
    Json response = Json::parse(result.m_body, nullptr, false);
    if (response.is_object()) {
      return response;
    }
  }
  const std::string error = result.m_response_received
                                ? "the response is not a JSON object"
                                : result.m_error;
  if (call.IsModifying() &&
      (result.m_response_received || result.m_may_have_been_sent)) {
    return {{"result", "unknown"},
            {"command", id},
            {"settle", "command show " + id},
            {"message", error}};
  }
  return {
      {"result", "refused"},
      {"findings",
       {{{"place", target.m_address}, {"message", "no response: " + error}}}}};
}

/// Polls until a change is in force on all instances or --wait_ms has passed,
/// and updates the response.
void WaitUntilInForce(const Target& target, Json& response) {
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(FLAGS_wait_ms);
  const Call call{.m_path = "/v1/revision",
                  .m_query = {{"of", response["revision"].dump()}},
                  .m_view = View::kRevision};
  while (response["in_force"]["on"] != response["in_force"]["of"] &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    const Json revision = SendAndParse(target, call, "");
    if (revision.contains("in_force")) {
      response["in_force"] = revision["in_force"];
    }
  }
}

int Run(const std::vector<std::string>& arguments) {
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return ReportUsageError("--output must be text or json");
  }
  const auto parsed = ParseArguments(arguments, OptionsFromFlags());
  if (const auto* error = std::get_if<UsageError>(&parsed)) {
    return ReportUsageError(error->m_message);
  }
  const Call& call = std::get<Call>(parsed);
  const auto target_or_error = TargetFromFlagsOrEnvironment(call.m_needs_token);
  if (const auto* error = std::get_if<UsageError>(&target_or_error)) {
    return ReportUsageError(error->m_message);
  }
  const Target& target = std::get<Target>(target_or_error);
  const std::string id =
      FLAGS_command_id.empty() ? NewCommandId() : FLAGS_command_id;
  Json response = SendAndParse(target, call, id);
  if (FLAGS_wait_ms > 0 && response.value("result", "") == "accepted") {
    WaitUntilInForce(target, response);
  }
  const ExitStatus status = ExitStatusOf(response);
  const std::string text = FLAGS_output == "json"
                               ? response.dump(2) + "\n"
                               : FormatResponse(call.m_view, response);
  std::FILE* stream = status == ExitStatus::kSuccess || FLAGS_output == "json"
                          ? stdout
                          : stderr;
  fmt::print(stream, "{}", text);
  return ToExitCode(status);
}

/// Sets the flags among the arguments. The parser of gflags is not used because
/// it would exit with status 1, which stands for a refused command.
/// @return the other arguments, or the error of an invalid flag.
std::variant<std::vector<std::string>, UsageError> ParseFlags(int argc,
                                                              char** argv) {
  std::vector<std::string> arguments;
  for (int index = 1; index < argc; ++index) {
    const std::string argument = argv[index];
    if (!argument.starts_with("--")) {
      arguments.push_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(2, equals - 2);
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
      return UsageError{"unknown flag --" + name};
    }
    if (equals == std::string::npos && ++index >= argc) {
      return UsageError{fmt::format("--{} needs a value", name)};
    }
    const std::string value =
        equals == std::string::npos ? argv[index] : argument.substr(equals + 1);
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
      return UsageError{fmt::format("--{} does not take {}", name, value)};
    }
  }
  return arguments;
}

bool IsHelpRequested(int argc, char** argv) {
  const bool flag =
      std::any_of(argv + 1, argv + argc, [](const char* argument) {
        const std::string_view text(argument);
        return text == "--help" || text == "-h";
      });
  return flag || (argc == 2 && std::string_view(argv[1]) == "help");
}

int Main(int argc, char** argv) {
  if (IsHelpRequested(argc, argv)) {
    fmt::print("{}", HelpText());
    return ToExitCode(ExitStatus::kSuccess);
  }
  const auto arguments = ParseFlags(argc, argv);
  if (const auto* error = std::get_if<UsageError>(&arguments)) {
    return ReportUsageError(error->m_message);
  }
  return Run(std::get<std::vector<std::string>>(arguments));
}

}  // namespace
}  // namespace nutmeghollow::ctl

int main(int argc, char** argv) {
  try {
    return nutmeghollow::ctl::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "nutmegctl: %s\n", error.what());
    return nutmeghollow::ctl::ToExitCode(
        nutmeghollow::ctl::ExitStatus::kUnknown);
  }
}
