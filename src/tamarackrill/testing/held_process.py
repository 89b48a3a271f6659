"""A daemon's process that is held at one step of its start, for tests of that step."""

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from tamarackrill.testing.processes import PATIENCE_S

STEP_VARIABLE = "HELD_STEP"
DESCRIPTORS_VARIABLE = "HELD_DESCRIPTORS"
# Python asks each finder before it loads a module, so that one that waits holds the
# process right there; signals are handled while it waits.
HOLDING = f"""
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


class HeldProcess:
    """One process of a daemon.

    Parameters
    ----------
    module : str
        The daemon's.
    arguments : sequence of str
        Its command line.
    environment : mapping of str to str
        Added to that of this process.
    step : str
        Module before whose import it is held.
    log_path : Path
        Gets its output.
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
        holding = {
            STEP_VARIABLE: step,
            DESCRIPTORS_VARIABLE: f"{told},{released}",
        }
        with log_path.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-c", HOLDING, module, *arguments],
                env={**os.environ, **environment, **holding},
                stdout=log,
                stderr=subprocess.STDOUT,
                pass_fds=(told, released),
            )
        os.close(told)
        os.close(released)

    async def wait_held(self) -> None:
        """Wait until the process has come to its step.

        Raises
        ------
        RuntimeError
            If it ends before; shows its output.
        """
        async with asyncio.timeout(PATIENCE_S):
            if not await asyncio.to_thread(os.read, self._held, 1):
                raise RuntimeError(f"ended too soon:\n{self.log_path.read_text()}")

    def release(self) -> None:
        """Let the process go on; one that has ended meanwhile is passed over."""
        try:
            os.write(self._release, b"r")
        except BrokenPipeError:
            return

    def signal(self, *numbers: signal.Signals) -> None:
        """Send signals, one after the other."""
        for number in numbers:
            self._process.send_signal(number)

    async def wait_logged(self, text: str) -> None:
        """Wait until the process has written a text, or has ended."""
        async with asyncio.timeout(PATIENCE_S):
            while text not in self.log_path.read_text():
                if self._process.poll() is not None:
                    raise RuntimeError(f"ended first:\n{self.log_path.read_text()}")
                await asyncio.sleep(0.01)

    async def wait_ended(self) -> int:
        """Return the exit code once the process has ended."""
        return await asyncio.to_thread(self._process.wait, PATIENCE_S)

    def close(self) -> None:
        """End the process if it still runs, and let its pipes go."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        os.close(self._held)
        os.close(self._release)
