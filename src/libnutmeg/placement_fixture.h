/// @file
/// A world with one route, advanced step by step, for tests and benchmarks of
/// placement and admission.
#pragma once

#include <fmt/core.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "nutmeghollow/world.h"

namespace nutmeghollow {

/// Runs admission and placement of one instance and stands in for request flow.
class PlacementFixture {
 public:
  /// @param engines engines of the route "model".
  /// @param instances instances of the fleet; the first is this one.
  /// @param seed seed of the random numbers.
  explicit PlacementFixture(int engines, int instances = 1, int seed = 1)
      : m_random(seed) {
    m_world.m_hooks.m_random = [this] { return m_random(); };
    m_world.m_hooks.m_wall_time = [this] {
      return WallTime(m_now.time_since_epoch() / std::chrono::milliseconds(1));
    };
    m_world.m_configuration.m_revision = Revision(1);
    // Starts with a full control budget, because reservations may use only
    // what other control traffic leaves.
    m_world.m_budget.m_tokens =
        static_cast<double>(m_world.m_budget.m_parameters.m_rate.value());
    for (int index = 0; index < instances; ++index) {
      AddInstance(fmt::format("instance-{:03}", index));
    }
    m_world.m_instances.m_self = InstanceId("instance-000");
    RouteRow& route = m_world.m_routes[RouteId("model")];
    route.m_id = RouteId("model");
    for (int index = 0; index < engines; ++index) {
      route.m_upstreams.push_back(
          AddUpstream(fmt::format("engine-{:03}", index)).m_id);
    }
    AddCustomer("band");
  }

  InstanceRow& AddInstance(const std::string& name) {
    InstanceRow& row = m_world.m_instances.m_rows[InstanceId(name)];
    row.m_id = InstanceId(name);
    row.m_caller_endpoint = Endpoint(name + ":80");
    return row;
  }

  UpstreamRow& AddUpstream(const std::string& name) {
    UpstreamRow& row = m_world.m_upstreams.m_rows[UpstreamId(name)];
    row.m_id = UpstreamId(name);
    return row;
  }

  CustomerRow& AddCustomer(const std::string& name) {
    CustomerRow& row = m_world.m_customers[CustomerId(name)];
    row.m_id = CustomerId(name);
    return row;
  }

  UpstreamRow& Engine(int index) {
    return *m_world.m_upstreams.Find(Route().m_upstreams.at(index));
  }

  RouteRow& Route() { return m_world.m_routes.at(RouteId("model")); }

  CustomerRow& Customer(const std::string& name = "band") {
    return m_world.m_customers.at(CustomerId(name));
  }

  /// Queues a request without running admission or placement.
  RequestRow& Arrive(std::uint64_t chat, const std::string& customer = "band") {
    NewRequest request;
    request.m_id = RequestId(++m_last_id);
    request.m_chat = ChatKey(chat);
    request.m_route = RouteId("model");
    request.m_customer = CustomerId(customer);
    return Arrive(request);
  }

  RequestRow& Arrive(const NewRequest& request) {
    m_last_id = std::max(m_last_id, request.m_id.value());
    RequestRow& row = m_world.m_requests.Add(request, m_now);
    m_world.m_requests.SetPhase(row, RequestPhase::kQueued, m_now);
    return row;
  }

  /// Queues a request and runs admission and placement.
  RequestRow& Send(std::uint64_t chat, const std::string& customer = "band") {
    RequestRow& row = Arrive(chat, customer);
    Run();
    return row;
  }

  void Run() {
    RunAdmission(m_world, m_now);
    RunPlacement(m_world, m_now);
  }

  void Advance(Duration time) {
    m_now += time;
    Run();
  }

  /// Ends a request in any phase.
  void End(RequestRow& row) {
    if (row.m_has_placement) {
      row.m_bytes_received = 1;
      ReleasePlacement(m_world, row, m_now);
    }
    m_world.m_requests.SetPhase(row, RequestPhase::kDone, m_now);
    m_world.m_requests.Remove(row.m_request.m_id);
  }

  /// @return running requests of this instance at each engine of the route.
  std::vector<int> Loads() {
    std::vector<int> loads;
    for (const UpstreamId& id : Route().m_upstreams) {
      loads.push_back(m_world.m_upstreams.Find(id)->m_local_running);
    }
    return loads;
  }

  World m_world;
  TimePoint m_now{std::chrono::hours(1)};
  std::mt19937_64 m_random;
  std::uint64_t m_last_id = 0;
};

}  // namespace nutmeghollow
