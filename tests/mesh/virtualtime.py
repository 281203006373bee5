"""Event loop whose time passes only while all tasks wait."""

import asyncio
import selectors
from unittest import mock

from mimosahaven import clock


class _JumpingSelector(selectors.SelectSelector):
    """Lets the time jump to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("all tasks wait, and none for a timer")
            self.now_s += timeout
        return events


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which begins at 0.

    Only timers and futures work; the time of real I/O is not simulated.
    """

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self):
        return self._jumping_selector.now_s


def run(coroutine):
    """Runs a coroutine in virtual time; `clock` has the same time."""
    loop = VirtualTimeLoop()
    with (
        mock.patch.object(clock, "monotonic_ms", lambda: loop.time() * 1000.0),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(coroutine)
