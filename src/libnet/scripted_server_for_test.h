/// @file
/// Fixture with a client and a scripted server on one loop, and the responses
/// that no user of the client may take for complete or valid.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_client.h"
#include "libnet/scripted_server.h"

namespace nutmeghollow::net {

/// A client and a scripted server that gives the same reply to each request.
class ScriptedServerTest : public ::testing::Test {
 protected:
  ScriptedServerTest()
      : m_loop(ev_loop_new(0)),
        m_client(std::make_unique<HttpClient>(m_loop)),
        m_server(m_loop, [this](const std::string& request) {
          return m_script ? m_script(request) : m_reply;
        }) {}
  ~ScriptedServerTest() override {
    m_client.reset();
    m_server.CloseAll();
    m_server.Stop();
  }

  /// Runs the loop until a condition holds, for at most 20 s.
  void RunUntil(const std::function<bool()>& done) {
    bool timed_out = false;
    Timer limit(m_loop, [&timed_out] { timed_out = true; });
    limit.Start(std::chrono::seconds(20));
    while (!done() && !timed_out) {
      ev_run(m_loop, EVRUN_ONCE);
    }
    EXPECT_FALSE(timed_out) << "the condition did not hold within 20 s";
  }

  struct ev_loop* m_loop;
  ScriptedReply m_reply;
  ScriptedServer::Script m_script;  ///< Takes precedence over m_reply.
  std::unique_ptr<HttpClient> m_client;
  ScriptedServer m_server;
};

/// A reply that is not a valid complete response.
struct FaultyReply {
  std::string m_name;
  ScriptedReply m_reply;
};

/// @param fields header fields of the response, each ended by a line break.
/// @param body body of the complete response; at least two bytes.
/// @return a reply with the whole body and one of each kind that breaks off.
inline std::vector<FaultyReply> TruncatedReplies(const std::string& fields,
                                                 const std::string& body) {
  using Action = ScriptedReply::ConnectionAction;
  const std::string part = body.substr(0, body.size() / 2);
  const std::string length = fmt::format("Content-Length: {}\r\n", body.size());
  const std::string chunk = fmt::format("{:x}\r\n", body.size());
  const auto head = [&](const std::string& version, const std::string& more) {
    return "HTTP/" + version + " 200 OK\r\n" + fields + more + "\r\n";
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"length not reached", {head("1.1", length) + part, Action::kClose}},
      {"length not reached, reset",
       {head("1.1", length) + part, Action::kReset}},
      {"length not reached, Connection: close",
       {head("1.1", length + "Connection: close\r\n") + part, Action::kClose}},
      {"length not reached, HTTP/1.0",
       {head("1.0", length) + part, Action::kClose}},
      {"inside a chunk", {head("1.1", chunked) + chunk + part, Action::kClose}},
      {"no last chunk",
       {head("1.1", chunked) + chunk + body + "\r\n", Action::kClose}},
      {"chunks in HTTP/1.0",
       {head("1.0", chunked) + chunk + body + "\r\n", Action::kClose}},
      {"no length, part", {head("1.1", "") + part, Action::kClose}},
      {"no length, reset", {head("1.1", "") + body, Action::kReset}},
      {"no length, HTTP/1.0, reset", {head("1.0", "") + body, Action::kReset}},
      {"only the head", {head("1.1", length), Action::kClose}},
  };
}

/// @return texts in the place of a status that are none, such as numbers with
/// the digits of a valid status.
inline std::vector<std::string> InvalidStatuses() {
  return {"000", "099", "00",   "1000",  "-20",  "600",
          "999", "20",  "2000", "200.5", "4090", "5030"};
}

/// @return a complete response with an invalid status.
inline ScriptedReply ReplyWithStatus(const std::string& status,
                                     const std::string& fields,
                                     const std::string& body) {
  return {fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}", status,
                      fields, body.size(), body),
          ScriptedReply::ConnectionAction::kClose};
}

}  // namespace nutmeghollow::net
