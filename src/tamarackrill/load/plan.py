"""Load plan: all calls of a run, generated in advance from a seed.

The plan depends on its arguments alone, so that two runs, one with a fault and one
without, differ only by the fault.
"""

import random
from typing import Literal, NamedTuple

CallKind = Literal["chat", "lookup", "confirmation"]

TURNS_MAX = 6
# Pauses are log-normally distributed: most chats continue soon, a few much later.
PAUSE_SIGMA = 1.0
RESEND_SHARE = 0.1


class LoadShape(NamedTuple):
    """Number, duration and mix of calls.

    Parameters
    ----------
    calls : int
        Total number of calls, not counting resends.
    duration_s : float
        Time over which chats and single calls start.
    chat_share, lookup_share : float
        Shares of calls that are chat turns and lookups; the rest are confirmations.
    pause_median_s : float
        Median pause between a response and the next turn of a chat.
    stream_share : float
        Share of chats with streamed responses.
    """

    calls: int
    duration_s: float
    chat_share: float = 0.5
    lookup_share: float = 0.4
    pause_median_s: float = 0.5
    stream_share: float = 0.5


class PlannedCall(NamedTuple):
    """One call of the plan.

    Parameters
    ----------
    kind : {"chat", "lookup", "confirmation"}
        Kind of the call.
    marker : str
        Unique word sent in the call; a response that contains it belongs to this call.
    pause_s : float
        Pause after the previous response in the session.
    stream : bool
        Whether the response is streamed.
    resend : bool
        Whether the client sends it again with the same key right after the first
        response, as a client that lost the response does.
    """

    kind: CallKind
    marker: str
    pause_s: float
    stream: bool
    resend: bool


class Session(NamedTuple):
    """Sequence of calls of one team: a chat, or a single call.

    Parameters
    ----------
    team : str
        Team of the client.
    name : str
        Name of the chat; empty for a single call.
    start_s : float
        Time of the first call, from the start of the run.
    calls : tuple of PlannedCall
        Calls in the order in which they are sent.
    """

    team: str
    name: str
    start_s: float
    calls: tuple[PlannedCall, ...]


def make_plan(seed: int, teams: tuple[str, ...], shape: LoadShape) -> list[Session]:
    """Return the sessions of a run, ordered by start time.

    Parameters
    ----------
    seed : int
        Seed of the random generator.
    teams : tuple of str
        Teams to simulate; half of all sessions go to the first quarter of them, as in
        deployments with a few large teams, the other half to all teams alike.
    shape : LoadShape
        Number, duration and mix of calls.

    Returns
    -------
    list of Session
        Contains exactly ``shape.calls`` calls.
    """
    generator = random.Random(seed)
    sessions: list[Session] = []
    remaining = shape.calls
    while remaining:
        session = _make_session(generator, len(sessions), teams, shape, remaining)
        sessions.append(session)
        remaining -= len(session.calls)
    return sorted(sessions, key=lambda session: session.start_s)


def _make_session(
    generator: random.Random,
    number: int,
    teams: tuple[str, ...],
    shape: LoadShape,
    remaining: int,
) -> Session:
    start_s = generator.uniform(0.0, shape.duration_s)
    team = _pick_team(generator, teams)
    mean_turns = (1 + TURNS_MAX) / 2
    # Shares refer to calls; a chat has several, so chats are drawn less often.
    weights = (
        shape.chat_share / mean_turns,
        shape.lookup_share,
        max(0.0, 1.0 - shape.chat_share - shape.lookup_share),
    )
    kinds: tuple[CallKind, ...] = ("chat", "lookup", "confirmation")
    kind = generator.choices(kinds, weights)[0]
    count = min(remaining, generator.randint(1, TURNS_MAX)) if kind == "chat" else 1
    stream = kind == "chat" and generator.random() < shape.stream_share
    calls = tuple(
        PlannedCall(
            kind=kind,
            marker=f"m{number}x{turn}",
            pause_s=_draw_pause(generator, shape) if turn else 0.0,
            stream=stream,
            resend=kind != "lookup" and generator.random() < RESEND_SHARE,
        )
        for turn in range(count)
    )
    return Session(team, f"chat-{number}" if kind == "chat" else "", start_s, calls)


def _pick_team(generator: random.Random, teams: tuple[str, ...]) -> str:
    large = teams[: max(1, len(teams) // 4)]
    return generator.choice(large if generator.random() < 0.5 else teams)


def _draw_pause(generator: random.Random, shape: LoadShape) -> float:
    return shape.pause_median_s * generator.lognormvariate(0.0, PAUSE_SIGMA)
