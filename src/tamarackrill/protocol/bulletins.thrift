// Bulletins between routers about what the store has answered, in Thrift's
// compact form over UDP.  Field numbers are never used again.

struct Evidence {
  1: string kind
  2: i32 age_ms
  3: i64 complete
  4: i64 newest
  5: i64 content
  6: string origin
  7: i32 hops
}

struct Bulletin {
  1: string sender
  2: i64 session
  3: i64 sequence
  4: list<Evidence> evidence
  5: bool asks
  // The sender's steady clock; of an answer also that of the question.
  6: i64 sent_ms
  7: optional i64 asked_ms
  8: optional bool asks_time
}
