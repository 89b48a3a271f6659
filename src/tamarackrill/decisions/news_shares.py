"""How the time in which a change has to be in force is shared out among its steps.

Load pattern: a change is acknowledged, a router hears of it, asks the store, and reads
the answer over its own link.  A manifest of a thousand routes has hundreds of
kilobytes, for which a thin link takes a second, more while clients or a restart load
it.  Were a router to believe old evidence for a fixed share of the time, that share
would be spent before the first byte is asked for: after the watcher of a zone is
killed, the others would have the change in force seconds too late, and refuse requests
on new routes and serve keys that were taken away.

So the reads of the last changes are measured, and what they take is set aside first.
A router waits for news only with what is left.  Where manifests are short nothing
changes.
"""

from collections import deque
from typing import NamedTuple

# Routers start to ask at most so late after their trust has ended, however many there
# are.
STAGGER_MAX_S = 0.2
# From the decision to ask to the answer's first byte; the store takes 4 ms, and a loop
# that is busy some tens more.
STORE_CALL_S = 0.1
# A link is loaded most after a restart or a cut, when the next change has to pass it;
# and an answer may then hold two versions, one after the other.
READ_MARGIN = 2.0
# Evidence of another router is as old as its watch waits, and its bulletin may be lost
# once; whoever then asks the store itself still has a short change in force in time.
EVIDENCE_AGE_MAX_SHARE = 0.8
# Below this the watcher's bulletins could not renew trust, and each router would ask
# for itself all the time.
EVIDENCE_AGE_MIN_SHARE = 0.4
# A watch can fall silent though its connection lives: a store that drops its history
# may neither report a change that was made meanwhile nor end the watch.
WATCH_MAX_SHARE = 0.5
# Between the end of a watch and its bulletin at the others: two of these, as one may be
# lost, come each quarter of a second.
DISSEMINATION_S = 0.5
# Reads that are kept: a storm of changes, of which the slowest counts.
READS_KEPT = 8


class PropagationTimes(NamedTuple):
    """How long a router waits for news of one kind of objects.

    Parameters
    ----------
    evidence_max_age_s : float
        Age at which another router's evidence is no longer believed.
    watch_s : float
        Longest wait of a watch of its own.
    """

    evidence_max_age_s: float
    watch_s: float


def split_propagation_time(propagation_max_s: float, read_s: float) -> PropagationTimes:
    """Return how long to wait for news, so that reading it still ends in time.

    Parameters
    ----------
    propagation_max_s : float
        Time in which a change has to be in force.
    read_s : float
        Time from the first byte of a change to its being in force.
    """
    left_s = propagation_max_s - STAGGER_MAX_S - STORE_CALL_S - READ_MARGIN * read_s
    evidence_max_age_s = min(EVIDENCE_AGE_MAX_SHARE * propagation_max_s, left_s)
    evidence_max_age_s = max(
        EVIDENCE_AGE_MIN_SHARE * propagation_max_s, evidence_max_age_s
    )
    watch_s = min(
        WATCH_MAX_SHARE * propagation_max_s, evidence_max_age_s - DISSEMINATION_S
    )
    return PropagationTimes(evidence_max_age_s, max(DISSEMINATION_S, watch_s))


class ReadTimes:
    """How long the last reads of one kind of objects took."""

    def __init__(self) -> None:
        self._lately_s: deque[float] = deque(maxlen=READS_KEPT)

    def observe(self, read_s: float) -> None:
        """Take a read that brought a change."""
        self._lately_s.append(read_s)

    @property
    def longest_s(self) -> float:
        """Longest of the last reads; 0 before the first."""
        return max(self._lately_s, default=0.0)
