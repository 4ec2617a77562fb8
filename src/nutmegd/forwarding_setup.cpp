#include "nutmegd/forwarding_setup.h"

#include <string>
#include <utility>

#include "libnet/event_loop.h"
#include "nutmeghollow/forwarding_choice.h"

namespace nutmeghollow {

ReachabilityHooks MakeReachabilityHooks(
    const GatewayState* state,
    const EntryDirectory* directory,
    std::function<void(ReachabilityState, ReachabilityState)> on_round) {
  ReachabilityHooks hooks;
  hooks.m_upstreams = [state] {
    return state->m_pool.Accepting(net::BootTime());
  };
  hooks.m_others_reaching = [state, directory] {
    std::vector<InstanceId> others;
    for (const auto& [id, instance] : directory->Instances()) {
      if (id != state->m_settings->m_instance.m_id && instance.m_alive &&
          instance.m_reach == UpstreamReach::kReached) {
        others.push_back(id);
      }
    }
    return others;
  };
  hooks.m_check_headers = [state] {
    net::ForwardedFields fields;
    fields.m_expected_upstream = UpstreamId("reachability-check");
    fields.m_time_left = std::chrono::seconds(1);
    net::HttpRequest request;
    request.m_headers.emplace(
        "request-id",
        "check-" + state->m_settings->m_instance.m_id.str() + "-" +
            std::to_string(net::BootTime().time_since_epoch().count()));
    return state->m_protocol.m_upstream_headers(request, fields);
  };
  hooks.m_on_round = std::move(on_round);
  return hooks;
}

ForwardingState MakeForwardingState(GatewayState* state,
                                    const EntryDirectory* directory,
                                    const FleetLink* fleet) {
  ForwardingState forwarding;
  forwarding.m_choose = [state, directory](const std::vector<InstanceId>& tried,
                                           const HomeRegions& homes) {
    const InstanceSettings& self = state->m_settings->m_instance;
    return ChooseForwardingInstance(
        *directory,
        {self.m_id, self.m_data_centre, tried, state->m_forwarding.m_active,
         self.m_region, homes},
        [state] { return state->Draw(0, 1); });
  };
  forwarding.m_address_of = [fleet](const InstanceId& id) {
    return fleet->AddressOf(id);
  };
  forwarding.m_keys = [fleet] { return fleet->Keys(); };
  return forwarding;
}

}  // namespace nutmeghollow
