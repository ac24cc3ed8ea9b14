# Messages between instances of a gateway. Field numbers never change; new fields and
# members of the union are added with the next number.
@0xb6f03c52a19d7e48;

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  body :union {
    memberWords @3 :MemberWords;
    evidence @4 :Evidence;
    regionUsage @5 :RegionUsage;
    stateQuestion @6 :StateQuestion;
    stateAnswer @7 :StateAnswer;
  }
}

struct Member {
  name @0 :Text;
  incarnation @1 :UInt64;
  beat @2 :UInt32;
  region @3 :Text;
  failureDomain @4 :Text;
  callersAddress @5 :Text;
  peersAddress @6 :Text;
  state @7 :UInt8;
}

struct MemberWords {
  members @0 :List(Member);
  isReplyWanted @1 :Bool;
}

struct UpstreamReport {
  upstream @0 :Text;
  inFlight @1 :UInt32;
  lateness @2 :Float32;
  succeeded @3 :UInt32;
  failed @4 :UInt32;
  late @5 :Float32;
}

struct AccountUsage {
  account @0 :Text;
  admitted @1 :UInt64;
}

struct Evidence {
  upstreams @0 :List(UpstreamReport);
  usages @1 :List(AccountUsage);
}

struct RegionUsage {
  source @0 :Text;
  usages @1 :List(AccountUsage);
}

struct StoreItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
}

struct StateQuestion {
  number @0 :UInt32;
  configurationRevision @1 :UInt64;
  entriesRevision @2 :UInt64;
}

struct StateAnswer {
  number @0 :UInt32;
  proofAgeS @1 :Float64;
  configurationRevision @2 :UInt64;
  configuration @3 :List(StoreItem);
  entriesRevision @4 :UInt64;
  entries @5 :List(StoreItem);
  isComplete @6 :Bool;
  entriesDigest @7 :UInt32;
}
