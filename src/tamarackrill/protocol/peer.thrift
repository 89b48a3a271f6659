// Gossip between routers, in Thrift's compact protocol over UDP.  Field numbers are
// never reused; a router ignores fields that it does not know.

struct MemberRecord {
  1: string name
  2: i64 incarnation
  3: byte state
  4: optional string zone
  5: optional string address
  6: optional string peer_address
}

struct ConfigurationDigest {
  1: string kind
  2: i64 complete
  3: i64 newest
  4: i64 content
  // Omitted if the platform has no eras.
  5: optional i64 era
}

struct EndpointLoad {
  1: string endpoint
  2: i32 in_flight
}

struct CrashCount {
  1: i64 fingerprint
  2: byte crashes
  3: optional byte late_crashes
}

struct Gossip {
  1: string sender
  2: i64 session
  3: i64 sequence
  4: byte purpose
  5: list<MemberRecord> members
  6: i64 view
  7: i32 known
  8: optional string after
  9: list<ConfigurationDigest> configuration
  // Field 10 was the usage of teams, which now has its own messages (usage.thrift).
  11: optional list<EndpointLoad> loads
  12: optional list<CrashCount> crashes
  13: optional list<MemberRecord> page
  14: optional binary buckets
}
