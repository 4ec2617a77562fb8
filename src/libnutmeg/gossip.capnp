@0xb8d4c1f03a7e5692;

# Gossip messages between instances. Upstreams, customers and instances given as
# UInt32 are the low 32 bits of XXH3 of the name.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmeghollow::wire");

struct Details {
  callerEndpoint @0 :Text;
  peerEndpoint @1 :Text;
  dataCentre @2 :Text;
  region @3 :Text;
}

struct Member {
  id @0 :Text;
  incarnation @1 :UInt64;
  status @2 :UInt8;
  details @3 :Details;
}

struct Confirmation {
  instance @0 :UInt32;
  revision @1 :UInt32;
}

struct Verdict {
  upstream @0 :UInt32;
  running @1 :UInt16;
  # Age of the measurement in units of 20 ms.
  age @2 :UInt8;
  # Bits 0-1: verdict. Bit 2: prober. Bits 3-7: queued requests.
  state @3 :UInt8;
}

struct Load {
  upstream @0 :UInt32;
  running @1 :UInt32;
}

struct Demand {
  customer @0 :UInt32;
  running @1 :UInt16;
  queued @2 :UInt16;
  # Requests per 100 seconds.
  rate @3 :UInt32;
}

struct Suspect {
  digest @0 :UInt64;
  crashedUpstreams @1 :List(UInt32);
  quarantined @2 :Bool;
  secondsLeft @3 :UInt32;
}

struct ConfigurationChange {
  revision @0 :UInt64;
  kind @1 :UInt8;
  id @2 :Text;
  deleted @3 :Bool;
  json @4 :Text;
}

struct Message {
  kind @0 :UInt8;
  leaving @1 :Bool;
  wantDetails @2 :Bool;
  probe @3 :UInt32;
  incarnation @4 :UInt64;
  revision @5 :UInt64;
  highestSeen @6 :UInt64;
  target @7 :Text;
  members @8 :List(Member);
  confirmations @9 :List(Confirmation);
  verdicts @10 :List(Verdict);
  loads @11 :List(Load);
  demands @12 :List(Demand);
  suspects @13 :List(Suspect);
  # Sum of hashes over the sender's member table; equal tables have equal sums.
  memberDigest @14 :UInt32;
  # The list of loads is complete, not only those that changed.
  loadsWhole @15 :Bool;
  # The newest changes of the configuration up to the revision, without a gap.
  changes @16 :List(ConfigurationChange);
}
