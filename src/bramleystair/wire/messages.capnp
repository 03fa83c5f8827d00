@0xd3a1c6f07be24a19;
# Messages between balancers, agents and the operator's client.
# Layout of a message: length of the envelope (4 bytes, big endian), envelope and, for a
# forward only, flow key and packet.
#
# Layout of a flow key: protocol (1 byte), source address (4 or 16), destination address
# (4 or 16), source port (2), destination port (2), in network byte order.

# The flow key and the caller's packet follow the envelope. The envelope is therefore the
# same for all packets of a service, and is encoded and decoded only once.
struct Forward {
  serviceId @0 :UInt64;
  tableVersion @1 :UInt64;
  flowBytes @2 :UInt8;
  hops @3 :UInt8;
  place @4 :Bool;
}

struct PlaceReply {
  serviceId @0 :UInt64;
  flow @1 :Data;
  accepted @2 :Bool;
  reason @3 :Text;
}

struct RedirectPut {
  serviceId @0 :UInt64;
  flows @1 :List(Data);
  owner @2 :Text;
  sequence @3 :UInt32;
  isReply @4 :Bool;
}

struct RedirectDrop {
  serviceId @0 :UInt64;
  flows @1 :List(Data);
  owner @2 :Text;
}

struct FlowQuery {
  serviceId @0 :UInt64;
  flow @1 :Data;
}

struct FlowQueryReply {
  serviceId @0 :UInt64;
  flow @1 :Data;
  owner @2 :Text;
  isOwner @3 :Bool;
}

struct ServiceLoad {
  serviceId @0 :UInt64;
  flows @1 :UInt32;
  requests @2 :UInt32;
  flowLimit @3 :UInt32;
  requestLimit @4 :UInt32;
}

struct LoadReport {
  loads @0 :List(ServiceLoad);
}

struct StoredObject {
  key @0 :Text;
  version @1 :UInt64;
  nonce @2 :Text;
  body @3 :Data;
}

struct VersionHeader {
  key @0 :Text;
  version @1 :UInt64;
}

struct VersionHeaders {
  headers @0 :List(VersionHeader);
  hops @1 :UInt8;
  path @2 :List(Text);
}

struct Pull {
  keys @0 :List(Text);
}

struct Objects {
  objects @0 :List(StoredObject);
}

struct Digest {
  buckets @0 :List(UInt64);
}

struct BucketVersions {
  buckets @0 :List(UInt8);
  headers @1 :List(VersionHeader);
  isReply @2 :Bool;
}

struct Heartbeat {
  sequence @0 :UInt64;
  draining @1 :Bool;
  digest @2 :UInt64;
  loads @3 :List(ServiceLoad);
  services @4 :List(Text);
}

struct HeartbeatReply {
  sequence @0 :UInt64;
  headers @1 :List(VersionHeader);
}

struct Reserve {
  requestId @0 :UInt64;
  serviceId @1 :UInt64;
  deadlineMs @2 :UInt32;
}

struct Reserved {
  requestId @0 :UInt64;
  ticket @1 :Data;
}

struct Refused {
  requestId @0 :UInt64;
  ticket @1 :Data;
  reason @2 :Text;
  notRun @3 :Bool;
  retryAfterMs @4 :UInt32;
}

struct Run {
  requestId @0 :UInt64;
  ticket @1 :Data;
  body @2 :Data;
  deadlineMs @3 :UInt32;
  contentType @4 :Text;
}

struct Answer {
  requestId @0 :UInt64;
  ticket @1 :Data;
  status @2 :UInt16;
  body @3 :Data;
  length @4 :UInt64;
  digest @5 :Data;
  contentType @6 :Text;
}

struct Fetch {
  requestId @0 :UInt64;
  ticket @1 :Data;
}

struct Cancel {
  requestId @0 :UInt64;
  ticket @1 :Data;
}

struct Fence {
  requestId @0 :UInt64;
  ticket @1 :Data;
}

struct Fenced {
  requestId @0 :UInt64;
  ticket @1 :Data;
  notRun @2 :Bool;
}

struct HandoverPart {
  server @0 :Text;
  incarnation @1 :UInt64;
  part @2 :UInt32;
  parts @3 :UInt32;
  data @4 :Data;
}

struct HandoverGet {
  server @0 :Text;
}

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  union {
    forward @2 :Forward;
    placeReply @3 :PlaceReply;
    redirectPut @4 :RedirectPut;
    redirectDrop @5 :RedirectDrop;
    flowQuery @6 :FlowQuery;
    flowQueryReply @7 :FlowQueryReply;
    loadReport @8 :LoadReport;
    versionHeaders @9 :VersionHeaders;
    pull @10 :Pull;
    objects @11 :Objects;
    digest @12 :Digest;
    bucketVersions @13 :BucketVersions;
    heartbeat @14 :Heartbeat;
    heartbeatReply @15 :HeartbeatReply;
    reserve @16 :Reserve;
    reserved @17 :Reserved;
    refused @18 :Refused;
    run @19 :Run;
    answer @20 :Answer;
    fetch @21 :Fetch;
    cancel @22 :Cancel;
    fence @23 :Fence;
    fenced @24 :Fenced;
    handoverPart @25 :HandoverPart;
    handoverGet @26 :HandoverGet;
  }
}
