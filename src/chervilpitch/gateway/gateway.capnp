# Messages between instances of a gateway. Field numbers never change within a version;
# new fields and members of the union are added with the next number. A list of records
# is a struct with one list for each field, all of the same length.
@0xd19a45c07be2f836;

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  body :union {
    memberRecords @3 :MemberRecords;
    evidence @4 :Evidence;
    regionUsage @5 :RegionUsage;
    stateQuestion @6 :StateQuestion;
    stateAnswer @7 :StateAnswer;
    instanceEvidence @8 :InstanceEvidence;
    relayedEvidence @9 :RelayedEvidence;
    regionLoads @10 :RegionLoads;
  }
}

struct Members {
  name @0 :List(Text);
  incarnation @1 :List(UInt64);
  heartbeatCount @2 :List(UInt32);
  region @3 :List(Text);
  failureDomain @4 :List(Text);
  callersAddress @5 :List(Text);
  peersAddress @6 :List(Text);
  state @7 :List(UInt32);
  cpuMillicores @8 :List(UInt32);
  linkKbps @9 :List(UInt32);
}

struct MemberRecords {
  members @0 :Members;
  isReplyWanted @1 :Bool;
}

struct UpstreamReports {
  upstream @0 :List(Text);
  inFlight @1 :List(UInt32);
  lateness @2 :List(Float32);
  succeeded @3 :List(UInt32);
  failed @4 :List(UInt32);
  late @5 :List(Float32);
}

struct AccountUsages {
  account @0 :List(Text);
  admitted @1 :List(UInt64);
  counted @2 :List(UInt64);
  gained @3 :List(UInt64);
}

struct Evidence {
  upstreams @0 :UpstreamReports;
  usages @1 :AccountUsages;
  isContinued @2 :Bool;
}

struct InstanceEvidence {
  upstreams @0 :UpstreamReports;
  usages @1 :AccountUsages;
  isContinued @2 :Bool;
  aggregatorIncarnation @3 :UInt64;
}

struct SourcedEvidence {
  source @0 :Text;
  upstreams @1 :UpstreamReports;
  usages @2 :AccountUsages;
  isContinued @3 :Bool;
  isSum @4 :Bool;
}

struct RelayedEvidence {
  items @0 :List(SourcedEvidence);
  regionLoads @1 :List(RegionLoads);
}

struct ServiceLoads {
  service @0 :List(Text);
  region @1 :List(Text);
  slots @2 :List(UInt32);
  inFlight @3 :List(UInt32);
}

struct RegionLoads {
  region @0 :Text;
  loads @1 :ServiceLoads;
}

struct RegionUsage {
  source @0 :Text;
  usages @1 :AccountUsages;
}

struct StoreItems {
  key @0 :List(Text);
  value @1 :List(Data);
  revision @2 :List(UInt64);
  isRemoved @3 :List(Bool);
}

struct StateQuestion {
  number @0 :UInt32;
  configurationRevision @1 :UInt64;
  entriesRevision @2 :UInt64;
  membersDigest @3 :UInt32;
  isGroupMember @4 :Bool;
  entriesEra @5 :Int64 = -1;
  configurationVersion @6 :UInt64;
}

struct StateAnswer {
  number @0 :UInt32;
  proofAgeS @1 :Float64;
  configurationRevision @2 :UInt64;
  configuration @3 :StoreItems;
  entriesRevision @4 :UInt64;
  entries @5 :StoreItems;
  isComplete @6 :Bool;
  entriesDigest @7 :UInt32;
  membersDigest @8 :UInt32;
  members @9 :Members;
  heardShare @10 :Float32;
  entriesEra @11 :Int64 = -1;
  configurationVersion @12 :UInt64;
  readerStatus @13 :UInt32;
}
