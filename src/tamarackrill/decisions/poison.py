"""Poison requests: requests that crash the endpoints that run them.

Load pattern: one request crashes each endpoint that runs it, and its caller (or a
router's retry) sends it again. Without crash counts it takes down one endpoint after
another, and outlier detection ejects the healthy rest of the pool because of it.

A crash is a response that breaks off, or never arrives, because the endpoint's process
ended. Every request running there becomes a suspect, because the cause is unknown. A
suspect's next run is on an endpoint without another suspect, so that a second crash
identifies the cause; a suspect that completes is cleared. A request that has caused
`CRASHES_MAX` crashes is refused before it reaches another endpoint.

Most crashes of a poison request come before its response has begun. A crash in the
middle of a stream says less: long streams are running in most crashes that have other
causes. Of these late crashes `LATE_CRASHES_MAX` are needed, or a share of both.

Counts are kept by request fingerprint and shared: each router tells its peers how many
crashes it observed itself, and adds up the counts of its peers. Counts of other routers
are never forwarded, so gossip alone cannot keep a count alive. The endpoints are not
penalized: see `health.Health.retract_crash`.
"""

from collections import OrderedDict
from typing import NamedTuple

from tamarackrill.exceptions import Refusal

# Crashes after which a request is refused. With a limit of one, an endpoint that fails
# for an unrelated reason would block all requests it was running.
CRASHES_MAX = 2
# The same for crashes after the response had begun. A sound stream meets that many in a
# row only if endpoints keep crashing wherever it runs.
LATE_CRASHES_MAX = 4
# Broken responses of one endpoint this close together count as one crash.
CRASH_DEDUP_S = 5.0
# Blame from which a request waits before it runs again, and for how long after its last
# crash.  Otherwise a poison request could crash a small pool in less time than one
# endpoint takes to start; clients wait two seconds for the next event of a stream.
PAUSED_BLAME = 0.75
SUSPECT_PAUSE_S = 1.0
# How long a crash counts. A crashed endpoint takes minutes to load its weights, the
# caller may resend the request for that long, and a fixed release takes at least as
# long to roll out.
CRASH_TTL_S = 600.0
# A crash turns all requests at an endpoint into suspects, about 170 at the largest
# size; six simultaneous crashes, such as a rack failure, still fit.
FINGERPRINTS_MAX = 1024
DIGEST_ENTRIES_MAX = 16
POISON_STATUS = 422


class CrashCount(NamedTuple):
    """Crashes that one router attributes to a request; also a digest entry.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request.
    crashes : int
        Crashes before the response had begun.
    late_crashes : int, default=0
        Crashes in the middle of the response.
    """

    fingerprint: int
    crashes: int
    late_crashes: int = 0


class _Crash(NamedTuple):
    crashed_s: float
    endpoint: str
    peer: str
    is_late: bool = False


def shorten_fingerprint(fingerprint: str) -> int:
    """Return the first 64 bits of a hexadecimal fingerprint, the key of the counts."""
    return int(fingerprint[:16], 16)


class PoisonTracker:
    """One router's crash counts by request fingerprint."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, list[_Crash]] = OrderedDict()
        self._running: dict[str, dict[int, int]] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def observe_crash(
        self, fingerprint: int, endpoint: str, now_s: float, is_late: bool = False
    ) -> bool:
        """Count a crash observed by this router; return whether it was a new one.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of a request that ran there.
        endpoint : str
            The endpoint that crashed.
        now_s : float
            Current time.
        is_late : bool, default=False
            Whether the response had begun.
        """
        for crash in self._list_recent(fingerprint, now_s):
            if crash.endpoint == endpoint and now_s - crash.crashed_s < CRASH_DEDUP_S:
                return False
        self._add(fingerprint, _Crash(now_s, endpoint, "", is_late), now_s)
        return True

    def observe_peer(
        self,
        peer: str,
        fingerprint: int,
        crashes: int,
        late_crashes: int,
        now_s: float,
    ) -> None:
        """Update the number of crashes by a request that a peer observed itself."""
        known = [c for c in self._list_recent(fingerprint, now_s) if c.peer == peer]
        known_late = sum(crash.is_late for crash in known)
        for _ in range(len(known) - known_late, min(crashes, CRASHES_MAX)):
            self._add(fingerprint, _Crash(now_s, "", peer), now_s)
        for _ in range(known_late, min(late_crashes, LATE_CRASHES_MAX)):
            self._add(fingerprint, _Crash(now_s, "", peer, is_late=True), now_s)

    def observe_success(self, fingerprint: int) -> None:
        """Clear a request that completed."""
        self._crashes.pop(fingerprint, None)

    def check(self, fingerprint: int, now_s: float) -> None:
        """Raise if a request must not reach another endpoint.

        Raises
        ------
        Refusal
            Code ``poison_request``. Its run state is ``unknown``, because an earlier
            send of the same request reached an endpoint.
        """
        crashes = self._list_recent(fingerprint, now_s)
        if self.is_poison(fingerprint, now_s):
            newest_s = max(crash.crashed_s for crash in crashes)
            raise Refusal(
                "poison_request",
                POISON_STATUS,
                f"this request has crashed {len(crashes)} endpoints",
                run="unknown",
                retry_after_s=newest_s + CRASH_TTL_S - now_s,
            )

    def is_poison(self, fingerprint: int, now_s: float) -> bool:
        """Return whether a request must not reach another endpoint."""
        return self._find_blame(fingerprint, now_s) >= 1.0

    def find_pause_s(self, fingerprint: int, now_s: float) -> float:
        """Return how long a request has to wait before it may run, 0 if not at all."""
        if self._find_blame(fingerprint, now_s) < PAUSED_BLAME:
            return 0.0
        crashes = self._list_recent(fingerprint, now_s)
        newest_s = max(crash.crashed_s for crash in crashes)
        return max(0.0, newest_s + SUSPECT_PAUSE_S - now_s)

    def is_near_pause(self, fingerprint: int, now_s: float, is_late: bool) -> bool:
        """Return whether a request has to wait, or is refused, after one more crash.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request.
        now_s : float
            Current time.
        is_late : bool
            Whether its response had begun this time.
        """
        more = 1 / (LATE_CRASHES_MAX if is_late else CRASHES_MAX)
        return self._find_blame(fingerprint, now_s) + more >= PAUSED_BLAME

    def _find_blame(self, fingerprint: int, now_s: float) -> float:
        """Return the share of the crashes for which a request is refused."""
        crashes = self._list_recent(fingerprint, now_s)
        late = sum(crash.is_late for crash in crashes)
        return (len(crashes) - late) / CRASHES_MAX + late / LATE_CRASHES_MAX

    def find_endpoints_to_avoid(self, fingerprint: int, now_s: float) -> set[str]:
        """Return the endpoints that must not run a suspect next.

        These are the endpoints that it may have crashed and those currently running
        another suspect. The set is empty for a request that is not a suspect.
        """
        crashed = self.find_crashed_endpoints(fingerprint, now_s)
        if not self._list_recent(fingerprint, now_s):
            return set()
        busy = {
            endpoint
            for endpoint, running in self._running.items()
            if any(other != fingerprint for other in running)
        }
        return busy | crashed

    def start(self, fingerprint: int, endpoint: str, now_s: float) -> None:
        """Record where a suspect runs; a request that is not a suspect is ignored."""
        if self._list_recent(fingerprint, now_s):
            running = self._running.setdefault(endpoint, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1

    def finish(self, fingerprint: int, endpoint: str) -> None:
        """Record that a request ended, whatever its outcome."""
        running = self._running.get(endpoint, {})
        if running.get(fingerprint, 0) > 1:
            running[fingerprint] -= 1
            return
        running.pop(fingerprint, None)
        if not running:
            self._running.pop(endpoint, None)

    def find_crashed_endpoints(self, fingerprint: int, now_s: float) -> set[str]:
        """Return the endpoints that this router observed a request crash."""
        crashes = self._list_recent(fingerprint, now_s)
        return {crash.endpoint for crash in crashes if crash.endpoint}

    def observe_restart(self, endpoint: str) -> None:
        """Handle the restart of an endpoint; its crashes remain counted.

        The next crash there counts as a new one, however soon it occurs.
        """
        for crashes in self._crashes.values():
            crashes[:] = [
                crash._replace(endpoint="") if crash.endpoint == endpoint else crash
                for crash in crashes
            ]

    def count_own(self, fingerprint: int, now_s: float) -> CrashCount:
        """Return the crashes by a request that this router observed itself."""
        crashes = self._list_recent(fingerprint, now_s)
        own = [crash for crash in crashes if not crash.peer]
        late = sum(crash.is_late for crash in own)
        # Peers count no more than these, and a message has a byte for each.
        return CrashCount(
            fingerprint,
            min(len(own) - late, CRASHES_MAX),
            min(late, LATE_CRASHES_MAX),
        )

    def digest(self, now_s: float, limit: int = DIGEST_ENTRIES_MAX) -> list[CrashCount]:
        """Return this router's own counts for the next digest, newest first."""
        entries = []
        for fingerprint in reversed(self._crashes):
            own = self.count_own(fingerprint, now_s)
            if own.crashes or own.late_crashes:
                entries.append(own)
            if len(entries) == limit:
                break
        return entries

    def _add(self, fingerprint: int, crash: _Crash, now_s: float) -> None:
        self._crashes[fingerprint] = [*self._list_recent(fingerprint, now_s), crash]
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > FINGERPRINTS_MAX:
            self._crashes.popitem(last=False)

    def _list_recent(self, fingerprint: int, now_s: float) -> list[_Crash]:
        oldest_s = now_s - CRASH_TTL_S
        crashes = self._crashes.get(fingerprint, ())
        return [crash for crash in crashes if crash.crashed_s > oldest_s]
