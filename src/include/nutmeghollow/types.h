/// @file
/// Strong types for identifiers, time and units.
///
/// Two values of different kinds never convert into one another, so a
/// customer name cannot be passed where an upstream name is expected.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace nutmeghollow {

/// A textual identifier. @tparam Tag makes each kind a type of its own.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}
  explicit Name(std::string_view value) : m_value(value) {}
  explicit Name(const char* value) : m_value(value) {}

  /// @return the identifier as text.
  const std::string& str() const { return m_value; }
  /// @return true when the identifier has not been set.
  bool empty() const { return m_value.empty(); }

  auto operator<=>(const Name&) const = default;

 private:
  std::string m_value;
};

/// A numeric identifier or count. @tparam Tag makes each kind its own type.
template <typename Tag, typename Rep = std::uint64_t>
class Number {
 public:
  using Representation = Rep;

  constexpr Number() = default;
  constexpr explicit Number(Rep value) : m_value(value) {}

  /// @return the plain number.
  constexpr Rep value() const { return m_value; }
  /// @return the number that follows this one.
  constexpr Number Next() const { return Number(m_value + 1); }

  constexpr auto operator<=>(const Number&) const = default;

 private:
  Rep m_value{};
};

/// An instance of the router daemon.
using InstanceId = Name<struct InstanceTag>;
/// A model engine or a server of a plain service.
using UpstreamId = Name<struct UpstreamTag>;
/// A route, named after the model that callers ask for.
using RouteId = Name<struct RouteTag>;
/// A plain service that stands beside the model engines.
using ServiceId = Name<struct ServiceTag>;
/// A customer of the operators.
using CustomerId = Name<struct CustomerTag>;
/// A named priority class.
using PriorityId = Name<struct PriorityTag>;
/// A data centre.
using DataCentreId = Name<struct DataCentreTag>;
/// A region, which holds data centres.
using RegionId = Name<struct RegionTag>;
/// An operator, as named by the token presented.
using OperatorId = Name<struct OperatorTag>;
/// Identifies one operator command across retries.
using CommandId = Name<struct CommandTag>;
/// The caller's key for a non-idempotent request.
using IdempotencyKey = Name<struct IdempotencyTag>;
/// A request id as seen by callers and upstreams (X-Request-Id).
using PublicRequestId = Name<struct PublicRequestTag>;

/// A request inside one instance; never reused within a process.
using RequestId = Number<struct RequestTag>;
/// One try of a request at one upstream; never reused within a process.
using AttemptId = Number<struct AttemptTag>;
/// A question of another instance for a reservation, numbered by the adapter.
using ReservationId = Number<struct ReservationTag>;
/// Hash that identifies a chat.
using ChatKey = Number<struct ChatTag>;
/// Hash of a request's body.
using RequestDigest = Number<struct DigestTag>;
/// A version of the whole configuration. Zero means none.
using Revision = Number<struct RevisionTag>;
/// Grows with each start or refutation of an instance.
using Incarnation = Number<struct IncarnationTag>;
/// Grows with each acquisition of a lease.
using FencingNumber = Number<struct FencingTag>;
/// An operation on the platform's table service.
using StoreOperationId = Number<struct StoreOperationTag>;
/// Version of one row of the table service. Zero means that it is absent.
using RowVersion = Number<struct RowVersionTag>;

/// Clock of the decision library. It has no `now`: time comes in by hooks.
/// The daemon fills it from CLOCK_BOOTTIME.
struct TickClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<TickClock>;
  static constexpr bool is_steady = true;
};
using Duration = TickClock::duration;
using TimePoint = TickClock::time_point;

/// Civil time for audit rows and planned changes, milliseconds since 1970.
using WallTime = Number<struct WallTimeTag, std::int64_t>;

/// A count of bytes.
using Bytes = Number<struct BytesTag, std::int64_t>;
/// A count of model tokens.
using Tokens = Number<struct TokensTag, std::int64_t>;

/// An IP address and port, written "127.0.0.1:80" or "[::1]:80".
using Endpoint = Name<struct EndpointTag>;

}  // namespace nutmeghollow

/// Hash support, so that identifiers can be keys of unordered tables.
template <typename Tag>
struct std::hash<nutmeghollow::Name<Tag>> {
  std::size_t operator()(const nutmeghollow::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};

/// Hash support for numeric identifiers.
template <typename Tag, typename Rep>
struct std::hash<nutmeghollow::Number<Tag, Rep>> {
  std::size_t operator()(
      const nutmeghollow::Number<Tag, Rep>& number) const noexcept {
    return std::hash<Rep>()(number.value());
  }
};
