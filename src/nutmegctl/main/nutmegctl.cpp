// The operators' command-line tool.
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
DEFINE_int32(timeout_ms, 15000, "longest wait for an answer, in milliseconds");
DEFINE_int32(wait_ms,
             0,
             "wait until the change is in force on all instances, at most this "
             "many milliseconds");
DEFINE_string(json, "", "whole object as JSON, or @FILE");
DEFINE_string(at, "", "time of a planned change");
DEFINE_string(after, "", "audit: only changes after this revision");
DEFINE_string(limit, "", "audit: at most this many changes");
DEFINE_string(customer, "", "request: customer of the idempotency key");
DEFINE_string(service, "", "request: service of the idempotency key");
DEFINE_string(outcome, "", "request resolve: completed or not-run");

namespace nutmeghollow::ctl {
namespace {

using Json = nlohmann::json;

constexpr auto kWaitPeriod = std::chrono::milliseconds(100);

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

WallTime WallClockTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string NewCommandId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

int Exit(ExitStatus status) {
  return static_cast<int>(status);
}

int FailUsage(const std::string& message) {
  fmt::print(stderr, "nutmegctl: {}\n(see nutmegctl help)\n", message);
  return Exit(ExitStatus::kUsage);
}

Options OptionsFromFlags() {
  return {.m_json = FLAGS_json,
          .m_at = FLAGS_at,
          .m_after = FLAGS_after,
          .m_limit = FLAGS_limit,
          .m_customer = FLAGS_customer,
          .m_service = FLAGS_service,
          .m_outcome = FLAGS_outcome,
          .m_read_file = ReadFile,
          .m_now = WallClockTime()};
}

/// @return the target, or what is missing.
std::variant<Target, UsageError> FindTarget() {
  Target target;
  target.m_address = FlagOrEnvironment(FLAGS_address, "NUTMEG_ADDRESS");
  if (target.m_address.empty()) {
    return UsageError{"--address is required"};
  }
  const std::string file =
      FlagOrEnvironment(FLAGS_token_file, "NUTMEG_TOKEN_FILE");
  const std::optional<std::string> token =
      file.empty() ? std::nullopt : ReadFile(file);
  if (!token) {
    return UsageError{"--token_file must name a file that can be read"};
  }
  target.m_token = token->substr(0, token->find_first_of("\r\n"));
  target.m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  return target;
}

/// @return the answer, or one made here that tells why there is none.
Json Ask(const Target& target, const Call& call, const std::string& id) {
  std::vector<std::string> headers;
  if (call.Changes()) {
    headers.push_back("X-Command-Id: " + id);
  }
  if (!FLAGS_expected_revision.empty()) {
    headers.push_back("X-Expected-Revision: " + FLAGS_expected_revision);
  }
  const CallEnd end = SendCall(target, call, headers);
  if (end.m_answered) {
    Json answer = Json::parse(end.m_body, nullptr, false);
    if (answer.is_object()) {
      return answer;
    }
  }
  const std::string error =
      end.m_answered ? "the answer is not a JSON object" : end.m_error;
  if (call.Changes() && (end.m_answered || end.m_may_have_been_sent)) {
    return {{"result", "unknown"},
            {"command", id},
            {"settle", "command show " + id},
            {"message", error}};
  }
  return {
      {"result", "refused"},
      {"findings",
       {{{"place", target.m_address}, {"message", "no answer: " + error}}}}};
}

/// Asks until a change is in force everywhere or the time is over.
void WaitInForce(const Target& target, Json& answer) {
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(FLAGS_wait_ms);
  const Call call{.m_path = "/v1/revision",
                  .m_query = {{"of", answer["revision"].dump()}},
                  .m_view = View::kRevision};
  while (answer["in_force"]["on"] != answer["in_force"]["of"] &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kWaitPeriod);
    const Json report = Ask(target, call, "");
    if (report.contains("in_force")) {
      answer["in_force"] = report["in_force"];
    }
  }
}

int Run(const std::vector<std::string>& words) {
  if (FLAGS_output != "text" && FLAGS_output != "json") {
    return FailUsage("--output must be text or json");
  }
  const auto parsed = ParseWords(words, OptionsFromFlags());
  if (const auto* error = std::get_if<UsageError>(&parsed)) {
    return FailUsage(error->m_message);
  }
  const auto found = FindTarget();
  if (const auto* error = std::get_if<UsageError>(&found)) {
    return FailUsage(error->m_message);
  }
  const Call& call = std::get<Call>(parsed);
  const Target& target = std::get<Target>(found);
  const std::string id =
      FLAGS_command_id.empty() ? NewCommandId() : FLAGS_command_id;
  Json answer = Ask(target, call, id);
  if (FLAGS_wait_ms > 0 && answer.value("result", "") == "accepted") {
    WaitInForce(target, answer);
  }
  const ExitStatus status = StatusOf(answer);
  const std::string text = FLAGS_output == "json"
                               ? answer.dump(2) + "\n"
                               : ShowText(call.m_view, answer);
  std::FILE* stream =
      status == ExitStatus::kDone || FLAGS_output == "json" ? stdout : stderr;
  fmt::print(stream, "{}", text);
  return Exit(status);
}

/// Sets the flags among the arguments. The library's own parser would end the
/// program with the exit status of a refusal.
/// @return the other arguments, or what is wrong with a flag.
std::variant<std::vector<std::string>, UsageError> TakeFlags(int argc,
                                                             char** argv) {
  std::vector<std::string> words;
  for (int index = 1; index < argc; ++index) {
    const std::string argument = argv[index];
    if (!argument.starts_with("--")) {
      words.push_back(argument);
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
  return words;
}

bool AsksForHelp(int argc, char** argv) {
  const bool flag =
      std::any_of(argv + 1, argv + argc, [](const char* argument) {
        const std::string_view word(argument);
        return word == "--help" || word == "-h";
      });
  return flag || (argc == 2 && std::string_view(argv[1]) == "help");
}

int Main(int argc, char** argv) {
  if (AsksForHelp(argc, argv)) {
    fmt::print("{}", HelpText());
    return Exit(ExitStatus::kDone);
  }
  const auto words = TakeFlags(argc, argv);
  if (const auto* error = std::get_if<UsageError>(&words)) {
    return FailUsage(error->m_message);
  }
  return Run(std::get<std::vector<std::string>>(words));
}

}  // namespace
}  // namespace nutmeghollow::ctl

int main(int argc, char** argv) {
  try {
    return nutmeghollow::ctl::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "nutmegctl: %s\n", error.what());
    return nutmeghollow::ctl::Exit(nutmeghollow::ctl::ExitStatus::kUnknown);
  }
}
