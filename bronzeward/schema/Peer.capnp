@0xb1c7a9e25d3f4a02;
# Messages between router instances. Each call carries one message. A reply is a
# separate message with the number of its request.

using Cxx = import "/capnp/c++.capnp";
using Ledger = import "Ledger.capnp";
$Cxx.namespace("bronzeward::schema");

struct PeerMessage {
  sender @0 :Text;
  union {
    submit :group {
      number @1 :UInt64;
      slot @2 :UInt32;
      operations @3 :List(Ledger.Operation);
    }
    results :group {
      number @4 :UInt64;
      committed @5 :Bool;
      results @6 :List(Ledger.OperationResult);
    }
    recall :group {
      workspace @7 :Text;
      holder @8 :Ledger.Incarnation;
    }
    carry :group {
      number @9 :UInt64;
      bill @10 :Ledger.Bill;
    }
    carried @11 :UInt64;
    forget :group {
      numbers @12 :List(UInt64);
    }
    digest :group {
      configuration @13 :UInt64;
      draining @14 :Bool;
      suspects @15 :List(Text);
      upstreamRevision @19 :UInt64;
      storeAway @20 :Bool;
      peerAddress @21 :Text;
      watchesStore @34 :Bool;
      rateLimits @39 :List(RateLimitNotice);
      # Store revision of evacuatedDomains.
      evacuationRevision @51 :UInt64;
      evacuatedDomains @52 :List(Text);
    }
    configuration :group {
      version @16 :UInt64;
      # Set by earlier versions instead of packed.
      text @17 :Text;
      # The text compressed in the zlib format.
      packed @37 :Data;
      # Length of the uncompressed text in bytes.
      length @38 :UInt64;
    }
    configurationWanted @18 :Void;
    upstreams :group {
      revision @22 :UInt64;
      entries @23 :List(UpstreamEntry);
      whole @24 :Bool;
      since @35 :UInt64;
    }
    loanRequest :group {
      workspace @25 :Text;
      least @26 :Int64;
      wanted @27 :Int64;
    }
    loan :group {
      workspace @28 :Text;
      lender @29 :Ledger.Incarnation;
      amount @30 :Int64;
      ageMs @33 :Int64;
    }
    load :group {
      upstreams @31 :List(UpstreamBacklog);
    }
    handover :group {
      operations @32 :List(SlotOperation);
    }
    configurationOffer @36 :UInt64;
    permitRequest :group {
      number @40 :UInt64;
      known @41 :RateLimitNotice;
      wanted @42 :UInt32;
    }
    permitReply :group {
      number @43 :UInt64;
      known @44 :RateLimitNotice;
      issuing @45 :Bool;
      # Time in ms until each permit may be used.
      delays @46 :List(UInt32);
      untilNextFreeMs @47 :UInt32;
    }
    partNews :group {
      crashes @48 :List(CrashNotice);
      answered @49 :List(PartNotice);
      quarantined @50 :List(PartNotice);
    }
    streamOrigins :group {
      streams @53 :List(StreamOrigin);
    }
    streamOriginRequest :group {
      number @54 :UInt64;
      service @55 :Text;
      stream @56 :UInt64;
    }
    streamOriginReply :group {
      number @57 :UInt64;
      service @58 :Text;
      known @59 :Bool;
      version @60 :UInt64;
      possible @61 :List(UInt64);
      certain @63 :Bool;
      uncertaintyMs @64 :UInt32;
    }
    streamOriginRecall @62 :Void;
  }
}

struct SlotOperation {
  slot @0 :UInt32;
  operation @1 :Ledger.Operation;
}

struct UpstreamEntry {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

struct UpstreamBacklog {
  name @0 :Text;
  calls @1 :UInt32;
  promptTokens @2 :Int64;
}

struct RateLimitNotice {
  name @0 :Text;
  # Start of the upstream in ms since 1970.
  startedMs @1 :Int64;
  limited @2 :Bool;
  callsPerSecond @3 :Float64;
  ageMs @4 :Int64;
}

struct CrashNotice {
  # Name and start in ms since 1970 of the upstream that crashed.
  name @0 :Text;
  startedMs @1 :Int64;
  ageMs @2 :UInt32;
  # Ids of the prompt parts of the interrupted calls.
  parts @3 :List(UInt64);
}

struct StreamOrigin {
  stream @0 :UInt64;
  version @1 :UInt64;
  ageMs @2 :UInt32;
}

struct PartNotice {
  part @0 :UInt64;
  ageMs @1 :UInt32;
}

interface Peer {
  deliver @0 (message :PeerMessage) -> ();
}
