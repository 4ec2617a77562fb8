/// @file
/// Test fixture: a world with one route, one service and a simulated clock.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "nutmeghollow/world.h"
#include "table_store_for_test.h"

namespace nutmeghollow {

/// One simulated instance and the actions that its ticks returned.
class FlowWorld {
 public:
  explicit FlowWorld(const std::string& self = "i1", std::uint64_t seed = 1)
      : m_random(seed) {
    m_world.m_hooks.m_random = [this] { return m_random(); };
    m_world.m_hooks.m_wall_time = [this] {
      return WallTime(1'000'000 + m_now.time_since_epoch().count() / 1000);
    };
    m_world.m_configuration.m_revision = Revision(1);
    m_world.m_placement_parameters.m_reservations = false;
    m_world.m_configuration_state.m_parameters.m_isolation_limit =
        std::chrono::hours(10000);
    m_world.m_instances.m_self = InstanceId(self);
    for (const char* id : {"i1", "i2", "i3"}) {
      m_world.m_instances.m_rows[InstanceId(id)].m_id = InstanceId(id);
    }
    RouteRow& route = m_world.m_routes[RouteId("model")];
    route.m_id = RouteId("model");
    ServiceRow& service = m_world.m_services[ServiceId("orders")];
    service.m_id = ServiceId("orders");
    for (const char* id : {"e1", "e2", "e3"}) {
      AddUpstream(id, UpstreamKind::kEngine);
      route.m_upstreams.emplace_back(id);
    }
    for (const char* id : {"s1", "s2"}) {
      AddUpstream(id, UpstreamKind::kService);
      service.m_upstreams.emplace_back(id);
    }
    CustomerRow& customer = m_world.m_customers[CustomerId("customer")];
    customer.m_id = CustomerId("customer");
  }

  NewRequest Chat(std::uint64_t digest, bool streamed = true) {
    NewRequest request;
    request.m_id = RequestId(++m_last_request);
    request.m_customer = CustomerId("customer");
    request.m_route = RouteId("model");
    request.m_digest = RequestDigest(digest);
    request.m_chat = ChatKey(digest);
    request.m_streamed = streamed;
    return request;
  }

  NewRequest Order(const std::string& method,
                   const std::string& key,
                   std::uint64_t digest = 1) {
    NewRequest request;
    request.m_id = RequestId(++m_last_request);
    request.m_kind = RequestKind::kService;
    request.m_customer = CustomerId("customer");
    request.m_service = ServiceId("orders");
    request.m_method = method;
    request.m_idempotency_key = IdempotencyKey(key);
    request.m_digest = RequestDigest(digest);
    return request;
  }

  RequestId Submit(const NewRequest& request) {
    m_world.m_request_inbox.m_new.push_back(request);
    return request.m_id;
  }

  /// Runs ticks until none requests another one at the current time.
  void Settle() {
    do {
      m_world.m_tick_again = false;
      for (Action& action : Tick(m_world, m_now)) {
        if (!RunQuarantineOperation(action) && !AcknowledgePing(action)) {
          m_actions.push_back(std::move(action));
        }
      }
    } while (m_world.m_tick_again);
  }

  void Advance(Duration duration) {
    m_now += duration;
    Settle();
  }

  /// Reports an event of the current attempt of a request.
  void Report(RequestId id, AttemptEvent event) {
    const RequestRow* row = m_world.m_requests.Find(id);
    event.m_request = id;
    event.m_attempt = row == nullptr ? AttemptId() : row->m_attempt;
    m_world.m_request_inbox.m_attempts.push_back(std::move(event));
    Settle();
  }
  void Report(RequestId id, AttemptEventKind kind) {
    AttemptEvent event;
    event.m_kind = kind;
    Report(id, event);
  }

  /// Removes the actions of one type from m_actions.
  /// @return the removed actions.
  template <typename Kind>
  std::vector<Kind> Take() {
    std::vector<Kind> taken;
    std::vector<Action> kept;
    for (Action& action : m_actions) {
      if (auto* match = std::get_if<Kind>(&action)) {
        taken.push_back(std::move(*match));
      } else {
        kept.push_back(std::move(action));
      }
    }
    m_actions = std::move(kept);
    return taken;
  }

  RequestPhase PhaseOf(RequestId id) {
    const RequestRow* row = m_world.m_requests.Find(id);
    return row == nullptr ? RequestPhase::kDone : row->m_phase;
  }

  World m_world;
  TimePoint m_now{std::chrono::hours(1)};
  std::vector<Action> m_actions;
  /// Executes store operations of quarantine at once; the test executes those
  /// of other systems.
  std::shared_ptr<InMemoryTableStore> m_store =
      std::make_shared<InMemoryTableStore>();
  /// Status of all store operations of quarantine, if set.
  std::optional<StoreStatus> m_store_failure;
  bool m_store_silent = false;  ///< Results of quarantine are dropped.
  bool m_peers_silent = false;  ///< No peer acknowledges pings.

 private:
  /// Acknowledges a ping on behalf of the peer.
  /// @return whether the action was a ping.
  bool AcknowledgePing(const Action& action) {
    const auto* datagram = std::get_if<SendDatagram>(&action);
    const auto ping =
        datagram == nullptr ? std::nullopt : DecodeGossip(datagram->m_payload);
    if (!ping || ping->m_kind != GossipKind::kPing) {
      return false;
    }
    if (!m_peers_silent) {
      const GossipMessage ack{.m_kind = GossipKind::kAck,
                              .m_probe = ping->m_probe};
      m_world.m_membership_inbox.m_datagrams.push_back(
          {datagram->m_to, EncodeGossip(ack), datagram->m_endpoint});
      m_world.m_tick_again = true;
    }
    return true;
  }

  /// Executes a store operation of quarantine.
  /// @return whether the action was one.
  bool RunQuarantineOperation(const Action& action) {
    const auto* read = std::get_if<ReadStore>(&action);
    const auto* commit = std::get_if<CommitStore>(&action);
    constexpr StorePurpose kPurpose = StorePurpose::kQuarantine;
    const bool is_read = read != nullptr && read->m_purpose == kPurpose;
    const bool is_commit = commit != nullptr && commit->m_purpose == kPurpose;
    if (!is_read && !is_commit) {
      return false;
    }
    StoreResult result = is_read ? m_store->Run(*read) : m_store->Run(*commit);
    if (m_store_failure) {
      result = {result.m_operation, *m_store_failure, {}};
    }
    if (!m_store_silent) {
      m_world.m_store_results[static_cast<int>(kPurpose)].push_back(result);
      m_world.m_tick_again = true;
    }
    return true;
  }

  void AddUpstream(const char* id, UpstreamKind kind) {
    UpstreamRow& row = m_world.m_upstreams.m_rows[UpstreamId(id)];
    row.m_id = UpstreamId(id);
    row.m_kind = kind;
    row.m_endpoint = Endpoint("127.0.0.1:1");
  }

  std::mt19937_64 m_random;
  std::uint64_t m_last_request = 0;
};

}  // namespace nutmeghollow
