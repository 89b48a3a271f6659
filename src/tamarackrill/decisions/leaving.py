"""Merges the sources that report which endpoints are leaving.

Load pattern: an endpoint is drained while the platform's VM list still shows its VM as
live, or the list shows the VM as leaving while the endpoint's object has not changed
yet.  Without merging the sources, a router that reads only one of them keeps sending
requests, and the endpoint is removed with answers half written.

Any source is enough to stop new work.  Only the source that reported it can withdraw
it, because the others merely lag; a restart of the endpoint withdraws all reports.
"""

from typing import Literal, NamedTuple

Source = Literal["vm_list", "endpoint", "object"]


class LeavingReport(NamedTuple):
    """Report of one source on whether an endpoint is leaving.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    source : {"vm_list", "endpoint", "object"}
        The platform's VM list, the endpoint's own status, or its object.
    is_leaving : bool
        Whether it must get no new work.
    incarnation : int, default=0
        Start of the endpoint's process; 0 if the source does not know it.
    """

    endpoint: str
    source: Source
    is_leaving: bool
    incarnation: int = 0


class LeavingEndpoints:
    """The endpoints that are leaving, by any source."""

    def __init__(self) -> None:
        self._sources: dict[str, set[Source]] = {}
        self._incarnations: dict[str, int] = {}

    def observe(self, report: LeavingReport) -> bool:
        """Apply a report; return whether the endpoint's leaving state has changed."""
        before = self.is_leaving(report.endpoint)
        known = self._incarnations.get(report.endpoint, 0)
        # A late report on an earlier process would drain an endpoint that has just
        # restarted, which would stay idle while the others are full.
        if report.incarnation and report.incarnation < known:
            return False
        if report.incarnation > known:
            self._incarnations[report.endpoint] = report.incarnation
            self._sources.pop(report.endpoint, None)
        if report.is_leaving:
            self._sources.setdefault(report.endpoint, set()).add(report.source)
        else:
            self._sources.get(report.endpoint, set()).discard(report.source)
        return self.is_leaving(report.endpoint) != before

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether `endpoint` must get no new work."""
        return bool(self._sources.get(endpoint))

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint whose object has been deleted."""
        self._sources.pop(endpoint, None)
        self._incarnations.pop(endpoint, None)
