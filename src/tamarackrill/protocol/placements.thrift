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

struct PlacementNews {
  1: string sender
  2: byte stage
  3: list<EngineHoldings> holdings
}
