"""Declarations of all log events.

docs/EVENTS.md is generated from this module by ``python -m
tamarackrill.event_catalogue``, and a test compares the two.  Event numbers are never
reused.  Fields must not contain keys, prompts or responses.

Ranges: 1000 life cycle and settings, 2000 requests, routing and admission,
3000 membership and configuration, 4000 claims, responses and ordering, 5000 endpoints
and their health, 6000 platform objects.
"""

from absl import logging

# Re-exported, so that modules that log events import everything from here.
from tamarackrill.event_log import Event as Event
from tamarackrill.event_log import log_event as log_event

_INFO = logging.INFO
_WARNING = logging.WARNING
_ERROR = logging.ERROR

# 1000: life cycle and settings
ROUTER_STARTED = Event(
    1001,
    "router_started",
    _INFO,
    ("router", "zone", "address", "peer_address"),
    "A router is listening for connections.",
)
ROUTER_LEAVING = Event(
    1002,
    "router_leaving",
    _INFO,
    ("router", "in_flight"),
    "A router is shutting down: it refuses new requests and completes those in flight.",
)
ROUTER_STOPPED = Event(
    1003, "router_stopped", _INFO, ("router", "in_flight"), "A router has stopped."
)
TASK_FAILED = Event(
    1004,
    "task_failed",
    _ERROR,
    ("task", "error"),
    "A single piece of background work of the router ended with an unexpected error.",
    "Report this line to the maintainers.",
)

TASK_RESTARTED = Event(
    1010,
    "task_restarted",
    _ERROR,
    ("task", "error"),
    "A background task of the router raised an unexpected error, and is started again "
    "after half a second.  `tamarackrilld` isn't ready until the task has then run for "
    "another half second.",
    "Report this line to the maintainers.",
)
UNEXPECTED_ERROR = Event(
    1011,
    "unexpected_error",
    _ERROR,
    ("step", "request", "endpoint", "error", "place"),
    "A step of a request raised an error that it doesn't declare.  An attempt that "
    "raised it counts as failed at its `endpoint`; apart from that the request is "
    "answered at once.  `place` is where it was raised, the innermost call last.",
    "Report this line to the maintainers.",
)
LINES_LEFT_OUT = Event(
    1005,
    "lines_left_out",
    _WARNING,
    ("lines",),
    "Log lines were dropped, `lines` of each event, to limit the log's volume or "
    "because its reader was slow.",
    "Use the metrics, which are complete.",
)
ROUTER_RELOAD = Event(
    1006,
    "router_reload",
    _INFO,
    ("router",),
    "A router received SIGHUP: its settings file has changed.",
)

ROUTER_CUT_OFF = Event(
    1007,
    "router_cut_off",
    _WARNING,
    ("zone", "unreached"),
    "No endpoint outside the zone can be reached, and some service has none inside: "
    "the router is not ready, so that the load balancer sends clients to other zones.",
    "Check the zone's network links; the router becomes ready once they work.",
)
ROUTER_REJOINED = Event(
    1008,
    "router_rejoined",
    _INFO,
    ("zone", "unreached"),
    "Endpoints outside the zone can be reached again; the router is ready.",
)
ROUTER_LATE = Event(
    1009,
    "router_late",
    _WARNING,
    ("lag_s",),
    "The event loop ran a scheduled task late: the process got no CPU time, or one "
    "step took too long.  Requests that arrived in the meantime had to wait.",
    "Check the CPU load and the log lines right before this one.",
)

ROUTER_RESUMED = Event(
    1021,
    "router_resumed",
    _WARNING,
    ("gap_s",),
    "This process stood still for `gap_s`, and notices it before its next decision: it "
    "asks the store for news, and requests wait up to 0.3 s for that.",
    "Look for a paused VM, swapping, or a host that is short of CPU time.",
)
ROUTER_UP_TO_DATE = Event(
    1022,
    "router_up_to_date",
    _INFO,
    ("after_s", "waited"),
    "The store has told a router that stood still what changed meanwhile, `after_s` "
    "after it went on; `waited` requests waited for that.",
)

# 2000: requests, routing and admission
REQUEST_ROUTED = Event(
    2001,
    "request_routed",
    _INFO,
    ("team", "chat", "endpoint", "runners_up", "reason", "wait_s"),
    "A request was sent to an endpoint.",
)
REQUEST_REFUSED = Event(
    2002,
    "request_refused",
    _INFO,
    ("team", "chat", "code", "run", "retry_after_s"),
    "A request was refused, and the client got this as its final response.",
    "Look up the code in docs/OPERATIONS.md.",
)
REQUEST_FORWARDED = Event(
    2003,
    "request_forwarded",
    _INFO,
    ("team", "chat", "home"),
    "A request was forwarded to the home router of its chat.",
)
TEAM_LIMITED = Event(
    2101,
    "team_limited",
    _WARNING,
    (
        "team",
        "limit",
        "fleet_requests_per_s",
        "fleet_tokens_per_s",
        "fleet_in_flight",
    ),
    "Requests of a team are refused at a limit of its contract; logged at most once "
    "in 10 s for each limit.  The figures cover the whole fleet and lag by some "
    "seconds.",
    "See docs/operations/overload.md: talk to the team, or change its contract.",
)

# 2200: requests through the platform's interface
CALL_REFUSED = Event(
    2201,
    "call_refused",
    _WARNING,
    (
        "request",
        "route",
        "service",
        "team",
        "status",
        "reason",
        "version",
        "sent",
        "retry_after_s",
        "after_s",
    ),
    "A request got its final response from the router itself; `version` is the "
    "manifest that applied, `sent` how often it had been sent to an endpoint, "
    "`after_s` the time since its arrival.",
    "See docs/OPERATIONS.md: from a request to its cause.",
)
CALL_SENT = Event(
    2202,
    "call_sent",
    _INFO,
    (
        "request",
        "route",
        "service",
        "team",
        "endpoint",
        "reason",
        "load",
        "bound",
        "choice_age_s",
        "time_left_s",
        "copy_from",
        "relay",
        "software_version",
        "last_event",
        "resumed",
        "parts",
    ),
    "A request was sent to an endpoint; the fields give the reason for the choice and "
    "its age, the known load, the engine from which cached parts of the prompt are "
    "copied, the router that forwards it, if any, the version of the endpoint's "
    "software, of a stream that goes on its last event and the client's attempt that "
    "began it, and the hashes of the parts of the prompt that other requests may "
    "share.",
)
CALL_ATTEMPT_FAILED = Event(
    2203,
    "call_attempt_failed",
    _WARNING,
    (
        "request",
        "route",
        "service",
        "team",
        "endpoint",
        "outcome",
        "detail",
        "next",
        "repeats_left",
        "after_s",
        "framing",
        "partial_bytes",
        "is_leaving",
        "retry_after_s",
    ),
    "An attempt returned no usable response; `next` is what the router does next: "
    "`await` leaves the request to another attempt that is under way.  "
    "`framing` is how the response states where its body ends, `partial_bytes` what "
    "came of a stream after its last complete event; `is_leaving` and "
    "`retry_after_s` are what a complete response said of its endpoint.",
    "See docs/OPERATIONS.md: from a request to its cause.",
)
CALL_ANSWERED = Event(
    2204,
    "call_answered",
    _INFO,
    (
        "request",
        "route",
        "service",
        "team",
        "endpoint",
        "status",
        "attempts",
        "first_s",
        "is_stream",
        "objective_s",
        "answer_s",
        "total_s",
        "framing",
        "partial_bytes",
        "is_leaving",
    ),
    "A client received the complete response of an endpoint.  `first_s` is the time "
    "to the head of the response since the attempt began; `answer_s` the time that "
    "counts against `objective_s`, since the request arrived: up to the end of the "
    "response (`total_s`), of a stream up to its first event.  `framing` is how the "
    "endpoint stated where the body ends, `partial_bytes` what came of a stream after "
    "its last complete event; `is_leaving` tells whether the response said that its "
    "endpoint is leaving.",
)
CALL_CUT = Event(
    2205,
    "call_cut",
    _WARNING,
    ("request", "route", "service", "team", "endpoint", "events", "reason"),
    "A stream broke off and could not be resumed at another endpoint, or a body that "
    "had begun early (2312) broke off.",
    "See docs/OPERATIONS.md: from a request to its cause.",
)
CALL_LEFT = Event(
    2206,
    "call_left",
    _INFO,
    ("request", "route", "service", "team", "after_s"),
    "A client closed its connection before the response was complete.",
)
STREAM_TAKEN_UP = Event(
    2209,
    "stream_taken_up",
    _INFO,
    (
        "request",
        "resumed",
        "service",
        "software_version",
        "source",
        "versions",
        "has_history",
        "news_age_s",
        "replies",
        "zones",
        "evidence",
        "store",
        "routers",
    ),
    "A client takes up a stream that an earlier attempt of it, `resumed`, began.  It "
    "may go on only at `software_version`, which this router knows itself (`own`), "
    "from a `keeper`, from the `archive` in the store, or because no other version has "
    "served (`only`); if it is `unknown`, the request is refused.  `versions` are "
    "those of the service that the router knows itself, `has_history` tells whether "
    "they reached back to the start of all streams when the version was concluded, and "
    "`news_age_s` how old its news of endpoints were then, -1 without any.  `replies` "
    "is how many keepers replied, and `zones` are the availability zones of these.  "
    "`evidence` is what shows that no other than the `only` version is possible: "
    "replies from all zones (`peers`), a read of the `store` since the request, "
    "replies while the store is away (`outage`), or that there is no other router "
    "(`alone`).  `store` tells whether it was read, and `routers` how many are known.",
)
ATTEMPT_RELAYED = Event(
    2208,
    "attempt_relayed",
    _INFO,
    ("request", "endpoint", "outcome", "status", "framing", "total_s"),
    "An attempt of a router that can't reach an endpoint was forwarded to it.",
)
CALL_PAUSED = Event(
    2210,
    "call_paused",
    _INFO,
    ("request", "route", "service", "team", "wait_s"),
    "A request that has crashed several endpoints waits before it runs again.",
)
CALL_SILENT = Event(
    2211,
    "call_silent",
    _INFO,
    (
        "request",
        "route",
        "service",
        "team",
        "endpoint",
        "silent_s",
        "events",
        "partial_bytes",
        "next",
        "attempts",
        "after_s",
    ),
    "An endpoint has been silent in the middle of a stream, or has not answered an "
    "idempotent request.  The attempt goes on; `next` tells whether another one is "
    "sent beside it (`race`) or why not: there is no other endpoint (`no_other`), "
    "`attempts` of the route, retry `budget` or time is used up (`no_time`), or an "
    "attempt beside it has only just begun (`racing`).",
    "Many at one endpoint: see docs/OPERATIONS.md, from a request to its cause.",
)
CALL_OVERTAKEN = Event(
    2212,
    "call_overtaken",
    _INFO,
    (
        "request",
        "route",
        "service",
        "team",
        "endpoint",
        "leader",
        "events",
        "partial_bytes",
        "after_s",
    ),
    "Another attempt of the same request, at the endpoint `leader`, was the first to "
    "bring a whole event or answer, so that this one was ended.",
)
CALL_REOPENED = Event(
    2213,
    "call_reopened",
    _INFO,
    ("request", "route", "service", "team", "endpoint", "after_s"),
    "An endpoint has closed a kept connection before any data answered the request on "
    "it, which may be repeated; it is sent to the endpoint again on a new connection.",
    "None; many at one endpoint: it closes idle connections earlier than it says.",
)
CALL_GIVEN_UP = Event(
    2214,
    "call_given_up",
    _INFO,
    ("request", "route", "service", "team", "endpoint", "after_s"),
    "Another attempt of the same request has failed, and the client needs what is left "
    "of its time to come back, so that this one was ended, whose endpoint is silent.",
    "Many at one endpoint: see docs/OPERATIONS.md, from a request to its cause.",
)
CALL_OVERLOADED = Event(
    2207,
    "call_overloaded",
    _WARNING,
    (
        "request",
        "route",
        "service",
        "team",
        "urgency",
        "objective_s",
        "engines",
        "least_wait_s",
    ),
    "A request was refused because the queueing delay is too long at all engines; "
    "`engines` were checked, `least_wait_s` is the wait at the fastest of them, "
    "and an `urgency` of 0 is the highest.",
    "Add engines, or find the source of the load: docs/OPERATIONS.md.",
)
CLIENT_BUFFERS_SHORT = Event(
    2311,
    "client_buffers_short",
    _WARNING,
    ("held_bytes", "total_max_bytes", "team", "team_bytes", "teams"),
    "Responses are so long, or read so slowly by their clients, that the memory for "
    "holding these is short: responses of the teams that hold most are no longer read "
    "from endpoints before their clients read, and bodies begin early (2312).  `team` "
    "holds most, `teams` hold anything.",
    "Find out why clients of this team do not read, or which endpoints send long "
    "bodies; streams that stay unread are cut off.",
)
ANSWER_BEGUN_EARLY = Event(
    2312,
    "answer_begun_early",
    _INFO,
    (
        "request",
        "route",
        "service",
        "team",
        "endpoint",
        "status",
        "framing",
        "limit",
        "after_s",
    ),
    "A body is too long to be held until it is complete: it has reached the bound of a "
    "`response`, of its `team` or of the process (`total`), and is forwarded as its "
    "client reads it.  If it breaks off, the request is not retried, and its client's "
    "connection is closed (`call_cut`).",
    "None, unless an endpoint should send no long bodies.",
)

SLOT_QUEUED = Event(
    2301,
    "slot_queued",
    _INFO,
    ("request", "team", "service", "zone", "wait_s"),
    "A request to a plain service waits for a slot, which its allocator expects to "
    "grant after `wait_s`.",
)
SLOT_REJECTED = Event(
    2302,
    "slot_rejected",
    _INFO,
    ("request", "team", "service", "zone", "reason", "retry_after_s"),
    "A request to a plain service gets no slot: the share of its team is used up "
    "(`no_capacity`), or its deadline can't be met.  Its client may return after "
    "`retry_after_s`.",
    "See service_saturated for who uses the service.",
)
ALLOCATOR_SILENT = Event(
    2303,
    "allocator_silent",
    _WARNING,
    ("service", "zone", "allocator"),
    "The router that allocates the slots of a service in a zone did not answer twice; "
    "for a while this router asks the next one, or sends without asking.",
    "Compare with router_late, and check whether that router runs an older version.",
)
SERVICE_SATURATED = Event(
    2304,
    "service_saturated",
    _WARNING,
    ("service", "zone", "slots", "in_use", "waiting", "teams", "seconds"),
    "A plain service has had more requests than slots in a zone for `seconds`; `teams` "
    "are those with the most queued work.  Logged by its allocator.",
    "Add workers, or find out why the teams send more than usual.",
)
SERVICE_RELIEVED = Event(
    2305,
    "service_relieved",
    _INFO,
    ("service", "zone", "slots", "in_use", "waiting", "teams", "seconds"),
    "A plain service that was saturated has neither queued nor rejected a request for "
    "a second.",
)

# 3000: membership and configuration
CONFIGURATION_TAKEN = Event(
    3001,
    "configuration_taken",
    _INFO,
    ("kind", "object", "version", "source"),
    "A newer version of an object is now in force at this router.",
)
VERSION_RECORD_WRITTEN = Event(
    3026,
    "version_record_written",
    _INFO,
    ("service", "versions", "era"),
    "This router has written to the platform's store at which versions of a service "
    "streams may have begun, complete as of an era of the store.",
)
STREAM_RECORDS_READ = Event(
    3027,
    "stream_records_read",
    _INFO,
    ("streams", "objects"),
    "This router has read the versions of streams from the platform's store, as no "
    "router knew that of a stream that a client takes up.",
)
VERSION_RECORD_INVALID = Event(
    3028,
    "version_record_invalid",
    _WARNING,
    ("kind", "object", "message"),
    "An object in the platform's store with versions of services or streams can't be "
    "read.",
    "Find out who has written it; see docs/operations/users-platform.md.",
)
PLATFORM_LOST = Event(
    3002,
    "platform_lost",
    _WARNING,
    ("reason",),
    "The platform did not answer; the last known configuration stays in force.",
    "Check the platform; see 'A platform outage' in docs/OPERATIONS.md.",
)
PLATFORM_BACK = Event(3003, "platform_back", _INFO, (), "The platform answers again.")

MEMBER_CHANGED = Event(
    3004,
    "member_changed",
    _INFO,
    ("router", "before", "after", "incarnation"),
    "This router's view of another router changed; a `before` of 'unknown' means that "
    "the router is new.",
)
PEER_MESSAGES_DROPPED = Event(
    3005,
    "peer_messages_dropped",
    _WARNING,
    ("reason", "count", "source"),
    "Datagrams at the peer port were dropped: not authenticated by any peer key "
    "(stranger), unparsable (malformed) or replayed (stale).  Logged at most once a "
    "second, with the last source.",
    "See docs/operations/peer-keys.md.",
)
ROUTER_FROZE = Event(
    3006,
    "router_froze",
    _WARNING,
    ("gap_s",),
    "This process was suspended for a while; it announces to its peers that it is "
    "alive.",
    "Look for a paused VM, swapping, or a host that is short of CPU time.",
)
ROUTER_CAUGHT_UP = Event(
    3008,
    "router_caught_up",
    _WARNING,
    ("gap_s", "duration_s", "is_complete"),
    "This process stood still for `gap_s`, and calls then waited for `duration_s` "
    "until it had read what changed meanwhile.  Unless `is_complete`, the platform did "
    "not answer, and calls are decided by what was known before.",
    "Look for a paused VM, swapping, or a host that is short of CPU time.",
)
CONFIGURATION_PULL_FAILED = Event(
    3007,
    "configuration_pull_failed",
    _WARNING,
    ("kind", "peer", "reason"),
    "A peer has newer configuration, but fetching it failed; another peer is asked.",
    "None unless it repeats; see docs/operations/cut-zone.md.",
)
CONFIGURATION_PULLED = Event(
    3015,
    "configuration_pulled",
    _INFO,
    ("kind", "peer", "since", "duration_s", "size_bytes", "objects"),
    "A peer sent its configuration changes since a revision; `size_bytes` is the size "
    "of the transfer, over the network links of both routers.",
    "None.  Pulls not followed by configuration_taken waste bandwidth.",
)
CONFIGURATION_SERVED = Event(
    3016,
    "configuration_served",
    _INFO,
    ("kind", "peer", "since", "size_bytes"),
    "A peer requested this router's configuration changes since a revision.",
    "None.",
)
EVIDENCE_DROPPED = Event(
    3018,
    "evidence_dropped",
    _WARNING,
    ("suspended_s",),
    "This VM was suspended for `suspended_s`, which the monotonic clock does not "
    "count: information about the store is older than its age shows, so the store is "
    "queried again.",
    "Look for a host that suspends its VMs.",
)
STORE_CALL_ENDED = Event(
    3017,
    "store_call_ended",
    _INFO,
    ("call", "path", "outcome", "first_byte_s", "duration_s", "size_bytes", "era"),
    "A call to the store ended; `path` shows what was requested, and the timeout of a "
    "watch.  A response that is too large to be worth reading is aborted, and the "
    "newest objects are listed instead.  A long `first_byte_s` indicates a slow store "
    "or a waiting watch; a long transfer after it, a saturated link.  `era` counts how "
    "often the store was restored from a copy; 0 if it was not told.",
    "Compare with router_late: without CPU time, a process is late in both.",
)

# 4000: claims, responses and ordering
CLAIM_GRANTED = Event(
    4001,
    "claim_granted",
    _INFO,
    ("team", "chat", "attempt", "wait_s"),
    "This attempt may send a non-idempotent request, once.",
)
CLAIM_HELD = Event(
    4002,
    "claim_held",
    _INFO,
    ("team", "chat", "attempt", "state", "asked"),
    "Another attempt holds the claim; its router is asked whether that attempt is "
    "still running.",
    "See docs/operations/at-most-once.md if clients ask about the outcome of a "
    "request.",
)
CLAIM_UNANSWERED = Event(
    4003,
    "claim_unanswered",
    _WARNING,
    ("bucket", "reason"),
    "A write of claims got no response; the bucket is read to find out whether it "
    "took effect.",
    "Check the platform if it continues; claims are refused while it is down.",
)
CLAIM_CALL_FAILED = Event(
    4009,
    "claim_call_failed",
    _ERROR,
    ("bucket", "error"),
    "A read or write of claims failed with an unexpected error.  It is handled like a "
    "call that the platform did not answer.",
    "Report this line to the maintainers.",
)
REQUEST_JOINED = Event(
    4004,
    "request_joined",
    _INFO,
    ("team", "chat"),
    "A retried request joined the run in progress or got the stored response.",
)

# 5000: endpoints and their health; 5100: model load orders to engines
ENDPOINT_EJECTED = Event(
    5001,
    "endpoint_ejected",
    _WARNING,
    ("endpoint", "outcome"),
    "An endpoint performs worse than its peers and gets no requests until probes pass.",
    "See docs/operations/endpoints.md.",
)
ENDPOINT_RETURNED = Event(
    5002,
    "endpoint_returned",
    _INFO,
    ("endpoint",),
    "An ejected endpoint has passed its probes and gets requests again, with a slow "
    "start.",
)
ENDPOINT_CRASHED = Event(
    5003,
    "endpoint_crashed",
    _WARNING,
    ("endpoint", "fingerprint", "crashed"),
    "A response broke off.  The request is suspected of crashing endpoints; `crashed` "
    "lists those where it broke off.",
    "See docs/operations/poison.md.",
)
ENDPOINT_PROBED = Event(
    5004,
    "endpoint_probed",
    _INFO,
    ("endpoint", "status"),
    "An ejected endpoint was probed; a status of 0 means no response.",
)
ENDPOINT_LEAVING = Event(
    5011,
    "endpoint_leaving",
    _INFO,
    ("endpoint", "source", "is_leaving", "incarnation"),
    "An endpoint is reported to be leaving, and gets no new requests, or to be "
    "staying.",
    "See docs/operations/endpoints.md.",
)
LOAD_REPORT_IGNORED = Event(
    5013,
    "load_report_ignored",
    _WARNING,
    ("endpoint", "finding", "figures"),
    "A load that an endpoint sent with a response can't be true.  The load known "
    "before is kept.  Logged at most once per endpoint and minute; the metric "
    "`load_reports` counts all of them by finding.",
    "Correct what the endpoint reports, or the slots in its entry in the store.",
)
ORDER_GIVEN = Event(
    5101,
    "order_given",
    _INFO,
    ("endpoint", "model", "replaces", "fence"),
    "An engine accepted the order to load a model.",
)
ORDER_NOT_TAKEN = Event(
    5102,
    "order_not_taken",
    _WARNING,
    ("endpoint", "model", "replaces", "fence"),
    "An engine did not accept an order: its fencing token was outdated, or there was "
    "no response.",
    "Check that the engine is reachable; the order is sent again.",
)

ORDER_LEASE_MOVED = Event(
    5103,
    "order_lease_moved",
    _INFO,
    ("holder", "fence", "is_own"),
    "The lease to order engines has a new holder, as far as this router knows; only "
    "the holder sends orders.",
)

WATCH_ROLE_CHANGED = Event(
    3012,
    "watch_role_changed",
    _INFO,
    ("role", "routers", "zones"),
    "The role of this router in distributing store changes: a watcher watches the "
    "store for all routers, a head informs its zone, a member only receives; "
    "`routers` are alive in the zone.",
)
PLACEMENTS_LEARNED = Event(
    3013,
    "placements_learned",
    _INFO,
    ("peer", "count"),
    "A newly started router learned from a peer which engines have which prompts "
    "cached.",
)
PLACEMENTS_NOT_LEARNED = Event(
    3014,
    "placements_not_learned",
    _INFO,
    ("peer", "reason"),
    "A newly started router could not learn from a peer which engines have which "
    "prompts cached; up to three peers are asked.",
)
MANIFEST_IN_FORCE = Event(
    3011,
    "manifest_in_force",
    _INFO,
    ("version", "revision", "routes"),
    "A manifest is in force at this router, since this revision of the store.",
)
MANIFEST_IGNORED = Event(
    3023,
    "manifest_ignored",
    _WARNING,
    ("version", "version_in_force", "revision"),
    "The store has a manifest older than the one in force: it came back from a copy.  "
    "The newer one stays in force.",
    "Write the newest manifest again, if the operator's tool doesn't.",
)
MANIFEST_RECOVERED = Event(
    3024,
    "manifest_recovered",
    _WARNING,
    ("peer", "version"),
    "Another router has sent a manifest that the store has lost; it is in force.",
    "Write the newest manifest again, if the operator's tool doesn't.",
)
MANIFEST_NOT_RECOVERED = Event(
    3025,
    "manifest_not_recovered",
    _WARNING,
    ("peer", "reason"),
    "Another router has a newer manifest than the store, and did not send it; the next "
    "one that has it is asked.",
    "None, unless no `manifest_recovered` follows: write the newest manifest again.",
)
EVACUATION_IN_FORCE = Event(
    3019,
    "evacuation_in_force",
    _WARNING,
    ("zone", "revision", "endpoints"),
    "An availability zone is evacuated, since this revision of the store: its "
    "endpoints get no new requests from this router.",
)
EVACUATION_ENDED = Event(
    3020,
    "evacuation_ended",
    _INFO,
    ("zone", "revision"),
    "An availability zone is no longer evacuated; its endpoints get requests again.",
)
EVACUATION_UNKNOWN_ZONE = Event(
    3021,
    "evacuation_unknown_zone",
    _ERROR,
    ("zone", "revision"),
    "An evacuated availability zone is not in the settings of this router.",
    "Remove the object, and write one with the name of the zone that was meant.",
)
STORE_RESTORED = Event(
    3022,
    "store_restored",
    _WARNING,
    ("kind", "era", "revision", "revision_before", "source"),
    "The store came back from a copy, in a new era: revisions above `revision` are "
    "given out again, and this router has read all objects of the kind anew, from the "
    "store (`list`) or from the router named.",
)
ENDPOINT_KNOWN = Event(
    5021,
    "endpoint_known",
    _INFO,
    ("endpoint", "address", "state", "software_version", "revision"),
    "The entry of an endpoint is new or has changed.",
)
ENDPOINT_HELD = Event(
    5022,
    "endpoint_held",
    _WARNING,
    ("endpoint",),
    "An entry disappeared around a store outage; it is kept for two seconds.",
)
ENDPOINT_SUSPECT = Event(
    5035,
    "endpoint_suspect",
    _WARNING,
    ("endpoint", "revision"),
    "An entry that had ended is back after the store came back from a copy; its "
    "endpoint gets no requests until the entry changes or the store has kept it for "
    "four seconds.",
)
ENDPOINT_GONE = Event(
    5023,
    "endpoint_gone",
    _INFO,
    ("endpoint",),
    "An endpoint was removed and gets no new requests.",
)
ENDPOINT_UNREACHED = Event(
    5024,
    "endpoint_unreached",
    _WARNING,
    ("endpoint", "zone", "detail"),
    "Connecting to an endpoint failed; it is tried only after all others.",
)

ENDPOINT_REACHED = Event(
    5025,
    "endpoint_reached",
    _INFO,
    ("endpoint", "zone"),
    "An endpoint that was unreachable can be reached again.",
)
SERVICE_UNREACHED = Event(
    5036,
    "service_unreached",
    _WARNING,
    ("service", "endpoints", "probes_failed"),
    "This router can reach no endpoint of a service; `probes_failed` counts its failed "
    "probes of any endpoint since it started.",
    "Compare with the logs of other routers: if they reach the service, check the "
    "network links of this VM.",
)
SERVICE_REACHED = Event(
    5037,
    "service_reached",
    _INFO,
    ("service", "endpoints", "probes_failed"),
    "This router can reach an endpoint of a service again.",
)
RELAY_FOUND = Event(
    5038,
    "relay_found",
    _INFO,
    ("router", "endpoints"),
    "Another router reaches endpoints that this one can't reach, and forwards attempts "
    "to them.",
)
RELAY_LOST = Event(
    5039,
    "relay_lost",
    _WARNING,
    ("router", "endpoint", "reason"),
    "Another router no longer forwards attempts to an endpoint, or to none if "
    "`endpoint` is empty.",
)
SERVICE_BRITTLE = Event(
    5040,
    "service_brittle",
    _WARNING,
    ("service", "endpoint", "limit"),
    "An endpoint says that it falls over if it has to turn more than `limit` requests "
    "away within a second.  Requests go only where a slot is known to be free, and "
    "others are refused.",
    "Add endpoints, or find the source of the load, before the limit is reached.",
)
ENDPOINT_REJECTING = Event(
    5041,
    "endpoint_rejecting",
    _WARNING,
    ("endpoint", "closed_s"),
    "A brittle endpoint has turned a request of any router away; this router sends it "
    "none for `closed_s`.",
)
ENDPOINT_RESTARTED = Event(
    5026,
    "endpoint_restarted",
    _INFO,
    ("endpoint",),
    "An endpoint has restarted under the same name; what was known about it is "
    "discarded.",
)
ENDPOINT_PAUSED = Event(
    5027,
    "endpoint_paused",
    _WARNING,
    ("endpoint", "service"),
    "Reports from several routers show that an endpoint fails more often than its "
    "peers; it gets no requests for some seconds.",
    "See docs/operations/endpoints.md.",
)
ENDPOINT_MISPLACED = Event(
    5028,
    "endpoint_misplaced",
    _WARNING,
    ("endpoint", "source"),
    "Another endpoint answers at the address of this one, according to a response or "
    "another router; it gets no requests for some seconds.",
    "None if its entry disappears soon; otherwise find out what writes the entry.",
)

OWNER_SILENT = Event(
    5030,
    "owner_silent",
    _WARNING,
    ("endpoint", "owner", "waited_s"),
    "The router that counts an endpoint's calls did not answer in time; the call goes "
    "to the least loaded endpoint by this router's own estimate, so the load bound may "
    "be exceeded.",
    "Compare with router_late, and check the CPU load of both VMs.",
)
ENDPOINT_COLD = Event(
    5031,
    "endpoint_cold",
    _INFO,
    ("endpoint", "cold_s", "source"),
    "An endpoint is cold and gets only requests that its owner permits: by its entry, "
    "because it was unreachable, or because its zone was evacuated.",
)
ENDPOINT_COLD_TOO_LONG = Event(
    5032,
    "endpoint_cold_too_long",
    _WARNING,
    ("endpoint", "cold_s", "cold_max_s"),
    "An endpoint's entry says that it is cold for longer than its service states; it "
    "counts as cold for `cold_max_s`.",
    "Correct the endpoint's entry, or `cold_s` of its service.",
)
PERMIT_REFUSED = Event(
    5033,
    "permit_refused",
    _INFO,
    ("request", "endpoint", "owner", "outcome"),
    "A request was not sent to a cold endpoint: its owner refused a permit, did not "
    "answer (`silent`), or there is none.  The request goes to another endpoint.",
)
ENDPOINT_BACKOFF = Event(
    5034,
    "endpoint_backoff",
    _INFO,
    ("endpoint", "retry_after_s"),
    "An endpoint has turned a request away and asked for a pause; it gets no requests "
    "from this router until then.",
)
BROKEN_ATTEMPT_CHECKED = Event(
    5042,
    "broken_attempt_checked",
    _INFO,
    ("request", "endpoint", "events", "finding", "fingerprint"),
    "The connection of an attempt broke after `events` events, and its endpoint was "
    "checked: `crashed`, `left` (it was draining), `alive` (it takes connections), "
    "`reached` (by another router), `unreached` (nothing is known).  A crash counts "
    "against the request's fingerprint.",
    "See docs/operations/poison.md.",
)
PROMPT_CRASHED = Event(
    5043,
    "prompt_crashed",
    _WARNING,
    ("process", "scope", "parts", "team", "source"),
    "An endpoint crashed before the answer to a prompt had begun: all parts of the "
    "prompt that others share are suspects.  `process` and `team` are hashes; `scope` "
    "is that of the service, model and software version; `source` is the router that "
    "tells it.",
    "See docs/operations/poison.md.",
)
PART_BLOCKED = Event(
    5044,
    "part_blocked",
    _WARNING,
    ("scope", "parts", "teams", "trials", "source"),
    "Requests whose prompts have all of some parts crash endpoints, and get no "
    "endpoint: those of `teams` teams, of all teams from two on.  `trials` requests "
    "have been let through since, and crashed endpoints too.",
    "Find out what the parts are, and mend the endpoints' software; see "
    "docs/operations/poison.md.",
)
PART_CLEARED = Event(
    5045,
    "part_cleared",
    _INFO,
    ("scope", "parts", "source"),
    "Parts that were suspect or blocked were answered soundly.",
)
PART_TRIAL = Event(
    5046,
    "part_trial",
    _INFO,
    ("request", "scope", "parts"),
    "A request is sent to an endpoint although parts of its prompt are suspect or "
    "blocked, to find out whether they still crash endpoints.",
)
POOL_FAILING = Event(
    5029,
    "pool_failing",
    _WARNING,
    ("service", "endpoints", "failing", "paused", "failed_most", "failed_mean"),
    "Endpoints of a service fail, according to all routers together; logged at most "
    "once a second.  `failing` endpoints fail often enough to be paused if others are "
    "healthy, `paused` ones get no requests now; `failed_most` and `failed_mean` "
    "are the highest and the mean count of recent failures of the others.  Many "
    "failing and none paused: all fail alike.",
    "See docs/operations/endpoints.md.",
)

BRITTLE_REJECTION = Event(
    5047,
    "brittle_rejection",
    _WARNING,
    ("endpoint", "basis", "owner"),
    "A brittle endpoint has turned away a request of this router.  `basis` tells why "
    "it was sent: `owner` has `granted` a slot, this router is the `own` owner, the "
    "owner is silent (`unreserved`), or the service was not known to be brittle "
    "(`uncounted`).",
    "Many `granted` ones after a router has joined or left: compare the owners.",
)

FLEET_NEWS_LEARNED = Event(
    5048,
    "fleet_news_learned",
    _INFO,
    ("peer", "leaving", "ended", "brittle", "is_complete"),
    "Another router has told this one of endpoints that must get no new work, of ended "
    "entries, and of brittle services, after this one started or the store was "
    "restored.  "
    "`is_complete` unless the other one has just started too.",
)
FLEET_NEWS_NOT_LEARNED = Event(
    5049,
    "fleet_news_not_learned",
    _WARNING,
    ("peer", "reason"),
    "Another router did not tell this one which endpoints are leaving and which "
    "services are brittle; others are asked.  Without an answer this router knows only "
    "what the store has.",
)

# 6000: platform objects
OBJECT_FAULTY = Event(
    6001,
    "object_faulty",
    _ERROR,
    ("kind", "object", "version", "message"),
    "An object of the platform is invalid.  The previous version stays in force, "
    "except for entries on the users' platform, which then name no usable endpoint.",
    "Correct the object with `tamarackrill contract apply`, or fix the endpoint that "
    "wrote it.",
)


def list_events() -> list[Event]:
    """Return all events, sorted by number."""
    found = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(found)
