"""Poison requests: requests that crash the endpoints that run them.

Load pattern: one request crashes each endpoint that runs it, and its caller (or a
router's retry) sends it again. Without crash counts it takes down one endpoint after
another, and outlier detection ejects the healthy rest of the pool because of it.

A crash is a response that breaks off, or never arrives, because the endpoint's process
ended. Every request running there becomes a suspect, because the cause is unknown. A
suspect's next run is on an endpoint without another suspect, so that a second crash
identifies the cause; a suspect that completes is cleared. A request that has caused
`CRASHES_MAX` crashes is refused before it reaches another endpoint.

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
# Broken responses of one endpoint this close together count as one crash.
CRASH_DEDUP_S = 5.0
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
    """Crashes that one router attributes to a request; also a digest entry."""

    fingerprint: int
    crashes: int


class _Crash(NamedTuple):
    crashed_s: float
    endpoint: str
    peer: str


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

    def observe_crash(self, fingerprint: int, endpoint: str, now_s: float) -> bool:
        """Count a crash observed by this router; return whether it was a new one."""
        for crash in self._list_recent(fingerprint, now_s):
            if crash.endpoint == endpoint and now_s - crash.crashed_s < CRASH_DEDUP_S:
                return False
        self._add(fingerprint, _Crash(now_s, endpoint, ""), now_s)
        return True

    def observe_peer(
        self, peer: str, fingerprint: int, crashes: int, now_s: float
    ) -> None:
        """Update the number of crashes by a request that a peer observed itself."""
        known = sum(
            crash.peer == peer for crash in self._list_recent(fingerprint, now_s)
        )
        for _ in range(known, min(crashes, CRASHES_MAX)):
            self._add(fingerprint, _Crash(now_s, "", peer), now_s)

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
        if len(crashes) >= CRASHES_MAX:
            newest_s = max(crash.crashed_s for crash in crashes)
            raise Refusal(
                "poison_request",
                POISON_STATUS,
                f"this request has crashed {len(crashes)} endpoints",
                run="unknown",
                retry_after_s=newest_s + CRASH_TTL_S - now_s,
            )

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

    def digest(self, now_s: float, limit: int = DIGEST_ENTRIES_MAX) -> list[CrashCount]:
        """Return this router's own counts for the next digest, newest first."""
        entries = []
        for fingerprint in reversed(self._crashes):
            own = sum(not crash.peer for crash in self._list_recent(fingerprint, now_s))
            if own:
                entries.append(CrashCount(fingerprint, own))
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
