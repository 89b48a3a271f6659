// Usage of teams between routers, in Thrift's compact form over UDP.  Field numbers
// are never used again; a router ignores fields that it does not know.

include "peer.thrift"

struct UsageMessage {
  1: string sender
  2: i64 sequence
  3: list<peer.TeamUsage> usages
}
