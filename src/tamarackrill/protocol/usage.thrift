// Usage of teams, exchanged between routers in Thrift's compact protocol over UDP.
// Field numbers are never reused; a router ignores fields that it does not know.

struct TeamUsage {
  1: string team
  2: byte scope
  3: string origin
  4: i64 requests_milli_per_s
  5: i64 tokens_per_s
  6: i32 in_flight
  7: i64 done_milli_per_s
}

struct UsageMessage {
  1: string sender
  2: i64 sequence
  3: list<TeamUsage> usages
}
