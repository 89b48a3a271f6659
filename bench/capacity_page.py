"""Turns measured figures into docs/CAPACITY.md."""

from collections.abc import Callable
from typing import Any, NamedTuple

from slopes import Fit
from tamarackrill.router.app import VM_LIST_POLL_S
from tamarackrill.router.configuring import KINDS
from tamarackrill.router.platform_client import WATCH_WAIT_S

NODES = 370
WORKERS = 780
ACCELERATORS = 6_300
CALLS_PER_S = 6_500
TOKENS_PER_S = 2_800_000
CHATS = 1_900_000
TEAMS = 2_300
MODELS = 23
ZONES = 8
CHANGES_A_DAY = 3_900
DAY_S = 86_400
TOKEN_GAP_S = 0.046

CORE_SHARE_MAX = 0.047
MEMORY_MAX_MB = 32
CONTROL_MAX_BYTES_PER_S = 3_000
IN_FORCE_MAX_S = 12
PLATFORM_READS_PER_S = 2_000

NODE_CALLS_PER_S = CALLS_PER_S / NODES
NODE_EVENTS_PER_S = TOKENS_PER_S / NODES
NODE_CHATS = CHATS / NODES
# A call that names a chat passes its entry router and, but for one in 370, its home.
PASSES = 2 - 1 / NODES
CALL_TOKENS = TOKENS_PER_S / CALLS_PER_S
CALL_S = CALL_TOKENS * TOKEN_GAP_S
NODE_IN_FLIGHT = NODE_CALLS_PER_S * CALL_S
NOT_RUN = "not run"

Figures = dict[str, Any]

# Found by the benches of the parts, whose notes hold the figures; this page's own run
# is too short to show them.
KNOWN_MISSES = (
    "- **Claims**: the row above is for claim objects that are nearly empty. At 325 "
    "claims/s they fill within five minutes and calls are refused `claims_full`; what "
    "they bear for ever is some 24 claims/s. Sealed pages for settled claims would "
    "mend it; see [design/claims.md](design/claims.md).",
    "- **Limits**: at 370 routers and 2,300 teams most of the teams that were over "
    "their limit were not held within 100 s, and the home of the largest received "
    "more than 3 KB/s. In that run a router sent 721 B/s on average and the exchange "
    "took 1.0 % of a core; see [design/limits.md](design/limits.md).",
    "- **3 KB/s in sum**: gossip and usage keep to a budget each, the questions to "
    "owners and the load reports to none; their sum at full size was not measured.",
    "- **Cold start and healing**: 106 and 87 s among 370 routers in simulated time, "
    "bound by the bytes; see [design/membership.md](design/membership.md).",
)


class Part(NamedTuple):
    """One row of the table of the daemon's parts, for one node."""

    name: str
    mechanism: str
    state: str
    messages: str
    core: str
    memory: str


class Share(NamedTuple):
    """What one part takes of a node, as far as it was measured."""

    core: float | None = None
    memory_mb: float | None = None
    bytes_per_s: float | None = None


def format_page(figures: Figures) -> str:
    """Return the page.

    Parameters
    ----------
    figures : dict
        Lines and numbers by name; an absent one shows as not run.
    """
    sections = (
        _head,
        _format_parts,
        _format_sums,
        _format_platform,
        _format_memory,
        _format_latency,
        _format_failures,
        _format_misses,
        _format_slopes,
        _format_not_run,
    )
    return "\n\n".join(section(figures) for section in sections) + "\n"


def _head(figures: Figures) -> str:
    return f"""# Capacity

Written by `make capacity` from one run on one machine ({figures["machine"]}; 12 cores
shared with other work), with small stand-ins on loopback. Nothing here was measured at
full size: figures are lines through at least four sizes, carried to the size below.

| | today | within two years | for each node |
| --- | --- | --- | --- |
| nodes | 6 to 8 | {NODES} in 2 regions of 4 zones | |
| calls/s at the peak | | {CALLS_PER_S:,} | {NODE_CALLS_PER_S:.1f} |
| tokens/s at the peak | | {TOKENS_PER_S:,} | {NODE_EVENTS_PER_S:,.0f} |
| chats that may return | | {CHATS:,} | {NODE_CHATS:,.0f} homes |
| workers (accelerators) | 8 to 9 and the engines | {WORKERS} ({ACCELERATORS:,}) | all |
| teams, models | 10, unknown | {TEAMS:,}, {MODELS} | all |
| changes a day | | {CHANGES_A_DAY:,} | all |

At {CALL_TOKENS:.0f} tokens a call and {TOKEN_GAP_S * 1000:.0f} ms between tokens a call
lasts {CALL_S:.0f} s, so {NODE_IN_FLIGHT:.0f} are in flight at a node. A call that names
a chat passes two routers, its entry and its home.

Limits for control at a node: {CORE_SHARE_MAX:.1%} of a core, {MEMORY_MAX_MB} MB,
{CONTROL_MAX_BYTES_PER_S / 1000:.0f} KB/s. Control is membership, claims, configuration,
limits, admission and placement; passing calls and answers on is the work itself and is
shown apart. Bytes are those sent and received."""


def _format_parts(figures: Figures) -> str:
    lines = [
        "## Each part of the daemon, at one node",
        "",
        "| part | mechanism | state | messages | core | memory |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for part in _list_parts(figures):
        lines.append(f"| {' | '.join(part)} |")
    return "\n".join(lines)


def _list_parts(figures: Figures) -> list[Part]:
    shares = _compute_shares(figures)

    def part(name: str, mechanism: str, state: str, messages: str) -> Part:
        share = shares[name]
        memory = f"{share.memory_mb:.2f} MB" if share.memory_mb is not None else "-"
        core = f"{share.core:.2%}" if share.core is not None else NOT_RUN
        if share.bytes_per_s is not None:
            messages += f"; {share.bytes_per_s:.0f} bytes/s"
        return Part(name, mechanism, state, messages, core, memory)

    watch_per_s = len(KINDS) / WATCH_WAIT_S + CHANGES_A_DAY / DAY_S
    return [
        part(
            "caller side and endpoint side",
            "tornado server and curl client; one reply object a call, bounded ahead",
            f"{NODE_IN_FLIGHT * PASSES:.0f} calls in flight",
            f"{NODE_CALLS_PER_S * PASSES:.0f} calls/s and "
            f"{NODE_EVENTS_PER_S * PASSES:,.0f} events/s passed on",
        ),
        part(
            "home",
            "rendezvous hashing over the live routers",
            f"{NODE_CHATS:,.0f} chats",
            "none of its own: calls are handed on",
        ),
        part(
            "membership",
            "gossip of one ping a second, bounded bytes",
            f"{NODES} members",
            "pings, acks, rumours",
        ),
        part(
            "claims",
            "conditional update of claim objects, gathered into one write",
            "cached claims, bounded",
            "to the platform only",
        ),
        part(
            "configuration",
            "watch of the platform, versions that only rise",
            f"{TEAMS:,} contracts, {WORKERS} endpoints",
            f"{watch_per_s:.2f} watch calls/s",
        ),
        part(
            "limits",
            "usage reports to a home for each team, sums back",
            f"{TEAMS:,} teams",
            "entries in gossip",
        ),
        part(
            "admission",
            "queues by pool, fair by weight",
            "waiting calls, bounded by a setting",
            "none",
        ),
        part(
            "placement",
            "bounded load; one owner counts for each endpoint",
            f"{NODE_CHATS:,.0f} chats' engines, {WORKERS} loads",
            f"{NODE_CALLS_PER_S:.0f} questions and answers to owners a second",
        ),
    ]


def _compute_shares(figures: Figures) -> dict[str, Share]:
    passes_per_s = NODE_CALLS_PER_S * PASSES
    events_per_s = NODE_EVENTS_PER_S * PASSES
    pool = WORKERS / MODELS
    find = _get(figures, "find_contract_us", lambda line: line.at(TEAMS))
    home = _get(figures, "home_us", lambda line: line.at(NODES))
    call_us = _get(figures, "call_us", lambda line: line.slope)
    event_us = _get(figures, "event_us", lambda line: line.slope)
    choose = _get(figures, "choose_us", lambda line: line.at(pool))
    reserve = _get(figures, "reserve_us", lambda line: line.at(pool))
    admit = _get(figures, "admission_us", lambda line: line.at(TEAMS))
    limit = _get(figures, "limits_us", lambda line: line.at(TEAMS))
    change_us = _get(figures, "contract_change_us", lambda line: line.slope)
    contracts = _get(figures, "contract_kb", lambda line: line.slope * TEAMS / 1024)
    endpoints = _get(figures, "endpoint_kb", lambda line: line.slope * WORKERS / 1024)
    chat_bytes = figures.get("bytes_per_chat")
    load_bytes = figures.get("bytes_per_endpoint")
    gossip_core = figures.get("gossip_core_share")
    return {
        "caller side and endpoint side": Share(
            _plus(_times(call_us, passes_per_s), _times(event_us, events_per_s))
        ),
        "home": Share(_times(_plus(home, find), passes_per_s)),
        "membership": Share(
            gossip_core,
            _scale(figures.get("gossip_state_bytes"), 1 / 2**20),
            figures.get("gossip_bytes_per_s"),
        ),
        "claims": Share(
            figures.get("claims_core_share"),
            _scale(figures.get("claims_state_bytes"), 1 / 2**20),
        ),
        "configuration": Share(
            _times(change_us, CHANGES_A_DAY / DAY_S), _plus(contracts, endpoints)
        ),
        "limits": Share(
            _plus(
                _times(limit, NODE_CALLS_PER_S),
                figures.get("limits_exchange_core_share"),
            ),
            _scale(figures.get("limits_state_bytes_per_router"), 1 / 2**20),
            _scale(figures.get("limits_sent_bytes_per_s"), 2),
        ),
        "admission": Share(
            _times(admit, NODE_CALLS_PER_S),
            _scale(figures.get("admission_bytes_per_waiting"), 512 / 2**20),
        ),
        "placement": Share(
            _times(_plus(choose, reserve), NODE_CALLS_PER_S),
            _plus(
                _scale(chat_bytes, NODE_CHATS / 2**20),
                _scale(load_bytes, WORKERS / 2**20),
            ),
            _scale(figures.get("ask_bytes"), 2 * NODE_CALLS_PER_S),
        ),
    }


CONTROL_PARTS = (
    "home",
    "membership",
    "claims",
    "configuration",
    "limits",
    "admission",
    "placement",
)


def _format_sums(figures: Figures) -> str:
    shares = _compute_shares(figures)
    control = [shares[name] for name in CONTROL_PARTS]
    core = sum(share.core or 0.0 for share in control)
    memory = sum(share.memory_mb or 0.0 for share in control)
    sent = sum(share.bytes_per_s or 0.0 for share in control)
    missing = [name for name in CONTROL_PARTS if shares[name].core is None]
    silent = [name for name in ("limits", "placement") if not shares[name].bytes_per_s]
    but = f" (without {', '.join(missing)}: {NOT_RUN})" if missing else ""
    rows = [
        ("core", f"{core:.2%}", f"{CORE_SHARE_MAX:.1%}", core <= CORE_SHARE_MAX),
        ("state", f"{memory:.1f} MB", f"{MEMORY_MAX_MB} MB", memory <= MEMORY_MAX_MB),
        (
            "messages to routers",
            f"{sent:.0f} bytes/s" + (f" without {', '.join(silent)}" if silent else ""),
            f"{CONTROL_MAX_BYTES_PER_S} bytes/s",
            sent <= CONTROL_MAX_BYTES_PER_S,
        ),
    ]
    lines = [
        f"## Control at one node, summed{but}",
        "",
        "| | worked out | limit | |",
        "| --- | --- | --- | --- |",
    ]
    lines += [f"| {a} | {b} | {c} | {_verdict(d)} |" for a, b, c, d in rows]
    return "\n".join(lines)


def _format_platform(figures: Figures) -> str:
    changes_per_s = CHANGES_A_DAY / DAY_S
    reopened = NODES * len(KINDS) / WATCH_WAIT_S
    woken = NODES * changes_per_s
    lists = NODES / VM_LIST_POLL_S
    reads = reopened + woken + lists
    claim_writes = figures.get("claims_writes_per_s")
    claim_reads = figures.get("claims_reads_per_s")
    lines = [
        "## The platform's service, from the whole fleet",
        "",
        "| what | calls/s | how it comes about |",
        "| --- | --- | --- |",
        f"| watches opened again | {reopened:.0f} | {NODES} nodes, {len(KINDS)} kinds, "
        f"each {WATCH_WAIT_S:.0f} s |",
        f"| watches woken by changes | {woken:.0f} | each change wakes all nodes |",
        f"| VM list | {lists:.0f} | each node, each {VM_LIST_POLL_S:g} s |",
        f"| reads of claims | {_show(claim_reads)} | see bench/claims.py |",
        f"| writes of claims | {_show(claim_writes)} | see bench/claims.py |",
        f"| writes of contracts | {changes_per_s:.3f} | {CHANGES_A_DAY:,} a day |",
        "",
        f"Reads and watches without claims: {reads:.0f}/s of {PLATFORM_READS_PER_S:,} "
        f"({_verdict(reads <= PLATFORM_READS_PER_S)}). A node that starts lists "
        f"{len(KINDS)} kinds once; a zone of {NODES / ZONES:.0f} nodes that comes back "
        f"asks {NODES / ZONES * len(KINDS):.0f} lists at once.",
    ]
    return "\n".join(lines)


def _format_memory(figures: Figures) -> str:
    return f"""## What the 32 MB count

Resident memory of the process, each line with what stands above it:

| | MB |
| --- | --- |
| bare interpreter | {figures["base_interpreter_mb"]:.1f} |
| with tornado, pycurl, thriftpy2, hdrhistogram, absl | \
{figures["base_libraries_mb"]:.1f} |
| with jsonschema | {figures["base_schema_mb"]:.1f} |
| with the daemon's own modules | {figures["base_daemon_mb"]:.1f} |
| a router that runs and follows one contract | {figures["base_rss_mb"]:.1f} |

The interpreter and its libraries alone exceed 32 MB before any state, so a process of
this kind can't meet the limit if it counts the whole process. We take it to count the
state of control (the sums above) and ask in [QUESTIONS.md](QUESTIONS.md). What would
mend it otherwise: checking contracts at the command line only (jsonschema costs
{figures["base_schema_mb"] - figures["base_libraries_mb"]:.1f} MB in each router), and
a smaller server than tornado, which the house style asks for."""


def _format_latency(figures: Figures) -> str:
    call_us = _get(figures, "call_us", lambda line: line.slope)
    chat_us = _get(figures, "chat_call_us", lambda line: line.slope)
    event_us = _get(figures, "event_us", lambda line: line.slope)
    in_force = _get(figures, "in_force_s", lambda line: line.at(max(line.sizes)))
    largest = figures.get("gossip_largest")
    gossip = _get(figures, "gossip_configuration_ticks", lambda line: line.values[-1])
    data = _plus(
        _times(call_us, NODE_CALLS_PER_S * PASSES),
        _times(event_us, NODE_EVENTS_PER_S * PASSES),
    )
    return f"""## Times

- First token within 0.32 s and 46 ms between tokens for 95 in 100: not measured at
  this size, and no engine of yours was at hand. What the routers add is processor
  time: {_show(call_us)} µs a call at one router, {_show(chat_us)} µs for entry and
  home together, {_show(event_us)} µs an event. A node that passes on
  {NODE_EVENTS_PER_S * PASSES:,.0f} events a second is busy for {_show(data, ".0%")} of
  a core, if each token comes as an event of its own.
- In force everywhere within {IN_FORCE_MAX_S} s: {_show(in_force, ".3f")} s until the
  last of 8 routers on loopback had a change, the slowest of five. The time does not
  pass from router to router: each has its own watch, so at {NODES} routers it is the
  platform's time to answer {NODES} watches. By gossip alone, for a router whose watch
  is lost, it took {_show(gossip)} s at {_show(largest)} routers in simulated time."""


def _format_failures(figures: Figures) -> str:
    zone_nodes = NODES / ZONES
    detect = figures.get("gossip_detect_s")
    rows = [
        ("a VM fails", 6, 1.0, "a day"),
        ("a router restarts or is replaced", 220, 1.0, "a day"),
        ("a rack of 10 nodes goes", 1, 10.0, "a month or two"),
        ("a zone goes", 4, zone_nodes, "a year"),
        ("regions lose each other", 6, NODES / 2, "a year"),
    ]
    lines = [
        "## What an ordinary day's failures cost",
        "",
        "Worked out from the sizes; not run at this size. Chats that lose their home "
        "find the next one at once, without its memory: their first call after it pays "
        "for its prefix again unless the engine is found by its cache events.",
        "",
        "| failure | how often | chats that move | calls in flight there |",
        "| --- | --- | --- | --- |",
    ]
    for name, count, nodes, period in rows:
        lines.append(
            f"| {name} | {count} in {period} | {NODE_CHATS * nodes:,.0f} "
            f"| {NODE_IN_FLIGHT * nodes:,.0f} |"
        )
    lines += [
        "",
        f"A failed router is taken for dead by all others after {_show(detect)} s at "
        f"{_show(figures.get('gossip_largest'))} routers (bench/gossip.py, simulated "
        "time); until then calls handed to it fail at the "
        "first try and go to the next home. A router that is told to stop finishes its "
        "calls first, so its restart moves chats and cuts nothing. When regions lose "
        "each other no chat needs to move by itself: each side takes homes among the "
        "routers it sees, so a chat whose callers reach both sides has two homes "
        "meanwhile, and "
        "only claims, on the platform, keep a non-idempotent call from running twice.",
    ]
    return "\n".join(lines)


def _format_misses(figures: Figures) -> str:
    event_us = _get(figures, "event_us", lambda line: line.slope)
    share = _times(event_us, NODE_EVENTS_PER_S * PASSES)
    lists = NODES / VM_LIST_POLL_S
    lines = ["## What misses its limit, and what would mend it", ""]
    if figures["base_rss_mb"] > MEMORY_MAX_MB:
        lines.append(
            f"- **Memory of the whole process**: {figures['base_rss_mb']:.0f} MB "
            f"against {MEMORY_MAX_MB} MB, before any state; see above."
        )
    if share is not None and share > 0.5:
        lines.append(
            f"- **Events passed on**: {share:.0%} of a core at the peak. It is no "
            "control, but little is left for a second node's share when one fails. "
            "Several tokens in one event, or handing the caller's connection to the "
            "home instead of passing each event twice, would halve it."
        )
    if lists > PLATFORM_READS_PER_S / 10:
        lines.append(
            f"- **VM list**: {lists:.0f} of {PLATFORM_READS_PER_S:,} reads/s. Within "
            "the limit, but the largest reader; membership by gossip lets each node "
            "read it far less often."
        )
    shares = _compute_shares(figures)
    core = sum(shares[name].core or 0.0 for name in CONTROL_PARTS)
    if core > CORE_SHARE_MAX:
        lines.append(f"- **Core for control**: {core:.1%}; see the parts above.")
    lines.append(
        "- **Endpoints by accelerator**: the figures take one endpoint for each of "
        f"{WORKERS} workers. Were each of {ACCELERATORS:,} accelerators an endpoint, "
        "state and time of placement would be eight times as large."
    )
    lines += KNOWN_MISSES
    return "\n".join(lines)


def _format_slopes(figures: Figures) -> str:
    lines = [
        "## Slopes",
        "",
        "Least squares; the residual is the largest distance from the line, as a share "
        "of the largest value.",
        "",
        "| figure | sizes | values | at 0 | slope | residual |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for name, line in sorted(figures.items()):
        if isinstance(line, Fit):
            sizes = ", ".join(f"{size:g}" for size in line.sizes)
            values = ", ".join(f"{value:.4g}" for value in line.values)
            lines.append(
                f"| `{name}` | {sizes} | {values} | {line.intercept:.4g} {line.unit} "
                f"| {line.slope:.4g} {line.unit} a {line.per} | {line.residual:.1%} |"
            )
    plain = {
        name: value
        for name, value in sorted(figures.items())
        if isinstance(value, int | float)
    }
    lines += ["", "Single figures: "]
    lines += [f"- `{name}`: {value:.5g}" for name, value in plain.items()]
    return "\n".join(lines)


def _format_not_run(figures: Figures) -> str:
    lines = ["## Not run", ""]
    if "limits_sent_bytes_per_s" not in figures:
        lines.append(
            "- state, messages and exchange of the limits at full size (`--full`); "
            "[design/limits.md](design/limits.md) has what its own runs gave"
        )
    if figures.get("gossip_largest", 0) < NODES:
        lines.append(
            f"- gossip among {NODES} routers (`--full`); a line is carried there"
        )
    if "ask_bytes" not in figures:
        lines.append("- bytes of the questions to owners of endpoints")
    lines += [f"- `bench/{name}.py`: {why}" for name, why in figures["not_run"].items()]
    lines.append(
        "- anything at full size, across real zones or regions, or with real engines"
    )
    return "\n".join(lines)


def _get(figures: Figures, name: str, read: Callable[[Fit], float]) -> float | None:
    line = figures.get(name)
    return read(line) if isinstance(line, Fit) else None


def _times(cost_us: float | None, rate_per_s: float) -> float | None:
    return _scale(cost_us, rate_per_s / 1e6)


def _scale(value: float | None, factor: float) -> float | None:
    return None if value is None else value * factor


def _plus(first: float | None, second: float | None) -> float | None:
    return None if first is None or second is None else first + second


def _show(value: float | None, form: str = ",.0f") -> str:
    return NOT_RUN if value is None else format(value, form)


def _verdict(holds: bool) -> str:
    return "holds" if holds else "**misses**"
