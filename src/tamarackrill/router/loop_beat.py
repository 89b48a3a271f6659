"""Detects that this process stood still, by the beat of its event loop."""

BEAT_S = 0.1


class LoopBeat:
    """Time since the event loop last ran.

    Parameters
    ----------
    now_s : float
        Current time, on a clock that counts the suspension of the VM.
    """

    def __init__(self, now_s: float) -> None:
        self._last_beat_s = now_s

    def beat(self, now_s: float) -> None:
        """Record that the event loop runs."""
        self._last_beat_s = now_s

    def find_gap_s(self, now_s: float) -> float:
        """Return how much later than expected the next beat is."""
        return max(0.0, now_s - self._last_beat_s - BEAT_S)
