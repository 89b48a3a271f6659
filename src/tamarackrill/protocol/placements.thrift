// Gossip between routers about the prompts that engines hold and about full, failing
// and misplaced endpoints, in Thrift's compact protocol over UDP, and over HTTP to a
// router that has just started.  Field numbers are never reused.

struct EngineHoldings {
  1: string engine
  // Keys of the prefixes, eight bytes each, concatenated.
  2: binary keys
  // Length in tokens of each prefix, in the same order.
  3: list<i32> tokens
}

struct FullEndpoint {
  1: string endpoint
  2: i32 in_flight
}

struct FailingEndpoint {
  1: string endpoint
  // Hash of the name of the router that observed the failures.
  2: i32 teller
  3: i64 sequence
  4: byte failed
}

struct BrittleEndpoint {
  1: string endpoint
  // Hash of the name of the router that got the answers.
  2: i32 reporter
  3: i64 sequence
  // Requests that the endpoint may turn away per second.
  4: i32 limit
  // Requests that it has turned away since the last report.
  5: i32 rejected
}

struct PlacementNews {
  1: string sender
  2: byte stage
  3: list<EngineHoldings> holdings
  4: optional list<FullEndpoint> full
  5: optional list<FailingEndpoint> failing
  // Endpoints whose addresses now belong to other endpoints.
  6: optional list<string> misplaced
  7: optional list<BrittleEndpoint> brittle
}
