#include "nutmeghollow/routing.h"

#include <utility>

namespace nutmeghollow {

void RoutingConfiguration::Add(HttpRoute route) {
  RoutesByPrefix& routes = m_hosts[route.m_host];
  std::string prefix = route.m_prefix;
  if (route.m_streamed && route.m_repeatability == Repeatability::kResumable) {
    for (const TrafficShare& share : route.m_shares) {
      m_resumable_services.insert(share.m_service);
    }
  }
  const bool added =
      routes.insert_or_assign(std::move(prefix), std::move(route)).second;
  m_route_count += added ? 1 : 0;
}

void RoutingConfiguration::Add(ServicePolicy service) {
  ServiceId id = service.m_id;
  m_services.insert_or_assign(std::move(id), std::move(service));
}

void RoutingConfiguration::Add(CustomerKeys customer) {
  m_requires_keys = true;
  for (const std::string& key : customer.m_keys) {
    m_keys[key] = customer.m_id;
  }
  CustomerId id = customer.m_id;
  m_customers.insert_or_assign(std::move(id), std::move(customer));
}

const HttpRoute* RoutingConfiguration::FindRoute(std::string_view host,
                                                 std::string_view path) const {
  auto routes = m_hosts.find(host);
  if (routes == m_hosts.end()) {
    routes = m_hosts.find(host.substr(0, host.rfind(':')));
  }
  if (routes == m_hosts.end()) {
    return nullptr;
  }
  // Tries each prefix of the path that ends with a slash, longest first.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto route = routes->second.find(path.substr(0, slash + 1));
    if (route != routes->second.end()) {
      return &route->second;
    }
  }
  return nullptr;
}

const ServicePolicy* RoutingConfiguration::FindService(
    const ServiceId& id) const {
  const auto found = m_services.find(id);
  return found == m_services.end() ? nullptr : &found->second;
}

std::map<ServiceId, ColdPolicy> RoutingConfiguration::ColdPolicies() const {
  std::map<ServiceId, ColdPolicy> policies;
  for (const auto& [id, service] : m_services) {
    if (service.m_cold.m_rate > 0) {
      policies.emplace(id, service.m_cold);
    }
  }
  return policies;
}

const CustomerKeys* RoutingConfiguration::FindCustomer(
    const std::string& key) const {
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &m_customers.at(found->second);
}

const CustomerKeys* RoutingConfiguration::FindCustomer(
    const CustomerId& id) const {
  const auto found = m_customers.find(id);
  return found == m_customers.end() ? nullptr : &found->second;
}

ServiceId ChooseService(const HttpRoute& route, double draw) {
  double total = 0;
  for (const TrafficShare& share : route.m_shares) {
    total += share.m_weight;
  }
  double remaining = draw * total;
  for (const TrafficShare& share : route.m_shares) {
    remaining -= share.m_weight;
    if (remaining < 0) {
      return share.m_service;
    }
  }
  return route.m_shares.empty() ? ServiceId() : route.m_shares.back().m_service;
}

}  // namespace nutmeghollow
