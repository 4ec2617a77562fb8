@0xd4c06f13a28e7b95;

# State that an instance of the gateway sends to the others several times a
# second. Upstreams are identified by the low 32 bits of XXH3 of their ids.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmeghollow::wire");

struct ActiveRequests {
  upstream @0 :UInt32;
  count @1 :UInt16;
}

struct PartPlacement {
  part @0 :UInt64;
  upstream @1 :UInt32;
}

struct CrashOfUpstream {
  upstream @0 :UInt32;
  sentAgeMs @1 :UInt32;
  crashedAgeMs @2 :UInt32;
}

# Upstreams whose process ended while they ran a request, or requests with one
# part in their prompts.
struct CrashReport {
  suspect @0 :UInt64;
  crashes @1 :List(CrashOfUpstream);
  cleared @2 :Bool;
  clearedAgeMs @3 :UInt32;
  isPromptPart @4 :Bool;
}

# A process of an upstream that accepts no new requests.
struct LeavingUpstream {
  upstream @0 :UInt32;
  bornMs @1 :Int64;
}

# Requests in progress at the upstreams from first to last; those that are not
# listed are idle.
struct LoadMessage {
  kind @0 :UInt8;  # 0: report, 1: response to a report, 2: sum of a group.
  round @1 :UInt32;
  first @2 :UInt32;
  last @3 :UInt32;
  ageMs @4 :UInt32;
  # The first upstream less `first`, then each one less the one before it: small
  # numbers take fewer bytes.
  steps @5 :List(UInt32);
  counts @6 :List(UInt16);
}

# The request rate that a process of an upstream stated, or that it states none
# any more.
struct StatedRate {
  upstream @0 :UInt32;
  bornMs @1 :Int64;
  limited @2 :Bool;
  rate @3 :Float32;  # Requests per second.
  ageMs @4 :UInt32;
}

struct LimitedProcess {
  upstream @0 :UInt32;
  bornMs @1 :Int64;
  rate @2 :Float32;
  slots @3 :UInt16;
}

struct PermitRequest {
  id @0 :UInt32;
  processes @1 :List(LimitedProcess);
}

struct PermitDelay {
  upstream @0 :UInt32;
  bornMs @1 :Int64;
  delayMs @2 :UInt16;
}

struct PermitResponse {
  id @0 :UInt32;
  granted @1 :Bool;
  upstream @2 :UInt32;
  bornMs @3 :Int64;
  exhausted @4 :List(PermitDelay);
}

struct StreamRecord {
  stream @0 :UInt64;
  origin @1 :UInt64;
}

# Streams whose first event waits until they are recorded.
struct StreamReport {
  id @0 :UInt32;
  records @1 :List(StreamRecord);
}

# What an instance has at a brittle upstream.
struct RoomReport {
  upstream @0 :UInt32;
  bornMs @1 :Int64;
  held @2 :UInt16;
  ended @3 :UInt16;
  refused @4 :UInt16;
}

struct Digest {
  ready @0 :Bool;
  revision @1 :UInt64;
  active @2 :List(ActiveRequests);
  # Placements since the previous digest.
  placements @3 :List(PartPlacement);
  crashes @4 :List(CrashReport);
  # Has crashes and leaving upstreams only; the loads sent before stay valid.
  newsOnly @5 :Bool;
  leaving @6 :List(LeavingUpstream);
  # With newsOnly, so that instances that do not know it keep the loads.
  load @7 :LoadMessage;
  rates @8 :List(StatedRate);
  # With newsOnly, as the load.
  permitRequest @9 :PermitRequest;
  permitResponse @10 :PermitResponse;
  streamReport @11 :StreamReport;
  # Id of a report whose streams are recorded; 0 for none.
  recordedReport @12 :UInt32;
  reach @13 :UInt8;  # UpstreamReach: 0: not stated, 1: reached, 2: cut off.
  clockMs @14 :UInt64;  # Of the sender, from an arbitrary start; 0: not stated.
  # Refusals in a second at which a process of an upstream falls over.
  refusalLimits @15 :List(StatedRate);
  # About leases, else as permitRequest and permitResponse.
  roomRequest @16 :PermitRequest;
  roomResponse @17 :PermitResponse;
  roomReports @18 :List(RoomReport);
  # Age of the sender's proof that its copy of the configuration is current, in
  # milliseconds, plus 1; 0: not stated.
  proofAgeMs @19 :UInt32;
  # The store refused or did not answer the sender's own reads recently.
  storeFails @20 :Bool;
  # As proofAgeMs, about the sender's copy of the registrations.
  registrationsAgeMs @21 :UInt32;
  # Version of the newest change in the sender's copy of the registrations; 0:
  # not stated.
  registrationsVersion @22 :UInt64;
  # Newest position in the history of the platform's tables that the sender knows
  # of; 0: not stated.
  storePosition @23 :UInt64;
}
