"""Processes under test: start, signal and end them by their id."""

import asyncio
import collections.abc
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 60.0
POLL_S = 0.02
LOG_TAIL_BYTES = 2_000
# Time to end after SIGTERM before SIGKILL follows.
TERM_TIMEOUT_S = 5.0


class RunnerError(Exception):
    """A process under test did not do what was asked."""


async def wait_until(
    condition: collections.abc.Callable[[], collections.abc.Awaitable],
    timeout_s: float = START_TIMEOUT_S,
    description: str = "condition",
):
    """Waits until a condition returns a true value, and returns it.

    Raises:
      RunnerError: The limit passed first.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    while True:
        value = await condition()
        if value:
            return value
        if loop.time() > end:
            raise RunnerError(f"{description}: not within {timeout_s:g} s")
        await asyncio.sleep(POLL_S)


@dataclasses.dataclass
class Process:
    """One program under test.

    Attributes:
      name: Name by which it is addressed.
      arguments: Arguments after the interpreter.
      ready: Tells whether it is ready.
      log_path: File that takes its standard error.
    """

    name: str
    arguments: list[str]
    ready: collections.abc.Callable[[], collections.abc.Awaitable]
    log_path: pathlib.Path
    popen: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        """Whether the process exists."""
        return self.popen is not None and self.popen.poll() is None

    def launch(self) -> None:
        """Starts the program without waiting for it."""
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Waits until the program is ready.

        Raises:
          RunnerError: It ended, or was not ready within the limit.
        """

        async def ready_or_ended():
            return not self.running or await self.ready()

        try:
            await wait_until(ready_or_ended, description=f"{self.name} ready")
        except RunnerError as error:
            raise RunnerError(f"{error}\n{self.log_tail()}") from error
        if not self.running:
            raise RunnerError(
                f"{self.name} ended with {self.popen.returncode}\n"
                f"{self.log_tail()}"
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process still exists."""
        if self.running:
            os.kill(self.popen.pid, number)

    async def wait_exit(self, timeout_s: float = START_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""

        async def ended():
            return not self.running

        await wait_until(ended, timeout_s, f"{self.name} ended")
        return self.popen.returncode

    async def stop(self, timeout_s: float = TERM_TIMEOUT_S) -> None:
        """Ends the process: SIGTERM, then SIGKILL after the limit."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await self.wait_exit(timeout_s)
        except RunnerError:
            self.send_signal(signal.SIGKILL)
            await self.wait_exit()

    def log_tail(self) -> str:
        """Returns the end of the log."""
        try:
            return self.log_path.read_bytes()[-LOG_TAIL_BYTES:].decode(
                errors="replace"
            )
        except OSError:
            return ""


async def get_json(session: aiohttp.ClientSession, url: str) -> dict | None:
    """Returns the JSON answer, or None when there is none.

    A refused connection or an error status is None too, so that the call
    can serve as a condition.
    """
    try:
        async with session.get(
            url, timeout=aiohttp.ClientTimeout(total=5)
        ) as response:
            if response.status == 204:
                return {}
            if response.status != 200:
                return None
            return await response.json(content_type=None)
    except (aiohttp.ClientError, OSError, ValueError, TimeoutError):
        return None
