"""Outlier detection: ejection, probes, slow start and flap damping of endpoints.

Load pattern: one endpoint of a pool answers slowly or with errors, another one flaps,
and a new one joins with an empty cache.  Without this module a share of all callers
waits on the slow endpoint; with a fixed threshold instead of a comparison with peers,
a slow hour of the whole pool ejects all of it; without damping, the chats of a
flapping endpoint move back and forth and lose their cache each time.

An endpoint is an outlier if its answers are far from its pool's median, never by a
threshold alone.  At most `EJECTED_SHARE` of a pool is excluded from new work at once.
A penalty that decays exponentially counts both ejections and departures.  An endpoint
that it has stopped gets work again only below a lower mark than the one that stopped
it (hysteresis), so each ejection in a row lasts longer.  An ejected endpoint has to
pass probes, whose rate is limited, and returns through a slow start.

An endpoint whose machine is shared may say that work takes several times as long now.
Its own times are divided by that before they are compared, or a share of the pool would
be ejected for what its machines' other users do.  The times that it is a peer with are
not: otherwise one that reports a false slowdown would lower the median and have sound
endpoints ejected.
"""

from collections.abc import Collection, Sequence
from statistics import median_low
from typing import NamedTuple

# Answers before an endpoint is compared; one slow prompt among four is no evidence.
SAMPLES_MIN = 5
# Weight of the newest answer in the moving averages, which span about nine answers.
NEWEST_WEIGHT = 0.2
# A first token is slow above this multiple of the peers' median, but never below
# SLOW_MIN_S, the target for the 95th percentile (0.32 s).
SLOW_MULTIPLE = 3.0
SLOW_MIN_S = 0.32
# Largest slowdown that explains a long time, and the multiple of SLOW_MULTIPLE that an
# endpoint gains by a false one.  The largest known is 3.25: a machine that is shared
# (2.5), of a kind that is slower (1.3).  With 4, an endpoint that takes 1.28 s and 12
# times as long as its peers is ejected whatever it reports; without a cap, one that
# reports the 100 that load reports may state would need 32 s.
SLOWDOWN_MAX = 4.0
# Largest multiple of the median for a probe's first token.  Must be below
# SLOW_MULTIPLE, or a borderline endpoint would be ejected and readmitted in turn.
RECOVERED_MULTIPLE = 1.5
# Least share of failed answers of an outlier, and its least distance from the peers'
# median.
FAILURES_SHARE = 0.5
FAILURES_ABOVE_PEERS = 0.3
# Consecutive failures that eject at once, as when connections are refused.
CONSECUTIVE_FAILURES = 3
# Broken answers and departures this close together count as one: a crash breaks all
# answers in flight at once, and the membership reports it some seconds later.
SAME_DEPARTURE_S = 5.0
# Largest share of a pool that may be excluded; the other two thirds then carry 1.5
# times their previous load.
EJECTED_SHARE = 0.34
# The penalty grows by 1 for each departure or ejection and halves in this time.  Two
# departures within 30 s stop new work for 30 to 40 s.
PENALTY_HALF_LIFE_S = 30.0
PENALTY_STOP = 1.5
PENALTY_RETURN = 0.75
# Time from an ejection to the first probe.
EJECTED_MIN_S = 5.0
PROBES_NEEDED = 2
# Least time between two probes of a router, whatever the number of ejected endpoints:
# a one-token completion of 500 bytes each 2 s is 0.25 KB/s of a budget of 3 KB/s.
PROBE_EVERY_S = 2.0
# Duration of the slow start: an engine's cache fills within about ten steps of its
# chats.
SLOW_START_S = 10.0
SLOW_START_SHARE = 0.1


class EndpointHealth(NamedTuple):
    """Summary of an endpoint's answers.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    samples : int
        Number of answers in the summary.
    failure_share : float
        Moving average of failed answers.
    first_token_s : float
        Moving average of the time to the first token.
    """

    endpoint: str
    samples: int
    failure_share: float
    first_token_s: float


class _State:
    """Answer averages, penalty and ejection of one endpoint."""

    __slots__ = (
        "samples",
        "failure_share",
        "first_token_s",
        "unslowed_s",
        "in_a_row",
        "departed_s",
        "penalty",
        "penalty_s",
        "is_stopped",
        "ejected_s",
        "probes_passed",
        "is_probing",
        "joined_s",
        "is_present",
    )

    def __init__(self, now_s: float) -> None:
        self.samples = 0
        self.failure_share = 0.0
        self.first_token_s = 0.0
        # Moving average of the times divided by the reported slowdown.
        self.unslowed_s = 0.0
        self.in_a_row = 0
        self.departed_s = float("-inf")
        self.penalty = 0.0
        self.penalty_s = now_s
        self.is_stopped = False
        self.ejected_s: float | None = None
        self.probes_passed = 0
        self.is_probing = False
        self.joined_s = now_s
        self.is_present = True

    def compute_penalty(self, now_s: float) -> float:
        """Return the penalty, decayed to `now_s`."""
        halvings = (now_s - self.penalty_s) / PENALTY_HALF_LIFE_S
        return self.penalty * 0.5**halvings

    def add_penalty(self, now_s: float) -> None:
        self.penalty = self.compute_penalty(now_s) + 1.0
        self.penalty_s = now_s
        self.is_stopped = self.is_stopped or self.penalty >= PENALTY_STOP

    def record_departure(self, now_s: float) -> None:
        """Penalize a crash or departure once, however often it is observed."""
        if now_s - self.departed_s >= SAME_DEPARTURE_S:
            self.add_penalty(now_s)
        self.departed_s = now_s

    def reset_answers(self) -> None:
        self.samples = 0
        self.failure_share = 0.0
        self.first_token_s = 0.0
        self.unslowed_s = 0.0
        self.in_a_row = 0


class Health:
    """Health of all endpoints, as seen by one router."""

    def __init__(self) -> None:
        self._states: dict[str, _State] = {}
        self._probed_s = float("-inf")
        # Superset of the stopped and ejected endpoints; spares a scan of all.
        self._maybe_excluded: set[str] = set()

    def observe_present(self, endpoint: str, now_s: float) -> None:
        """Record that an endpoint has joined or come back."""
        state = self._states.get(endpoint)
        if state is None:
            self._states[endpoint] = _State(now_s)
        elif not state.is_present:
            state.is_present = True
            state.joined_s = now_s
            state.reset_answers()

    def observe_absent(self, endpoint: str, now_s: float) -> None:
        """Record that an endpoint is gone without having announced it."""
        state = self._states.get(endpoint)
        if state is not None and state.is_present:
            state.is_present = False
            state.record_departure(now_s)
            self._maybe_excluded.add(endpoint)

    def observe_crash(self, endpoint: str, now_s: float) -> None:
        """Record that an answer broke off because the endpoint's process ended.

        Counts as a departure, not as a failed answer: the request may be the cause,
        and `retract_crash` undoes it once that is known.
        """
        self._states.setdefault(endpoint, _State(now_s)).record_departure(now_s)
        self._maybe_excluded.add(endpoint)

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint that has left for good."""
        self._states.pop(endpoint, None)
        self._maybe_excluded.discard(endpoint)

    def retain(self, names: Collection[str]) -> None:
        """Forget all endpoints that are not among `names`."""
        for name in [name for name in self._states if name not in names]:
            self.remove(name)

    def observe_answer(
        self,
        endpoint: str,
        is_ok: bool,
        first_token_s: float | None,
        pool: Collection[str],
        now_s: float,
        slowdown: float = 1.0,
    ) -> bool:
        """Record an answer; return whether it ejected the endpoint.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        is_ok : bool
            False for a failure of the endpoint: no connection, status 5xx, no first
            token in time.  Failures caused by the caller (a bad request, a cancelled
            answer) must not be recorded; for answers that broke off see
            `observe_crash`.
        first_token_s : float or None
            Time to the first token, None if there was none.
        pool : collection of str
            Endpoints of the same service, to compare with.
        now_s : float
            The present time.
        slowdown : float, default=1.0
            How long work takes at the endpoint now, relative to usual, according to the
            same answer.

        Returns
        -------
        bool
        """
        state = self._states.setdefault(endpoint, _State(now_s))
        _add_sample(state, is_ok, first_token_s, slowdown)
        if state.ejected_s is not None or not self._is_outlier(endpoint, pool):
            return False
        if not self._may_eject(pool, now_s):
            return False
        state.ejected_s = now_s
        state.probes_passed = 0
        state.add_penalty(now_s)
        self._maybe_excluded.add(endpoint)
        return True

    def retract_crash(self, endpoint: str, now_s: float) -> None:
        """Undo the penalty for a crash that a poison request caused."""
        state = self._states.get(endpoint)
        if state is not None:
            state.penalty = max(0.0, state.compute_penalty(now_s) - 1.0)
            state.penalty_s = now_s
            state.is_stopped = state.is_stopped and state.penalty >= PENALTY_STOP

    def find_allowed(self, pool: Sequence[str], now_s: float) -> list[str]:
        """Return the endpoints of `pool` that may take new work.

        See `find_excluded`.
        """
        excluded = self.find_excluded(dict.fromkeys(pool), now_s)
        return [name for name in pool if name not in excluded]

    def find_excluded(self, pool: Collection[str], now_s: float) -> set[str]:
        """Return the endpoints of `pool` that may take no new work.

        If more than `EJECTED_SHARE` of the pool is excluded, those with the smallest
        penalty are readmitted: some service is better than none.

        Parameters
        ----------
        pool : collection of str
            Names; must have a fast membership test.
        now_s : float
            The present time.
        """
        excluded = {n for n in self._maybe_excluded if self._is_excluded(n, now_s)}
        self._maybe_excluded = excluded
        excluded_here = [name for name in sorted(excluded) if name in pool]
        excess = len(excluded_here) - _count_ejectable(len(pool))
        if excess > 0:
            excluded_here.sort(
                key=lambda name: self._states[name].compute_penalty(now_s)
            )
            excluded_here = excluded_here[excess:]
        return set(excluded_here)

    def find_slow_start_shares(
        self, pool: Sequence[str], now_s: float
    ) -> dict[str, float]:
        """Return the share of its load bound for each endpoint in slow start.

        Shares are relative to the warmest of the pool: when all are new, as after the
        start of a fleet, none is limited.
        """
        shares = {name: self._compute_share(name, now_s) for name in pool}
        warmest = max(shares.values(), default=1.0)
        return {
            name: share / warmest for name, share in shares.items() if share < warmest
        }

    def next_probe(
        self, now_s: float, among: Collection[str] | None = None
    ) -> str | None:
        """Return the ejected endpoint to probe now, if any is due.

        The caller sends the probe and reports its result to `observe_probe`, or that
        there is none to `end_probe`.

        Parameters
        ----------
        now_s : float
            The present time.
        among : collection of str, optional
            Endpoints that the caller can probe; all by default.
        """
        if now_s - self._probed_s < PROBE_EVERY_S:
            return None
        due = [
            (state.ejected_s, name)
            for name in self._maybe_excluded
            if (state := self._states[name]).ejected_s is not None
            and not state.is_probing
            and state.is_present
            and now_s - state.ejected_s >= EJECTED_MIN_S
            and (among is None or name in among)
        ]
        if not due:
            return None
        self._probed_s = now_s
        name = min(due)[1]
        self._states[name].is_probing = True
        return name

    def end_probe(self, endpoint: str) -> None:
        """Record that a probe has ended, perhaps without a result."""
        if endpoint in self._states:
            self._states[endpoint].is_probing = False

    def observe_probe(
        self,
        endpoint: str,
        is_ok: bool,
        first_token_s: float | None,
        pool: Collection[str],
        now_s: float,
        slowdown: float = 1.0,
    ) -> bool:
        """Record a probe's result; return whether the endpoint gets work again.

        The parameters are those of `observe_answer`.
        """
        state = self._states.get(endpoint)
        if state is None or state.ejected_s is None:
            return False
        state.is_probing = False
        limit_s = RECOVERED_MULTIPLE * self._find_median(endpoint, pool)
        is_fast = first_token_s is not None and (
            _divide_by_slowdown(first_token_s, slowdown) <= max(limit_s, SLOW_MIN_S)
        )
        if not is_ok or not is_fast:
            state.probes_passed = 0
            return False
        state.probes_passed += 1
        if state.probes_passed < PROBES_NEEDED:
            return False
        state.ejected_s = None
        state.joined_s = now_s
        state.reset_answers()
        return not self._is_excluded(endpoint, now_s)

    def _is_excluded(self, endpoint: str, now_s: float) -> bool:
        state = self._states.get(endpoint)
        if state is None:
            return False
        if state.is_stopped and state.compute_penalty(now_s) < PENALTY_RETURN:
            state.is_stopped = False
            state.joined_s = now_s
        return state.is_stopped or state.ejected_s is not None

    def _may_eject(self, pool: Collection[str], now_s: float) -> bool:
        ejected = sum(self._is_excluded(name, now_s) for name in pool)
        return ejected < _count_ejectable(len(pool))

    def _compute_share(self, endpoint: str, now_s: float) -> float:
        state = self._states.get(endpoint)
        if state is None:
            return 1.0
        ramp = (now_s - state.joined_s) / SLOW_START_S
        return min(1.0, SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * ramp)

    def _is_outlier(self, endpoint: str, pool: Collection[str]) -> bool:
        own = self._states[endpoint]
        # Fast path: most answers show no fault and need no comparison with the peers.
        if own.in_a_row < CONSECUTIVE_FAILURES and (
            own.samples < SAMPLES_MIN
            or (own.failure_share < FAILURES_SHARE and own.unslowed_s <= SLOW_MIN_S)
        ):
            return False
        peers = self._list_peers(endpoint, pool)
        failing = median_low([peer.failure_share for peer in peers]) if peers else 0.0
        if own.in_a_row >= CONSECUTIVE_FAILURES and failing < FAILURES_SHARE:
            return True
        if own.samples < SAMPLES_MIN or not peers:
            return False
        if own.failure_share >= max(FAILURES_SHARE, failing + FAILURES_ABOVE_PEERS):
            return True
        usual_s = median_low([peer.first_token_s for peer in peers])
        return own.unslowed_s > max(SLOW_MIN_S, SLOW_MULTIPLE * usual_s)

    def _find_median(self, endpoint: str, pool: Collection[str]) -> float:
        peers = self._list_peers(endpoint, pool)
        return median_low([peer.first_token_s for peer in peers]) if peers else 0.0

    def _list_peers(self, endpoint: str, pool: Collection[str]) -> list[EndpointHealth]:
        """Return the summaries of the peers that have `SAMPLES_MIN` answers."""
        found = []
        for name in pool:
            state = self._states.get(name)
            if name != endpoint and state is not None and state.samples >= SAMPLES_MIN:
                found.append(
                    EndpointHealth(
                        name, state.samples, state.failure_share, state.first_token_s
                    )
                )
        return found


def _count_ejectable(pool_size: int) -> int:
    """Return how many of a pool may be excluded: one of two, none of one."""
    return min(pool_size - 1, max(1, int(EJECTED_SHARE * pool_size)))


def _divide_by_slowdown(first_token_s: float, slowdown: float) -> float:
    # A machine that is faster than usual needs no allowance: to multiply its times
    # would eject an endpoint for a false report.
    return first_token_s / min(SLOWDOWN_MAX, max(1.0, slowdown))


def _add_sample(
    state: _State, is_ok: bool, first_token_s: float | None, slowdown: float
) -> None:
    state.samples += 1
    weight = max(NEWEST_WEIGHT, 1.0 / state.samples)
    state.failure_share += weight * ((not is_ok) - state.failure_share)
    state.in_a_row = 0 if is_ok else state.in_a_row + 1
    if first_token_s is not None:
        unslowed_s = _divide_by_slowdown(first_token_s, slowdown)
        state.first_token_s += weight * (first_token_s - state.first_token_s)
        state.unslowed_s += weight * (unslowed_s - state.unslowed_s)
