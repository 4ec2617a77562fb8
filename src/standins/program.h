/// @file
/// Helpers shared by the stand-in programs.
#pragma once

#include <ev.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

#include "libnet/http_server.h"

namespace nutmeghollow::standins {

/// Sends a JSON response.
void RespondJson(net::HttpExchange& exchange,
                 int status,
                 const nlohmann::json& body,
                 net::HeaderList headers = {});

/// Closes the connection of a request before the response is complete.
void DropResponse(net::HttpExchange& exchange);

/// @return the parsed text, or a discarded value when it is not a JSON object.
nlohmann::json ParseObject(const std::string& text);

/// @return a query parameter as a number, or the fallback.
std::int64_t QueryNumber(const net::HttpRequest& request,
                         const std::string& name,
                         std::int64_t fallback);

/// Serves HTTP until SIGTERM or SIGINT. A request for which the handler throws
/// a JSON exception, as for a malformed body, gets a 400 response.
/// @param address IP:PORT to listen on.
void Serve(struct ev_loop* loop,
           const std::string& address,
           const net::HttpHandler& handler);

/// Runs the event loop until SIGTERM or SIGINT.
void RunUntilSignal(struct ev_loop* loop);

/// Appends lines to a file, so that records survive the end of the process.
class RecordFile {
 public:
  /// @param path file to append to; empty to record nothing.
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  /// Appends a line and flushes it, so that a crash of the process loses none.
  void Append(const std::string& line);

 private:
  std::FILE* m_file = nullptr;
};

}  // namespace nutmeghollow::standins
