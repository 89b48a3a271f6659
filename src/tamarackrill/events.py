"""The numbered events that the fleet logs.

Each event is declared once, here; docs/EVENTS.md is generated from this table by
``python -m tamarackrill.events`` and a test compares the two.  Numbers are never
used again for another event.  No field carries a key, a prompt or an answer.

Ranges: 1000 life cycle and settings, 2000 requests, routing and admission,
3000 membership and configuration, 4000 claims, answers and order, 5000 endpoints
and their health, 6000 objects of the platform.
"""

from absl import logging

# Whoever logs an event needs both; they are imported from here.
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
    "A router listens.",
)
ROUTER_LEAVING = Event(
    1002,
    "router_leaving",
    _INFO,
    ("router", "in_flight"),
    "A router was told to stop: it refuses new work and finishes what it has.",
)
ROUTER_STOPPED = Event(
    1003, "router_stopped", _INFO, ("router", "in_flight"), "A router has stopped."
)
TASK_FAILED = Event(
    1004,
    "task_failed",
    _ERROR,
    ("task", "error"),
    "A task of the router ended by a fault of its own; the router is no longer ready.",
    "Restart the router and send us the line.",
)

LINES_LEFT_OUT = Event(
    1005,
    "lines_left_out",
    _WARNING,
    ("lines",),
    "So many lines of each event were left out of the log, to bound its volume or "
    "because its reader was slow.",
    "Look at the counters; they are whole.",
)
ROUTER_RELOAD = Event(
    1006,
    "router_reload",
    _INFO,
    ("router",),
    "A router was told by SIGHUP that its settings file has changed.",
)

ROUTER_CUT_OFF = Event(
    1007,
    "router_cut_off",
    _WARNING,
    ("zone", "unreached"),
    "No endpoint outside the zone can be reached, and some service has none inside: "
    "the router is not ready, so that the balancer sends clients to other zones.",
    "Look at the zone's links; the router is ready again once they work.",
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
    "The event loop ran a task of its own so much later than planned: the process got "
    "no processor time, or one step took long.  What arrived meanwhile waited.",
    "See the processor's load, and which lines came right before.",
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
    "A request got a refusal as its final answer.",
    "Look the code up in docs/OPERATIONS.md.",
)
REQUEST_FORWARDED = Event(
    2003,
    "request_forwarded",
    _INFO,
    ("team", "chat", "home"),
    "A request was handed to the home router of its chat.",
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
    "Requests of a team are refused at a limit of its contract; at most one line in "
    "10 s for each limit. The figures are the whole fleet's, some seconds late.",
    "See docs/operations/overload.md: talk to the team, or change its contract.",
)

# 2200: requests on the platform's interface
CALL_REFUSED = Event(
    2201,
    "call_refused",
    _WARNING,
    ("request", "route", "status", "reason", "version", "sent", "retry_after_s"),
    "A request got a final answer of the router's own; `version` is the manifest that "
    "decided, `sent` the endpoints that it had been sent to.",
    "See docs/OPERATIONS.md: from a request to its cause.",
)
CALL_SENT = Event(
    2202,
    "call_sent",
    _INFO,
    (
        "request",
        "route",
        "endpoint",
        "reason",
        "load",
        "bound",
        "time_left_s",
        "copy_from",
    ),
    "A request was sent to an endpoint: why there, the load that was known, and the "
    "engine from which it copies cached parts of the prompt.",
)
CALL_ATTEMPT_FAILED = Event(
    2203,
    "call_attempt_failed",
    _WARNING,
    ("request", "endpoint", "outcome", "detail", "next", "repeats_left", "after_s"),
    "An attempt brought no answer that counts; `next` is what was decided.",
    "See docs/OPERATIONS.md: from a request to its cause.",
)
CALL_ANSWERED = Event(
    2204,
    "call_answered",
    _INFO,
    ("request", "endpoint", "status", "attempts", "first_s", "total_s"),
    "A client got an endpoint's whole answer.",
)
CALL_CUT = Event(
    2205,
    "call_cut",
    _WARNING,
    ("request", "route", "endpoint", "events", "reason"),
    "A stream ended midway, and could not go on at another endpoint.",
    "See docs/OPERATIONS.md: from a request to its cause.",
)
CALL_LEFT = Event(
    2206,
    "call_left",
    _INFO,
    ("request", "route", "after_s"),
    "A client closed its connection before its answer had ended.",
)
CALL_OVERLOADED = Event(
    2207,
    "call_overloaded",
    _WARNING,
    ("request", "route", "urgency", "objective_s", "engines", "least_wait_s"),
    "A request was refused because others wait too long at all engines; `engines` are "
    "those that were looked at, `least_wait_s` the wait at the fastest of them, "
    "`urgency` 0 the most urgent.",
    "Add engines, or see who sends so much: docs/OPERATIONS.md.",
)

# 3000: membership and configuration
CONFIGURATION_TAKEN = Event(
    3001,
    "configuration_taken",
    _INFO,
    ("kind", "object", "version", "source"),
    "A newer version of an object came into force at this router.",
)
PLATFORM_LOST = Event(
    3002,
    "platform_lost",
    _WARNING,
    ("reason",),
    "The platform did not answer; the last configuration stays in force.",
    "Look at the platform; see 'A platform outage' in docs/OPERATIONS.md.",
)
PLATFORM_BACK = Event(3003, "platform_back", _INFO, (), "The platform answers again.")

MEMBER_CHANGED = Event(
    3004,
    "member_changed",
    _INFO,
    ("router", "before", "after", "incarnation"),
    "This router's view of another one changed; 'unknown' before is a new one.",
)
PEER_MESSAGES_DROPPED = Event(
    3005,
    "peer_messages_dropped",
    _WARNING,
    ("reason", "count", "source"),
    "Datagrams at the peer port were dropped: no peer key proves them (stranger), they "
    "hold no message (malformed) or are replays (stale).  One line a second at most, "
    "with the last source.",
    "See docs/operations/peer-keys.md.",
)
ROUTER_FROZE = Event(
    3006,
    "router_froze",
    _WARNING,
    ("gap_s",),
    "This process did not run for a while; it tells its peers that it is back.",
    "Look for a paused VM, swapping, or a host that is short of processors.",
)
CONFIGURATION_PULL_FAILED = Event(
    3007,
    "configuration_pull_failed",
    _WARNING,
    ("kind", "peer", "reason"),
    "A peer holds newer configuration and could not be asked for it; another is asked.",
    "None if it does not repeat; see docs/operations/cut-zone.md.",
)
CONFIGURATION_PULLED = Event(
    3015,
    "configuration_pulled",
    _INFO,
    ("kind", "peer", "since", "duration_s", "size_bytes", "objects"),
    "A peer told what it holds after a revision; `size_bytes` came over the links of "
    "both.",
    "None.  Pulls that configuration_taken doesn't follow load the links for nothing.",
)
CONFIGURATION_SERVED = Event(
    3016,
    "configuration_served",
    _INFO,
    ("kind", "peer", "since", "size_bytes"),
    "A peer asked for what this router holds after a revision.",
    "None.",
)
EVIDENCE_DROPPED = Event(
    3018,
    "evidence_dropped",
    _WARNING,
    ("suspended_s",),
    "This VM was suspended for so long, which no steady clock counts: what was known "
    "of the store is older than it seems, and the store is asked.",
    "Look for a host that suspends its VMs.",
)
STORE_CALL_ENDED = Event(
    3017,
    "store_call_ended",
    _INFO,
    ("call", "path", "outcome", "first_byte_s", "duration_s", "size_bytes"),
    "A call to the store ended; the path tells what was asked, and how long a watch "
    "was to wait.  One too long to be worth reading is given up, and the newest is "
    "listed.  `first_byte_s` tells a slow store or a waiting watch from a full link, "
    "on which the bytes after it take long.",
    "Compare with router_late: a process without processor time is late with both.",
)

# 4000: claims, answers and order
CLAIM_GRANTED = Event(
    4001,
    "claim_granted",
    _INFO,
    ("team", "chat", "attempt", "wait_s"),
    "A non-idempotent request may be sent, once, by this attempt.",
)
CLAIM_HELD = Event(
    4002,
    "claim_held",
    _INFO,
    ("team", "chat", "attempt", "state", "asked"),
    "Another attempt holds the claim; its router is asked if it is live.",
    "See docs/operations/at-most-once.md if callers ask what became of a request.",
)
CLAIM_UNANSWERED = Event(
    4003,
    "claim_unanswered",
    _WARNING,
    ("bucket", "reason"),
    "A write of claims was not answered; the bucket is read to see what stands there.",
    "Look at the platform if it goes on; claims are refused while it is down.",
)
REQUEST_JOINED = Event(
    4004,
    "request_joined",
    _INFO,
    ("team", "chat"),
    "A resend joined the run in progress or got the kept answer.",
)

# 5000: endpoints and their health; 5100: orders to engines
ENDPOINT_EJECTED = Event(
    5001,
    "endpoint_ejected",
    _WARNING,
    ("endpoint", "outcome"),
    "An endpoint answers worse than its peers and gets no work until probes pass.",
    "See docs/operations/endpoints.md.",
)
ENDPOINT_RETURNED = Event(
    5002,
    "endpoint_returned",
    _INFO,
    ("endpoint",),
    "An ejected endpoint has passed its probes and gets work again, slowly at first.",
)
ENDPOINT_CRASHED = Event(
    5003,
    "endpoint_crashed",
    _WARNING,
    ("endpoint", "fingerprint", "crashed"),
    "An answer broke off; the request is a suspect, with the endpoints it broke at.",
    "See docs/operations/poison.md.",
)
ENDPOINT_PROBED = Event(
    5004,
    "endpoint_probed",
    _INFO,
    ("endpoint", "status"),
    "An ejected endpoint was probed; status 0 is no answer.",
)
ENDPOINT_LEAVING = Event(
    5011,
    "endpoint_leaving",
    _INFO,
    ("endpoint", "source", "is_leaving", "incarnation"),
    "News came that an endpoint leaves and gets no new work, or that it stays.",
    "See docs/operations/endpoints.md.",
)
ORDER_GIVEN = Event(
    5101,
    "order_given",
    _INFO,
    ("endpoint", "model", "replaces", "fence"),
    "An engine took the order to load a model.",
)
ORDER_NOT_TAKEN = Event(
    5102,
    "order_not_taken",
    _WARNING,
    ("endpoint", "model", "replaces", "fence"),
    "An engine did not take an order: its number was old, or no answer came.",
    "Look whether the engine is reachable; the order is given again.",
)

ORDER_LEASE_MOVED = Event(
    5103,
    "order_lease_moved",
    _INFO,
    ("holder", "fence", "is_own"),
    "Another router than before holds the lease to order engines, as far as this one "
    "knows; only the holder gives orders.",
)

WATCH_ROLE_CHANGED = Event(
    3012,
    "watch_role_changed",
    _INFO,
    ("role", "routers", "zones"),
    "What this router does for the others from now on: the watcher asks the store for "
    "all, a head tells its zone, a member only hears; `routers` live in the zone.",
)
PLACEMENTS_LEARNED = Event(
    3013,
    "placements_learned",
    _INFO,
    ("peer", "count"),
    "A router that has started was told by a peer which engines hold which prompts.",
)
PLACEMENTS_NOT_LEARNED = Event(
    3014,
    "placements_not_learned",
    _INFO,
    ("peer", "reason"),
    "A peer could not tell a router that has started which engines hold which prompts; "
    "another one is asked, up to three.",
)
MANIFEST_IN_FORCE = Event(
    3011,
    "manifest_in_force",
    _INFO,
    ("version", "revision", "routes"),
    "A manifest is in force at this router, from the store's revision on.",
)
ENDPOINT_KNOWN = Event(
    5021,
    "endpoint_known",
    _INFO,
    ("endpoint", "address", "state", "revision"),
    "An endpoint's entry is new or has changed.",
)
ENDPOINT_HELD = Event(
    5022,
    "endpoint_held",
    _WARNING,
    ("endpoint",),
    "An entry disappeared around an outage of the store, and is held for two seconds.",
)
ENDPOINT_GONE = Event(
    5023,
    "endpoint_gone",
    _INFO,
    ("endpoint",),
    "An endpoint is gone and gets no new work.",
)
ENDPOINT_UNREACHED = Event(
    5024,
    "endpoint_unreached",
    _WARNING,
    ("endpoint", "zone", "detail"),
    "No connection to an endpoint could be made; it is tried after all others.",
)

ENDPOINT_REACHED = Event(
    5025,
    "endpoint_reached",
    _INFO,
    ("endpoint", "zone"),
    "An endpoint that could not be reached can be again.",
)
ENDPOINT_RESTARTED = Event(
    5026,
    "endpoint_restarted",
    _INFO,
    ("endpoint",),
    "An endpoint has started anew under the name that it had; what was believed of it "
    "is forgotten.",
)
ENDPOINT_PAUSED = Event(
    5027,
    "endpoint_paused",
    _WARNING,
    ("endpoint", "service"),
    "Routers together saw an endpoint fail more often than its peers; it gets no work "
    "for some seconds.",
    "See docs/operations/endpoints.md.",
)
ENDPOINT_MISPLACED = Event(
    5028,
    "endpoint_misplaced",
    _WARNING,
    ("endpoint", "source"),
    "Another endpoint answers at the address of this one, as an answer or another "
    "router told; it gets no work for some seconds.",
    "None if its entry ends soon; else look who writes it.",
)

OWNER_SILENT = Event(
    5030,
    "owner_silent",
    _WARNING,
    ("endpoint", "owner", "waited_s"),
    "The router that counts an endpoint's calls did not answer in time; the call goes "
    "by this router's own estimate, so that the bound of loads may be exceeded.",
    "Compare with router_late, and look at the processors of both VMs.",
)
POOL_FAILING = Event(
    5029,
    "pool_failing",
    _WARNING,
    ("service", "endpoints", "failing", "paused", "failed_most", "failed_mean"),
    "Endpoints of a service fail, as routers together see it; one line a second at "
    "most.  `failing` have failures enough to get no work if others are well, `paused` "
    "get none now; the failures are those of the others within some seconds.  Many "
    "that fail and none that is paused: all fail alike.",
    "See docs/operations/endpoints.md.",
)

# 6000: objects of the platform
OBJECT_FAULTY = Event(
    6001,
    "object_faulty",
    _ERROR,
    ("kind", "object", "version", "message"),
    "An object of the platform can't be read.  The version before it stays in force, "
    "but for entries on the users' platform, which then name no endpoint to use.",
    "Mend the object: `tamarackrill contract apply`, or the endpoint that wrote it.",
)


def list_events() -> list[Event]:
    """Return all events, by number."""
    found = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(found)
