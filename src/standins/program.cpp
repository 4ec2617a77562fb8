#include "standins/program.h"

#include <csignal>
#include <cstdlib>

#include "libnet/event_loop.h"

namespace nutmeghollow::standins {

void RespondJson(net::HttpExchange& exchange,
                 int status,
                 const nlohmann::json& body,
                 net::HeaderList headers) {
  headers.emplace_back("Content-Type", "application/json");
  exchange.Respond(status, headers, body.dump());
}

void DropResponse(net::HttpExchange& exchange) {
  exchange.BeginStream(200, {});
  exchange.AbortStream();
}

nlohmann::json ParseObject(const std::string& text) {
  auto parsed = nlohmann::json::parse(text, nullptr, false);
  if (!parsed.is_object()) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return parsed;
}

std::int64_t QueryNumber(const net::HttpRequest& request,
                         const std::string& name,
                         std::int64_t fallback) {
  auto found = request.m_query.find(name);
  if (found == request.m_query.end()) {
    return fallback;
  }
  return std::strtoll(found->second.c_str(), nullptr, 10);
}

void Serve(struct ev_loop* loop,
           const std::string& address,
           const net::HttpHandler& handler) {
  net::HttpServer server(
      loop, Endpoint(address), {},
      [&handler](const std::shared_ptr<net::HttpExchange>& exchange) {
        try {
          handler(exchange);
        } catch (const nlohmann::json::exception& error) {
          RespondJson(*exchange, 400, {{"error", error.what()}});
        }
      });
  RunUntilSignal(loop);
}

void RunUntilSignal(struct ev_loop* loop) {
  auto stop = [loop] { ev_break(loop, EVBREAK_ALL); };
  net::SignalWatcher on_terminate(loop, SIGTERM, stop);
  net::SignalWatcher on_interrupt(loop, SIGINT, stop);
  ev_run(loop, 0);
}

RecordFile::RecordFile(const std::string& path) {
  if (!path.empty()) {
    m_file = std::fopen(path.c_str(), "a");
  }
}

RecordFile::~RecordFile() {
  if (m_file != nullptr) {
    std::fclose(m_file);
  }
}

void RecordFile::Append(const std::string& line) {
  if (m_file == nullptr) {
    return;
  }
  const std::string full_line = line + "\n";
  std::fwrite(full_line.data(), 1, full_line.size(), m_file);
  std::fflush(m_file);
}

}  // namespace nutmeghollow::standins
