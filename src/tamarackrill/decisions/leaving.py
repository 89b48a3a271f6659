"""Merges the sources that report which endpoints are leaving.

Load pattern: an endpoint is drained while the platform's VM list still shows its VM as
live, or the list shows the VM as leaving while the endpoint's object has not changed
yet, or the store is unavailable and the endpoint's answers alone tell that it is
leaving.  Without merging the sources, a router that reads only one of them keeps
sending requests, and the endpoint is removed with answers half written.

Any source is enough to stop new work.  Only the source that reported it can withdraw
it, because the others merely lag; a restart of the endpoint withdraws all reports.
"""

import json
from collections import OrderedDict
from typing import Literal, NamedTuple

from tamarackrill.decisions.lapses import TOLD_MAX, EndedNews
from tamarackrill.decisions.lost_manifests import ToldManifest

# Endpoints remembered, also after their removal: an entry that expires while the store
# is unavailable comes back, and its endpoint is still leaving then.  Five times as many
# as one fleet is expected to have.
ENDPOINTS_KEPT = 4096

Source = Literal["vm_list", "endpoint", "object"]


class LeavingReport(NamedTuple):
    """Report of one source on whether an endpoint is leaving.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    source : {"vm_list", "endpoint", "object"}
        The platform's VM list, the endpoint's own answers, or its object.
    is_leaving : bool
        Whether it must get no new work.
    incarnation : int, default=0
        Start of the endpoint's process; 0 if the source does not know it.
    """

    endpoint: str
    source: Source
    is_leaving: bool
    incarnation: int = 0


class FleetNews(NamedTuple):
    """What a router knows that one which has just started can't learn elsewhere.

    Parameters
    ----------
    leaving : tuple of (str, int)
        Names of leaving endpoints, and when their processes started, 0 if unknown.
    is_complete : bool, default=False
        Whether the router has run for long enough to know, or has been told.
    brittle : tuple of (str, int), default=()
        Brittle services, and the requests that an endpoint may turn away per second.
    routers : int, default=1
        Routers that the fleet has had lately.
    ended : EndedNews
        Entries whose end the router has seen confirmed.
    manifest : ToldManifest
        The manifest in force at the router.
    """

    leaving: tuple[tuple[str, int], ...]
    is_complete: bool = False
    brittle: tuple[tuple[str, int], ...] = ()
    routers: int = 1
    ended: EndedNews = EndedNews()
    manifest: ToldManifest = ToldManifest()

    @classmethod
    def parse(cls, text: bytes) -> "FleetNews":
        """Parse the JSON form.

        Raises
        ------
        ValueError
            If it isn't valid, as from a router of another release.
        """
        try:
            leaving, is_complete, brittle, routers, *more = json.loads(text)
            # A router of an earlier release tells of neither.
            names, era, suspect_s, *_ = more[0] if more else EndedNews()
            manifest = more[1] if len(more) > 1 else ToldManifest()
            version, manifest_era, is_lost, *_ = manifest
            return cls(
                tuple((str(name), int(started)) for name, started in leaving),
                bool(is_complete),
                tuple((str(name), int(limit)) for name, limit in brittle),
                int(routers),
                EndedNews(
                    tuple((str(name), int(ended_era)) for name, ended_era in names),
                    int(era),
                    float(suspect_s),
                ),
                ToldManifest(int(version), int(manifest_era), bool(is_lost)),
            )
        except TypeError as error:
            raise ValueError("not the news of a router") from error


class LeavingEndpoints:
    """The endpoints that are leaving, by any source."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, _KnownReports] = OrderedDict()

    def observe(self, report: LeavingReport) -> bool:
        """Apply a report; return whether the endpoint's leaving state has changed."""
        before = self.is_leaving(report.endpoint)
        known = self._known.get(report.endpoint, _NO_REPORTS)
        # A late report on an earlier process would drain an endpoint that has just
        # restarted, which would stay idle while the others are full.
        if report.incarnation and report.incarnation < known.incarnation:
            return False
        if report.incarnation > known.incarnation:
            known = _KnownReports(report.incarnation)
        source = {report.source}
        sources = (
            known.sources | source if report.is_leaving else known.sources - source
        )
        self._known[report.endpoint] = known._replace(sources=sources)
        self._known.move_to_end(report.endpoint)
        if len(self._known) > ENDPOINTS_KEPT:
            self._known.popitem(last=False)
        return self.is_leaving(report.endpoint) != before

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether `endpoint` must get no new work."""
        return bool(self._known.get(endpoint, _NO_REPORTS).sources)

    def list_recent(self) -> tuple[tuple[str, int], ...]:
        """Return the endpoints lately reported as leaving, with their incarnations."""
        found = [(n, k.incarnation) for n, k in self._known.items() if k.sources]
        return tuple(found[-TOLD_MAX:])

    def remove(self, endpoint: str) -> None:
        """Forget an endpoint whose object has been deleted for good."""
        self._known.pop(endpoint, None)


class _KnownReports(NamedTuple):
    """Newest known start of an endpoint, and the sources that report it as leaving."""

    incarnation: int
    sources: frozenset[Source] = frozenset()


_NO_REPORTS = _KnownReports(0)
