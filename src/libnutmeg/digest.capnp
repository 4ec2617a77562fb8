@0xd4c06f13a28e7b95;

# What an instance of the gateway tells the others, several times a second.
# Upstreams are named by the low 32 bits of XXH3 of their ids.

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

# Upstreams that went away while they ran a request.
struct CrashReport {
  request @0 :UInt64;
  crashes @1 :List(CrashOfUpstream);
  cleared @2 :Bool;
  clearedAgeMs @3 :UInt32;
}

# A process of an upstream that takes no new requests.
struct LeavingUpstream {
  upstream @0 :UInt32;
  bornMs @1 :Int64;
}

struct Digest {
  ready @0 :Bool;
  revision @1 :UInt64;
  active @2 :List(ActiveRequests);
  # Since the digest before.
  placements @3 :List(PartPlacement);
  crashes @4 :List(CrashReport);
  # Tells of crashes and leaving upstreams only; the loads are as told before.
  newsOnly @5 :Bool;
  leaving @6 :List(LeavingUpstream);
}
