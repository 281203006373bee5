"""Finds out whether the local target responds, or has crashed."""

import asyncio
from collections.abc import Callable

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import identity
from mimosahaven import tasks as tasks_lib
from mimosahaven.mesh import crashtracker as crashtracker_lib
from mimosahaven.mesh import frames
from mimosahaven.mesh import httpclient
from mimosahaven.mesh import responsestream
from mimosahaven.mesh import targethealth

Code = codes.Code

# Interval of the connection attempts that test whether the target is back.
PROBE_INTERVAL_S = 0.2


class TargetMonitor:
    """Monitors the local target by its responses and by connection attempts.

    Args:
      pool: Connections to the target.
      tasks: Runs the probes of an unresponsive target.
      fail_retryable_runs: Fails the runs that may be retried; called while the
        target does not respond.
      now_ms: Current time.

    Attributes:
      health: Health of the target.
      crashes: Crashes of the service's targets, by fingerprint of the request.
      notify_service: Sends a frame to the other daemons of the service.
    """

    def __init__(
        self,
        pool: httpclient.ClientPool,
        tasks: tasks_lib.BackgroundTasks,
        fail_retryable_runs: Callable[[], None],
        now_ms: float,
    ):
        self._pool = pool
        self._tasks = tasks
        self._fail_retryable_runs = fail_retryable_runs
        self.health = targethealth.TargetHealth(now_ms)
        self.crashes = crashtracker_lib.CrashTracker()
        self.notify_service: Callable[[frames.Frame], None] = lambda frame: None
        # Start times of the runs that ended with a connection reset, by
        # fingerprint, until it is known whether the target has crashed.
        self._interrupted_runs: dict[str, float] = {}

    def tick(self, run_count: int, now_ms: float) -> None:
        """Starts a probe if the target does not respond to its runs."""
        if self.health.needs_probe(run_count, now_ms):
            self.start_probe()

    def on_crash(self, crash: frames.Crash) -> None:
        """Records the runs that a crash of a target has interrupted."""
        now_ms = clock.monotonic_ms()
        for fingerprint, ran_ms in crash.ran_ms.items():
            self.crashes.record_crash(fingerprint, ran_ms, now_ms)

    def is_quarantined(self, run: frames.Run, now_ms: float) -> bool:
        """Returns whether a request is held back since it crashed targets."""
        return bool(self.crashes) and self.crashes.is_quarantined(
            _fingerprint(run), now_ms
        )

    def record_response(
        self,
        run: frames.Run,
        stream: responsestream.ResponseStream,
        started_ms: float,
    ) -> None:
        """Records a run ended by a reset, and clears one that has succeeded.

        Args:
          run: The run.
          stream: Its response, or the failure to respond.
          started_ms: When it was sent.
        """
        self.health.record_response(clock.monotonic_ms())
        if stream.failure is Code.TARGET_LOST:
            # A reset may only mean a lost response. The target is considered
            # crashed only if it accepts no new connections either.
            self._interrupted_runs[_fingerprint(run)] = started_ms
            self.start_probe()
        elif stream.failure is None and stream.status < 300 and self.crashes:
            fingerprint = _fingerprint(run)
            if self.crashes.clear(fingerprint):
                self.notify_service(frames.Clear(fingerprint))

    def _report_crash(self) -> None:
        """Reports the interrupted runs to the other daemons of the service."""
        if not self._interrupted_runs:
            return
        now_ms = clock.monotonic_ms()
        crash = frames.Crash(
            {
                fingerprint: now_ms - started_ms
                for fingerprint, started_ms in self._interrupted_runs.items()
            }
        )
        self._interrupted_runs.clear()
        self.on_crash(crash)
        self.notify_service(crash)

    def start_probe(self) -> None:
        """Starts to probe the target, unless a probe is in progress."""
        if not self.health.probing:
            self.health.probing = True
            self._tasks.spawn(self._probe())

    async def _probe(self) -> None:
        """Tries to connect until it succeeds; no runs are sent meanwhile.

        A target that refuses connections may be shutting down or overloaded
        while it still processes its runs; only the reset of open connections
        shows that its process is gone. An unresponsive target does not reset
        them, so its retryable runs are failed here.
        """
        try:
            while True:
                opened = await self._pool.open()
                if isinstance(opened, httpclient.ClientConnection):
                    break
                self.health.down = True
                self._report_crash()
                timed_out = opened is httpclient.ConnectFailure.TIMED_OUT
                if timed_out and self.health.is_unresponsive(
                    clock.monotonic_ms()
                ):
                    self._fail_retryable_runs()
                await asyncio.sleep(PROBE_INTERVAL_S)
            self._interrupted_runs.clear()
            self._pool.release(opened)
        finally:
            self.health.record_recovery(clock.monotonic_ms())


def _fingerprint(run: frames.Run) -> str:
    """Returns the fingerprint that a request shares with its retries."""
    return identity.fingerprint(
        run.caller, "", run.method, run.path.decode("latin-1"), run.body
    )
