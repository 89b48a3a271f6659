"""Rate limit for relaying manifests to other routers.

Load pattern: a manifest changes, and forty routers of a zone request it from the same
router within a tenth of a second.  A short manifest is no problem, but one of a
thousand routes would saturate that router's link for seconds, and the responses to its
own callers would wait.

So a router relays only as much as its link carries beside the responses to callers.  A
router that is refused requests the manifest from the store immediately.
"""

# Share of the link for relaying; the rest is left for responses to callers.
LINK_SHARE = 0.5
# Burst size: the bytes that the link carries in this time.
BURST_S = 0.25


class RelayBudget:
    """Token bucket for the bytes that one router may relay.

    Parameters
    ----------
    link_bytes_per_s : float
        Bandwidth of the router's link.
    """

    def __init__(self, link_bytes_per_s: float) -> None:
        self._rate_bytes_per_s = LINK_SHARE * link_bytes_per_s
        self._burst_bytes = BURST_S * link_bytes_per_s
        self._available_bytes = self._burst_bytes
        self._refilled_s: float | None = None

    def take(self, size_bytes: int, now_s: float) -> bool:
        """Take `size_bytes` from the bucket; return False if too few are available."""
        if self._refilled_s is not None:
            gained_bytes = (now_s - self._refilled_s) * self._rate_bytes_per_s
            self._available_bytes = min(
                self._burst_bytes, self._available_bytes + gained_bytes
            )
        self._refilled_s = now_s
        if size_bytes > self._available_bytes:
            return False
        self._available_bytes -= size_bytes
        return True
