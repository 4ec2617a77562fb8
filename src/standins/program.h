/// @file
/// What the programs of the stand-ins have in common.
#pragma once

#include <ev.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "libnet/http_server.h"

namespace nutmeghollow::standins {

/// Answers a request with a JSON text.
void RespondJson(net::HttpExchange& exchange,
                 int status,
                 const nlohmann::json& body,
                 net::HeaderList headers = {});

/// Closes the connection of a request without a usable answer.
void DropAnswer(net::HttpExchange& exchange);

/// @return the parsed text, or a discarded value when it is no JSON object.
nlohmann::json ParseObject(const std::string& text);

/// @return a query parameter as a number, or the fallback.
std::int64_t QueryNumber(const net::HttpRequest& request,
                         const std::string& name,
                         std::int64_t fallback);

/// Serves on an address until SIGTERM or SIGINT. A handler that throws because
/// a request is malformed answers 400.
void Serve(struct ev_loop* loop,
           const std::string& address,
           const net::HttpHandler& handler);

/// Runs the loop until SIGTERM or SIGINT.
void RunUntilSignal(struct ev_loop* loop);

/// Appends lines to a file, so that records survive the end of the process.
class RecordFile {
 public:
  /// @param path file to append to; empty for none.
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  /// Writes one line and hands it to the system at once.
  void Append(const std::string& line);

 private:
  std::FILE* m_file = nullptr;
};

}  // namespace nutmeghollow::standins
