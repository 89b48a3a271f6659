"""Whether a router sends a manifest on to another one.

Load pattern: a manifest changes, and forty routers of a zone ask the same one for it
within a tenth of a second.  Of a short manifest that is little; one of a thousand
routes would fill that router's link for seconds, while the answers to its own callers
wait behind it.

So a router hands on as much as its link carries beside its callers' answers.  Whoever
is refused asks the store, at once.
"""

# Left to answers to callers.
LINK_SHARE = 0.5
# What a link takes in this time may be asked for at once.
BURST_S = 0.25


class RelayBudget:
    """How many bytes one router may still hand on.

    Parameters
    ----------
    link_bytes_per_s : float
        What its link carries.
    """

    def __init__(self, link_bytes_per_s: float) -> None:
        self._rate_bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._burst_bytes = BURST_S * link_bytes_per_s
        self._left_bytes = self._burst_bytes
        self._refilled_s: float | None = None

    def take(self, size_bytes: int, now_s: float) -> bool:
        """Return whether to hand on so much now; if so, it is taken off."""
        if self._refilled_s is not None:
            gained_bytes = (now_s - self._refilled_s) * self._rate_bytes_per_s
            self._left_bytes = min(self._burst_bytes, self._left_bytes + gained_bytes)
        self._refilled_s = now_s
        if size_bytes > self._left_bytes:
            return False
        self._left_bytes -= size_bytes
        return True
