"""One daemon process: its signals from the first step to the last, and its exit code.

Callers connect before the modules of a router are loaded, so the handlers stand before
anything else is imported.  SIGTERM then makes the router leave as soon as it can answer
those callers, and SIGHUP never ends the process.
"""

import os
import signal
import sys
import time
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Longest run of signals whose wake-ups are read in one step.
WAKE_UPS_MAX_BYTES = 4096


class Signals:
    """Signals that this process has received; the handlers only take note of them.

    Parameters
    ----------
    clock : callable, optional
        Returns the present time.

    Attributes
    ----------
    stop_requested_s : float or None
        When the process was first told to stop.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.stop_requested_s: float | None = None
        self._clock = clock
        self._reloads = 0
        # An event loop that is about to wait sees a signal only through a descriptor.
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        signal.set_wakeup_fd(self._wake_writer, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._note_stop)
        signal.signal(signal.SIGHUP, self._note_reload)

    def _note_stop(self, number: int, frame: FrameType | None) -> None:
        if self.stop_requested_s is None:
            self.stop_requested_s = self._clock()

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self._reloads += 1

    def fileno(self) -> int:
        """Return the descriptor that can be read once a signal has come."""
        return self._wake_reader

    def clear_wakeups(self) -> None:
        """Read what the descriptor holds."""
        try:
            os.read(self._wake_reader, WAKE_UPS_MAX_BYTES)
        except BlockingIOError:
            return

    def pop_reload_count(self) -> int:
        """Return how often SIGHUP has come since the last time."""
        taken, self._reloads = self._reloads, 0
        return taken

    def close(self) -> None:
        """Ignore signals from now on; the process is about to exit by itself."""
        # The interpreter puts back the default of handled signals, which would end
        # the process while it exits, but leaves ignored ones alone.
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        os.close(self._wake_reader)
        os.close(self._wake_writer)


def run_process(run: Callable[[Signals], None]) -> int:
    """Run a daemon and return the exit code of its process.

    Parameters
    ----------
    run : callable
        Imports what the daemon needs, and returns once it has stopped.

    Returns
    -------
    int
        0 after a stop, else that of the error, which is shown on standard error.
    """
    signals = Signals()
    try:
        from tamarackrill.exceptions import TamarackrillError

        try:
            run(signals)
        except TamarackrillError as error:
            print(error.show(), file=sys.stderr)
            return error.exit_code
    finally:
        signals.close()
    return 0
