# Messages between nodes. The generated code is committed: scripts/generate.sh makes it anew.

@0xe48de6c56e4ca2ff;

# Where the generated module stands; known to the Rust generator by this id.
annotation parentModule @0xabee386cd1450364 (file) :Text;
$parentModule("spread");

# A name of 1 to 128 printable ASCII bytes, or a hash of 32 bytes.
using Name = Data;
using Hash = Data;

# Who a node is.
struct Peer {
  vm @0 :Name;
  region @1 :Name;
  zone @2 :Name;
  # Text of the address on which it takes messages, for example 10.0.0.1:7003.
  address @3 :Text;
}

# What a node offers to nodes that connect to it.
interface Node {
  # Introduces the connecting node. Both sides then deliver messages over one connection.
  hello @0 (from :Peer, back :Session) -> (session :Session);
}

# Takes messages from the peer that was introduced.
interface Session {
  deliver @0 (message :Message) -> ();
}

struct Message {
  union {
    ping @0 :Ping;
    pong @1 :Pong;
    notice @2 :Summary;
    pull @3 :Pull;
    delta @4 :Delta;
    # The newest version that could have been served.
    missing @5 :UInt64;
    words @6 :List(Word);
    lists @7 :List(ZoneList);
    zones @8 :ZonesList;
    # JSON text of a note between call paths.
    note @9 :Data;
  }
}

enum State {
  live @0;
  leaving @1;
  gone @2;
}

enum Ask {
  join @0;
  attach @1;
  compare @2;
}

enum Kind {
  service @0;
  targets @1;
  route @2;
}

struct InForce {
  version @0 :UInt64;
  preset @1 :Name;
  digest @2 :Hash;
}

struct Summary {
  inForce @0 :InForce;
  whole @1 :Hash;
  # Milliseconds since the store last answered the sender or, of a full state, the node that it comes
  # from; the default if the sender does not read the store or does not know.
  storeAge @2 :UInt32 = 0xffffffff;
  # Revision of the store up to which the sender knows all targets; 0 if unknown.
  storeRevision @3 :UInt64;
}

struct Word {
  vm @0 :Name;
  # Start of the process in microseconds since the Unix epoch.
  incarnation @1 :UInt64;
  state @2 :State;
}

struct ListMark {
  zone @0 :Name;
  index @1 :UInt64;
}

struct Ping {
  seq @0 :UInt32;
  ask @1 :Ask;
  word @2 :Word;
  # Absent before the first version.
  have @3 :Summary;
  zones @4 :UInt64;
  # Absent to leave lists aside.
  lists @5 :List(ListMark);
}

struct Pong {
  seq @0 :UInt32;
  attached @1 :Bool;
  hops @2 :UInt8;
  word @3 :Word;
  have @4 :Summary;
  floor @5 :InForce;
  words @6 :List(Word);
}

struct Base {
  version @0 :UInt64;
  digest @1 :Hash;
}

struct Pull {
  version @0 :UInt64;
  base @1 :Base;
  # Absent for all services.
  scope @2 :List(Name);
}

struct Delta {
  summary @0 :Summary;
  base @1 :Base;
  digest @2 :Hash;
  # A message with root Changes, compressed with DEFLATE.
  changes @3 :Data;
}

struct ResourceId {
  kind @0 :Kind;
  name @1 :Name;
}

struct Resource {
  id @0 :ResourceId;
  body @1 :Data;
}

struct Changes {
  changed @0 :List(Resource);
  removed @1 :List(ResourceId);
}

struct ZoneList {
  region @0 :Name;
  zone @1 :Name;
  index @2 :UInt64;
  # JSON text of the platform's list, compressed with DEFLATE.
  vms @3 :Data;
}

struct ZonesList {
  index @0 :UInt64;
  # JSON text of the platform's list, compressed with DEFLATE.
  zones @1 :Data;
}
