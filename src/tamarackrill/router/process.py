"""Signal handling and exit code of a daemon process.

Callers connect before the modules of a router are loaded, so the handlers are installed
before anything else is imported.  A SIGTERM during the start makes the router leave as
soon as it can answer those callers, and SIGHUP never ends the process.
"""

import os
import signal
import sys
import time
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Most bytes read from the wakeup pipe at once; each signal writes one byte.
WAKEUP_READ_MAX_BYTES = 4096


class Signals:
    """Records the signals that this process receives; the handlers do nothing else.

    Parameters
    ----------
    clock : callable, optional
        Returns the current time.

    Attributes
    ----------
    stop_requested_s : float or None
        When the first stop signal was received.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.stop_requested_s: float | None = None
        self._clock = clock
        self._reload_count = 0
        # An event loop that is about to block sees signals only on a file descriptor.
        self._wakeup_read_fd, self._wakeup_write_fd = os.pipe()
        os.set_blocking(self._wakeup_read_fd, False)
        os.set_blocking(self._wakeup_write_fd, False)
        signal.set_wakeup_fd(self._wakeup_write_fd, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle_stop)
        signal.signal(signal.SIGHUP, self._handle_reload)

    def _handle_stop(self, number: int, frame: FrameType | None) -> None:
        if self.stop_requested_s is None:
            self.stop_requested_s = self._clock()

    def _handle_reload(self, number: int, frame: FrameType | None) -> None:
        self._reload_count += 1

    def fileno(self) -> int:
        """Return the file descriptor that becomes readable when a signal arrives."""
        return self._wakeup_read_fd

    def clear_wakeups(self) -> None:
        """Discard the bytes pending on the file descriptor."""
        try:
            os.read(self._wakeup_read_fd, WAKEUP_READ_MAX_BYTES)
        except BlockingIOError:
            return

    def pop_reload_count(self) -> int:
        """Return the number of SIGHUPs received since the last call."""
        count, self._reload_count = self._reload_count, 0
        return count

    def close(self) -> None:
        """Ignore signals from now on, since the process is about to exit."""
        # At exit the interpreter restores the default action of handled signals, which
        # would kill the exiting process, but leaves ignored signals ignored.
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        os.close(self._wakeup_read_fd)
        os.close(self._wakeup_write_fd)


def run_process(run: Callable[[Signals], None]) -> int:
    """Run a daemon and return the exit code of the process.

    Parameters
    ----------
    run : callable
        Imports the daemon's modules, and returns once the daemon has stopped.

    Returns
    -------
    int
        0 after a stop, otherwise the error's; the error is printed to standard error.
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
