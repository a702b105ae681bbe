# Messages between guavastair processes. After a change, run in this folder:
#   capnp compile -oc++ control.capnp && mv control.capnp.c++ control.capnp.cpp
@0xb8d3f0a64c2e9175;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("guavastair::wire::schema");

struct NodeRecord {
  id @0 :UInt64;
  incarnation @1 :UInt32;
  weight @2 :UInt32;
  controlAddress @3 :UInt32;
  dataAddress @4 :UInt32;
  controlPort @5 :UInt16;
  dataPort @6 :UInt16;
  role @7 :UInt8;
  state @8 :UInt8;
  mayWatchStore @9 :Bool;
  applied @10 :Int64;
  name @11 :Text;
  dataCentre @12 :Text;
  service @13 :Text;
  unreachable @14 :List(Text);
}

struct Verdict {
  member @0 :UInt64;
  accuser @1 :UInt64;
  incarnation @2 :UInt32;
  liveness @3 :UInt8;
}


struct MembershipMessage {
  sender @0 :UInt64;
  revision @1 :Int64;
  target @2 :UInt64;
  sequence @3 :UInt32;
  kind @4 :UInt8;
  bucketCount @5 :UInt16;
  records @6 :List(NodeRecord);
  verdicts @7 :List(Verdict);
  bucketHashes @8 :List(UInt32);
  buckets @9 :List(UInt16);
  versionMembers @10 :List(UInt64);
  versionIncarnations @11 :List(UInt32);
  wanted @12 :List(UInt64);
}

struct Change {
  kind @0 :UInt8;
  deleted @1 :Bool;
  revision @2 :Int64;
  name @3 :Text;
  text @4 :Text;
}

struct ChangeSet {
  from @0 :Int64;
  to @1 :Int64;
  full @2 :Bool;
  entries @3 :List(Change);
}

struct PullRequest {
  from @0 :Int64;
}

# Configuration that peers pull from each other. Both payloads are sealed, so
# the interface itself needs no authentication.
interface Peer {
  pull @0 (sealed :Data) -> (sealed :Data);
}
