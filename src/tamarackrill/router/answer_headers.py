"""Passes on what the headers of a response say about its endpoint."""

import math
from collections.abc import Callable

from tamarackrill.contracts import Endpoint
from tamarackrill.decisions.capacity.load_reports import LoadReport, check_load
from tamarackrill.events import LOAD_REPORT_IGNORED, log_event
from tamarackrill.platform.headers import ResponseHeaders
from tamarackrill.router.channels import ResponseHead
from tamarackrill.router.edge_placing import EdgePlacement, EdgePlacer
from tamarackrill.router.metrics import Metrics

SERVICE_UNAVAILABLE = 503
MISDIRECTED_REQUEST = 421
# An endpoint that sends false loads sends one with each response.
FINDING_LOG_INTERVAL_S = 60.0


class AnswerHeaderObserver:
    """Tells the placer what responses say about their endpoints.

    Parameters
    ----------
    placer : EdgePlacer
        Is told.
    metrics : Metrics
        Counts invalid loads.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self, placer: EdgePlacer, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._placer = placer
        self._metrics = metrics
        self._clock = clock
        # When an invalid load of an endpoint was last logged.
        self._logged_s: dict[str, float] = {}

    def observe_endpoint(
        self,
        endpoint: Endpoint,
        head: ResponseHead,
        answer_headers: ResponseHeaders,
        relay: str,
    ) -> None:
        """Record whether an endpoint is leaving, brittle or in backoff.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint to which the request was sent.
        head : ResponseHead
            Head of the response.
        answer_headers : ResponseHeaders
            The parsed headers.
        relay : str
            Router through which the request was sent; empty for none.
        """
        # A misdirected request was answered by another endpoint at the same address.
        if head.status == MISDIRECTED_REQUEST:
            return
        if answer_headers.is_leaving:
            self._placer.observe_leaving(endpoint)
        if answer_headers.rejections_max is not None:
            # A router that forwards an attempt counts its rejection itself.
            is_rejected = answer_headers.has_not_run and not relay
            self._placer.observe_brittle(
                endpoint, answer_headers.rejections_max, is_rejected, self._clock()
            )
        retry_after_s = answer_headers.retry_after_s
        if head.status == SERVICE_UNAVAILABLE and retry_after_s is not None:
            self._placer.observe_retry_after(endpoint, retry_after_s, self._clock())

    def observe_load(
        self, placed: EdgePlacement, head: ResponseHead, answer_headers: ResponseHeaders
    ) -> LoadReport | None:
        """Record the load that an endpoint states; return it if it is valid."""
        # The load of a misdirected request is that of another endpoint.
        if not answer_headers.has_load or head.status == MISDIRECTED_REQUEST:
            return None
        endpoint = placed.endpoint
        checked = check_load(answer_headers.load, endpoint.slots)
        if isinstance(checked, LoadReport):
            self._placer.observe_load(placed, checked, self._clock())
            return checked
        self._metrics.count("load_reports", checked)
        if self._must_log(endpoint.name):
            log_event(
                LOAD_REPORT_IGNORED,
                endpoint=endpoint.name,
                finding=checked,
                figures=tuple(answer_headers.load or ()),
            )
        return None

    def _must_log(self, endpoint: str) -> bool:
        now_s = self._clock()
        if now_s < self._logged_s.get(endpoint, -math.inf) + FINDING_LOG_INTERVAL_S:
            return False
        # Endpoints that are gone would stay otherwise.
        oldest_s = now_s - FINDING_LOG_INTERVAL_S
        self._logged_s = {n: t for n, t in self._logged_s.items() if t > oldest_s}
        self._logged_s[endpoint] = now_s
        return True
