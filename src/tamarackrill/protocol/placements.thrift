// What routers tell each other about the prompts that engines hold, in Thrift's compact
// form over UDP, and over HTTP to a router that has just started.  Field numbers are
// never used again.

struct EngineHoldings {
  1: string engine
  // Eight bytes for each prefix.
  2: binary keys
  // As many as there are prefixes.
  3: list<i32> tokens
}

struct FullEndpoint {
  1: string endpoint
  2: i32 in_flight
}

struct FailingEndpoint {
  1: string endpoint
  // Hash of the name of the router that saw it.
  2: i32 teller
  3: i64 sequence
  4: byte failed
}

struct PlacementNews {
  1: string sender
  2: byte stage
  3: list<EngineHoldings> holdings
  4: optional list<FullEndpoint> full
  5: optional list<FailingEndpoint> failing
  // Endpoints at whose addresses others are by now.
  6: optional list<string> misplaced
}
