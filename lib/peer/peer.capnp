@0xb3c1f0a7d2e94c15;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("guavastair::peer::schema");

struct FlowKey {
  caller @0 :UInt64;
  service @1 :UInt64;
}

struct View {
  asOf @0 :Int64;
  digest @1 :UInt64;
  configRevision @2 :Int64;
}

struct Report {
  agent @0 :UInt64;
  service @1 :Text;
  dataCentre @2 :Text;
  condition @3 :UInt8;
  takesOpenings @4 :Bool;
  openingBudget @5 :UInt32;
  slots @6 :UInt32;
  inProgress @7 :UInt32;
  meanInProgress @8 :UInt32;
  flows @9 :UInt32;
  run @10 :UInt64;
  restarting @11 :Bool;
  starting @12 :Bool;
}

struct Ping {
  sequence @0 :UInt32;
  view @1 :View;
  balancers @2 :List(UInt64);
  listed @3 :UInt8;
  introduces @4 :Bool;
  agents @5 :UInt32;
  run @6 :UInt64;
}

struct Pong {
  sequence @0 :UInt32;
  view @1 :View;
  report @2 :Report;
  balancers @3 :List(UInt64);
}

struct Carry {
  kind @0 :UInt8;
  balancer @1 :UInt64;
  candidates @2 :List(UInt64);
  packet @3 :Data;
  willing @4 :List(UInt64);
  isLastOffer @5 :Bool;
  configRevision @6 :Int64;
}

struct Owned {
  key @0 :FlowKey;
  agent @1 :UInt64;
}

struct Absent {
  key @0 :FlowKey;
  agent @1 :UInt64;
  lost @2 :Bool;
  packet @3 :Data;
  certain @4 :Bool;
}

struct ListedFlow {
  caller @0 :UInt64;
  service @1 :UInt64;
  acknowledged @2 :UInt32;
}

struct Held {
  agent @0 :UInt64;
  flows @1 :List(ListedFlow);
}

struct FlowList {
  serverBorn @0 :Int64;
  serverId @1 :Text;
  flows @2 :List(ListedFlow);
}

struct Message {
  union {
    ping @0 :Ping;
    pong @1 :Pong;
    carry @2 :Carry;
    owned @3 :Owned;
    absent @4 :Absent;
    held @5 :Held;
  }
}
