"""Which of the routers that were taken for dead have ended.

Load pattern: most routers of a fleet crash within seconds, and endpoints of a second
software version join while the others serve on.  A router that is only cut off may take
up streams and conclude that there is one version, so that streams begin at a new one
only where half of all routers know it.  If the dead counted as well, the last endpoints
of the old version would get all streams until the dead are forgotten.

A router behind a cut doesn't answer.  Where connections are refused, no process listens
any more, so that none takes streams up there.  A router may start again at any time,
and is checked repeatedly.
"""

from collections.abc import Iterable

# Between two checks of an address.
CHECK_INTERVAL_S = 1.0
# Several checks, as the event loop may be late.
REFUSAL_VALID_S = 3.0
# Checks in one round of housekeeping: the dead of a large fleet take a second.
CHECKS_MAX = 100


class EndedRouters:
    """What checks of the addresses of lost routers have shown."""

    def __init__(self) -> None:
        # When each address was checked last, and when it refused a connection.
        self._checked_s: dict[str, float] = {}
        self._refused_s: dict[str, float] = {}

    def start_checks(self, lost: Iterable[str], now_s: float) -> list[str]:
        """Return the addresses to check now, and forget those of other routers.

        Parameters
        ----------
        lost : iterable of str
            Addresses of all routers that were taken for dead.
        now_s : float
            Current time.
        """
        addresses = set(lost)
        for known in (self._checked_s, self._refused_s):
            for address in known.keys() - addresses:
                del known[address]
        due = [
            address
            for address in sorted(addresses, key=self._find_checked_s)
            if now_s - self._find_checked_s(address) >= CHECK_INTERVAL_S
        ][:CHECKS_MAX]
        self._checked_s |= dict.fromkeys(due, now_s)
        return due

    def _find_checked_s(self, address: str) -> float:
        return self._checked_s.get(address, float("-inf"))

    def observe(self, address: str, is_refused: bool, sent_s: float) -> None:
        """Process the result of a check.

        Parameters
        ----------
        address : str
            The address.
        is_refused : bool
            Whether it refused the connection; not if there was no answer.
        sent_s : float
            When the check began.
        """
        if not is_refused:
            self._refused_s.pop(address, None)
        elif address in self._checked_s:
            self._refused_s[address] = sent_s

    def count_running(self, lost: Iterable[str], now_s: float) -> int:
        """Return how many lost routers may run.

        Parameters
        ----------
        lost : iterable of str
            Address of each router that was taken for dead.
        now_s : float
            Current time.
        """
        oldest_s = now_s - REFUSAL_VALID_S
        return sum(
            self._refused_s.get(address, float("-inf")) < oldest_s for address in lost
        )
