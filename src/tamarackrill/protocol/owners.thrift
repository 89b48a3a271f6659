// Messages between a router with a request and the owner of an endpoint, in
// Thrift's compact protocol over UDP.  Field numbers are never reused.

struct Ask {
  1: string sender
  2: i64 ticket
  3: string endpoint
  4: i32 lapses_ms
  5: bool is_last
}

struct Answer {
  1: i64 ticket
  2: bool is_granted
  3: i32 in_flight
}

struct Release {
  1: string sender
  2: i64 ticket
}

// Requests one permit to send a request to a cold endpoint.
struct PermitRequest {
  1: i64 ticket
  2: string endpoint
}

struct PermitReply {
  1: i64 ticket
  2: bool is_granted
}

union OwnerMessage {
  1: Ask ask
  2: Answer answer
  3: Release release
  4: PermitRequest permitrequest
  5: PermitReply permitreply
}
