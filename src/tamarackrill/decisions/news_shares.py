"""Splits the time in which a change has to be in force between waiting and reading.

Load pattern: a change is acknowledged, a router learns of it, queries the store, and
reads the answer over its own link.  A manifest of a thousand routes has hundreds of
kilobytes, which take a second over a slow link, more while clients or a restart load
it.  If a router accepted old evidence for a fixed share of the time, that share would
be spent before the first byte is requested: after the watcher of a zone is killed, the
others would apply the change seconds too late, refusing requests on new routes and
accepting revoked keys.

So the durations of the last reads are recorded and reserved first; a router waits for
changes only in the remaining time.  Short manifests leave the waiting times as they
are.
"""

from collections import deque
from typing import NamedTuple

# Longest delay of a router's query after its evidence has expired, however many routers
# there are.
STAGGER_MAX_S = 0.2
# From the decision to query to the answer's first byte: the store takes 4 ms, a busy
# event loop some tens more.
STORE_CALL_S = 0.1
# The next change may be read while the link is loaded after a restart or a partition,
# and the answer may then contain two versions.
READ_MARGIN = 2.0
# Another router's evidence may be as old as its watch lasts, and one bulletin may be
# lost; a router that then queries the store still applies a short change in time.
EVIDENCE_AGE_MAX_SHARE = 0.8
# Below this the watcher's bulletins would come too late to renew the evidence, and each
# router would query the store all the time.
EVIDENCE_AGE_MIN_SHARE = 0.4
# A watch may go silent on a live connection: a store that drops its history may neither
# report a change that was made meanwhile nor end the watch.
WATCH_MAX_SHARE = 0.5
# Time for the result of a watch to reach the others: it is sent twice, a quarter of a
# second apart, as one bulletin may be lost.
DISSEMINATION_S = 0.5
# Reads that are remembered, enough for a burst of changes; the slowest counts.
READS_KEPT = 8


class PropagationTimes(NamedTuple):
    """How long a router waits for changes of one kind of objects.

    Parameters
    ----------
    evidence_max_age_s : float
        Age up to which another router's evidence is accepted.
    watch_s : float
        Longest wait of the router's own watch.
    """

    evidence_max_age_s: float
    watch_s: float


def split_propagation_time(propagation_max_s: float, read_s: float) -> PropagationTimes:
    """Return how long to wait for a change so that it can still be read in time.

    Parameters
    ----------
    propagation_max_s : float
        Time in which a change has to be in force.
    read_s : float
        Time from the first byte of a change to its being in force.
    """
    remaining_s = (
        propagation_max_s - STAGGER_MAX_S - STORE_CALL_S - READ_MARGIN * read_s
    )
    evidence_max_age_s = min(EVIDENCE_AGE_MAX_SHARE * propagation_max_s, remaining_s)
    evidence_max_age_s = max(
        EVIDENCE_AGE_MIN_SHARE * propagation_max_s, evidence_max_age_s
    )
    watch_s = min(
        WATCH_MAX_SHARE * propagation_max_s, evidence_max_age_s - DISSEMINATION_S
    )
    return PropagationTimes(evidence_max_age_s, max(DISSEMINATION_S, watch_s))


class ReadTimes:
    """Durations of the last reads of one kind of objects."""

    def __init__(self) -> None:
        self._recent_s: deque[float] = deque(maxlen=READS_KEPT)

    def observe(self, read_s: float) -> None:
        """Record the duration of a read that brought a change."""
        self._recent_s.append(read_s)

    @property
    def longest_s(self) -> float:
        """Longest of the last reads; 0 before the first."""
        return max(self._recent_s, default=0.0)
