@0xe5a1b9447c0d8f36;

# Calls between instances. A connection starts with the interface Gate. It gives
# access to the interface Peer only after both ends have proved that they have
# the fleet key.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmeghollow::net::wire");

struct Change {
  revision @0 :UInt64;
  kind @1 :UInt8;
  deleted @2 :Bool;
  id @3 :Text;
  json @4 :Text;
}

struct Transfer {
  revision @0 :UInt64;
  whole @1 :Bool;
  since @2 :UInt64;
  changes @3 :List(Change);
}

interface Peer {
  fetchConfiguration @0 (since :UInt64) -> (transfer :Transfer);
  reserve @1 (upstream :Text, route :Text)
      -> (granted :Bool, alternative :Text);
  askClaim @2 (rowKey :Text, token :Text) -> (answer :UInt8);
}

interface Gate {
  challenge @0 () -> (nonce :Data);
  enter @1 (sender :Text, nonce :Data, proof :Data)
      -> (proof :Data, peer :Peer);
}
