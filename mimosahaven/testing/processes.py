"""Starts processes under test and signals and stops them by process id."""

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
POLL_INTERVAL_S = 0.02
LOG_TAIL_BYTES = 2_000
# Time to exit after SIGTERM before SIGKILL is sent.
TERM_TIMEOUT_S = 5.0


class RunnerError(Exception):
    """A process under test failed or did not reach a state in time."""


async def wait_until(
    condition: collections.abc.Callable[[], collections.abc.Awaitable],
    timeout_s: float = START_TIMEOUT_S,
    description: str = "condition",
):
    """Waits until a condition returns a true value and returns that value.

    Args:
      condition: Polled until it returns a true value.
      timeout_s: Maximum time to wait.
      description: The condition in words, for the error message.

    Raises:
      RunnerError: The condition was not met within the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        value = await condition()
        if value:
            return value
        if loop.time() > deadline_s:
            raise RunnerError(
                f"{description}: condition not met within {timeout_s:g} s"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


@dataclasses.dataclass
class Process:
    """One program under test.

    Attributes:
      name: Unique name in its runner.
      arguments: Arguments to the Python interpreter.
      ready: Returns whether the process is ready; polled after its start.
      log_path: File for its standard output and standard error.
    """

    name: str
    arguments: list[str]
    ready: collections.abc.Callable[[], collections.abc.Awaitable]
    log_path: pathlib.Path
    popen: subprocess.Popen | None = None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.popen is not None and self.popen.poll() is None

    def launch(self) -> None:
        """Starts the program without waiting until it is ready."""
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
          RunnerError: The program exited or was not ready in time.
        """

        async def ready_or_exited():
            return not self.running or await self.ready()

        try:
            await wait_until(ready_or_exited, description=f"{self.name} ready")
        except RunnerError as error:
            raise RunnerError(f"{error}\n{self.log_tail()}") from error
        if not self.running:
            raise RunnerError(
                f"{self.name} exited with status {self.popen.returncode}\n"
                f"{self.log_tail()}"
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.running:
            os.kill(self.popen.pid, signal_number)

    async def wait_exit(self, timeout_s: float = START_TIMEOUT_S) -> int:
        """Waits until the process exits and returns its exit code."""

        async def exited():
            return not self.running

        await wait_until(exited, timeout_s, f"{self.name} exited")
        return self.popen.returncode

    async def stop(self, timeout_s: float = TERM_TIMEOUT_S) -> None:
        """Stops the process with SIGTERM, or with SIGKILL after the timeout."""
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
    """Returns the JSON body of a response, or an empty dict for status 204.

    Returns None on any connection error, other status or invalid body, so that
    the call can be used in a condition of `wait_until`.
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
