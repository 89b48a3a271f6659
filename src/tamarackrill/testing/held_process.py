"""Starts a daemon and pauses it at a given import, to test signals during startup."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from tamarackrill.testing.processes import WAIT_TIMEOUT_S

STEP_VARIABLE = "HELD_STEP"
DESCRIPTORS_VARIABLE = "HELD_DESCRIPTORS"
# Launcher script of the paused process.  Python calls each finder on sys.meta_path
# before it loads a module, so a finder that blocks pauses the process at that import.
# Signals are still handled while it blocks.
LAUNCHER = f"""
import os, runpy, sys

step = os.environ.pop({STEP_VARIABLE!r})
told, released = map(int, os.environ.pop({DESCRIPTORS_VARIABLE!r}).split(","))


class Finder:
    is_held = False

    def find_spec(self, name, path=None, target=None):
        if name == step and not self.is_held:
            self.is_held = True
            os.write(told, b"h")
            os.read(released, 1)
        return None


sys.meta_path.insert(0, Finder())
module = sys.argv.pop(1)
runpy.run_module(module, run_name="__main__", alter_sys=True)
"""


class PausedProcess:
    """A daemon process that pauses before it imports a given module.

    Parameters
    ----------
    module : str
        Module of the daemon.
    arguments : sequence of str
        Command-line arguments.
    environment : mapping of str to str
        Variables added to the environment of this process.
    step : str
        Module before whose import the process pauses.
    log_path : Path
        File for standard output and standard error.
    """

    def __init__(
        self,
        module: str,
        arguments: Sequence[str],
        environment: Mapping[str, str],
        step: str,
        log_path: Path,
    ) -> None:
        self.log_path = log_path
        self._held, told = os.pipe()
        released, self._release = os.pipe()
        variables = {
            STEP_VARIABLE: step,
            DESCRIPTORS_VARIABLE: f"{told},{released}",
        }
        with log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", LAUNCHER, module, *arguments],
                env={**os.environ, **environment, **variables},
                stdout=log,
                stderr=subprocess.STDOUT,
                pass_fds=(told, released),
            )
        os.close(told)
        os.close(released)

    async def wait_paused(self) -> None:
        """Wait until the process has paused.

        Raises
        ------
        RuntimeError
            If the process exits first; the message contains its output.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            if not await asyncio.to_thread(os.read, self._held, 1):
                raise RuntimeError(
                    f"process exited before it paused:\n{self.log_path.read_text()}"
                )

    def release(self) -> None:
        """Resume the process; does nothing if it has exited meanwhile."""
        try:
            os.write(self._release, b"r")
        except BrokenPipeError:
            return

    def signal(self, *numbers: signal.Signals) -> None:
        """Send signals in the given order."""
        for number in numbers:
            self._process.send_signal(number)

    async def wait_logged(self, text: str) -> None:
        """Wait until the output of the process contains a text.

        Raises
        ------
        RuntimeError
            If the process exits first; the message contains its output.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while text not in self.log_path.read_text():
                if self._process.poll() is not None:
                    raise RuntimeError(
                        f"process exited first:\n{self.log_path.read_text()}"
                    )
                await asyncio.sleep(0.01)

    async def wait_ended(self) -> int:
        """Wait for the process to exit, and return its exit code."""
        return await asyncio.to_thread(self._process.wait, WAIT_TIMEOUT_S)

    def close(self) -> None:
        """Kill the process if it still runs, and close its pipes."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        os.close(self._held)
        os.close(self._release)
