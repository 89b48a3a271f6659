"""Which endpoints are leaving, wherever the news came from.

Load pattern: an endpoint is drained while the platform's VM list still calls its VM
live, or the list calls the VM leaving while the endpoint's object has not changed yet.
Without one place for the news, the router that reads one source goes on sending, and
the endpoint is taken away with the caller's answer half written.

Any source is enough to stop new work.  Only the source that said so can take it back,
because the others are merely late; a new start of the endpoint takes back all.
"""

from typing import Literal, NamedTuple

Source = Literal["vm_list", "endpoint", "object"]


class LeavingReport(NamedTuple):
    """What a source says of an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    source : {"vm_list", "endpoint", "object"}
        The platform's list, the endpoint's own status, or its object.
    is_leaving : bool
        Whether it is to get no new work.
    incarnation : int, default=0
        Start of the endpoint that this is about, 0 if the source does not know it.
    """

    endpoint: str
    source: Source
    is_leaving: bool
    incarnation: int = 0


class LeavingEndpoints:
    """The endpoints that are leaving, as one router knows them."""

    def __init__(self) -> None:
        self._sources: dict[str, set[Source]] = {}
        self._incarnations: dict[str, int] = {}

    def observe(self, news: LeavingReport) -> bool:
        """Take news; return whether it changed if the endpoint gets new work."""
        before = self.is_leaving(news.endpoint)
        known = self._incarnations.get(news.endpoint, 0)
        # Late news of an earlier start would drain the endpoint that has just come
        # back: it would stay idle while its neighbours are full.
        if news.incarnation and news.incarnation < known:
            return False
        if news.incarnation > known:
            self._incarnations[news.endpoint] = news.incarnation
            self._sources.pop(news.endpoint, None)
        if news.is_leaving:
            self._sources.setdefault(news.endpoint, set()).add(news.source)
        else:
            self._sources.get(news.endpoint, set()).discard(news.source)
        return self.is_leaving(news.endpoint) != before

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether `endpoint` is to get no new work."""
        return bool(self._sources.get(endpoint))

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint whose object has been deleted."""
        self._sources.pop(endpoint, None)
        self._incarnations.pop(endpoint, None)
