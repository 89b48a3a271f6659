"""Outcomes of single attempts to serve a request on the platform's interface."""

from typing import NamedTuple

from tamarackrill.decisions.attempts import Outcome
from tamarackrill.decisions.capacity.load_reports import LoadReport
from tamarackrill.router.channels import ResponseHead
from tamarackrill.router.crash_checks import AttemptEnding


class CompleteAnswer(NamedTuple):
    """Complete response of an endpoint, which is not a stream."""

    head: ResponseHead
    body: bytes


class AttemptResult(NamedTuple):
    """Outcome of an attempt.

    `is_broken` tells that the connection broke or the response was invalid;
    `is_leaving` and `retry_after_s` are what a complete response said of its endpoint;
    `relay` is the router through which an attempt was sent; `framing` is how the
    response states where its body ends, empty without a response; `ending` is what
    crash checks need to know, once the attempt has ended; `load` is the valid load that
    the response stated, also that of a rejection; `is_overtaken` tells that another
    attempt answered the request.
    """

    outcome: Outcome
    detail: str = ""
    answer: CompleteAnswer | None = None
    first_s: float | None = None
    status: int = 0
    is_broken: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    relay: str = ""
    framing: str = ""
    ending: AttemptEnding | None = None
    load: LoadReport | None = None
    is_overtaken: bool = False
