"""What routers tell each other of parts of prompts; see `prompt_faults`.

Parts, teams, processes and scopes are 64-bit hashes.
"""

from typing import NamedTuple

from tamarackrill.decisions.hashing import hash_name


class CrashReport(NamedTuple):
    """An attempt whose answer had not begun when its endpoint crashed.

    Parameters
    ----------
    scope : int
        See `hash_scope`.
    process : int
        Hash of the process that crashed.
    team : int
        Hash of the request's team.
    parts : tuple of int
        Hashes of the shared parts of its prompt.
    sent_s, crashed_s : float
        When the request was sent, and when its connection broke.
    """

    scope: int
    process: int
    team: int
    parts: tuple[int, ...]
    sent_s: float
    crashed_s: float


class SoundReport(NamedTuple):
    """Parts of a prompt whose answer went on past its beginning at `seen_s`."""

    scope: int
    parts: tuple[int, ...]
    seen_s: float


class TrialReport(NamedTuple):
    """A trial of some parts that a router began, and whether it is over."""

    scope: int
    parts: tuple[int, ...]
    began_s: float
    is_over: bool


class BlockReport(NamedTuple):
    """Parts that crash endpoints if a prompt has all of them.

    Parameters
    ----------
    scope : int
        See `hash_scope`.
    parts, teams : tuple of int
        The parts, and the teams whose requests crashed endpoints; two or more stand for
        all teams.
    blocked_s : float
        Time of the last crash.
    trials : int
        Trials since then that have failed too.
    """

    scope: int
    parts: tuple[int, ...]
    teams: tuple[int, ...]
    blocked_s: float
    trials: int


def hash_scope(service: str, model: str, software_version: str) -> int:
    """Return the hash of all that decides whether a part is bad for an endpoint."""
    return hash_name("\n".join((service, model, software_version)))
