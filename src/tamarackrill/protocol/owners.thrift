// Messages between a router with a request and the owner of an endpoint or the keeper
// of a stream's version, in Thrift's compact protocol over UDP.  Field numbers are never
// reused.

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
  // The owner's process; another one knows nothing of earlier reservations.
  4: optional i64 session
}

struct Release {
  1: string sender
  2: i64 ticket
  // Whether the endpoint had accepted the request.
  3: optional bool is_served
}

// Tells an owner of requests at an endpoint that it has not granted.
struct Told {
  1: string sender
  2: string endpoint
  3: i32 requests
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

// Tells a keeper the software version at which a stream began.
struct StreamRecord {
  1: i64 stream
  2: string software_version
  // Whether the receiver writes the record to the platform's store.
  3: optional bool must_archive
}

struct VersionQuestion {
  1: i64 ticket
  2: i64 stream
  3: string service_name
}

struct VersionReply {
  1: i64 ticket
  2: string software_version
  3: list<string> versions
  4: bool has_history
  // Whether it had, until its news of endpoints became outdated.
  5: optional bool had_history
}

union OwnerMessage {
  1: Ask ask
  2: Answer answer
  3: Release release
  4: PermitRequest permitrequest
  5: PermitReply permitreply
  6: StreamRecord streamrecord
  7: VersionQuestion versionquestion
  8: VersionReply versionreply
  9: Told told
}
