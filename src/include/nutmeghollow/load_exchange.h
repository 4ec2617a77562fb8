/// @file
/// Exchanges the requests in progress between instances, so that each knows the
/// load of every upstream within a bounded age whatever the size of the fleet.
///
/// In a small fleet every instance sends its requests in progress to all
/// others. In a larger one each data centre has a few relays. The other
/// instances report to one of them and receive the requests in progress of the
/// rest of the fleet in response; relays send one another the sums of their
/// groups. The messages per instance grow with the square root of the fleet at
/// most, and their period not at all.
///
/// Messages may be lost, and instances may disagree on who is a relay while the
/// fleet changes: loads are then incomplete for a few periods.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// Time between two messages of the same kind to the same instance: loads
/// change within the duration of a request, about a second.
inline constexpr Duration kLoadPeriod = std::chrono::milliseconds(200);
/// Largest fleet in which all instances send their loads to all others.
inline constexpr std::size_t kMaxFlatFleet = 20;
/// Instances of a data centre per relay.
inline constexpr std::size_t kInstancesPerRelay = 20;

/// Content of a message about loads.
enum class LoadMessageKind : std::uint8_t {
  kReport,  ///< Requests in progress of the sender.
  kOthers,  ///< Response to a report: those of all instances but the receiver.
  kGroup,   ///< Those of a relay and of the instances that report to it.
};

/// Requests in progress at the upstreams of a range of hashes.
struct LoadMessage {
  LoadMessageKind m_kind = LoadMessageKind::kReport;
  std::uint32_t m_round = 0;  ///< Of the report; the response repeats it.
  UpstreamHash m_first;       ///< First upstream of the range.
  UpstreamHash m_last;        ///< Last upstream of the range, included.
  Duration m_age{};           ///< Of the oldest of the counts.
  /// In ascending order of upstreams. The others of the range are idle.
  std::vector<ActiveRequests> m_active;
};

/// Maximum entries of a message, so that it fits into one datagram.
inline constexpr std::size_t kMaxLoadEntries = 150;

/// @return the relays of the fleet, by data centre: of each data centre the
/// instances with the fastest links, ties broken by a hash of their ids. Empty
/// in a fleet that needs none.
std::map<DataCentreId, std::vector<InstanceId>> ChooseLoadRelays(
    const EntryDirectory& directory);

/// The part of the exchange that one instance plays.
class LoadExchange {
 public:
  /// Sends a message to an instance.
  using Send =
      std::function<void(const InstanceId& to, const LoadMessage& message)>;

  /// @param directory and @param pool must outlive this object.
  LoadExchange(InstanceId self,
               const EntryDirectory* directory,
               UpstreamPool* pool,
               Send send);

  /// Chooses the relays again at the next round. Called when the directory has
  /// changed.
  void NoteMembersChanged() { m_members_changed = true; }
  /// Starts a round; called every kLoadPeriod.
  void StartRound(TimePoint now);
  /// Handles a message of another instance.
  /// @return false when it is malformed and was not used.
  bool Handle(const InstanceId& from,
              const LoadMessage& message,
              TimePoint now);

  /// @return true when each instance sends its loads to all others, with its
  /// digests.
  bool IsFlat() const { return m_role == Role::kFlat; }
  /// Records the requests in progress of another instance of a flat fleet.
  void NoteDigest(const InstanceId& from,
                  std::vector<ActiveRequests> active,
                  TimePoint now);
  /// Removes an instance that is no longer part of the fleet.
  void Forget(const InstanceId& id);

  /// @return true when other instances report to this one.
  bool IsRelay() const { return m_role == Role::kRelay; }
  /// @return the relay that this instance reports to; empty when there is none.
  const InstanceId& Relay() const { return m_relay; }
  /// @return number of instances whose messages count now.
  std::size_t Sources() const { return m_sources.size(); }
  /// @return age of the oldest count that is used.
  Duration Age(TimePoint now) const;

 private:
  enum class Role { kFlat, kRelay, kReporter };
  /// Latest counts received from an instance, in ascending order of upstreams.
  struct Source {
    LoadMessageKind m_kind = LoadMessageKind::kReport;
    TimePoint m_received_at{};
    Duration m_age{};
    std::vector<ActiveRequests> m_active;
  };

  void ChooseRole();
  void ChooseRelay(TimePoint now);
  void RemoveExpired(TimePoint now);
  void RemoveSources();
  void HandleResponse(const LoadMessage& message, TimePoint now);
  void Store(const InstanceId& from, const LoadMessage& message, TimePoint now);
  void ReportToRelay(TimePoint now);
  void SendGroup(TimePoint now);
  void RespondToReport(const InstanceId& to,
                       std::uint32_t round,
                       TimePoint now);
  /// Sends counts in as many messages as they need.
  void SendCounts(const InstanceId& to,
                  LoadMessageKind kind,
                  std::uint32_t round,
                  Duration age,
                  const std::vector<ActiveRequests>& active);

  InstanceId m_self;
  const EntryDirectory* m_directory;
  UpstreamPool* m_pool;
  Send m_send;
  bool m_members_changed = true;
  Role m_role = Role::kFlat;
  std::vector<InstanceId> m_relays;  ///< In order of preference, without self.
  InstanceId m_relay;
  std::map<InstanceId, TimePoint> m_relay_failed_at;
  std::uint32_t m_round = 0;
  int m_missed_responses = 0;
  std::map<InstanceId, Source> m_sources;
};

}  // namespace nutmeghollow
