"""State of a request on the platform's interface, and of each of its attempts."""

import asyncio
from collections.abc import Collection

from tamarackrill.decisions.attempt_races import AttemptRace
from tamarackrill.decisions.attempts import AttemptHistory
from tamarackrill.decisions.event_stream import EventStream
from tamarackrill.decisions.prompt_reports import TrialReport
from tamarackrill.router.attempt_results import CompleteAnswer
from tamarackrill.router.attempt_tasks import AttemptTasks
from tamarackrill.router.channels import Channel
from tamarackrill.router.edge_calls import EdgeCall
from tamarackrill.router.edge_reply import EdgeReply
from tamarackrill.router.lateness import LateTimer
from tamarackrill.router.prompt_guard import Exposure


class RequestProgress:
    """State of a request across its attempts.

    Attributes
    ----------
    software_version : str
        Version at which alone its stream may go on; empty before its first event.
    failed_answer : CompleteAnswer or None
        What is answered if no attempt brings more than a failure.
    giving_up : LateTimer or None
        Ends silent attempts in time for the client to come back after a failure.
    sent_to : set of str
        Endpoints to which any of the request may have been written.
    sent_s : float or None
        When it was first sent to an endpoint.
    ending : asyncio.Task or None
        Answers the request as the router stops; its attempts may not any more.
    """

    def __init__(self, call: EdgeCall, reply: EdgeReply) -> None:
        self.call = call
        self.reply = reply
        self.history = AttemptHistory()
        self.race = AttemptRace()
        self.attempts: dict[int, RequestAttempt] = {}
        self.tasks = AttemptTasks()
        self.avoid: set[str] = set()
        self.sent_to: set[str] = set()
        self.stream = EventStream(call.headers.last_event_id)
        self.software_version = ""
        self.first_event_s: float | None = None
        self.last_endpoint = ""
        self.failed_answer: CompleteAnswer | None = None
        self.giving_up: LateTimer | None = None
        self.sent_s: float | None = None
        self.ending: asyncio.Task[None] | None = None

    def find_avoided(self) -> set[str]:
        """Return the endpoints that have failed the request, or that work on it."""
        working = {a.endpoint_name for a in self.attempts.values()}
        return self.avoid.union(working - {""})

    def start_attempt(self, now_s: float) -> "RequestAttempt":
        """Add an attempt, which `RequestAttempt.end` ends."""
        attempt = RequestAttempt(self, self.race.start(now_s))
        self.attempts[attempt.number] = attempt
        return attempt

    def keep_failed(self, answer: CompleteAnswer) -> None:
        """Keep a failure that is answered unless an attempt brings more."""
        if self.failed_answer is not None:
            self.reply.drop_reserved(len(self.failed_answer.body))
        self.failed_answer = answer

    def give_up(self) -> list["RequestAttempt"]:
        """End all attempts that are under way, and return them."""
        given_up = [self.attempts[number] for number in self.race.give_up()]
        for attempt in given_up:
            attempt.close()
        return given_up

    def plan_giving_up(self, timer: LateTimer | None) -> None:
        """Replace the timer that ends silent attempts."""
        if self.giving_up is not None:
            self.giving_up.cancel()
        self.giving_up = timer


class RequestAttempt:
    """One attempt of a request, at one endpoint.

    Parameters
    ----------
    progress : RequestProgress
        The request.
    number : int
        Identifies the attempt in the race.

    Attributes
    ----------
    stream : EventStream
        The rest of the stream as its endpoint supplies it.
    exposure : Exposure or None
        What its endpoint is exposed to, until the answer is sound.
    closed : collection of str
        Endpoints that must not get the prompt.
    trial : TrialReport or None
        The trial that the attempt is of a suspect part of its prompt.
    task : asyncio.Task or None
        The task of an attempt that runs beside the first one.
    is_writing : bool
        Whether events may have been written to the client that are not known to be.
    leading : LateTimer or None
        Lets the attempt answer the request soon, as its endpoint has begun an event.
    has_reserved : bool
        Whether a retry of the budget is reserved for it.
    """

    def __init__(self, progress: RequestProgress, number: int) -> None:
        self.progress = progress
        self.number = number
        self.stream = progress.stream.fork()
        self.endpoint_name = ""
        self.channel: Channel | None = None
        self.exposure: Exposure | None = None
        self.closed: Collection[str] = frozenset()
        self.trial: TrialReport | None = None
        self.task: asyncio.Task[object] | None = None
        self.is_sent = False
        self.is_silent = False
        self.is_writing = False
        self.has_reserved = False
        self.leading: LateTimer | None = None

    @property
    def is_overtaken(self) -> bool:
        """Whether another attempt answers the request."""
        return not self.progress.race.is_running(self.number)

    def find_history(self) -> AttemptHistory:
        """Return the history of the request, with the other attempts under way."""
        return self.progress.race.add_others(self.progress.history, self.number)

    def note_sent(self) -> None:
        """Record that the request has been sent."""
        self.is_sent = True
        self.progress.race.note_sent(self.number)

    def note_silent(self, is_silent: bool) -> None:
        """Record that the endpoint is silent, or goes on."""
        if self.is_silent != is_silent:
            self.is_silent = is_silent
            self.progress.race.note_silent(self.number, is_silent)

    def lead(self) -> list["RequestAttempt"]:
        """Let the attempt answer the request, and end the others.

        Returns
        -------
        list of RequestAttempt
            The attempts that it has overtaken.
        """
        progress = self.progress
        if not progress.race.has_others(self.number):
            return []
        overtaken = [progress.attempts[n] for n in progress.race.lead(self.number)]
        for other in overtaken:
            other.close()
        return overtaken

    def close(self) -> None:
        """End the exchange with the endpoint."""
        if self.channel is not None:
            # Its reader ends, and reports the attempt.
            self.channel.close()
        elif self.task is not None:
            self.task.cancel()

    def end(self) -> None:
        """Record that the attempt has ended."""
        if self.leading is not None:
            self.leading.cancel()
        self.stream.end()
        self.progress.race.end(self.number)
        self.progress.attempts.pop(self.number, None)
