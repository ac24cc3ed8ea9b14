# Messages between instances. Field numbers never change. A new field or union
# member gets the next free number, so that instances of two consecutive releases
# can exchange messages.
@0xd3a1c5f0b7e94c26;

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  receiver @3 :Text;
  wallNs @4 :UInt64;
  logical @5 :UInt64;
  body :union {
    hello @6 :Hello;
    healthReport @7 :HealthReport;
    finalOutcomes @8 :FinalOutcomes;
    claim @9 :Claim;
    promise @10 :Promise;
    release @11 :Release;
    tokenRequest @12 :TokenRequest;
    grant @13 :Grant;
    revisionQuestion @14 :RevisionQuestion;
    revisionAnswer @15 :RevisionAnswer;
    revisionAdvert @16 :RevisionAdvert;
    noteRequest @17 :NoteRequest;
    notesReply @18 :NotesReply;
    snapshotRequest @19 :SnapshotRequest;
    snapshotPart @20 :SnapshotPart;
  }
}

struct Announcement {
  name @0 :Text;
  incarnation @1 :UInt64;
  seat @2 :UInt32;
  failureDomain @3 :Text;
  callersAddress @4 :Text;
  peersAddress @5 :Text;
  leaving @6 :Bool;
  startedWallMs @7 :UInt64;
  serial @8 :UInt64;
}

struct Unheard {
  name @0 :Text;
  observer @1 :Text;
  observerIncarnation @2 :UInt64;
  serial @3 :UInt64;
  ageMs @4 :UInt64;
}

struct Hello {
  name @0 :Text;
  seat @1 :UInt32;
  failureDomain @2 :Text;
  callersAddress @3 :Text;
  peersAddress @4 :Text;
  leaving @5 :Bool;
  startedWallMs @6 :UInt64;
  sequence @7 :UInt64;
  heardIncarnation @8 :UInt64;
  listDigest @9 :UInt64;
  announcements @10 :List(Announcement);
  unheard @11 :List(Unheard);
  serial @12 :UInt64;
}

struct HealthReport {
  ejected @0 :List(Text);
}

struct FinalRecord {
  ticketId @0 :Text;
  account @1 :Text;
  route @2 :Text;
  requestDigest @3 :Text;
  outcome @4 :Data;
  keepS @5 :Float64;
}

struct FinalOutcomes {
  records @0 :List(FinalRecord);
}

struct Claim {
  seat @0 :UInt32;
  number @1 :UInt64;
}

struct Promise {
  witnessSeat @0 :UInt32;
  number @1 :UInt64;
  granted @2 :Bool;
  taken @3 :Bool;
  tenured @4 :Bool;
  veteran @5 :Bool;
}

struct Release {
  seat @0 :UInt32;
}

struct Want {
  account @0 :Text;
  tokens @1 :Float64;
}

struct Closing {
  number @0 :UInt64;
  account @1 :Text;
  unspent @2 :Float64;
}

struct TokenRequest {
  number @0 :UInt64;
  wants @1 :List(Want);
  closings @2 :List(Closing);
}

struct Loan {
  account @0 :Text;
  tokens @1 :Float64;
}

struct Grant {
  number @0 :UInt64;
  holdsSeat @1 :Bool;
  loans @2 :List(Loan);
}

struct RevisionQuestion {
  number @0 :UInt64;
}

struct RevisionAnswer {
  number @0 :UInt64;
  revision @1 :UInt64;
}

struct RevisionAdvert {
  revision @0 :UInt64;
  digest @1 :Text;
  newestRevision @2 :UInt64;
  newestDigest @3 :Text;
  platformAgeS @4 :Float64;
  isReady @5 :Bool;
  isQuery @6 :Bool;
}

struct NoteRequest {
  fromRevision @0 :UInt64;
}

struct NoteText {
  revision @0 :UInt64;
  text @1 :Text;
  isInForce @2 :Bool;
}

struct NotesReply {
  notes @0 :List(NoteText);
  isPruned @1 :Bool;
}

struct SnapshotRequest {
  revision @0 :UInt64;
  part @1 :Int32;
}

struct SnapshotPart {
  revision @0 :UInt64;
  part @1 :Int32;
  data @2 :Data;
}
