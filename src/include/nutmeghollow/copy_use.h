/// @file
/// Decides whether requests may be decided from this instance's copies of the
/// platform's tables.
///
/// A copy that was not confirmed within the time in which a change must be in
/// force may lack a change. Whether there can be one depends on the others:
/// while the store answers another instance for that table, changes are made.
/// While it answers nobody, none is known anywhere, and the copy may be used
/// on. An instance that hears less than half of the others is likely cut off,
/// and cannot tell the two apart.
///
/// A copy that is known to lack a change is not used once the change must be in
/// force, however new its confirmation is, as long as a live instance that the
/// store answers has it. In an outage of the store, one holder whose rows
/// cannot be had must not end the service of all others. Where less than half
/// of the others are heard, the rest likely have the change.
///
/// The age of a change is bounded by the confirmations of instances that lacked
/// it. One that the others got late as well is waited for only as long as it
/// may take from them to here.
#pragma once

#include <optional>

#include "nutmeghollow/copy_lag.h"
#include "nutmeghollow/entry_directory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Requests that may be decided from the copies.
enum class CopyUse {
  kAll,
  /// Only those without a key: an outage of the store must not end their
  /// service, and a removed key must not go on working.
  kAnonymous,
  kNone,
};

/// Times that concern the copies of the configuration and the registrations.
struct CopyTimes {
  std::optional<Duration> m_configuration;  ///< Unset when there is none.
  std::optional<Duration> m_registrations;
};

/// @param ages times since the copies were last confirmed.
/// @param limits times within which a change must be in force.
/// @return true when a copy may lack a change that must be in force.
bool MayLackChanges(const CopyTimes& ages, const CopyTimes& limits);

/// @param directory the instances, with what they last reported.
/// @param self this instance.
/// @param ages times since the copies were last confirmed.
/// @param limits times within which a change must be in force.
CopyUse UseOfCopies(const EntryDirectory& directory,
                    const InstanceId& self,
                    const CopyTimes& ages,
                    const CopyTimes& limits);

/// Versions of this instance's copies, and the changes that other instances are
/// known to have.
struct CopyVersions {
  Revision m_revision;
  RowVersion m_registrations;
  std::optional<MissingChange> m_missing_revision;
  std::optional<MissingChange> m_missing_registrations;
};

/// @param directory the instances, with what they last reported.
/// @param self this instance.
/// @param limits times within which a change must be in force.
/// @return true when this instance lacks a change that must be in force by now,
/// and a live instance that the store answers has it, or less than half of the
/// others are heard.
bool LacksChangeInForce(const EntryDirectory& directory,
                        const InstanceId& self,
                        const CopyVersions& versions,
                        const CopyTimes& limits);

/// @return "all", "anonymous" or "none".
const char* NameOf(CopyUse use);

}  // namespace nutmeghollow
