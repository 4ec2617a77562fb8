/// @file
/// Strong types for identifiers, time and units.
///
/// Values of different kinds are not convertible into one another, so a
/// customer id cannot be passed where an upstream id is expected.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace nutmeghollow {

/// A textual identifier. @tparam Tag distinguishes the kinds of identifier.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}
  explicit Name(std::string_view value) : m_value(value) {}
  explicit Name(const char* value) : m_value(value) {}

  /// @return the identifier as text.
  const std::string& str() const { return m_value; }
  /// @return true when the identifier is unset.
  bool empty() const { return m_value.empty(); }

  auto operator<=>(const Name&) const = default;

 private:
  std::string m_value;
};

/// A numeric identifier or count. @tparam Tag distinguishes the kinds.
template <typename Tag, typename Rep = std::uint64_t>
class Number {
 public:
  using Representation = Rep;

  constexpr Number() = default;
  constexpr explicit Number(Rep value) : m_value(value) {}

  /// @return the underlying value.
  constexpr Rep value() const { return m_value; }
  /// @return the successor of this number.
  constexpr Number Next() const { return Number(m_value + 1); }

  constexpr auto operator<=>(const Number&) const = default;

 private:
  Rep m_value{};
};

/// An instance of the router daemon.
using InstanceId = Name<struct InstanceTag>;
/// A model engine or a server of a plain service.
using UpstreamId = Name<struct UpstreamTag>;
/// Version of an upstream's software.
using SoftwareVersion = Name<struct SoftwareVersionTag>;
/// A route, named after the model that callers request.
using RouteId = Name<struct RouteTag>;
/// A plain service, as opposed to the model engines.
using ServiceId = Name<struct ServiceTag>;
/// A customer, whose callers send requests.
using CustomerId = Name<struct CustomerTag>;
/// A named priority class.
using PriorityId = Name<struct PriorityTag>;
/// A data centre.
using DataCentreId = Name<struct DataCentreTag>;
/// A region, a group of data centres.
using RegionId = Name<struct RegionTag>;
/// An operator, identified by the token presented.
using OperatorId = Name<struct OperatorTag>;
/// Identifies one operator command across retries.
using CommandId = Name<struct CommandTag>;
/// Idempotency key that a caller sends with a non-idempotent request.
using IdempotencyKey = Name<struct IdempotencyTag>;
/// Request id exposed to callers and upstreams (X-Request-Id).
using PublicRequestId = Name<struct PublicRequestTag>;

/// Instance-local id of a request; never reused within a process.
using RequestId = Number<struct RequestTag>;
/// One attempt of a request at an upstream; never reused within a process.
using AttemptId = Number<struct AttemptTag>;
/// A reservation request of another instance, numbered by the adapter.
using ReservationId = Number<struct ReservationTag>;
/// Hash that identifies a chat.
using ChatKey = Number<struct ChatTag>;
/// Hash of a request body.
using RequestDigest = Number<struct DigestTag>;
/// Revision of the whole configuration. Zero means none.
using Revision = Number<struct RevisionTag>;
/// Increases with each start of an instance and each refutation by it.
using Incarnation = Number<struct IncarnationTag>;
/// Fencing token: increases with each acquisition of a lease.
using FencingNumber = Number<struct FencingTag>;
/// Id of an operation on the platform's table service.
using StoreOperationId = Number<struct StoreOperationTag>;
/// Version of a row of the table service. Zero means that the row is absent.
using RowVersion = Number<struct RowVersionTag>;

/// Clock of the decision library. It has no `now`: callers pass the time in.
/// The daemon reads CLOCK_BOOTTIME.
struct TickClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<TickClock>;
  static constexpr bool is_steady = true;
};
using Duration = TickClock::duration;
using TimePoint = TickClock::time_point;

/// Wall-clock time for audit rows and planned changes, in milliseconds since
/// 1970.
using WallTime = Number<struct WallTimeTag, std::int64_t>;

/// A count of bytes.
using Bytes = Number<struct BytesTag, std::int64_t>;
/// A count of model tokens.
using Tokens = Number<struct TokensTag, std::int64_t>;
/// Duration of work on a machine at a moment, relative to its usual duration:
/// 1.0 is as usual, 2.5 takes two and a half times as long.
using WorkFactor = Number<struct WorkFactorTag, double>;

/// An IP address and port, such as "127.0.0.1:80" or "[::1]:80".
using Endpoint = Name<struct EndpointTag>;

}  // namespace nutmeghollow

/// Hash support for textual identifiers, for use in unordered containers.
template <typename Tag>
struct std::hash<nutmeghollow::Name<Tag>> {
  std::size_t operator()(const nutmeghollow::Name<Tag>& name) const noexcept {
    return std::hash<std::string>()(name.str());
  }
};

/// Hash support for numeric identifiers, for use in unordered containers.
template <typename Tag, typename Rep>
struct std::hash<nutmeghollow::Number<Tag, Rep>> {
  std::size_t operator()(
      const nutmeghollow::Number<Tag, Rep>& number) const noexcept {
    return std::hash<Rep>()(number.value());
  }
};
