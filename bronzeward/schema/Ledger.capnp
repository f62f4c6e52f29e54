@0xb1c7a9e25d3f4a01;
# Stored format of the ledger: slot records, segments of bills, and the
# operations that instances send to a slot's committer.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bronzeward::schema");

struct Incarnation {
  instance @0 :Text;
  epoch @1 :UInt64;
}

struct Bill {
  workspace @0 :Text;
  key @1 :Text;
  request @2 :Text;
  content @3 :Text;
  service @4 :Text;
  upstream @5 :Text;
  holder @6 :Incarnation;
  configuration @7 :UInt64;
  acceptedMs @8 :Int64;
  dispatchedMs @9 :Int64;
  finishedMs @10 :Int64;
  inputTokens @11 :Int64;
  cachedTokens @12 :Int64;
  outputTokens @13 :Int64;
  inputPrice @14 :Int64;
  cachedPrice @15 :Int64;
  outputPrice @16 :Int64;
  callPrice @17 :Int64;
  cost @18 :Int64;
  order @19 :UInt64;
  keyFromCaller @20 :Bool;
  answerDigest @21 :Text;
  answer @22 :RecordedAnswer;
  hasAnswer @23 :Bool;
  writtenOff @24 :Int64;
}

struct RecordedAnswer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Text;
  bodyKept @3 :Bool;
}

struct TopUpEntry {
  id @0 :Text;
  amount @1 :Int64;
  order @2 :UInt64;
}

struct GrantLine {
  holder @0 :Incarnation;
  remaining @1 :Int64;
  sequence @2 :UInt64;
  lastAmount @3 :Int64;
}

struct Claim {
  key @0 :Text;
  content @1 :Text;
  request @2 :Text;
  holder @3 :Incarnation;
  openedMs @4 :Int64;
  order @5 :UInt64;
}

struct Account {
  workspace @0 :Text;
  prepaid @1 :Int64;
  settled @2 :Int64;
  writtenOff @3 :Int64;
  topUps @4 :List(TopUpEntry);
  grants @5 :List(GrantLine);
  claims @6 :List(Claim);
}

struct SegmentReference {
  id @0 :Text;
  firstOrder @1 :UInt64;
  lastOrder @2 :UInt64;
  bills @3 :UInt64;
  newestMs @4 :Int64;
}

struct SlotRecord {
  slot @0 :UInt32;
  nextOrder @1 :UInt64;
  chain @2 :Text;
  accounts @3 :List(Account);
  bills @4 :List(Bill);
  segments @5 :List(SegmentReference);
  olderIndex @6 :Text;
  rolledChain @7 :Text;
}

struct Segment {
  chainBefore @0 :Text;
  bills @1 :List(Bill);
}

struct SegmentIndex {
  segments @0 :List(SegmentReference);
  olderIndex @1 :Text;
}

struct Operation {
  union {
    topUp :group {
      workspace @0 :Text;
      id @1 :Text;
      amount @2 :Int64;
    }
    drawGrant :group {
      workspace @3 :Text;
      holder @4 :Incarnation;
      sequence @5 :UInt64;
      minimum @6 :Int64;
      wanted @7 :Int64;
      share @20 :UInt32;
    }
    returnGrant :group {
      workspace @8 :Text;
      holder @9 :Incarnation;
      sequence @10 :UInt64;
      amount @11 :Int64;
    }
    commitBill :group {
      bill @12 :Bill;
      answerReleased @19 :Bool;
    }
    openClaim :group {
      workspace @13 :Text;
      claim @14 :Claim;
    }
    releaseClaim :group {
      workspace @15 :Text;
      key @16 :Text;
      request @17 :Text;
    }
    reclaimGrants @18 :Incarnation;
    raisePrepaid :group {
      workspace @21 :Text;
      total @22 :Int64;
    }
  }
}

struct OperationResult {
  status @0 :UInt16;
  amount @1 :Int64;
  order @2 :UInt64;
  holders @3 :List(Incarnation);
  answer @4 :RecordedAnswer;
  hasAnswer @5 :Bool;
  prepaid @6 :Int64;
  settled @7 :Int64;
  setAside @8 :Int64;
  holderCount @9 :UInt32;
}
