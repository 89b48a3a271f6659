// Messages between a router with a call to a plain service and the allocator of that
// service's slots in one zone, in Thrift's compact protocol over UDP.  Field numbers are
// never reused.

struct SlotAsk {
  1: string sender
  2: i64 ticket
  3: string service_name
  4: string zone
  5: string route
  6: string team
  7: i32 weight_milli
  8: i16 urgency
  9: i64 fingerprint
  10: i32 objective_left_ms
  11: i32 deadline_left_ms
  12: bool is_overflow
  13: list<string> avoid
}

struct SlotAnswer {
  1: i64 ticket
  2: i16 decision
  3: string endpoint
  4: i32 wait_ms
  5: string reason
}

// Ends a grant or cancels an ask, or with ticket 0 only reports an endpoint's load.
struct SlotRelease {
  1: string sender
  2: i64 ticket
  3: string endpoint
  4: i32 took_ms
  5: i32 running
  6: i32 waiting
  7: i32 slowdown_percent
}

union SlotMessage {
  1: SlotAsk slotask
  2: SlotAnswer slotanswer
  3: SlotRelease slotrelease
}
