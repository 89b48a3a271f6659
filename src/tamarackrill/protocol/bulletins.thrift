// Bulletins between routers about what the store answered, in Thrift's compact protocol
// over UDP.  Field numbers are never reused.

struct Evidence {
  1: string kind
  2: i32 age_ms
  3: i64 complete
  4: i64 newest
  5: i64 content
  6: string origin
  7: i32 hops
  // Of the store; omitted if it has none.
  8: optional i64 era
}

struct Bulletin {
  1: string sender
  2: i64 session
  3: i64 sequence
  4: list<Evidence> evidence
  5: bool asks
  // Monotonic clock of the sender; in a reply also that of the request, which it copies.
  6: i64 sent_ms
  7: optional i64 asked_ms
  8: optional bool asks_time
}
