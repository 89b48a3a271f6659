"""Requests that crash the endpoints that run them, counted by fingerprint.

Load pattern: one request crashes each endpoint that runs it, and its caller (or a
router's retry) sends it again.  Without the count it takes down one endpoint after
another, and outlier detection ejects the healthy remains of the pool for it.

A crash is an answer that breaks off, or never comes, because the endpoint's process
ended.  Each request that was there is a suspect, since nobody knows which one did it.
A suspect runs next at an endpoint without another suspect, so that the second crash
tells the innocent ones apart; one that ends well is cleared.  What has crashed
`CRASHES_MAX` endpoints is refused before it reaches another.

Counts are shared: a crash is told to all peers at once (it is rare, and 60 bytes), and
repeated in the digests for those who missed it.  The endpoints are not blamed: see
`health.Health.forgive`.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from tamarackrill.exceptions import Refusal

# Distinct endpoints that a request may crash: with one, any endpoint that fails for
# a reason of its own would condemn all it was running.
CRASHES_MAX = 2
# A crashed endpoint takes minutes to load its weights; the caller may send the request
# again for as long as that, and a fixed release is not rolled out sooner.
CRASHES_KEPT_S = 600.0
# A crash makes suspects of all requests at an endpoint, some 170 at the largest size;
# six crashes at once, as when a rack goes, still fit.
FINGERPRINTS_KEPT = 1024
DIGEST_ENTRIES_MAX = 16
POISON_CODE = "poison_request"
POISON_STATUS = 422


class Crash(NamedTuple):
    """An endpoint that crashed while it ran a request; also a digest's entry.

    Parameters
    ----------
    fingerprint : str
        Of the request; see `compute_fingerprint`.
    endpoint : str
        Name of the endpoint.
    age_s : float, default=0.0
        How long ago it crashed.  Carried along so that a repeated entry grows old
        instead of starting anew at each router.
    """

    fingerprint: str
    endpoint: str
    age_s: float = 0.0


def compute_fingerprint(path: str, body: bytes) -> str:
    """Return the fingerprint of a request, the same at every router.

    It covers what reaches the endpoint and nothing that changes when the request is
    sent again (keys, deadlines, sequence numbers).
    """
    digest = hashlib.blake2b(path.encode(), digest_size=12)
    digest.update(b"\0" + body)
    return digest.hexdigest()


class Poison:
    """Crashes by fingerprint, as one router knows them."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._suspects: dict[str, dict[str, int]] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def observe_crash(self, crash: Crash, now_s: float) -> bool:
        """Count a crash, seen here or by a peer; return whether it was new."""
        crashed_s = now_s - crash.age_s
        if crashed_s <= now_s - CRASHES_KEPT_S:
            return False
        crashes = self._crashes.setdefault(crash.fingerprint, {})
        if crashes.get(crash.endpoint, -math.inf) > now_s - CRASHES_KEPT_S:
            return False
        crashes[crash.endpoint] = crashed_s
        self._crashes.move_to_end(crash.fingerprint)
        if len(self._crashes) > FINGERPRINTS_KEPT:
            self._crashes.popitem(last=False)
        return True

    def observe_success(self, fingerprint: str) -> None:
        """Clear a suspect that has run to its end."""
        if len(self._crashes.get(fingerprint, ())) < CRASHES_MAX:
            self._crashes.pop(fingerprint, None)

    def check(self, fingerprint: str, now_s: float) -> None:
        """Raise if a request must not reach another endpoint.

        Raises
        ------
        Refusal
            Code ``poison_request``.  Its run state is ``unknown``: an earlier send
            of the same request has reached an endpoint.
        """
        crashes = self._find(fingerprint, now_s)
        if len(crashes) >= CRASHES_MAX:
            raise Refusal(
                POISON_CODE,
                POISON_STATUS,
                f"this request has crashed {len(crashes)} endpoints",
                run="unknown",
                retry_after_s=max(crashes.values()) + CRASHES_KEPT_S - now_s,
            )

    def find_avoided(self, fingerprint: str, now_s: float) -> set[str]:
        """Return the endpoints where a suspect must not run next.

        Those are the ones that it may have crashed and those that run another
        suspect now.  The set is empty for a request that is no suspect.
        """
        crashes = self._find(fingerprint, now_s)
        if not crashes:
            return set()
        taken = {
            endpoint
            for endpoint, running in self._suspects.items()
            if any(other != fingerprint for other in running)
        }
        return taken | set(crashes)

    def start(self, fingerprint: str, endpoint: str, now_s: float) -> None:
        """Note where a suspect runs; a request that is none is passed over."""
        if self._find(fingerprint, now_s):
            running = self._suspects.setdefault(endpoint, {})
            running[fingerprint] = running.get(fingerprint, 0) + 1

    def finish(self, fingerprint: str, endpoint: str) -> None:
        """Note that a request has ended, whatever its outcome."""
        running = self._suspects.get(endpoint, {})
        if running.get(fingerprint, 0) > 1:
            running[fingerprint] -= 1
            return
        running.pop(fingerprint, None)
        if not running:
            self._suspects.pop(endpoint, None)

    def list_crashed(self, fingerprint: str, now_s: float) -> list[str]:
        """Return the endpoints that a request has crashed."""
        return sorted(self._find(fingerprint, now_s))

    def observe_peer(self, entries: Iterable[Crash], now_s: float) -> list[Crash]:
        """Take a peer's entries; return those that were new."""
        return [entry for entry in entries if self.observe_crash(entry, now_s)]

    def digest(self, now_s: float, limit: int = DIGEST_ENTRIES_MAX) -> list[Crash]:
        """Return the entries for the next digest, refused requests first."""
        entries = [
            (len(crashes) >= CRASHES_MAX, crashed_s, fingerprint, endpoint)
            for fingerprint, crashes in self._crashes.items()
            for endpoint, crashed_s in crashes.items()
            if crashed_s > now_s - CRASHES_KEPT_S
        ]
        return [
            Crash(fingerprint, endpoint, now_s - crashed_s)
            for _, crashed_s, fingerprint, endpoint in sorted(entries)[
                : -limit - 1 : -1
            ]
        ]

    def _find(self, fingerprint: str, now_s: float) -> dict[str, float]:
        oldest_s = now_s - CRASHES_KEPT_S
        crashes = self._crashes.get(fingerprint, {})
        return {name: at_s for name, at_s in crashes.items() if at_s > oldest_s}
