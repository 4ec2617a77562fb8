#include "standins/proxy.h"

#include <vector>

#include "standins/program.h"

namespace nutmeghollow::standins {
namespace {

template <typename T>
void ReadIfPresent(const nlohmann::json& body, const char* name, T& value) {
  if (body.contains(name)) {
    value = body[name].get<T>();
  }
}

std::vector<std::string> StringList(const nlohmann::json& body,
                                    const char* name) {
  if (!body.contains(name)) {
    return {};
  }
  return body[name].get<std::vector<std::string>>();
}

}  // namespace

LinkFaults& Link::Faults(const std::string& source) {
  auto found = m_faults_by_source.find(source);
  return found == m_faults_by_source.end() ? m_default_faults : found->second;
}

void Link::UpdateFaults(const std::string& source, const nlohmann::json& body) {
  if (!source.empty()) {
    m_faults_by_source.try_emplace(source, m_default_faults);
  }
  LinkFaults& faults = Faults(source);
  if (body.contains("delay_us")) {
    faults.m_delay = std::chrono::microseconds(body["delay_us"].get<int>());
  }
  ReadIfPresent(body, "blocked", faults.m_blocked);
  ReadIfPresent(body, "refuse", faults.m_refuse);
  ReadIfPresent(body, "drop", faults.m_drop_fraction);
  ReadIfPresent(body, "cut_count", faults.m_cut_count);
  ReadIfPresent(body, "cut_after", faults.m_cut_after);
  if (body.value("blocked", false) || body.value("silence_open", false)) {
    StallConnections(source);
  }
  if (body.value("reset_open", false)) {
    ResetConnections(source);
  }
}

void FaultProxy::Handle(const std::shared_ptr<net::HttpExchange>& exchange) {
  const auto& request = exchange->Request();
  if (request.m_path == "/control/stats") {
    auto stats = nlohmann::json::object();
    for (const auto& [name, link] : m_links) {
      stats[name].push_back(link->Stats());
    }
    RespondJson(*exchange, 200, stats);
    return;
  }
  const auto body = nlohmann::json::parse(request.m_body);
  if (request.m_path == "/links") {
    AddLinks(body);
  } else {
    ApplyControl(body);
  }
  RespondJson(*exchange, 200, nlohmann::json::object());
}

void FaultProxy::AddLinks(const nlohmann::json& body) {
  for (const auto& entry : body.at("links")) {
    const auto name = entry.at("name").get<std::string>();
    const Endpoint listen(entry.at("listen").get<std::string>());
    const Endpoint target(entry.at("target").get<std::string>());
    auto link = MakeTcpLink(m_loop, listen, target);
    link->UpdateFaults("", entry);
    m_links.emplace(name, std::move(link));
    if (entry.value("udp", false)) {
      auto udp_link = MakeUdpLink(m_loop, listen, target);
      udp_link->UpdateFaults("", entry);
      m_links.emplace(name, std::move(udp_link));
    }
  }
}

void FaultProxy::ApplyControl(const nlohmann::json& body) {
  auto sources = StringList(body, "sources");
  if (sources.empty()) {
    sources.emplace_back();
  }
  for (const auto& name : StringList(body, "links")) {
    auto [first, last] = m_links.equal_range(name);
    for (auto link = first; link != last; ++link) {
      for (const auto& source : sources) {
        link->second->UpdateFaults(source, body);
      }
    }
  }
}

}  // namespace nutmeghollow::standins
