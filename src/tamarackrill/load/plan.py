"""What the load tool will send, worked out beforehand from a seed.

Pure: the same arguments give the same plan, so that two runs, one with a fault and
one without, differ by the fault alone.
"""

import random
from typing import Literal, NamedTuple

CallKind = Literal["chat", "lookup", "confirmation"]

TURNS_MAX = 6
# Pauses follow a log-normal: most chats return soon, a few after a long time.
PAUSE_SIGMA = 1.0
RESEND_SHARE = 0.1


class LoadShape(NamedTuple):
    """How much of what is sent.

    Parameters
    ----------
    calls : int
        Calls in all, resends apart.
    duration_s : float
        Time over which chats and single calls begin.
    chat_share, lookup_share : float
        Shares of chat turns and lookups; the rest are confirmations.
    pause_median_s : float
        Median pause between an answer and the next turn of a chat.
    stream_share : float
        Share of chats whose answers are streamed.
    """

    calls: int
    duration_s: float
    chat_share: float = 0.5
    lookup_share: float = 0.4
    pause_median_s: float = 0.5
    stream_share: float = 0.5


class PlannedCall(NamedTuple):
    """One call.

    Parameters
    ----------
    kind : {"chat", "lookup", "confirmation"}
        What it is.
    marker : str
        Unique word sent in the call; an answer that holds the marker of another
        call belongs to that one.
    pause_s : float
        Wait since the answer before it in its session.
    stream : bool
        Whether the answer is streamed.
    resend : bool
        Whether the caller sends it a second time, with the same key, at once after
        the first answer, as a client does that lost it.
    """

    kind: CallKind
    marker: str
    pause_s: float
    stream: bool
    resend: bool


class Session(NamedTuple):
    """Calls of one team that follow each other: a chat, or a single call.

    Parameters
    ----------
    team : str
        The caller's team.
    name : str
        Name of the chat; empty for a single call.
    start_s : float
        When the first call is sent, from the start of the run.
    calls : tuple of PlannedCall
        In order.
    """

    team: str
    name: str
    start_s: float
    calls: tuple[PlannedCall, ...]


def make_plan(seed: int, teams: tuple[str, ...], shape: LoadShape) -> list[Session]:
    """Return the sessions of a run, by the time they start.

    Parameters
    ----------
    seed : int
        Decides everything else.
    teams : tuple of str
        Callers; half of all sessions fall to the first quarter of them, as in
        deployments with a few large teams.
    shape : LoadShape
        How much of what is sent.

    Returns
    -------
    list of Session
        Holds exactly ``shape.calls`` calls.
    """
    generator = random.Random(seed)
    sessions: list[Session] = []
    left = shape.calls
    while left:
        session = _make_session(generator, len(sessions), teams, shape, left)
        sessions.append(session)
        left -= len(session.calls)
    return sorted(sessions, key=lambda session: session.start_s)


def _make_session(
    generator: random.Random,
    number: int,
    teams: tuple[str, ...],
    shape: LoadShape,
    left: int,
) -> Session:
    start_s = generator.uniform(0.0, shape.duration_s)
    team = _pick_team(generator, teams)
    mean_turns = (1 + TURNS_MAX) / 2
    # Shares count calls; a chat holds several, so chats are drawn less often.
    weights = (
        shape.chat_share / mean_turns,
        shape.lookup_share,
        max(0.0, 1.0 - shape.chat_share - shape.lookup_share),
    )
    kinds: tuple[CallKind, ...] = ("chat", "lookup", "confirmation")
    kind = generator.choices(kinds, weights)[0]
    count = min(left, generator.randint(1, TURNS_MAX)) if kind == "chat" else 1
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
