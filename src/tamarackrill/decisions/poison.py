"""Requests that crash the endpoints that run them, counted by fingerprint.

Load pattern: one request crashes each endpoint that runs it, and its caller (or a
router's retry) sends it again.  Without the count it takes down one endpoint after
another, and outlier detection ejects the healthy remains of the pool for it.

A crash is an answer that breaks off, or never comes, because the endpoint's process
ended.  Each request that was there is a suspect, since nobody knows which one did it.
A suspect runs next at an endpoint without another suspect, so that the second crash
tells the innocent ones apart; one that ends well is cleared.  What has caused
`CRASHES_MAX` crashes is refused before it reaches another endpoint.

Counts are shared: each router tells its peers how many crashes it saw itself, and
adds up what they say.  Nobody repeats the count of another, so that no count lives on
by gossip alone.  The endpoints are not blamed: see `health.Health.forgive`.
"""

from collections import OrderedDict
from typing import NamedTuple

from tamarackrill.exceptions import Refusal

# Crashes that a request may cause: with one, any endpoint that fails for a reason of
# its own would condemn all it was running.
CRASHES_MAX = 2
# Broken answers at one endpoint this close together are one crash.
CRASH_DEDUP_S = 5.0
# A crashed endpoint takes minutes to load its weights; the caller may send the request
# again for as long as that, and a fixed release is not rolled out sooner.
CRASHES_KEPT_S = 600.0
# A crash makes suspects of all requests at an endpoint, some 170 at the largest size;
# six crashes at once, as when a rack goes, still fit.
FINGERPRINTS_KEPT = 1024
DIGEST_ENTRIES_MAX = 16
POISON_STATUS = 422


class CrashCount(NamedTuple):
    """Crashes that a request caused at one router; also a digest's entry."""

    fingerprint: int
    crashes: int


class _Crash(NamedTuple):
    crashed_s: float
    endpoint: str
    peer: str


def shorten_fingerprint(fingerprint: str) -> int:
    """Return the 64 bits of a request's hexadecimal fingerprint that are counted."""
    return int(fingerprint[:16], 16)


class PoisonTracker:
    """Crashes by fingerprint, as one router knows them."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, list[_Crash]] = OrderedDict()
        self._running: dict[str, dict[int, int]] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def observe_crash(self, fingerprint: int, endpoint: str, now_s: float) -> bool:
        """Count a crash seen by this router; return whether it was a new one."""
        for crash in self._find(fingerprint, now_s):
            if crash.endpoint == endpoint and now_s - crash.crashed_s < CRASH_DEDUP_S:
                return False
        self._add(fingerprint, _Crash(now_s, endpoint, ""), now_s)
        return True

    def observe_peer(
        self, peer: str, fingerprint: int, crashes: int, now_s: float
    ) -> None:
        """Take how many crashes by a request a peer has seen itself."""
        known = sum(crash.peer == peer for crash in self._find(fingerprint, now_s))
        for _ in range(known, min(crashes, CRASHES_MAX)):
            self._add(fingerprint, _Crash(now_s, "", peer), now_s)

    def observe_success(self, fingerprint: int) -> None:
        """Clear a request that has run to its end."""
        self._crashes.pop(fingerprint, None)

    def check(self, fingerprint: int, now_s: float) -> None:
        """Raise if a request must not reach another endpoint.

        Raises
        ------
        Refusal
            Code ``poison_request``.  Its run state is ``unknown``: an earlier send
            of the same request has reached an endpoint.
        """
        crashes = self._find(fingerprint, now_s)
        if len(crashes) >= CRASHES_MAX:
            newest_s = max(crash.crashed_s for crash in crashes)
            raise Refusal(
                "poison_request",
                POISON_STATUS,
                f"this request has crashed {len(crashes)} endpoints",
                run="unknown",
                retry_after_s=newest_s + CRASHES_KEPT_S - now_s,
            )

    def find_endpoints_to_avoid(self, fingerprint: int, now_s: float) -> set[str]:
        """Return the endpoints where a suspect must not run next.

        Those are the ones that it may have crashed and those that run another
        suspect now.  The set is empty for a request that is no suspect.
        """
        crashed = self.find_crashed_endpoints(fingerprint, now_s)
        if not self._find(fingerprint, now_s):
            return set()
        taken = {
            endpoint
            for endpoint, running in self._running.items()
            if any(other != fingerprint for other in running)
        }
        return taken | crashed

    def start(self, fingerprint: int, endpoint: str, now_s: float) -> None:
        """Note where a suspect runs; a request that is none is passed over."""
        if self._find(fingerprint, now_s):
            running = self._running.setdefault(endpoint, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1

    def finish(self, fingerprint: int, endpoint: str) -> None:
        """Note that a request has ended, whatever its outcome."""
        running = self._running.get(endpoint, {})
        if running.get(fingerprint, 0) > 1:
            running[fingerprint] -= 1
            return
        running.pop(fingerprint, None)
        if not running:
            self._running.pop(endpoint, None)

    def find_crashed_endpoints(self, fingerprint: int, now_s: float) -> set[str]:
        """Return the endpoints that this router saw a request crash."""
        crashes = self._find(fingerprint, now_s)
        return {crash.endpoint for crash in crashes if crash.endpoint}

    def observe_restart(self, endpoint: str) -> None:
        """Take that an endpoint has started anew; its crashes stay counted.

        The next crash there is a new one, however soon it comes.
        """
        for crashes in self._crashes.values():
            crashes[:] = [
                crash._replace(endpoint="") if crash.endpoint == endpoint else crash
                for crash in crashes
            ]

    def digest(self, now_s: float, limit: int = DIGEST_ENTRIES_MAX) -> list[CrashCount]:
        """Return what this router saw itself, for the next digest; newest first."""
        entries = []
        for fingerprint in reversed(self._crashes):
            own = sum(not crash.peer for crash in self._find(fingerprint, now_s))
            if own:
                entries.append(CrashCount(fingerprint, own))
            if len(entries) == limit:
                break
        return entries

    def _add(self, fingerprint: int, crash: _Crash, now_s: float) -> None:
        self._crashes[fingerprint] = [*self._find(fingerprint, now_s), crash]
        self._crashes.move_to_end(fingerprint)
        if len(self._crashes) > FINGERPRINTS_KEPT:
            self._crashes.popitem(last=False)

    def _find(self, fingerprint: int, now_s: float) -> list[_Crash]:
        oldest_s = now_s - CRASHES_KEPT_S
        crashes = self._crashes.get(fingerprint, ())
        return [crash for crash in crashes if crash.crashed_s > oldest_s]
